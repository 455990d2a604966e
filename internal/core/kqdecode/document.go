// Package kqdecode decodes JSON documents of other writers. An entry of a list that cannot be
// decoded costs that entry alone, not the document.
package kqdecode

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Omission is a part of a document that was left out.
type Omission struct {
	// Path names the part, such as rows[3].
	Path string
	// Reason is why it could not be decoded.
	Reason string
	// Salvaged is true for an element of a list of which a Salvager has decoded a part.
	Salvaged bool
}

// Salvager is an element of a list that can be in use without some of its fields.
type Salvager interface {
	// Salvage decodes what it can of an element that cannot be decoded as a whole. It returns an
	// error if the element is to be left out.
	Salvage(b []byte) error
}

// String returns the path and the reason.
func (o Omission) String() string { return o.Path + ": " + o.Reason }

// Divisible marks a struct that stays in use if entries of its lists are left out, where a document
// has a pointer to it.
type Divisible interface{ Divisible() }

// maxReasonBytes limits a reason, which may quote the document.
const maxReasonBytes = 160

// NewOmission returns an Omission with the text of an error, shortened if it is long.
func NewOmission(path string, err error) Omission {
	reason := err.Error()
	if len(reason) > maxReasonBytes {
		reason = strings.ToValidUTF8(reason[:maxReasonBytes], "") + "..."
	}
	return Omission{Path: path, Reason: reason}
}

// Document decodes a JSON document into the struct that v points to, like json.Unmarshal. If that
// fails, it leaves out the parts that cannot be decoded and returns them: elements of lists, values
// of maps and fields that are pointers to structs. A part is decoded as a whole or left out, unless it
// is a Salvager or Divisible. It returns an error if any other part cannot be decoded.
func Document(b []byte, v any) ([]Omission, error) {
	err := json.Unmarshal(b, v)
	if err == nil {
		return nil, nil
	}
	target := reflect.ValueOf(v).Elem()
	target.SetZero()
	shallow := cutDeep(b)
	if !json.Valid(shallow) {
		return nil, err
	}
	var d decoder
	if err := d.decode("", shallow, target); err != nil {
		return d.omissions, err
	}
	if len(d.omissions) == 0 {
		d.omissions = append(d.omissions, NewOmission("a part that is not in use", err))
	}
	return d.omissions, nil
}

// decoder decodes parts of a document and records the omissions.
type decoder struct {
	omissions []Omission
}

func (d *decoder) omit(path string, err error) {
	d.omissions = append(d.omissions, NewOmission(path, err))
}

var (
	unmarshaler     = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
	divisible       = reflect.TypeFor[Divisible]()
)

// decode decodes a part of a valid document.
func (d *decoder) decode(path string, b []byte, to reflect.Value) error {
	t := reflect.PointerTo(to.Type())
	switch {
	case string(b) == "null" || t.Implements(unmarshaler) || t.Implements(textUnmarshaler):
	case to.Kind() == reflect.Struct:
		return d.decodeStruct(path, b, to)
	case to.Kind() == reflect.Slice && to.Type().Elem().Kind() != reflect.Uint8:
		return d.decodeList(path, b, to)
	case to.Kind() == reflect.Map && to.Type().Key().Kind() == reflect.String:
		return d.decodeMap(path, b, to)
	case to.Kind() == reflect.Pointer && to.Type().Elem().Kind() == reflect.Struct:
		x := reflect.New(to.Type().Elem())
		var err error
		if x.Type().Implements(divisible) {
			err = d.decode(path, b, x.Elem())
		} else {
			err = json.Unmarshal(b, x.Interface())
		}
		if err != nil {
			d.omit(path, err)
			return nil
		}
		to.Set(x)
		return nil
	}
	if err := json.Unmarshal(b, to.Addr().Interface()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// decodeStruct decodes each field of an object by itself.
func (d *decoder) decodeStruct(path string, b []byte, to reflect.Value) error {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(b, &members); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for i := range to.NumField() {
		field := to.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || name == "-" {
			continue
		}
		if field.Anonymous && name == "" {
			if err := json.Unmarshal(b, to.Field(i).Addr().Interface()); err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			continue
		}
		if name == "" {
			name = field.Name
		}
		member, ok := findMember(members, name)
		if !ok {
			continue
		}
		if err := d.decode(strings.TrimPrefix(path+"."+name, "."), member, to.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// findMember returns the member of an object with a name, which may differ in case.
func findMember(members map[string]json.RawMessage, name string) (json.RawMessage, bool) {
	if m, ok := members[name]; ok {
		return m, true
	}
	for k, m := range members {
		if strings.EqualFold(k, name) {
			return m, true
		}
	}
	return nil, false
}

// decodeList decodes the elements of a list, without those that cannot be decoded.
func (d *decoder) decodeList(path string, b []byte, to reflect.Value) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(b, &elements); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	out := reflect.MakeSlice(to.Type(), 0, len(elements))
	for i, element := range elements {
		x := reflect.New(to.Type().Elem())
		if err := json.Unmarshal(element, x.Interface()); err != nil {
			o := NewOmission(fmt.Sprintf("%s[%d]", path, i), err)
			o.Salvaged = salvage(element, x)
			d.omissions = append(d.omissions, o)
			if !o.Salvaged {
				continue
			}
		}
		out = reflect.Append(out, x.Elem())
	}
	to.Set(out)
	return nil
}

// salvage decodes a part of an element into the value that x points to, if that is a Salvager.
func salvage(element []byte, x reflect.Value) bool {
	s, ok := x.Interface().(Salvager)
	if !ok {
		return false
	}
	x.Elem().SetZero()
	return s.Salvage(element) == nil
}

// decodeMap decodes the values of an object, without those that cannot be decoded.
func (d *decoder) decodeMap(path string, b []byte, to reflect.Value) error {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(b, &members); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	out := reflect.MakeMapWithSize(to.Type(), len(members))
	for key, member := range members {
		x := reflect.New(to.Type().Elem())
		if err := json.Unmarshal(member, x.Interface()); err != nil {
			d.omit(path+"."+key, err)
			continue
		}
		out.SetMapIndex(reflect.ValueOf(key).Convert(to.Type().Key()), x.Elem())
	}
	to.Set(out)
	return nil
}

// List decodes a JSON list whose elements are decoded each by itself; the omissions are the elements
// that cannot be decoded.
func List[T any](b []byte) ([]T, []Omission, error) {
	var x struct{ Elements []T }
	if !json.Valid(cutDeep(b)) {
		return nil, nil, json.Unmarshal(b, &x.Elements)
	}
	document := append(append([]byte(`{"Elements":`), b...), '}')
	omissions, err := Document(document, &x)
	return x.Elements, omissions, err
}

// maxDepth is the depth from which nested values are replaced by null. It exceeds the depth of every
// document in use, and is far below the depth that json.Unmarshal rejects.
const maxDepth = 64

// cutDeep returns a document with the lists and objects that are nested deeper than maxDepth replaced
// by null. It does not check the syntax otherwise.
func cutDeep(b []byte) []byte {
	out := make([]byte, 0, len(b))
	depth, inString := 0, false
	for i := 0; i < len(b); i++ {
		c := b[i]
		kept := depth <= maxDepth
		switch {
		case inString && c == '\\' && i+1 < len(b):
			if kept {
				out = append(out, c)
			}
			i++
			c = b[i]
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			if depth++; depth == maxDepth+1 {
				out = append(out, "null"...)
			}
			kept = depth <= maxDepth
		case c == ']' || c == '}':
			depth--
		}
		if kept {
			out = append(out, c)
		}
	}
	return out
}
