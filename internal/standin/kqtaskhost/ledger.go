package kqtaskhost

import (
	"fmt"
	"strings"
	"sync"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// Rules are what a Ledger has to know of a task.
type Rules struct {
	// After lists the tasks that must have ended well before a start.
	After []string
	// Attempts is how many runs may fail.
	MaxAttempts int
	// Speculative is true if two runs may be at work.
	Speculative bool
}

// Ledger checks what workers really run against what must hold.
type Ledger struct {
	mu       sync.Mutex
	rules    func(task string) Rules
	at       map[string]map[string]bool
	doneAt   map[string]bool
	noteDone map[string]bool
	failures map[string]int
	forbid   map[string]bool
	breaches []string
	starts   int
}

// NewLedger returns an empty Ledger.
func NewLedger(rules func(task string) Rules) *Ledger {
	return &Ledger{rules: rules, at: map[string]map[string]bool{}, doneAt: map[string]bool{}, noteDone: map[string]bool{},
		failures: map[string]int{}, forbid: map[string]bool{}}
}

// Breaches returns what was broken.
func (l *Ledger) Breaches() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.breaches...)
}

// Starts returns how many runs were begun.
func (l *Ledger) StartCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// Forbid says that no task of a job may start any more.
func (l *Ledger) ForbidStarts(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forbid[job] = true
}

// AtWork returns the runs of a job that are at work.
func (l *Ledger) RunningCount(job string) int { return len(l.Workers(job)) }

// Workers returns the worker of each run of a job's tasks.
func (l *Ledger) Workers(job string) (out []kqexecution.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, where := range l.at {
		if jobOf(task) != job {
			continue
		}
		for k := range where {
			_, worker, _ := strings.Cut(k, "@")
			out = append(out, kqexecution.Incarnation(worker))
		}
	}
	return out
}

// Done reports whether a task has ended well.
func (l *Ledger) Done(task string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doneAt[task]
}

func jobOf(task string) string {
	for i := range task {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}

func (l *Ledger) breach(format string, args ...any) {
	l.breaches = append(l.breaches, fmt.Sprintf(format, args...))
}

func key(r kqexecution.Run, worker kqexecution.Incarnation) string {
	return fmt.Sprintf("%d@%s", r.Number, worker)
}

// started checks a start. A revived one was left unanswered by an earlier
// incarnation of the worker: nobody can stop it before the later incarnation is
// known, so it may begin after the task has ended and without room, but never beside
// another run of the task.
func (l *Ledger) started(r kqexecution.Run, worker kqexecution.Incarnation, fits, revived bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	rules := l.rules(r.Task)
	if !fits && !revived {
		l.breach("capacity: %s on %s", r.Task, worker)
	}
	if l.at[r.Task] == nil {
		l.at[r.Task] = map[string]bool{}
	}
	l.at[r.Task][key(r, worker)] = true
	if len(l.at[r.Task]) > 1 && !rules.Speculative {
		l.breach("two places: %s at %v", r.Task, l.at[r.Task])
	}
	if l.noteDone[r.Task] && !revived {
		l.breach("started after its end was noted: %s run %d on %s", r.Task, r.Number, worker)
	}
	if l.failures[r.Task] >= rules.MaxAttempts && !revived {
		l.breach("no attempt left: %s run %d", r.Task, r.Number)
	}
	for _, a := range rules.After {
		if !l.doneAt[a] {
			l.breach("order: %s before %s", r.Task, a)
		}
	}
	if l.forbid[jobOf(r.Task)] {
		l.breach("started after its job was cancelled: %s", r.Task)
	}
}

func (l *Ledger) ended(r kqexecution.Run, worker kqexecution.Incarnation, how kqexecution.EndReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.at[r.Task], key(r, worker))
	if how == kqexecution.EndDone {
		l.doneAt[r.Task] = true
	}
}

func (l *Ledger) left(r kqexecution.Run, worker kqexecution.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.at[r.Task], key(r, worker))
}

func (l *Ledger) noted(e kqexecution.RunEnd, _ kqexecution.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e.Reason {
	case kqexecution.EndDone:
		l.noteDone[e.Run.Task] = true
	case kqexecution.EndFailed:
		l.failures[e.Run.Task]++
	}
}
