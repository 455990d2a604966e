// Package kqconfig accepts changes of classes and quotas, and keeps the
// configuration that is in force in a process.
package kqconfig

import (
	"fmt"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// Document is one class or quota as an operator writes it.
type Document struct {
	// Class names a class; either Class or Quota is given.
	Class string `json:"class,omitempty" yaml:"class,omitempty"`
	// Kind is latency_critical, batch or watcher.
	Kind kqmodel.Kind `json:"kind,omitempty" yaml:"kind,omitempty"`
	// Latency is the time within which calls are to be answered.
	Latency string `json:"latency,omitempty" yaml:"latency,omitempty"`
	// Percentile is the share of calls, in percent, that Latency speaks of.
	Percentile *float64 `json:"percentile,omitempty" yaml:"percentile,omitempty"`
	// FinishWithin is the time from submission to the end of a job.
	FinishWithin string `json:"finish_within,omitempty" yaml:"finish_within,omitempty"`
	// KeepRunning is the share of time, in percent, that each watcher is up.
	KeepRunning *float64 `json:"keep_running,omitempty" yaml:"keep_running,omitempty"`
	// Quota names a team.
	Quota string `json:"quota,omitempty" yaml:"quota,omitempty"`
	// Processors is the most processors that the team may hold.
	Processors *float64 `json:"processors,omitempty" yaml:"processors,omitempty"`
	// Memory is the most memory, such as 64GiB.
	Memory string `json:"memory,omitempty" yaml:"memory,omitempty"`
	// Accelerators is the most accelerators.
	Accelerators *int64 `json:"accelerators,omitempty" yaml:"accelerators,omitempty"`
	// IfVersion is the version that the operator saw; 0 means that there was
	// none. Without it the change is refused.
	IfVersion *uint64 `json:"if_version,omitempty" yaml:"if_version,omitempty"`
}

// Key returns the configuration key that the document changes.
func (d Document) Key() string {
	if d.Quota != "" {
		return QuotaKey(d.Quota)
	}
	return ClassKey(d.Class)
}

// Checked is a document that was found right.
type ValidDocument struct {
	// Document is what was written.
	Document Document
	// Class is set for a class.
	Class *kqmodel.ClassSpec
	// Quota is set for a quota.
	Quota *kqmodel.Quota
}

// Parse reads and checks one or more YAML or JSON documents. An error names
// the line and the column.
func Parse(text []byte) ([]ValidDocument, error) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, kqresult.Errorf(kqresult.BadDocument, "%s", yaml.FormatError(err, false, false))
	}
	var out []ValidDocument
	seen := map[string]bool{}
	for _, d := range file.Docs {
		if d.Body == nil {
			continue
		}
		c, err := parseOne(d.Body)
		if err != nil {
			return nil, err
		}
		if seen[c.Document.Key()] {
			return nil, at(d.Body, "", "%s stands twice", c.Document.Key())
		}
		seen[c.Document.Key()] = true
		out = append(out, c)
	}
	if len(out) == 0 {
		return nil, kqresult.Errorf(kqresult.BadDocument, "there is no document")
	}
	return out, nil
}

func parseOne(body ast.Node) (ValidDocument, error) {
	var d Document
	if err := yaml.NodeToValue(body, &d, yaml.Strict()); err != nil {
		return ValidDocument{}, decodeError(err)
	}
	c := &checker{body: body, document: d}
	return c.check()
}

// decodeError gives the position that the library found.
func decodeError(err error) error {
	var positioned yaml.Error
	if eris.As(err, &positioned) {
		if t := positioned.GetToken(); t != nil {
			return kqresult.Errorf(kqresult.BadDocument, "line %d, column %d: %s", t.Position.Line, t.Position.Column, positioned.GetMessage())
		}
	}
	return kqresult.Errorf(kqresult.BadDocument, "%s", yaml.FormatError(err, false, false))
}

// at returns an error with the position of a field, or of the document.
func at(body ast.Node, field, format string, args ...any) error {
	node := body
	if field != "" {
		if path, err := yaml.PathString("$." + field); err == nil {
			if n, err := path.FilterNode(body); err == nil && n != nil {
				node = n
			}
		}
	}
	p := node.GetToken().Position
	prefix := ""
	if field != "" {
		prefix = field + ": "
	}
	return kqresult.Errorf(kqresult.BadDocument, "line %d, column %d: %s%s", p.Line, p.Column, prefix, fmt.Sprintf(format, args...))
}

// checker checks the fields of one document.
type checker struct {
	body     ast.Node
	document Document
}

const (
	maxNameLength   = 63
	shortestLatency = time.Millisecond
	longestLatency  = 10 * time.Minute
	shortestFinish  = time.Second
	longestFinish   = 30 * 24 * time.Hour
	lowestPercent   = 50.0
	highestPercent  = 99.99
)

func (c *checker) check() (ValidDocument, error) {
	d := c.document
	switch {
	case d.Class != "" && d.Quota != "":
		return ValidDocument{}, c.at("quota", "a document is either a class or a quota")
	case d.Class != "":
		return c.class()
	case d.Quota != "":
		return c.quota()
	}
	return ValidDocument{}, c.at("", "a document needs class or quota")
}

func (c *checker) at(field, format string, args ...any) error {
	return at(c.body, field, format, args...)
}

// ValidName reports whether s is made of letters, digits, dots, dashes and
// underscores, and begins with a letter or digit.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i, r := range s {
		plain := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !plain && (i == 0 || (r != '-' && r != '_' && r != '.')) {
			return false
		}
	}
	return true
}

func (c *checker) class() (ValidDocument, error) {
	d := c.document
	if !ValidName(d.Class) {
		return ValidDocument{}, c.at("class", "%q is no name: use up to %d letters, digits, dots, dashes and underscores", d.Class, maxNameLength)
	}
	for _, f := range []struct {
		name  string
		given bool
	}{{"processors", d.Processors != nil}, {"memory", d.Memory != ""}, {"accelerators", d.Accelerators != nil}} {
		if f.given {
			return ValidDocument{}, c.at(f.name, "a class states targets only")
		}
	}
	spec := kqmodel.ClassSpec{Name: d.Class, Kind: d.Kind}
	if err := c.targets(&spec); err != nil {
		return ValidDocument{}, err
	}
	return ValidDocument{Document: d, Class: &spec}, nil
}

// targets checks that exactly the targets of the kind are given.
func (c *checker) targets(s *kqmodel.ClassSpec) error {
	d := c.document
	given := map[string]bool{"latency": d.Latency != "", "percentile": d.Percentile != nil,
		"finish_within": d.FinishWithin != "", "keep_running": d.KeepRunning != nil}
	wanted := map[kqmodel.Kind][]string{kqmodel.KindLatencyCritical: {"latency", "percentile"},
		kqmodel.KindBatch: {"finish_within"}, kqmodel.KindWatcher: {"keep_running"}}[d.Kind]
	if wanted == nil {
		return c.at("kind", "%q is no kind: use latency_critical, batch or watcher", d.Kind)
	}
	for _, f := range wanted {
		if !given[f] {
			return c.at("kind", "a class of kind %s needs %s", d.Kind, f)
		}
		delete(given, f)
	}
	for _, f := range []string{"latency", "percentile", "finish_within", "keep_running"} {
		if given[f] {
			return c.at(f, "a class of kind %s has no such target", d.Kind)
		}
	}
	return c.values(s)
}

func (c *checker) values(s *kqmodel.ClassSpec) (err error) {
	d := c.document
	if s.Latency, err = c.duration("latency", d.Latency, shortestLatency, longestLatency); err != nil {
		return err
	}
	if s.FinishWithin, err = c.duration("finish_within", d.FinishWithin, shortestFinish, longestFinish); err != nil {
		return err
	}
	if s.Percentile, err = c.percent("percentile", d.Percentile); err != nil {
		return err
	}
	s.KeepRunning, err = c.percent("keep_running", d.KeepRunning)
	return err
}

func (c *checker) duration(field, text string, low, high time.Duration) (kqmodel.Duration, error) {
	if text == "" {
		return 0, nil
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return 0, c.at(field, "%q is no duration: write a number with a unit, such as 250ms, 3s or 2h", text)
	}
	if v < low || v > high {
		return 0, c.at(field, "%s is out of range: from %s to %s can be met", v, low, high)
	}
	return kqmodel.Duration(v), nil
}

func (c *checker) percent(field string, p *float64) (float64, error) {
	if p == nil {
		return 0, nil
	}
	if *p < lowestPercent || *p > highestPercent {
		return 0, c.at(field, "%v is out of range: percent from %v to %v can be met", *p, lowestPercent, highestPercent)
	}
	return *p, nil
}

func (c *checker) quota() (ValidDocument, error) {
	d := c.document
	switch {
	case !ValidName(d.Quota):
		return ValidDocument{}, c.at("quota", "%q is no name: use up to %d letters, digits, dots, dashes and underscores", d.Quota, maxNameLength)
	case d.Kind != "" || d.Latency != "" || d.Percentile != nil || d.FinishWithin != "" || d.KeepRunning != nil:
		return ValidDocument{}, c.at("quota", "a quota has no targets")
	case d.Processors == nil || *d.Processors < 0:
		return ValidDocument{}, c.at("processors", "a quota needs processors of 0 or more")
	case d.Accelerators != nil && *d.Accelerators < 0:
		return ValidDocument{}, c.at("accelerators", "%d is below 0", *d.Accelerators)
	}
	m, err := humanize.ParseBytes(d.Memory)
	if err != nil {
		return ValidDocument{}, c.at("memory", "%q is no amount of memory: write a number with a unit, such as 64GiB", d.Memory)
	}
	q := kqmodel.Quota{Team: d.Quota, Resources: kqmodel.Resources{MilliProcessors: int64(*d.Processors * 1000), MemoryBytes: int64(m)}}
	if d.Accelerators != nil {
		q.Resources.Accelerators = *d.Accelerators
	}
	return ValidDocument{Document: d, Quota: &q}, nil
}
