package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// interval is the time for which a run was on a worker.
type interval struct {
	task   string
	run    uint64
	worker string
	from   time.Time
	// to is zero while the run is at work.
	to  time.Time
	how string
}

// ledger records what the workers ran.
type ledger struct {
	record *record

	mu   sync.Mutex
	runs []*interval
	// gangs holds the gangs by the name of their step and the number of their run.
	gangs map[string]*gang
}

// gang is one run of a step whose tasks work only together.
type gang struct {
	present int
	// completeAt is when the last member has come; zero before.
	completeAt time.Time
}

// join adds a member to a gang of count members.
func (l *ledger) join(step string, run uint64, count int) *gang {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := fmt.Sprintf("%s#%d", step, run)
	if l.gangs == nil {
		l.gangs = map[string]*gang{}
	}
	g := l.gangs[key]
	if g == nil {
		g = &gang{}
		l.gangs[key] = g
	}
	if g.present++; g.present == count {
		g.completeAt = time.Now()
	}
	return g
}

// workSince returns since when the members of a gang work.
func (l *ledger) workSince(g *gang) (at time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return g.completeAt, !g.completeAt.IsZero()
}

// isComplete reports whether all members of a gang have come.
func (l *ledger) isComplete(g *gang) bool {
	_, ok := l.workSince(g)
	return ok
}

// started records that a worker has begun a run, and returns the function that records its end.
func (l *ledger) started(task string, run uint64, worker string) (end func(how string)) {
	x := &interval{task: task, run: run, worker: worker, from: time.Now()}
	l.mu.Lock()
	l.runs = append(l.runs, x)
	l.mu.Unlock()
	l.record.logf("worker %s: begins run %d of task %s", worker, run, task)
	return func(how string) {
		l.mu.Lock()
		x.to, x.how = time.Now(), how
		l.mu.Unlock()
		l.record.logf("worker %s: run %d of task %s has ended: %s", worker, run, task, how)
	}
}

// ofTask returns the runs of a task in the order of their beginning.
func (l *ledger) ofTask(task string) []interval {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []interval
	for _, x := range l.runs {
		if x.task == task {
			out = append(out, *x)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].from.Before(out[j].from) })
	return out
}

// count returns how many runs of tasks with a prefix have begun, and how many of them have ended as done.
func (l *ledger) count(prefix string) (begun, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range l.runs {
		if len(x.task) >= len(prefix) && x.task[:len(prefix)] == prefix {
			begun++
			if x.how == "done" {
				done++
			}
		}
	}
	return begun, done
}

// inProgress returns the number of runs that are at work.
func (l *ledger) inProgress() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, x := range l.runs {
		if x.to.IsZero() {
			n++
		}
	}
	return n
}

// overlap returns two runs of a task that were at work at the same time on different workers, and for how long.
func (l *ledger) overlap(task string, now time.Time) (a, b interval, d time.Duration) {
	runs := l.ofTask(task)
	for i := range runs {
		for j := i + 1; j < len(runs); j++ {
			until := runs[i].to
			if until.IsZero() {
				until = now
			}
			if other := runs[j].to; !other.IsZero() && other.Before(until) {
				until = other
			}
			if both := until.Sub(runs[j].from); both > d {
				a, b, d = runs[i], runs[j], both
			}
		}
	}
	return a, b, d
}
