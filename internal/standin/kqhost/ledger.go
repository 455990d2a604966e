// Package kqhost is the stand-in of a worker's task runtime. It keeps its own
// record of what really ran, apart from what the system believes.
package kqhost

import (
	"sync"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
)

// Tally is what really ran on all hosts that share a Ledger.
type Totals struct {
	// Starts is attempts started or resumed from a checkpoint.
	Starts uint64
	// Finished is tasks that ended well.
	Finished uint64
	// RunTwice is tasks that ran in two places at one time, or were started
	// after an end that had been acknowledged.
	RunTwice uint64
	// CapacityExceeded is starts that went over a host's capacity.
	CapacityExceeded uint64
	// LostProgress is the work, in seconds at full speed, that was done and
	// has to be done again.
	LostProgress float64
	// DoneProgress is the work done, in seconds at full speed.
	DoneProgress float64
	// EndsLost is ends that were lost with their host before they were
	// acknowledged; such a task runs again.
	EndsLost uint64
}

// Ledger is the record shared by all hosts of a trial.
type Ledger struct {
	// Started is told of each start; may be nil.
	OnStart func(host string, o kqruntime.Order)

	mu       sync.Mutex
	tally    Totals
	running  map[kqmodel.TaskID]map[string]kqmodel.AttemptID
	finished map[kqmodel.TaskID]bool
	acked    map[kqmodel.TaskID]bool
	progress map[kqmodel.TaskID]float64
}

// NewLedger returns an empty record.
func NewLedger() *Ledger {
	return &Ledger{running: map[kqmodel.TaskID]map[string]kqmodel.AttemptID{},
		finished: map[kqmodel.TaskID]bool{}, acked: map[kqmodel.TaskID]bool{}, progress: map[kqmodel.TaskID]float64{}}
}

// Tally returns what was recorded so far.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally
}

// Finished reports whether the task ended well.
func (l *Ledger) Finished(t kqmodel.TaskID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished[t]
}

func (l *Ledger) started(host string, o kqruntime.Order, from float64) {
	id, watcher := o.ID, o.Watcher
	if l.OnStart != nil {
		l.OnStart(host, o)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.Starts++
	switch {
	case l.acked[id.Task]:
		l.tally.RunTwice++
	case l.finished[id.Task]:
		l.tally.EndsLost++
	}
	if done := l.progress[id.Task]; done > from && !watcher {
		l.tally.LostProgress += done - from
	}
	places := l.running[id.Task]
	if places == nil {
		places = map[string]kqmodel.AttemptID{}
		l.running[id.Task] = places
	}
	_, here := places[host]
	if len(places) > 0 && !here && !watcher {
		l.tally.RunTwice++
	}
	places[host] = id
}

func (l *Ledger) ended(host string, id kqmodel.AttemptID, progress, worked float64, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.DoneProgress += worked
	l.progress[id.Task] = progress
	delete(l.running[id.Task], host)
	if !finished {
		return
	}
	if !l.finished[id.Task] {
		l.finished[id.Task] = true
		l.tally.Finished++
	}
}

// acknowledged notes that the owner has recorded the end of a task. Until then
// the output of an attempt is staged, and only the attempt that the owner
// recorded counts.
func (l *Ledger) acknowledged(t kqmodel.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked[t] = true
}

func (l *Ledger) overCapacity() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.CapacityExceeded++
}
