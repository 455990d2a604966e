package kqmember

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// Process is what an entry last heard of an agent or another entry.
type Process struct {
	// ID names the worker or the entry.
	ID string `json:"id"`
	// Entry is true for an entry.
	IsEntry bool `json:"entry,omitempty"`
	// Boot names the process.
	Boot string `json:"boot"`
	// Address is where it listens.
	Address netip.AddrPort `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Rack is the rack within the availability zone.
	Rack string `json:"rack,omitempty"`
	// Draining is true if the process is shutting down.
	Draining bool `json:"draining"`
	// Capacity is what the host has for tasks.
	Capacity kqmodel.Resources `json:"capacity"`
	// Reserved is what the tasks on the host hold.
	Reserved kqmodel.Resources `json:"reserved"`
	// Tasks is how many tasks the host holds.
	Tasks int `json:"tasks"`
	// Sequence is the configuration in force in the process.
	ConfigSequence uint64 `json:"config_sequence"`
	// Cell is the cell of the worker.
	Cell string `json:"cell,omitempty"`
	// Owner is the owner of the cell as the worker knows it.
	Owner string `json:"owner,omitempty"`
	// OwnerEpoch is the epoch of that owner.
	OwnerEpoch uint64 `json:"owner_epoch,omitempty"`
	// HeardAt is when the process was last heard.
	LastAnnouncedAt time.Time `json:"heard_at"`
}

// silentAfter is after how much silence a process is listed as gone.
const silentAfter = 3 * time.Second

// forgottenAfter is after how much silence a process is no longer listed.
const forgottenAfter = 10 * time.Minute

// InForce is how a configuration sequence spread.
type Propagation struct {
	// Sequence is the sequence.
	Sequence uint64 `json:"config_sequence"`
	// AcceptedAt is when it was accepted.
	AcceptedAt time.Time `json:"accepted_at"`
	// Seconds is how long it took until every live process had it; negative
	// while some have not.
	Seconds float64 `json:"seconds"`
}

// keptInForce is how many sequences are remembered.
const keptInForce = 32

// Roster is the processes that one entry has heard.
type Roster struct {
	mu        sync.Mutex
	processes map[string]Process
	inForce   []Propagation
	most      float64
}

// NewRoster returns an empty Roster.
func NewRoster() *Roster { return &Roster{processes: map[string]Process{}} }

// Hear notes an announcement.
func (r *Roster) Update(now time.Time, p Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.LastAnnouncedAt = now
	r.processes[p.ID] = p
	r.settle(now)
}

// Accepted notes that a sequence was accepted at a time.
func (r *Roster) TrackPropagation(now time.Time, sequence uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.inForce {
		if f.Sequence == sequence {
			return
		}
	}
	r.inForce = append(r.inForce, Propagation{Sequence: sequence, AcceptedAt: at, Seconds: -1})
	if len(r.inForce) > keptInForce {
		r.inForce = r.inForce[1:]
	}
	r.settle(now)
}

// settle closes the sequences that every live process has reached.
func (r *Roster) settle(now time.Time) {
	lowest, any := uint64(0), false
	for id, p := range r.processes {
		if now.Sub(p.LastAnnouncedAt) > forgottenAfter {
			delete(r.processes, id)
			continue
		}
		if now.Sub(p.LastAnnouncedAt) <= silentAfter && (!any || p.ConfigSequence < lowest) {
			lowest, any = p.ConfigSequence, true
		}
	}
	for i, f := range r.inForce {
		if f.Seconds < 0 && any && lowest >= f.Sequence {
			r.inForce[i].Seconds = now.Sub(f.AcceptedAt).Seconds()
			r.most = max(r.most, r.inForce[i].Seconds)
		}
	}
}

// Live returns the processes heard of late, in order of name.
func (r *Roster) Live(now time.Time) []Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Process
	for _, p := range r.processes {
		if now.Sub(p.LastAnnouncedAt) <= silentAfter {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Process) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Process returns what was last heard of a process.
func (r *Roster) Process(id string) (Process, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.processes[id]
	return p, ok
}

// Spread returns how the latest sequences spread and the longest time that one
// took.
func (r *Roster) Propagations() (latest []Propagation, most float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.inForce), r.most
}

// OwnedCells returns the cells whose owner was heard of late, in order of name.
func (r *Roster) OwnedCells(now time.Time) []string {
	live := r.Live(now)
	owners := map[string]string{}
	epochs := map[string]uint64{}
	for _, p := range live {
		if p.OwnerEpoch > epochs[p.Cell] {
			owners[p.Cell], epochs[p.Cell] = p.Owner, p.OwnerEpoch
		}
	}
	var out []string
	for cell, owner := range owners {
		if slices.ContainsFunc(live, func(p Process) bool { return p.ID == owner }) {
			out = append(out, cell)
		}
	}
	slices.Sort(out)
	return out
}

// Largest returns the most that any live worker has of each resource; ok is
// false while none is known.
func (r *Roster) MaxCapacity(now time.Time) (most kqmodel.Resources, ok bool) {
	for _, p := range r.Live(now) {
		if p.IsEntry || p.Capacity.IsZero() {
			continue
		}
		ok = true
		most.MilliProcessors = max(most.MilliProcessors, p.Capacity.MilliProcessors)
		most.MemoryBytes = max(most.MemoryBytes, p.Capacity.MemoryBytes)
		most.Accelerators = max(most.Accelerators, p.Capacity.Accelerators)
	}
	return most, ok
}
