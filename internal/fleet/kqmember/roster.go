package kqmember

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// Process is the latest announcement of an agent or an entry.
type Process struct {
	// ID is the name of the worker or the entry.
	ID string `json:"id"`
	// IsEntry is true for an entry, false for an agent.
	IsEntry bool `json:"entry,omitempty"`
	// Boot identifies the process; it changes with each start.
	Boot string `json:"boot"`
	// Address is the address that the process listens on.
	Address netip.AddrPort `json:"address"`
	// Zone is the availability zone of the process.
	Zone string `json:"zone"`
	// Rack is the rack within the availability zone.
	Rack string `json:"rack,omitempty"`
	// Draining is true if the process is shutting down.
	Draining bool `json:"draining"`
	// Capacity is the amount of resources that the host has for tasks.
	Capacity kqmodel.Resources `json:"capacity"`
	// Reserved is the amount of resources that the tasks on the host hold.
	Reserved kqmodel.Resources `json:"reserved"`
	// Tasks is the number of tasks on the host.
	Tasks int `json:"tasks"`
	// ConfigSequence is the configuration sequence in force in the process.
	ConfigSequence uint64 `json:"config_sequence"`
	// Cell is the cell of the worker.
	Cell string `json:"cell,omitempty"`
	// Owner is the owner of the cell as the worker knows it.
	Owner string `json:"owner,omitempty"`
	// OwnerEpoch is the epoch of the ownership of Owner.
	OwnerEpoch uint64 `json:"owner_epoch,omitempty"`
	// LastAnnouncedAt is the time at which the announcement was received.
	LastAnnouncedAt time.Time `json:"heard_at"`
}

// livenessTimeout is the age of the last announcement beyond which a process no longer
// counts as live.
const livenessTimeout = 3 * time.Second

// removeTimeout is the age of the last announcement beyond which a process is removed.
const removeTimeout = 10 * time.Minute

// Propagation records how long a configuration sequence took to reach all live processes.
type Propagation struct {
	// Sequence is the configuration sequence.
	Sequence uint64 `json:"config_sequence"`
	// AcceptedAt is the time at which the sequence was accepted.
	AcceptedAt time.Time `json:"accepted_at"`
	// Seconds is the time from AcceptedAt until every live process had the sequence;
	// negative while some do not have it yet.
	Seconds float64 `json:"seconds"`
}

// maxPropagations is the number of latest sequences that are kept.
const maxPropagations = 32

// Roster holds the latest announcement of each process that has announced itself to an
// entry. It is safe for concurrent use.
type Roster struct {
	mu                    sync.Mutex
	processes             map[string]Process
	propagations          []Propagation
	maxPropagationSeconds float64
}

// NewRoster returns an empty Roster.
func NewRoster() *Roster { return &Roster{processes: map[string]Process{}} }

// Update records an announcement that was received at now.
func (r *Roster) Update(now time.Time, p Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.LastAnnouncedAt = now
	r.processes[p.ID] = p
	r.updatePropagations(now)
}

// TrackPropagation starts to track how long a sequence that was accepted at acceptedAt takes
// to reach all live processes. A sequence that is tracked already is ignored.
func (r *Roster) TrackPropagation(now time.Time, sequence uint64, acceptedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.propagations {
		if p.Sequence == sequence {
			return
		}
	}
	r.propagations = append(r.propagations, Propagation{Sequence: sequence, AcceptedAt: acceptedAt, Seconds: -1})
	if len(r.propagations) > maxPropagations {
		r.propagations = r.propagations[1:]
	}
	r.updatePropagations(now)
}

// updatePropagations removes processes past removeTimeout, and sets the propagation time
// of the sequences that every live process has reached. The caller holds mu.
func (r *Roster) updatePropagations(now time.Time) {
	lowestSequence, anyLive := uint64(0), false
	for id, p := range r.processes {
		if now.Sub(p.LastAnnouncedAt) > removeTimeout {
			delete(r.processes, id)
			continue
		}
		if now.Sub(p.LastAnnouncedAt) <= livenessTimeout && (!anyLive || p.ConfigSequence < lowestSequence) {
			lowestSequence, anyLive = p.ConfigSequence, true
		}
	}
	for i, f := range r.propagations {
		if f.Seconds < 0 && anyLive && lowestSequence >= f.Sequence {
			r.propagations[i].Seconds = now.Sub(f.AcceptedAt).Seconds()
			r.maxPropagationSeconds = max(r.maxPropagationSeconds, r.propagations[i].Seconds)
		}
	}
}

// Live returns the live processes in order of ID.
func (r *Roster) Live(now time.Time) []Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Process
	for _, p := range r.processes {
		if now.Sub(p.LastAnnouncedAt) <= livenessTimeout {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Process) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Process returns the latest announcement of a process.
func (r *Roster) Process(id string) (Process, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.processes[id]
	return p, ok
}

// Propagations returns the propagation of the latest sequences, and the longest
// propagation time of all sequences in seconds.
func (r *Roster) Propagations() (latest []Propagation, maxSeconds float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.propagations), r.maxPropagationSeconds
}

// OwnedCells returns the cells whose owner is live, in order of name. Of several owners
// announced for a cell, the one with the highest epoch counts.
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

// MaxCapacity returns for each resource the largest capacity of any live worker; ok is
// false while no capacity is known.
func (r *Roster) MaxCapacity(now time.Time) (capacity kqmodel.Resources, ok bool) {
	for _, p := range r.Live(now) {
		if p.IsEntry || p.Capacity.IsZero() {
			continue
		}
		ok = true
		capacity.MilliProcessors = max(capacity.MilliProcessors, p.Capacity.MilliProcessors)
		capacity.MemoryBytes = max(capacity.MemoryBytes, p.Capacity.MemoryBytes)
		capacity.Accelerators = max(capacity.Accelerators, p.Capacity.Accelerators)
	}
	return capacity, ok
}
