package kqtaskhost

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// Rules holds the properties of a task that a Ledger checks its runs against.
type Rules struct {
	// After lists the tasks that must have completed before the task starts.
	After []string
	// MaxAttempts is the number of failed runs after which the task may not start again.
	MaxAttempts int
	// Speculative allows more than one run of the task at the same time.
	Speculative bool
}

// Ledger records the starts and ends of runs on all workers that share it, and collects
// breaches of the scheduler's guarantees.
type Ledger struct {
	mu                   sync.Mutex
	rules                func(task string) Rules
	running              map[string]map[string]bool // by task: keys of its runs, see runKey
	succeeded            map[string]bool            // by task
	acknowledgedDone     map[string]bool            // by task
	acknowledgedFailures map[string]int             // by task
	startsForbidden      map[string]bool            // by job
	crashesBy            map[string]int             // by task that crashed its worker
	startsAfterCrashes   map[string]int             // by task, after maxCrashes crashes
	crashTimes           []time.Time                // of all workers
	breaches             []string
	starts               int
}

// NewLedger returns an empty Ledger. The function rules returns the rules of a task.
func NewLedger(rules func(task string) Rules) *Ledger {
	return &Ledger{rules: rules, running: map[string]map[string]bool{}, succeeded: map[string]bool{}, acknowledgedDone: map[string]bool{},
		acknowledgedFailures: map[string]int{}, startsForbidden: map[string]bool{}, crashesBy: map[string]int{}, startsAfterCrashes: map[string]int{}}
}

// Breaches returns a description of each breach so far.
func (l *Ledger) Breaches() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.breaches...)
}

// StartCount returns the number of runs that were started.
func (l *Ledger) StartCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// ForbidStarts makes every later start of a task of the job a breach; it is called when the
// job has been cancelled.
func (l *Ledger) ForbidStarts(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startsForbidden[job] = true
}

// RunningCount returns the number of running runs of a job.
func (l *Ledger) RunningCount(job string) int { return len(l.Workers(job)) }

// Workers returns the worker of each running run of a job's tasks.
func (l *Ledger) Workers(job string) (out []kqexecution.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, runs := range l.running {
		if jobOf(task) != job {
			continue
		}
		for k := range runs {
			_, worker, _ := strings.Cut(k, "@")
			out = append(out, kqexecution.Incarnation(worker))
		}
	}
	return out
}

// Running returns the worker of each running run by task.
func (l *Ledger) Running() map[string][]kqexecution.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string][]kqexecution.Incarnation, len(l.running))
	for task, runs := range l.running {
		for k := range runs {
			_, worker, _ := strings.Cut(k, "@")
			out[task] = append(out[task], kqexecution.Incarnation(worker))
		}
	}
	return out
}

// Done reports whether a task has completed on a worker.
func (l *Ledger) Done(task string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.succeeded[task]
}

// jobOf returns the job of a task: its name up to the first dot.
func jobOf(task string) string {
	for i := range task {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}

func (l *Ledger) addBreach(format string, args ...any) {
	l.breaches = append(l.breaches, fmt.Sprintf(format, args...))
}

// runKey returns NUMBER@WORKER, the name of a run of a task on a worker.
func runKey(r kqexecution.Run, worker kqexecution.Incarnation) string {
	return fmt.Sprintf("%d@%s", r.Number, worker)
}

// started records and checks a start. With sentToEarlier, the order was sent to an earlier
// incarnation of the worker, which never answered it. The owner cannot stop such a run before
// it knows the later incarnation, so the run may exceed the capacity and may start after the
// task has ended or used up its attempts, but never while another run of the task is running.
func (l *Ledger) started(r kqexecution.Run, worker kqexecution.Incarnation, fits, sentToEarlier bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	rules := l.rules(r.Task)
	if !fits && !sentToEarlier {
		l.addBreach("capacity exceeded: %s on %s", r.Task, worker)
	}
	if l.running[r.Task] == nil {
		l.running[r.Task] = map[string]bool{}
	}
	l.running[r.Task][runKey(r, worker)] = true
	if len(l.running[r.Task]) > 1 && !rules.Speculative {
		l.addBreach("concurrent runs: %s at %v", r.Task, l.running[r.Task])
	}
	if l.acknowledgedDone[r.Task] && !sentToEarlier {
		l.addBreach("started after its end was acknowledged: %s run %d on %s", r.Task, r.Number, worker)
	}
	if l.acknowledgedFailures[r.Task] >= rules.MaxAttempts && !sentToEarlier {
		l.addBreach("started with no attempt left: %s run %d", r.Task, r.Number)
	}
	for _, a := range rules.After {
		if !l.succeeded[a] {
			l.addBreach("dependency order: %s started before %s completed", r.Task, a)
		}
	}
	if l.crashesBy[r.Task] >= maxCrashes {
		l.startsAfterCrashes[r.Task]++
		if n := l.startsAfterCrashes[r.Task]; n >= maxStartsAfterCrashes {
			l.addBreach("started %d times more after %d crashes: %s run %d", n, maxCrashes, r.Task, r.Number)
		}
	}
	if l.startsForbidden[jobOf(r.Task)] {
		l.addBreach("started after its job was cancelled: %s", r.Task)
	}
}

// A task that crashes its workers must not start maxStartsAfterCrashes times more after it has crashed
// maxCrashes of them.
const (
	maxCrashes            = 3
	maxStartsAfterCrashes = 3
)

// crashedBy records that a task has crashed its worker.
func (l *Ledger) crashedBy(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashesBy[task]++
}

// workerCrashed records the crash of a worker.
func (l *Ledger) workerCrashed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashTimes = append(l.crashTimes, time.Now())
}

// CrashTimes returns when a worker crashed, for each crash.
func (l *Ledger) CrashTimes() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.crashTimes)
}

// ended records the end of a run on its worker.
func (l *Ledger) ended(r kqexecution.Run, worker kqexecution.Incarnation, reason kqexecution.EndReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[r.Task], runKey(r, worker))
	if reason == kqexecution.EndDone {
		l.succeeded[r.Task] = true
	}
}

// workerReplaced records that a run was lost because its worker was replaced.
func (l *Ledger) workerReplaced(r kqexecution.Run, worker kqexecution.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[r.Task], runKey(r, worker))
}

// acknowledged records that the owner has acknowledged the end of a run.
func (l *Ledger) acknowledged(e kqexecution.RunEnd, _ kqexecution.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e.Reason {
	case kqexecution.EndDone:
		l.acknowledgedDone[e.Run.Task] = true
	case kqexecution.EndFailed:
		l.acknowledgedFailures[e.Run.Task]++
	}
}
