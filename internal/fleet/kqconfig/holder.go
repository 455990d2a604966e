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

// Row is one row of the configuration as processes pass it on.
type Row struct {
	// Key is class/NAME or quota/TEAM.
	Key string
	// Sequence is the configuration sequence that accepted the row.
	Sequence uint64
	// Value is the JSON form of an Accepted.
	Value []byte
}

// Accepted is the stored form of a class or quota.
type Revision struct {
	// Class is set for a class.
	Class *kqmodel.ClassSpec `json:"class,omitempty"`
	// Quota is set for a quota.
	Quota *kqmodel.Quota `json:"quota,omitempty"`
	// Version counts the changes of this key from 1.
	Version uint64 `json:"version"`
	// Sequence is the configuration sequence that accepted this version.
	Sequence uint64 `json:"sequence"`
	// Author is the operator who made the change.
	Author string `json:"author"`
	// AcceptedAt is when the change was accepted.
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

// Holder is the configuration in force in one process. Its sequence never goes
// back.
type Holder struct {
	events  *kqevent.Log
	process string
	counter *kqinvariant.Counter

	mu       sync.Mutex
	sequence uint64
	rows     map[string]Row
	accepted map[string]Revision
	changed  func(now time.Time, sequence uint64)
}

// HolderConfig sets up a Holder.
type HolderConfig struct {
	// Process names the process in events.
	Process string
	// Events remembers what came into force; may be nil.
	Events *kqevent.Log
	// Counter receives breaches; nil counts none.
	Counter *kqinvariant.Counter
	// Changed is told of each new sequence; may be nil.
	OnChange func(now time.Time, sequence uint64)
}

// NewHolder returns a Holder with no configuration.
func NewHolder(c HolderConfig) *Holder {
	return &Holder{events: c.Events, process: c.Process, counter: c.Counter, changed: c.OnChange,
		rows: map[string]Row{}, accepted: map[string]Revision{}}
}

// Offer takes over rows that bring the configuration from the sequence base to
// another. They are left aside where the process has not reached base, since
// rows would be missing, or is at the sequence already.
func (h *Holder) ApplyRows(now time.Time, base, sequence uint64, rows []Row) {
	h.mu.Lock()
	before := h.sequence
	if sequence <= before || before < base {
		h.mu.Unlock()
		return
	}
	for _, r := range rows {
		h.merge(r)
	}
	h.sequence = sequence
	h.counter.Check(h.sequence >= before, kqinvariant.SequenceWentBack, "%s: from %d to %d", h.process, before, h.sequence)
	h.mu.Unlock()
	h.events.Emit(now, kqevent.ConfigInForce, kqevent.Process(h.process), "sequence %d after %d", sequence, before)
	if h.changed != nil {
		h.changed(now, sequence)
	}
}

func (h *Holder) merge(r Row) {
	if old, ok := h.rows[r.Key]; ok && old.Sequence >= r.Sequence {
		return
	}
	var a Revision
	if json.Unmarshal(r.Value, &a) != nil {
		return
	}
	h.rows[r.Key], h.accepted[r.Key] = r, a
}

// Sequence returns the sequence in force.
func (h *Holder) Sequence() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sequence
}

// Since returns the sequence and the rows accepted after another sequence.
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

// Class returns the targets of a class.
func (h *Holder) Class(name string) (kqmodel.ClassSpec, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.accepted[ClassKey(name)]
	if !ok || a.Class == nil {
		return kqmodel.ClassSpec{}, false
	}
	return *a.Class, true
}

// Quota returns the quota of a team.
func (h *Holder) Quota(team string) (kqmodel.Resources, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.accepted[QuotaKey(team)]
	if !ok || a.Quota == nil {
		return kqmodel.Resources{}, false
	}
	return a.Quota.Resources, true
}

// All returns everything in force in order of key.
func (h *Holder) All() []Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := make([]string, 0, len(h.accepted))
	for k := range h.accepted {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	out := make([]Revision, 0, len(keys))
	for _, k := range keys {
		out = append(out, h.accepted[k])
	}
	return out
}
