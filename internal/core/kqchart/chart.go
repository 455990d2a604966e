// Package kqchart loads and interprets the state charts of tasks, endpoints, ownership and
// drains. The charts are YAML files that are embedded in the program.
package kqchart

import (
	"embed"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

//go:embed charts/*.yaml
var chartFiles embed.FS

// Transition is the change to another state on an event.
type Transition struct {
	// From lists the states in which the event may occur.
	From []string `yaml:"from"`
	// Event is the name of the event.
	Event string `yaml:"event"`
	// To is the state after the event.
	To string `yaml:"to"`
}

// document is the structure of a chart file.
type document struct {
	Name        string       `yaml:"name"`
	Initial     string       `yaml:"initial"`
	Final       []string     `yaml:"final"`
	States      []string     `yaml:"states"`
	Transitions []Transition `yaml:"transitions"`
}

// transitionKey is the key of a transition: a state and an event that occurs in it.
type transitionKey struct {
	state string
	event string
}

// Chart is a validated state chart.
type Chart struct {
	name    string
	initial string
	final   map[string]bool
	next    map[transitionKey]string
}

// Load parses and validates the embedded chart of the given name.
func Load(name string) (*Chart, error) {
	b, err := chartFiles.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		return nil, eris.Wrapf(err, "chart %s", name)
	}
	return Parse(b)
}

// MustLoad is like Load, but panics on an error.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse decodes and validates a chart in YAML.
func Parse(b []byte) (*Chart, error) {
	var d document
	if err := yaml.UnmarshalWithOptions(b, &d, yaml.Strict()); err != nil {
		return nil, eris.Wrap(err, "chart")
	}
	known := make(map[string]bool, len(d.States))
	for _, s := range d.States {
		known[s] = true
	}
	c := &Chart{name: d.Name, initial: d.Initial, final: map[string]bool{}, next: map[transitionKey]string{}}
	if !known[d.Initial] {
		return nil, eris.Errorf("chart %s: initial state %q is not in the list of states", d.Name, d.Initial)
	}
	for _, s := range d.Final {
		if !known[s] {
			return nil, eris.Errorf("chart %s: final state %q is not in the list of states", d.Name, s)
		}
		c.final[s] = true
	}
	for _, t := range d.Transitions {
		if err := c.addTransition(t, known); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// addTransition validates t against the known states and adds it for each of its source states.
func (c *Chart) addTransition(t Transition, known map[string]bool) error {
	if !known[t.To] {
		return eris.Errorf("chart %s: target state %q is not in the list of states", c.name, t.To)
	}
	for _, s := range t.From {
		e := transitionKey{s, t.Event}
		switch {
		case !known[s]:
			return eris.Errorf("chart %s: source state %q is not in the list of states", c.name, s)
		case c.final[s]:
			return eris.Errorf("chart %s: final state %q has a transition", c.name, s)
		case c.next[e] != "":
			return eris.Errorf("chart %s: event %q in state %q has more than one transition", c.name, t.Event, s)
		}
		c.next[e] = t.To
	}
	return nil
}

// Initial returns the initial state.
func (c *Chart) Initial() string { return c.initial }

// IsFinal reports whether s is a final state, which has no transitions.
func (c *Chart) IsFinal(s string) bool { return c.final[s] }

// Allows reports whether event may occur in state s.
func (c *Chart) Allows(s, event string) bool { return c.next[transitionKey{s, event}] != "" }

// Next returns the state after event in state s. If the chart does not allow event in s, it
// returns s and an error.
func (c *Chart) Next(s, event string) (string, error) {
	if to, ok := c.next[transitionKey{s, event}]; ok {
		return to, nil
	}
	return s, fmt.Errorf("chart %s: event %q is not allowed in state %q", c.name, event, s)
}
