package kqexecutor

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

const (
	// maxWorkerEnds is the number of past incarnations whose ends are kept for an owner that connects
	// later, and workerEndRetention how long they are kept. An owner that has recorded an end ignores it.
	maxWorkerEnds      = 8
	workerEndRetention = 5 * time.Minute
)

// workerEnd is the end of an incarnation of the worker. silentSince is when it stopped answering.
type workerEnd struct {
	end         kqplan.WorkerEnd
	silentSince time.Time
}

// callHealth records whether the current incarnation answers calls of any kind.
type callHealth struct {
	lastAnswerAt time.Time
	// failingSince is when calls began to fail; zero if the latest call was answered.
	failingSince time.Time
}

// recordPoll records an answered poll.
func (c *callHealth) recordPoll(now time.Time) { c.lastAnswerAt, c.failingSince = now, time.Time{} }

// recordAnswer records another answered call. After calls have failed it may be the answer of a later
// incarnation under the same id, which only a poll can tell apart.
func (c *callHealth) recordAnswer(now time.Time) {
	if c.failingSince.IsZero() {
		c.lastAnswerAt = now
	}
}

// recordFailure records a call that began at a time and was not answered. A broken connection shows
// when the worker failed; a call that timed out only shows that it may have failed since the call began.
func (c *callHealth) recordFailure(now, began time.Time, timedOut bool) {
	if !c.failingSince.IsZero() {
		return
	}
	c.failingSince = now
	if timedOut {
		c.failingSince = began
		if c.lastAnswerAt.After(began) {
			c.failingSince = c.lastAnswerAt
		}
	}
}

// recordWorkerEnd keeps the end of the current incarnation and reports it to the owner. An incarnation
// that ends without having left or drained has crashed. mu is held.
func (x *Executor) recordWorkerEnd(now time.Time, left bool) {
	worker := x.info.Worker
	if worker == "" || len(x.workerEnds) > 0 && x.workerEnds[len(x.workerEnds)-1].end.Worker == worker {
		return
	}
	since := x.calls.failingSince
	if since.IsZero() {
		since = now
	}
	e := workerEnd{kqplan.WorkerEnd{Worker: worker, Crashed: !left && !x.info.Draining}, since}
	if e.end.Crashed {
		e.end.Runs = x.startedRuns(since)
	}
	if len(x.workerEnds) >= maxWorkerEnds {
		x.workerEnds = x.workerEnds[1:]
	}
	x.workerEnds = append(x.workerEnds, e)
	if x.registered {
		x.send(kqmessage.ToOwner{WorkerEnds: x.workerEndsAt(now)})
	}
}

// startedRuns lists the runs that the worker may have started before it stopped answering, in the order
// of their tasks' names. mu is held.
func (x *Executor) startedRuns(silentSince time.Time) []kqplan.StartedRun {
	var out []kqplan.StartedRun
	for k, e := range x.runs {
		switch {
		case e.attemptedAt.After(silentSince) || e.attemptedAt.IsZero() && e.startedAt.IsZero():
		case e.startedAt.IsZero():
			out = append(out, kqplan.StartedRun{Run: k})
		default:
			out = append(out, kqplan.StartedRun{Run: k, RunTime: max(0, silentSince.Sub(e.startedAt))})
		}
	}
	slices.SortFunc(out, func(a, b kqplan.StartedRun) int {
		return cmp.Or(strings.Compare(a.Run.Task, b.Run.Task), cmp.Compare(a.Run.Number, b.Run.Number))
	})
	return out
}

// workerEndsAt returns the kept ends as reported at a time; mu is held.
func (x *Executor) workerEndsAt(now time.Time) []kqplan.WorkerEnd {
	x.workerEnds = slices.DeleteFunc(x.workerEnds, func(e workerEnd) bool { return now.Sub(e.silentSince) > workerEndRetention })
	out := make([]kqplan.WorkerEnd, len(x.workerEnds))
	for i, e := range x.workerEnds {
		out[i] = e.end
		out[i].SilentFor = now.Sub(e.silentSince)
	}
	return out
}
