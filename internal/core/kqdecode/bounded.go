package kqdecode

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// BoundedList decodes a JSON list of at most limit elements; null is an empty list. It stops at the first element beyond
// the limit, since decoded elements can take many times the memory of a document of a few bytes each. A strict list has
// no unknown fields.
func BoundedList[T any](b []byte, limit int, strict bool) ([]T, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	if strict {
		d.DisallowUnknownFields()
	}
	switch t, err := d.Token(); {
	case err != nil:
		return nil, err
	case t == nil:
		return nil, nil
	case t != json.Delim('['):
		return nil, fmt.Errorf("expected a list, got %.20s", b)
	}
	var list []T
	for d.More() {
		if len(list) == limit {
			return nil, fmt.Errorf("expected a list of at most %d elements, got more", limit)
		}
		var element T
		if err := d.Decode(&element); err != nil {
			return nil, err
		}
		list = append(list, element)
	}
	if _, err := d.Token(); err != nil {
		return nil, err
	}
	return list, nil
}
