// Package kqchart interprets the state charts of tasks, endpoints, ownership
// and drains, which are embedded YAML files.
package kqchart

import (
	"embed"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

//go:embed charts/*.yaml
var files embed.FS

// Transition leads from a state to another on an event.
type Transition struct {
	// From is the states in which the event may come.
	From []string `yaml:"from"`
	// Event is what happens.
	Event string `yaml:"event"`
	// To is the state that follows.
	To string `yaml:"to"`
}

// document is the form of a chart file.
type document struct {
	Name        string       `yaml:"name"`
	Initial     string       `yaml:"initial"`
	Final       []string     `yaml:"final"`
	States      []string     `yaml:"states"`
	Transitions []Transition `yaml:"transitions"`
}

type edge struct {
	state string
	event string
}

// Chart is a checked state chart.
type Chart struct {
	name    string
	initial string
	final   map[string]bool
	next    map[edge]string
}

// Load reads and checks the embedded chart of the given name.
func Load(name string) (*Chart, error) {
	b, err := files.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		return nil, eris.Wrapf(err, "chart %s", name)
	}
	return Parse(b)
}

// MustLoad is Load for charts that are part of the program.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse reads and checks a chart.
func Parse(b []byte) (*Chart, error) {
	var d document
	if err := yaml.UnmarshalWithOptions(b, &d, yaml.Strict()); err != nil {
		return nil, eris.Wrap(err, "chart")
	}
	known := make(map[string]bool, len(d.States))
	for _, s := range d.States {
		known[s] = true
	}
	c := &Chart{name: d.Name, initial: d.Initial, final: map[string]bool{}, next: map[edge]string{}}
	if !known[d.Initial] {
		return nil, eris.Errorf("chart %s: initial state %q is not listed", d.Name, d.Initial)
	}
	for _, s := range d.Final {
		if !known[s] {
			return nil, eris.Errorf("chart %s: final state %q is not listed", d.Name, s)
		}
		c.final[s] = true
	}
	for _, t := range d.Transitions {
		if err := c.add(t, known); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Chart) add(t Transition, known map[string]bool) error {
	if !known[t.To] {
		return eris.Errorf("chart %s: state %q is not listed", c.name, t.To)
	}
	for _, s := range t.From {
		e := edge{s, t.Event}
		switch {
		case !known[s]:
			return eris.Errorf("chart %s: state %q is not listed", c.name, s)
		case c.final[s]:
			return eris.Errorf("chart %s: final state %q has a transition", c.name, s)
		case c.next[e] != "":
			return eris.Errorf("chart %s: event %q in state %q stands twice", c.name, t.Event, s)
		}
		c.next[e] = t.To
	}
	return nil
}

// Initial returns the first state.
func (c *Chart) Initial() string { return c.initial }

// Final reports whether s has no way out.
func (c *Chart) IsFinal(s string) bool { return c.final[s] }

// Can reports whether event may come in state s.
func (c *Chart) Allows(s, event string) bool { return c.next[edge{s, event}] != "" }

// Next returns the state that follows s on event.
func (c *Chart) Next(s, event string) (string, error) {
	if to, ok := c.next[edge{s, event}]; ok {
		return to, nil
	}
	return s, fmt.Errorf("chart %s: no event %q in state %q", c.name, event, s)
}
