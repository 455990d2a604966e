package kqexecutor

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// pollLoop polls the worker: it renews the lease and waits for runs to end.
func (x *Executor) pollLoop() {
	for x.tomb.Alive() {
		h, worker, incarnation, wait := x.nextPoll()
		if incarnation == "" {
			x.pause(pollWait)
			continue
		}
		if wait > 0 {
			x.pause(wait)
			h, worker, incarnation, _ = x.nextPoll()
			if incarnation == "" {
				continue
			}
		}
		ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), h.Wait+pollSlack)
		held, err := worker.Hold(ctx, h)
		timedOut := ctx.Err() != nil
		cancel()
		if !x.handlePoll(incarnation, held, err, timedOut) {
			x.pause(pollRetryDelay)
		}
	}
}

// pause waits for d, or less if wake is called or the executor stops.
func (x *Executor) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-x.wakeup:
	case <-x.tomb.Dying():
	}
}

// nextPoll returns the next poll, the worker and incarnation that it is for, and how long to
// wait first for the owner to acknowledge ends.
func (x *Executor) nextPoll() (h kqexecution.Hold, w kqexecution.Worker, incarnation kqexecution.Incarnation, wait time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.polls++
	x.pollBeganAt = x.config.Now()
	h = kqexecution.Hold{Token: x.epoch, Acknowledged: x.ackNumber(), Wait: pollWait}
	if x.colocated {
		h.Wait = colocatedPollWait
	}
	if x.leaseEnd > x.workerClock && !x.mayHaveRestarted() {
		h.LeaseUntil = x.leaseEnd
	}
	if len(x.ends) > 0 {
		h.Wait, wait = 0, ackWait
	}
	if !x.polled || x.mayHaveRestarted() {
		h.Wait, wait = 0, 0
	}
	return h, x.worker, x.info.Worker, wait
}

// handlePoll applies the result of a poll of an incarnation; timedOut is true if its time limit had
// passed. It returns false if the next poll must be delayed.
func (x *Executor) handlePoll(incarnation kqexecution.Incarnation, h kqexecution.Held, err error, timedOut bool) bool {
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.info.Worker != incarnation {
		return true
	}
	switch {
	case errors.Is(err, kqexecution.ErrBirth):
		x.pollUnanswered = true
		x.calls.recordFailure(now, x.pollBeganAt, false)
		x.logInvalidBirth(now, incarnation, sourceList)
		x.handleNoAnswer(now)
		return false
	case err != nil:
		x.pollUnanswered = true
		x.calls.recordFailure(now, x.pollBeganAt, timedOut)
		x.refusedPolls++
		if timedOut {
			x.refusedPolls = 0
		}
		x.handleNoAnswer(now)
		return false
	case h.Answer == kqexecution.AnswerOtherIncarnation:
		x.removeWorker(now, incarnation)
		return false
	case h.Answer != kqexecution.AnswerDone:
		// A refused poll renews no lease.
		x.handleNoAnswer(now)
		return false
	}
	if !x.isListCurrent(now, incarnation, h.Born) {
		return false
	}
	x.answeredAt = now
	x.calls.recordPoll(now)
	x.refusedPolls = 0
	x.readClock(now, h.Clock)
	if x.info.Unresponsive {
		w := x.info
		w.Unresponsive = false
		x.info.Unresponsive = false
		if x.registered {
			x.send(kqmessage.ToOwner{Worker: &w})
		}
	}
	x.applyPoll(now, x.checkList(now, h))
	return true
}

// handleNoAnswer reports the worker to the owner as unresponsive once it has not carried out a poll
// for unresponsiveAfter, or has refused maxRefusedPolls; mu is held.
func (x *Executor) handleNoAnswer(now time.Time) {
	if x.info.Unresponsive || now.Sub(x.answeredAt) < unresponsiveAfter && x.refusedPolls < maxRefusedPolls {
		return
	}
	x.info.Unresponsive = true
	w := x.info
	if since := x.calls.failingSince; !since.IsZero() {
		w.SilentFor = now.Sub(since)
	}
	if x.registered {
		x.send(kqmessage.ToOwner{Worker: &w})
	}
	x.config.Events.Emit(now, kqevent.OrderUnanswered, kqevent.Worker(string(x.info.Worker)), "worker has not answered for %s", now.Sub(x.answeredAt).Round(time.Millisecond))
}

// applyPoll applies the runs and ends that the worker lists and reports them to the owner; mu
// is held.
func (x *Executor) applyPoll(now time.Time, h kqexecution.Held) {
	first := !x.polled
	x.polled, x.pollUnanswered = true, false
	x.ackPending = slices.ContainsFunc(h.Ended, func(e kqexecution.RunEnd) bool { return e.Number > 0 && e.Number <= x.acked })
	x.listed = make(map[kqexecution.Run]bool, len(h.Running))
	for _, r := range h.Running {
		x.listed[r.Run] = true
		if e := x.runs[r.Run]; e != nil {
			e.markStarted(now)
		}
	}
	newEnds := x.recordEnds(now, h.Ended)
	newEnds = append(newEnds, x.takeVanished(h)...)
	if !h.LacksRuns {
		newEnds = append(newEnds, x.takeUnstarted()...)
	}
	headrooms := x.updatePaces(now, h.Running)
	x.samplePaces(now, h.Running, headrooms)
	if x.send == nil {
		return
	}
	if first || !x.registered {
		x.register(now, h)
		return
	}
	x.unreported = append(x.unreported, newEnds...)
	if x.isOwnerBehind(now) {
		return
	}
	if now.Sub(x.reportedAt) < reportInterval {
		x.reportEnds()
		return
	}
	x.reportedAt = now
	r := kqplan.Report{Worker: x.info.Worker, Complete: !h.LacksRuns, Running: h.Running, Ended: x.unreported}
	r.Paces, r.Slowed = x.paces()
	x.unreported = nil
	m := kqmessage.ToOwner{Report: &r}
	if !x.awaitsGrant(now) {
		m.LeaseRequest = x.newLeaseRequest(now, x.clockLowerBound(now))
	}
	x.send(m)
}

// reportEnds reports the ends that were not reported yet; mu is held.
func (x *Executor) reportEnds() {
	if len(x.unreported) == 0 {
		return
	}
	x.send(kqmessage.ToOwner{Report: &kqplan.Report{Worker: x.info.Worker, Ended: x.unreported}})
	x.unreported = nil
}

// markStarted records when the run was first known to be on the worker.
func (e *execution) markStarted(now time.Time) {
	if e.startedAt.IsZero() {
		e.startedAt = now
	}
}

// register sends the owner the worker's description and a complete report, and requests a
// lease; mu is held.
func (x *Executor) register(now time.Time, h kqexecution.Held) {
	x.registered, x.reportedAt, x.unreported = true, now, nil
	w := x.info
	ended := make([]kqexecution.RunEnd, 0, len(x.ends))
	for _, e := range x.ends {
		ended = append(ended, e)
	}
	slices.SortFunc(ended, func(a, b kqexecution.RunEnd) int { return cmp.Compare(a.Number, b.Number) })
	r := kqplan.Report{Worker: w.Worker, Complete: !h.LacksRuns, Running: h.Running, Ended: ended}
	r.Paces, r.Slowed = x.paces()
	x.send(kqmessage.ToOwner{Worker: &w, Report: &r, Registered: true, WorkerEnds: x.workerEndsAt(now)})
	x.send(kqmessage.ToOwner{LeaseRequest: x.newLeaseRequest(now, x.workerClock)})
}

// recordEnds records the listed ends that are not acknowledged, and returns those that were
// not reported yet; mu is held.
func (x *Executor) recordEnds(now time.Time, ended []kqexecution.RunEnd) []kqexecution.RunEnd {
	var newEnds []kqexecution.RunEnd
	for _, e := range ended {
		if e.Number <= x.acked && (e.Number > 0 || x.runs[e.Run] == nil) {
			continue
		}
		if run := x.runs[e.Run]; run != nil && !run.startedAt.IsZero() {
			e.Duration, e.DeliveryTime = now.Sub(run.startedAt), run.startedAt.Sub(run.orderedAt)
		}
		delete(x.runs, e.Run)
		if e.Number == 0 {
			newEnds = append(newEnds, e)
			continue
		}
		x.ends[e.Number] = e
		if e.Number > x.lastEnd {
			x.lastEnd = e.Number
			newEnds = append(newEnds, e)
		}
	}
	return newEnds
}

// takeUnstarted removes and returns the runs that were stopped before they started: the worker
// acknowledged the stop before this poll, and lists neither the run nor its end. mu is held.
func (x *Executor) takeUnstarted() []kqexecution.RunEnd {
	var out []kqexecution.RunEnd
	for k, e := range x.runs {
		if e.stoppedAtPoll == 0 || e.stoppedAtPoll >= x.polls || x.listed[k] {
			continue
		}
		delete(x.runs, k)
		reason := kqexecution.EndAbsent
		if !e.stopping {
			reason = kqexecution.EndRefused
		}
		out = append(out, kqexecution.RunEnd{Run: k, Reason: reason})
	}
	return out
}
