package kqexecutor

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// loop renews the lease and waits for ends.
func (x *Executor) loop() {
	for x.tomb.Alive() {
		h, worker, name, wait := x.nextHold()
		if name == "" {
			x.pause(holdWait)
			continue
		}
		if wait > 0 {
			x.pause(wait)
			h, worker, name, _ = x.nextHold()
			if name == "" {
				continue
			}
		}
		ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), h.Wait+holdSlack)
		held, err := worker.Hold(ctx, h)
		cancel()
		if !x.answered(name, held, err) {
			x.pause(holdPause)
		}
	}
}

// pause waits until something changes or a time has passed.
func (x *Executor) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-x.kick:
	case <-x.tomb.Dying():
	}
}

// nextHold returns the next question for the worker and how long to wait for
// the owner to note ends first.
func (x *Executor) nextHold() (h kqexecution.Hold, w kqexecution.Worker, name kqexecution.Incarnation, wait time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.holds++
	h = kqexecution.Hold{Token: x.epoch, Seen: x.seen(), Wait: holdWait}
	if x.watching {
		h.Wait = watchWait
	}
	if x.until > x.clock && !x.isUnsure() {
		h.Until = x.until
	}
	if len(x.ends) > 0 {
		h.Wait, wait = 0, notedWait
	}
	if !x.held || x.isUnsure() {
		h.Wait, wait = 0, 0
	}
	return h, x.worker, x.info.Worker, wait
}

// answered takes over the answer to a hold.
func (x *Executor) answered(name kqexecution.Incarnation, h kqexecution.Held, err error) bool {
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.info.Worker != name {
		return true
	}
	switch {
	case errors.Is(err, kqexecution.ErrBirth):
		x.unsure = true
		x.refuseBirth(now, name, sourceList)
		x.unanswered(now)
		return false
	case err != nil:
		x.unsure = true
		x.unanswered(now)
		return false
	case h.Answer == kqexecution.AnswerOther:
		x.drop(name)
		return false
	case h.Answer != kqexecution.AnswerDone:
		return false
	}
	if !x.listedBy(now, name, h.Born) {
		return false
	}
	x.answerAt = now
	if h.Clock > x.clock {
		x.clock, x.heldAt = h.Clock, now
	}
	if x.info.Unresponsive {
		w := x.info
		w.Unresponsive = false
		x.info.Unresponsive = false
		if x.registered {
			x.send(kqmessage.ToOwner{Worker: &w})
		}
	}
	x.take(now, h)
	return true
}

// unanswered tells the owner of a worker that does not answer for long.
func (x *Executor) unanswered(now time.Time) {
	if x.info.Unresponsive || now.Sub(x.answerAt) < unwellAfter {
		return
	}
	x.info.Unresponsive = true
	w := x.info
	if x.registered {
		x.send(kqmessage.ToOwner{Worker: &w})
	}
	x.config.Events.Emit(now, kqevent.OrderUnanswered, kqevent.Worker(string(x.info.Worker)), "no answer for %s", now.Sub(x.answerAt).Round(time.Millisecond))
}

// take follows what is on the worker and reports it.
func (x *Executor) take(now time.Time, h kqexecution.Held) {
	first := !x.held
	x.held, x.unsure = true, false
	x.unforgotten = slices.ContainsFunc(h.Ended, func(e kqexecution.End) bool { return e.Number <= x.noted })
	x.listed = make(map[kqexecution.Run]bool, len(h.Running))
	for _, r := range h.Running {
		x.listed[r.Run] = true
		if e := x.runs[r.Run]; e != nil {
			e.began(now)
		}
	}
	fresh := x.takeEnds(now, h.Ended)
	fresh = append(fresh, x.absent()...)
	rooms := x.pace(now, h.Running)
	x.look(now, h.Running, rooms)
	if x.send == nil {
		return
	}
	if first || !x.registered {
		x.register(now, h)
		return
	}
	r := kqplan.Report{Worker: x.info.Worker, Ended: fresh}
	if now.Sub(x.reported) >= reportSpacing {
		x.reported = now
		r.Complete, r.Running = true, h.Running
		r.Paces, r.Slowed = x.paces()
	}
	if r.Complete || len(fresh) > 0 {
		x.send(kqmessage.ToOwner{Report: &r})
	}
}

// began notes that the run is on the worker.
func (e *entry) began(now time.Time) {
	if e.beganAt.IsZero() {
		e.beganAt = now
	}
}

// register tells an owner everything about the worker.
func (x *Executor) register(now time.Time, h kqexecution.Held) {
	x.registered, x.reported = true, now
	w := x.info
	ended := make([]kqexecution.End, 0, len(x.ends))
	for _, e := range x.ends {
		ended = append(ended, e)
	}
	slices.SortFunc(ended, func(a, b kqexecution.End) int { return int(a.Number) - int(b.Number) })
	r := kqplan.Report{Worker: w.Worker, Complete: true, Running: h.Running, Ended: ended}
	r.Paces, r.Slowed = x.paces()
	x.send(kqmessage.ToOwner{Worker: &w, Report: &r, Registered: true})
	x.asks++
	x.askClocks[x.asks] = x.clock
	x.askedAt[x.asks] = now
	x.send(kqmessage.ToOwner{LeaseRequest: x.asks})
}

// takeEnds returns the ends that are new.
func (x *Executor) takeEnds(now time.Time, ended []kqexecution.End) []kqexecution.End {
	var fresh []kqexecution.End
	for _, e := range ended {
		if e.Number <= x.noted {
			continue
		}
		if run := x.runs[e.Run]; run != nil && !run.beganAt.IsZero() {
			e.Ran, e.Carried = now.Sub(run.beganAt), run.beganAt.Sub(run.orderedAt)
		}
		x.ends[e.Number] = e
		delete(x.runs, e.Run)
		if e.Number > x.lastEnd {
			x.lastEnd = e.Number
			fresh = append(fresh, e)
		}
	}
	return fresh
}

// absent returns the runs that were stopped before they had begun: the worker
// has taken the stop, and lists neither the run nor its end.
func (x *Executor) absent() []kqexecution.End {
	var out []kqexecution.End
	for k, e := range x.runs {
		if e.stoppedAt == 0 || e.stoppedAt >= x.holds || x.listed[k] {
			continue
		}
		delete(x.runs, k)
		how := kqexecution.HowAbsent
		if !e.stopping {
			how = kqexecution.HowRefused
		}
		out = append(out, kqexecution.End{Run: k, How: how})
	}
	return out
}
