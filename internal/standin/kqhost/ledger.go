// Package kqhost is a stand-in for a worker's task runtime. Its ledger records what really
// ran on the hosts, independently of the scheduler's state.
package kqhost

import (
	"sync"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
)

// Totals counts what ran on all hosts that share a Ledger.
type Totals struct {
	// Starts is the number of attempts started, with or without a checkpoint.
	Starts uint64
	// Finished is the number of tasks that finished.
	Finished uint64
	// RunTwice is the number of starts of a task that was running on another host or whose
	// end had been acknowledged.
	RunTwice uint64
	// CapacityExceeded is the number of starts that exceeded a host's capacity.
	CapacityExceeded uint64
	// LostProgress is the work, in seconds at full speed, that has to be repeated because
	// a later attempt started from less progress.
	LostProgress float64
	// DoneProgress is the work done, in seconds at full speed, including work that had to be
	// repeated.
	DoneProgress float64
	// EndsLost is the number of starts of a finished task whose end was lost with its host
	// before it was acknowledged, so that the task runs again.
	EndsLost uint64
}

// Ledger records the starts and ends of attempts; all hosts of a trial share one.
type Ledger struct {
	// OnStart is called for each start; may be nil.
	OnStart func(host string, o kqruntime.Order)

	mu                sync.Mutex
	totals            Totals
	running           map[kqmodel.TaskID]map[string]kqmodel.AttemptID // by host
	finished          map[kqmodel.TaskID]bool
	acknowledgedTasks map[kqmodel.TaskID]bool
	progress          map[kqmodel.TaskID]float64 // at the end of the latest attempt
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{running: map[kqmodel.TaskID]map[string]kqmodel.AttemptID{},
		finished: map[kqmodel.TaskID]bool{}, acknowledgedTasks: map[kqmodel.TaskID]bool{}, progress: map[kqmodel.TaskID]float64{}}
}

// Totals returns the totals so far.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// Finished reports whether an attempt of the task has finished.
func (l *Ledger) Finished(t kqmodel.TaskID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished[t]
}

// started records the start of an attempt with its progress from a checkpoint. Watchers are
// exempt from the checks for lost progress and concurrent attempts.
func (l *Ledger) started(host string, o kqruntime.Order, initialProgress float64) {
	id, watcher := o.ID, o.Watcher
	if l.OnStart != nil {
		l.OnStart(host, o)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Starts++
	switch {
	case l.acknowledgedTasks[id.Task]:
		l.totals.RunTwice++
	case l.finished[id.Task]:
		l.totals.EndsLost++
	}
	if done := l.progress[id.Task]; done > initialProgress && !watcher {
		l.totals.LostProgress += done - initialProgress
	}
	runByHost := l.running[id.Task]
	if runByHost == nil {
		runByHost = map[string]kqmodel.AttemptID{}
		l.running[id.Task] = runByHost
	}
	_, onSameHost := runByHost[host]
	if len(runByHost) > 0 && !onSameHost && !watcher {
		l.totals.RunTwice++
	}
	runByHost[host] = id
}

// ended records the end of an attempt, its progress and the part of it that this attempt
// did.
func (l *Ledger) ended(host string, id kqmodel.AttemptID, progress, workDone float64, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.DoneProgress += workDone
	l.progress[id.Task] = progress
	delete(l.running[id.Task], host)
	if !finished {
		return
	}
	if !l.finished[id.Task] {
		l.finished[id.Task] = true
		l.totals.Finished++
	}
}

// acknowledged records that the owner has recorded the end of a task. Until then the output
// of an attempt is only staged and the task may run again: only the attempt that the owner
// recorded counts.
func (l *Ledger) acknowledged(t kqmodel.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledgedTasks[t] = true
}

// overCapacity counts a start that exceeded the capacity of its host.
func (l *Ledger) overCapacity() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.CapacityExceeded++
}
