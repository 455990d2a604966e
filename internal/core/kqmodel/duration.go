package kqmodel

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that is encoded as text with a unit, such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes d as text with a unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// MarshalYAML encodes d as text with a unit.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

// UnmarshalJSON decodes text with a unit.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return eris.Errorf("a duration is text with a unit such as \"250ms\", not %s", b)
	}
	return d.parse(s)
}

// UnmarshalYAML decodes text with a unit.
func (d *Duration) UnmarshalYAML(unmarshal func(any) error) error {
	var s string
	if err := unmarshal(&s); err != nil {
		return eris.New("a duration is text with a unit such as 250ms")
	}
	return d.parse(s)
}

func (d *Duration) parse(s string) error {
	v, err := time.ParseDuration(s)
	if err != nil {
		return eris.Errorf("%q is not a duration: write a number with a unit, such as 250ms, 3s or 2h", s)
	}
	*d = Duration(v)
	return nil
}
