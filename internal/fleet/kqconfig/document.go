// Package kqconfig parses, validates and stores changes of classes and quotas, and holds
// the configuration that is in force in a process.
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
	// Class is the name of a class. Exactly one of Class and Quota is set.
	Class string `json:"class,omitempty" yaml:"class,omitempty"`
	// Kind is latency_critical, batch or watcher.
	Kind kqmodel.Kind `json:"kind,omitempty" yaml:"kind,omitempty"`
	// Latency is the latency target of calls, such as 250ms.
	Latency string `json:"latency,omitempty" yaml:"latency,omitempty"`
	// Percentile is the percentage of calls that have to meet Latency.
	Percentile *float64 `json:"percentile,omitempty" yaml:"percentile,omitempty"`
	// FinishWithin is the target time from the submission of a job to its end.
	FinishWithin string `json:"finish_within,omitempty" yaml:"finish_within,omitempty"`
	// KeepRunning is the target percentage of time that each watcher is running.
	KeepRunning *float64 `json:"keep_running,omitempty" yaml:"keep_running,omitempty"`
	// Quota is the name of the team that the quota applies to.
	Quota string `json:"quota,omitempty" yaml:"quota,omitempty"`
	// Processors is the maximum number of processors that the team may hold.
	Processors *float64 `json:"processors,omitempty" yaml:"processors,omitempty"`
	// Memory is the maximum amount of memory, such as 64GiB.
	Memory string `json:"memory,omitempty" yaml:"memory,omitempty"`
	// Accelerators is the maximum number of accelerators.
	Accelerators *int64 `json:"accelerators,omitempty" yaml:"accelerators,omitempty"`
	// IfVersion is the version that the operator last read, 0 if there was none. A change
	// without it is refused, so that no operator overwrites a change without having seen it.
	IfVersion *uint64 `json:"if_version,omitempty" yaml:"if_version,omitempty"`
}

// Key returns the configuration key that the document changes.
func (d Document) Key() string {
	if d.Quota != "" {
		return QuotaKey(d.Quota)
	}
	return ClassKey(d.Class)
}

// ValidDocument is a document that has passed validation, with the class or quota that it
// describes.
type ValidDocument struct {
	// Document is the document as the operator wrote it.
	Document Document
	// Class is set if the document describes a class.
	Class *kqmodel.ClassSpec
	// Quota is set if the document describes a quota.
	Quota *kqmodel.Quota
}

// Parse parses and validates one or more YAML or JSON documents. An error about the
// content states the line and the column.
func Parse(text []byte) ([]ValidDocument, error) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, kqresult.Errorf(kqresult.BadDocument, "%s", yaml.FormatError(err, false, false))
	}
	var out []ValidDocument
	seenKeys := map[string]bool{}
	for _, d := range file.Docs {
		if d.Body == nil {
			continue
		}
		c, err := parseDocument(d.Body)
		if err != nil {
			return nil, err
		}
		if seenKeys[c.Document.Key()] {
			return nil, errorAt(d.Body, "", "%s appears more than once", c.Document.Key())
		}
		seenKeys[c.Document.Key()] = true
		out = append(out, c)
	}
	if len(out) == 0 {
		return nil, kqresult.Errorf(kqresult.BadDocument, "the input contains no document")
	}
	return out, nil
}

func parseDocument(body ast.Node) (ValidDocument, error) {
	var d Document
	if err := yaml.NodeToValue(body, &d, yaml.Strict()); err != nil {
		return ValidDocument{}, decodeError(err)
	}
	c := &validator{body: body, document: d}
	return c.validate()
}

// decodeError converts an error of the YAML library to a result error with the position
// that the library reports.
func decodeError(err error) error {
	var positioned yaml.Error
	if eris.As(err, &positioned) {
		if t := positioned.GetToken(); t != nil {
			return kqresult.Errorf(kqresult.BadDocument, "line %d, column %d: %s", t.Position.Line, t.Position.Column, positioned.GetMessage())
		}
	}
	return kqresult.Errorf(kqresult.BadDocument, "%s", yaml.FormatError(err, false, false))
}

// errorAt returns an error with the position of a field, or of the document if field is
// empty or absent.
func errorAt(body ast.Node, field, format string, args ...any) error {
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

// validator validates the fields of one document.
type validator struct {
	body     ast.Node
	document Document
}

const (
	maxNameLength   = 63
	minLatency      = time.Millisecond
	maxLatency      = 10 * time.Minute
	minFinishWithin = time.Second
	maxFinishWithin = 30 * 24 * time.Hour
	minPercent      = 50.0
	maxPercent      = 99.99
)

func (c *validator) validate() (ValidDocument, error) {
	d := c.document
	switch {
	case d.Class != "" && d.Quota != "":
		return ValidDocument{}, c.errorAt("quota", "a document describes either a class or a quota, not both")
	case d.Class != "":
		return c.validateClass()
	case d.Quota != "":
		return c.validateQuota()
	}
	return ValidDocument{}, c.errorAt("", "a document needs the field class or quota")
}

func (c *validator) errorAt(field, format string, args ...any) error {
	return errorAt(c.body, field, format, args...)
}

// ValidName reports whether s consists of at most 63 letters, digits, dots, dashes and
// underscores, and begins with a letter or a digit.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i, r := range s {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && (i == 0 || (r != '-' && r != '_' && r != '.')) {
			return false
		}
	}
	return true
}

func (c *validator) validateClass() (ValidDocument, error) {
	d := c.document
	if !ValidName(d.Class) {
		return ValidDocument{}, c.errorAt("class", "%q is not a valid name: use up to %d letters, digits, dots, dashes and underscores", d.Class, maxNameLength)
	}
	for _, f := range []struct {
		name  string
		given bool
	}{{"processors", d.Processors != nil}, {"memory", d.Memory != ""}, {"accelerators", d.Accelerators != nil}} {
		if f.given {
			return ValidDocument{}, c.errorAt(f.name, "a class has targets only, no resources")
		}
	}
	spec := kqmodel.ClassSpec{Name: d.Class, Kind: d.Kind}
	if err := c.validateTargets(&spec); err != nil {
		return ValidDocument{}, err
	}
	return ValidDocument{Document: d, Class: &spec}, nil
}

// validateTargets checks that the document states exactly the targets of its kind, and
// sets them in s.
func (c *validator) validateTargets(s *kqmodel.ClassSpec) error {
	d := c.document
	given := map[string]bool{"latency": d.Latency != "", "percentile": d.Percentile != nil,
		"finish_within": d.FinishWithin != "", "keep_running": d.KeepRunning != nil}
	required := map[kqmodel.Kind][]string{kqmodel.KindLatencyCritical: {"latency", "percentile"},
		kqmodel.KindBatch: {"finish_within"}, kqmodel.KindWatcher: {"keep_running"}}[d.Kind]
	if required == nil {
		return c.errorAt("kind", "%q is not a kind: use latency_critical, batch or watcher", d.Kind)
	}
	for _, f := range required {
		if !given[f] {
			return c.errorAt("kind", "a class of kind %s needs %s", d.Kind, f)
		}
		delete(given, f)
	}
	for _, f := range []string{"latency", "percentile", "finish_within", "keep_running"} {
		if given[f] {
			return c.errorAt(f, "a class of kind %s has no such target", d.Kind)
		}
	}
	return c.parseTargets(s)
}

func (c *validator) parseTargets(s *kqmodel.ClassSpec) (err error) {
	d := c.document
	if s.Latency, err = c.parseDuration("latency", d.Latency, minLatency, maxLatency); err != nil {
		return err
	}
	if s.FinishWithin, err = c.parseDuration("finish_within", d.FinishWithin, minFinishWithin, maxFinishWithin); err != nil {
		return err
	}
	if s.Percentile, err = c.validatePercent("percentile", d.Percentile); err != nil {
		return err
	}
	s.KeepRunning, err = c.validatePercent("keep_running", d.KeepRunning)
	return err
}

func (c *validator) parseDuration(field, text string, low, high time.Duration) (kqmodel.Duration, error) {
	if text == "" {
		return 0, nil
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return 0, c.errorAt(field, "%q is no duration: write a number with a unit, such as 250ms, 3s or 2h", text)
	}
	if v < low || v > high {
		return 0, c.errorAt(field, "%s is out of range: from %s to %s can be met", v, low, high)
	}
	return kqmodel.Duration(v), nil
}

func (c *validator) validatePercent(field string, p *float64) (float64, error) {
	if p == nil {
		return 0, nil
	}
	if *p < minPercent || *p > maxPercent {
		return 0, c.errorAt(field, "%v is out of range: percent from %v to %v can be met", *p, minPercent, maxPercent)
	}
	return *p, nil
}

func (c *validator) validateQuota() (ValidDocument, error) {
	d := c.document
	switch {
	case !ValidName(d.Quota):
		return ValidDocument{}, c.errorAt("quota", "%q is not a valid name: use up to %d letters, digits, dots, dashes and underscores", d.Quota, maxNameLength)
	case d.Kind != "" || d.Latency != "" || d.Percentile != nil || d.FinishWithin != "" || d.KeepRunning != nil:
		return ValidDocument{}, c.errorAt("quota", "a quota has no targets")
	case d.Processors == nil || *d.Processors < 0:
		return ValidDocument{}, c.errorAt("processors", "a quota needs processors of 0 or more")
	case d.Accelerators != nil && *d.Accelerators < 0:
		return ValidDocument{}, c.errorAt("accelerators", "%d is below 0", *d.Accelerators)
	}
	memory, err := humanize.ParseBytes(d.Memory)
	if err != nil {
		return ValidDocument{}, c.errorAt("memory", "%q is no amount of memory: write a number with a unit, such as 64GiB", d.Memory)
	}
	q := kqmodel.Quota{Team: d.Quota, Resources: kqmodel.Resources{MilliProcessors: int64(*d.Processors * 1000), MemoryBytes: int64(memory)}}
	if d.Accelerators != nil {
		q.Resources.Accelerators = *d.Accelerators
	}
	return ValidDocument{Document: d, Quota: &q}, nil
}
