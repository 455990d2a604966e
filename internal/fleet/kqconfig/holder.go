package kqconfig

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// Row is one row of the configuration as processes send it to each other.
type Row struct {
	// Key is class/NAME or quota/TEAM.
	Key string
	// Sequence is the configuration sequence with which the row was accepted.
	Sequence uint64
	// Value is a Revision encoded as JSON.
	Value []byte
}

// Revision is an accepted version of a class or quota as it is stored.
type Revision struct {
	// Class is set if the revision is one of a class.
	Class *kqmodel.ClassSpec `json:"class,omitempty"`
	// Quota is set if the revision is one of a quota.
	Quota *kqmodel.Quota `json:"quota,omitempty"`
	// Version is the number of accepted changes of this key, starting at 1.
	Version uint64 `json:"version"`
	// Sequence is the configuration sequence with which this version was accepted.
	Sequence uint64 `json:"sequence"`
	// Author is the operator who made the change.
	Author string `json:"author"`
	// AcceptedAt is the time at which the change was accepted.
	AcceptedAt time.Time `json:"accepted_at"`
}

const (
	classPrefix = "class/"
	quotaPrefix = "quota/"
)

// ClassKey returns the configuration key of a class.
func ClassKey(name string) string { return classPrefix + name }

// QuotaKey returns the configuration key of a team's quota.
func QuotaKey(team string) string { return quotaPrefix + team }

// Holder holds the configuration in force in one process. Its sequence never decreases.
// It is safe for concurrent use.
type Holder struct {
	events    *kqevent.Log
	processID string
	counter   *kqinvariant.Counter

	mu        sync.Mutex
	sequence  uint64
	rows      map[string]Row
	revisions map[string]Revision
	onChange  func(now time.Time, sequence uint64)
}

// HolderConfig holds the settings and dependencies of a Holder.
type HolderConfig struct {
	// Process is the ID of the process in events.
	Process string
	// Events records each sequence that comes into force; may be nil.
	Events *kqevent.Log
	// Counter counts invariant violations; nil counts none.
	Counter *kqinvariant.Counter
	// OnChange is called after each change of the sequence, without locks held; may be nil.
	OnChange func(now time.Time, sequence uint64)
}

// NewHolder returns a Holder with an empty configuration.
func NewHolder(c HolderConfig) *Holder {
	return &Holder{events: c.Events, processID: c.Process, counter: c.Counter, onChange: c.OnChange,
		rows: map[string]Row{}, revisions: map[string]Revision{}}
}

// ApplyRows applies the rows that were accepted after the sequence base, up to sequence.
// They are ignored if the process has not reached base, since rows in between would be
// missing, or if it has already reached sequence.
func (h *Holder) ApplyRows(now time.Time, base, sequence uint64, rows []Row) {
	h.mu.Lock()
	before := h.sequence
	if sequence <= before || before < base {
		h.mu.Unlock()
		return
	}
	for _, r := range rows {
		h.mergeRow(now, r)
	}
	h.sequence = sequence
	h.counter.Check(h.sequence >= before, kqinvariant.SequenceDecreased, "%s: configuration sequence went from %d to %d", h.processID, before, h.sequence)
	h.mu.Unlock()
	h.events.Emit(now, kqevent.ConfigApplied, kqevent.Process(h.processID), "sequence %d is in force after %d", sequence, before)
	if h.onChange != nil {
		h.onChange(now, sequence)
	}
}

func (h *Holder) mergeRow(now time.Time, r Row) {
	if old, ok := h.rows[r.Key]; ok && old.Sequence >= r.Sequence {
		return
	}
	var a Revision
	if err := json.Unmarshal(r.Value, &a); err != nil {
		h.events.Emit(now, kqevent.RowUnreadable, kqevent.Process(h.processID), "configuration %s is left out: %v", r.Key, err)
		return
	}
	h.rows[r.Key], h.revisions[r.Key] = r, a
}

// Sequence returns the configuration sequence in force.
func (h *Holder) Sequence() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sequence
}

// Since returns the sequence in force and the rows that were accepted after the given
// sequence, in order of key.
func (h *Holder) Since(after uint64) (uint64, []Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Row
	for _, r := range h.rows {
		if r.Sequence > after {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return h.sequence, out
}

// Class returns the specification of a class in force.
func (h *Holder) Class(name string) (kqmodel.ClassSpec, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.revisions[ClassKey(name)]
	if !ok || a.Class == nil {
		return kqmodel.ClassSpec{}, false
	}
	return *a.Class, true
}

// Quota returns the quota of a team in force.
func (h *Holder) Quota(team string) (kqmodel.Resources, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.revisions[QuotaKey(team)]
	if !ok || a.Quota == nil {
		return kqmodel.Resources{}, false
	}
	return a.Quota.Resources, true
}

// All returns the classes and quotas in force, in order of key.
func (h *Holder) All() []Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := make([]string, 0, len(h.revisions))
	for k := range h.revisions {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	out := make([]Revision, 0, len(keys))
	for _, k := range keys {
		out = append(out, h.revisions[k])
	}
	return out
}
