package kqexecutor

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// source is what told of an incarnation.
type source string

const (
	sourceCheckIn source = "check-in"
	sourceLeave   source = "leave message"
	sourceList    source = "list of runs"
	sourceOwner   source = "owner"
)

// CheckIn takes over what a worker says of itself; sequence rises with each
// check-in of an incarnation. It returns false for one that is stale or of an
// incarnation that is over.
func (x *Executor) CheckIn(w kqplan.WorkerInfo, sequence uint64) bool {
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.isCurrent(now, w.Worker, sourceCheckIn) || x.gone[w.Worker] {
		return false
	}
	driven := x.info.Worker
	switch {
	case w.Worker == driven:
		if sequence <= x.sequence {
			return false
		}
		x.sequence = sequence
		x.describe(w)
	case driven == "":
		x.adopt(w, sequence)
	case w.Worker.Follows(driven):
		x.supersede(now, w.Worker, sourceCheckIn)
		x.adopt(w, sequence)
	default:
		// Only the worker itself can tell whether this incarnation is there.
		x.tomb.Go((&probe{x, w, sequence}).run)
	}
	return true
}

// isCurrent reports whether an incarnation may be there: not if a later one of its
// id is known, or if it has no birth and the id had one. mu is held.
func (x *Executor) isCurrent(now time.Time, w kqexecution.Incarnation, by source) bool {
	latest, ok := x.latest[w.ID()]
	if !ok || w == latest {
		return true
	}
	if _, born := w.Born(); !born {
		x.refuseBirth(now, latest, by)
		return false
	}
	if latest.Follows(w) {
		x.refuseOlder(now, w, latest, by)
		return false
	}
	return true
}

// refuseBirth logs a message without a valid time of birth.
func (x *Executor) refuseBirth(now time.Time, w kqexecution.Incarnation, by source) {
	x.config.Events.Emit(now, kqevent.BirthRefused, kqevent.Worker(string(w)), "%s without a valid birth", by)
}

// refuseOlder logs a message of an incarnation that is over.
func (x *Executor) refuseOlder(now time.Time, w, latest kqexecution.Incarnation, by source) {
	x.config.Events.Emit(now, kqevent.IncarnationOver, kqevent.Worker(string(w)), "%s dropped, %s is there", by, latest)
}

// remember takes over that an incarnation has begun; mu is held.
func (x *Executor) remember(now time.Time, w kqexecution.Incarnation) {
	if _, born := w.Born(); !born {
		return
	}
	if latest, ok := x.latest[w.ID()]; !ok || w.Follows(latest) {
		x.latest[w.ID()] = w
		x.barLate(now, w)
	}
}

// supersede ends the driving of an incarnation whose worker has begun anew; the
// owner keeps its runs until the later one has stopped them. mu is held.
func (x *Executor) supersede(now time.Time, later kqexecution.Incarnation, by source) {
	x.config.Events.Emit(now, kqevent.WorkerReborn, kqevent.Worker(string(later)), "%s is over, by a %s", x.info.Worker, by)
	x.lateUnlisted(now)
	x.remember(now, later)
	if x.send != nil {
		x.send(kqmessage.ToOwner{Worker: &kqplan.WorkerInfo{}})
	}
	x.adopt(kqplan.WorkerInfo{}, 0)
}

// describe tells the owner of a change; mu is held.
func (x *Executor) describe(w kqplan.WorkerInfo) {
	w.Unresponsive = x.info.Unresponsive
	changed := w.Draining != x.info.Draining || w.Capacity != x.info.Capacity || w.Unresponsive != x.info.Unresponsive || x.takeCold(w)
	x.info = w
	if changed && x.registered {
		x.send(kqmessage.ToOwner{Worker: &w})
	}
}

// adopt begins to drive an incarnation; mu is held.
func (x *Executor) adopt(w kqplan.WorkerInfo, sequence uint64) {
	now := x.config.Now()
	if x.info.Worker != "" {
		x.gone[x.info.Worker] = true
	}
	w.Unresponsive = false
	x.coldTill = now.Add(w.WarmUpLeft)
	x.info, x.sequence = w, sequence
	x.remember(now, w.Worker)
	x.worker = x.config.Connect(w.Worker)
	x.held, x.registered, x.synced = false, false, false
	x.clock, x.until = 0, 0
	// The clock of a worker that is there has passed 0.
	x.heldAt, x.answerAt = now, now
	x.runs = map[kqexecution.Run]*entry{}
	x.listed = map[kqexecution.Run]bool{}
	x.ends, x.lastEnd, x.noted, x.told = map[uint64]kqexecution.End{}, 0, 0, 0
	x.unforgotten, x.unsure = false, false
	x.askClocks = map[uint64]kqexecution.Clock{}
	x.pacer = kqpace.New()
	x.wake()
}

// know takes over what the owner knows of the worker. The first hold tells whether
// this incarnation is still there. mu is held.
func (x *Executor) know(w kqplan.WorkerInfo) {
	now := x.config.Now()
	if w.Worker == "" || x.gone[w.Worker] || x.latest[w.Worker.ID()].Follows(w.Worker) {
		return
	}
	if x.info.Worker != "" {
		if !w.Worker.Follows(x.info.Worker) {
			return
		}
		x.supersede(now, w.Worker, sourceOwner)
	}
	x.adopt(w, 0)
}

// Gone notes that an incarnation has left for good.
func (x *Executor) Departed(worker kqexecution.Incarnation) {
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.isCurrent(now, worker, sourceLeave) {
		return
	}
	if x.info.Worker != "" && worker.Follows(x.info.Worker) {
		x.supersede(now, worker, sourceLeave)
	}
	x.remember(now, worker)
	if _, born := worker.Born(); born && x.info.Worker == "" && x.send != nil {
		// The owner may have runs of an earlier incarnation that is over with it.
		x.send(kqmessage.ToOwner{Departed: worker})
	}
	x.drop(worker)
}

func (x *Executor) drop(worker kqexecution.Incarnation) {
	x.gone[worker] = true
	if x.info.Worker != worker {
		return
	}
	if x.send != nil {
		x.send(kqmessage.ToOwner{Departed: worker})
	}
	x.adopt(kqplan.WorkerInfo{}, 0)
	delete(x.gone, "")
}

// listedBy reports whether a list is of the incarnation that is driven; a later one
// ends the driving. mu is held.
func (x *Executor) listedBy(now time.Time, driven kqexecution.Incarnation, born time.Time) bool {
	of := kqexecution.NewIncarnation(driven.ID(), born)
	switch {
	case of == driven:
		return true
	case of.Follows(driven):
		x.supersede(now, of, sourceList)
		return false
	case born.IsZero():
		x.refuseBirth(now, driven, sourceList)
	default:
		x.refuseOlder(now, of, driven, sourceList)
	}
	x.unanswered(now)
	return false
}

// probe asks a worker whether it is the incarnation that checked in.
type probe struct {
	executor *Executor
	info     kqplan.WorkerInfo
	sequence uint64
}

func (p *probe) run() error {
	x := p.executor
	worker := p.info.Worker
	ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), orderTimeout)
	defer cancel()
	h, err := x.config.Connect(worker).Hold(ctx, kqexecution.Hold{})
	if err != nil || h.Answer == kqexecution.AnswerOther {
		return nil
	}
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if h.Answer == kqexecution.AnswerDone && kqexecution.NewIncarnation(worker.ID(), h.Born) != worker {
		x.refuseBirth(now, worker, sourceCheckIn)
		return nil
	}
	if x.info.Worker != worker && !x.gone[worker] && x.isCurrent(now, worker, sourceCheckIn) {
		x.adopt(p.info, p.sequence)
	}
	return nil
}
