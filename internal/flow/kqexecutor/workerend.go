package kqexecutor

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
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

// recordLeave keeps that an incarnation has left for the owner; mu is held.
func (x *Executor) recordLeave(now time.Time, worker kqexecution.Incarnation) {
	x.addWorkerEnd(workerEnd{kqplan.WorkerEnd{Worker: worker}, now})
	x.markDeparted(worker)
}

// markDeparted records that an incarnation whose end is kept has left for good; mu is held.
func (x *Executor) markDeparted(worker kqexecution.Incarnation) {
	for i := range x.workerEnds {
		if e := &x.workerEnds[i].end; e.Worker == worker {
			e.Departed = true
		}
	}
}

// recordEnd keeps the end of the current incarnation, which has not left, for the owner. It has crashed
// unless it was draining. Nothing is recorded if this process cannot list the runs, because it has
// restarted: the owner then infers the end. mu is held.
func (x *Executor) recordEnd(now time.Time) {
	since := x.calls.failingSince
	if since.IsZero() {
		since = now
	}
	switch {
	case x.info.Worker == "":
	case x.info.Draining:
		x.addWorkerEnd(workerEnd{kqplan.WorkerEnd{Worker: x.info.Worker}, since})
	case x.knowsRuns:
		x.addWorkerEnd(workerEnd{kqplan.WorkerEnd{Worker: x.info.Worker, Crashed: true, Runs: x.startedRuns(since)}, since})
	}
}

// addWorkerEnd keeps the first end of an incarnation; mu is held.
func (x *Executor) addWorkerEnd(e workerEnd) {
	if slices.ContainsFunc(x.workerEnds, func(o workerEnd) bool { return o.end.Worker == e.end.Worker }) {
		return
	}
	if len(x.workerEnds) >= maxWorkerEnds {
		x.workerEnds = x.workerEnds[1:]
	}
	x.workerEnds = append(x.workerEnds, e)
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
