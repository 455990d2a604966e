package kqexecutor

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// messageSource is the kind of message that named an incarnation.
type messageSource string

const (
	sourceCheckIn messageSource = "check-in"
	sourceLeave   messageSource = "leave message"
	sourceList    messageSource = "list of runs"
	sourceOwner   messageSource = "owner"
)

// CheckIn handles a worker's description of itself. sequence increases with each check-in of
// an incarnation. It returns false if the check-in is stale or its incarnation has ended.
func (x *Executor) CheckIn(w kqplan.WorkerInfo, sequence uint64) bool {
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.mayBeCurrent(now, w.Worker, sourceCheckIn) || x.departed[w.Worker] || x.hasSaidThatItLeaves(now, w.Worker) {
		return false
	}
	current := x.info.Worker
	switch {
	case w.Worker == current:
		if sequence <= x.sequence {
			return false
		}
		x.sequence = sequence
		x.updateInfo(w)
	case current == "":
		x.setWorker(w, sequence)
	case w.Worker.Supersedes(current):
		x.supersede(now, w.Worker, sourceCheckIn)
		x.setWorker(w, sequence)
	default:
		// Which of the two incarnations is running can only be learned from the worker.
		x.tomb.Go((&probe{x, w, sequence}).run)
	}
	return true
}

// mayBeCurrent reports whether an incarnation may be running. It is not if a later one of the
// same ID is known, or if it has no birth time while an earlier one of the ID had one. mu is
// held.
func (x *Executor) mayBeCurrent(now time.Time, w kqexecution.Incarnation, source messageSource) bool {
	latest, ok := x.latest[w.ID()]
	if !ok || w == latest {
		return true
	}
	if _, born := w.Born(); !born {
		x.logInvalidBirth(now, latest, source)
		return false
	}
	if latest.Supersedes(w) {
		x.logSuperseded(now, w, latest, source)
		return false
	}
	return true
}

// logInvalidBirth logs that a message without a valid birth time was ignored.
func (x *Executor) logInvalidBirth(now time.Time, w kqexecution.Incarnation, source messageSource) {
	x.config.Events.Emit(now, kqevent.BirthInvalid, kqevent.Worker(string(w)), "%s ignored: it has no valid birth time", source)
}

// logSuperseded logs that a message of an incarnation that has ended was ignored.
func (x *Executor) logSuperseded(now time.Time, w, latest kqexecution.Incarnation, source messageSource) {
	x.config.Events.Emit(now, kqevent.IncarnationStale, kqevent.Worker(string(w)), "%s ignored: incarnation %s is later", source, latest)
}

// recordIncarnation records that an incarnation has started; mu is held.
func (x *Executor) recordIncarnation(now time.Time, w kqexecution.Incarnation) {
	if _, born := w.Born(); !born {
		return
	}
	if latest, ok := x.latest[w.ID()]; !ok || w.Supersedes(latest) {
		x.latest[w.ID()] = w
		x.blockLateStarts(now, w)
	}
}

// supersede stops driving the current incarnation because a later one has started. The owner
// is only notified that there is no worker, and keeps the runs until the later incarnation has
// stopped them. mu is held.
func (x *Executor) supersede(now time.Time, later kqexecution.Incarnation, source messageSource) {
	x.config.Events.Emit(now, kqevent.WorkerSuperseded, kqevent.Worker(string(later)), "incarnation %s has ended, known from: %s", x.info.Worker, source)
	x.recordUnlistedStarts(now)
	x.recordIncarnation(now, later)
	x.recordEnd(now)
	if x.send != nil {
		x.reportEnds()
		x.send(kqmessage.ToOwner{WorkerEnds: x.workerEndsAt(now), Worker: &kqplan.WorkerInfo{}})
	}
	x.setWorker(kqplan.WorkerInfo{}, 0)
}

// updateInfo sets the current incarnation's description and notifies the owner of a change; mu
// is held.
func (x *Executor) updateInfo(w kqplan.WorkerInfo) {
	w.Unresponsive = x.info.Unresponsive
	if !x.info.Capacity.FitsIn(w.Capacity) {
		x.shrunkFrom = x.shrunkFrom.Max(x.info.Capacity)
	}
	changed := w.Draining != x.info.Draining || w.Capacity != x.info.Capacity || w.Unresponsive != x.info.Unresponsive || x.updateWarmUp(w)
	x.info = w
	if changed && x.registered {
		x.send(kqmessage.ToOwner{Worker: &w})
	}
}

// setWorker makes an incarnation the current one, with no runs; an empty WorkerInfo sets none.
// mu is held.
func (x *Executor) setWorker(w kqplan.WorkerInfo, sequence uint64) {
	now := x.config.Now()
	if x.info.Worker != "" {
		x.recordEnd(now)
		x.departed[x.info.Worker] = true
	}
	w.Unresponsive = false
	x.warmUpUntil = now.Add(w.WarmUpLeft)
	x.info, x.sequence, x.shrunkFrom = w, sequence, kqmodel.Resources{}
	x.recordIncarnation(now, w.Worker)
	x.worker = x.config.Connect(w.Worker)
	x.polled, x.registered, x.synced, x.knowsRuns = false, false, false, false
	x.workerClock, x.leaseEnd = 0, 0
	// The clock of a running worker reads at least 0 now.
	x.clockReadAt, x.answeredAt = now, now
	x.calls, x.refusedPolls = callHealth{lastAnswerAt: now}, 0
	x.runs = map[kqexecution.Run]*execution{}
	x.listed = map[kqexecution.Run]bool{}
	x.ends, x.lastEnd, x.acked, x.reportedEnds = map[uint64]kqexecution.RunEnd{}, 0, 0, 0
	x.ackPending, x.pollUnanswered = false, false
	x.unreported = nil
	x.requestClocks = map[uint64]kqexecution.Clock{}
	x.pacer = kqpace.New()
	x.wake()
}

// applyKnownWorker drives the incarnation that the owner knows of. The first poll shows whether
// it is still running. mu is held.
func (x *Executor) applyKnownWorker(w kqplan.WorkerInfo) {
	now := x.config.Now()
	if w.Worker == "" || x.departed[w.Worker] || x.latest[w.Worker.ID()].Supersedes(w.Worker) {
		return
	}
	if x.info.Worker != "" {
		if !w.Worker.Supersedes(x.info.Worker) {
			return
		}
		x.supersede(now, w.Worker, sourceOwner)
	}
	x.setWorker(w, 0)
	x.checkClaim(now, w.Worker)
}

// removeWorker records that an incarnation has ended. If it is the current one, it is not driven any
// more and the owner is notified. mu is held.
func (x *Executor) removeWorker(now time.Time, worker kqexecution.Incarnation) {
	x.departed[worker] = true
	if x.info.Worker != worker {
		return
	}
	x.recordEnd(now)
	x.markDeparted(worker)
	if x.send != nil {
		x.reportEnds()
		x.send(kqmessage.ToOwner{WorkerEnds: x.workerEndsAt(now), Departed: worker})
	}
	x.setWorker(kqplan.WorkerInfo{}, 0)
	delete(x.departed, "")
}

// isListCurrent reports whether the current incarnation answered a poll, going by the birth
// time in the answer. A later incarnation supersedes the current one. mu is held.
func (x *Executor) isListCurrent(now time.Time, current kqexecution.Incarnation, born time.Time) bool {
	answered := kqexecution.NewIncarnation(current.ID(), born)
	switch {
	case answered == current:
		return true
	case answered.Supersedes(current):
		x.supersede(now, answered, sourceList)
		return false
	case born.IsZero():
		x.logInvalidBirth(now, current, sourceList)
	default:
		x.logSuperseded(now, answered, current, sourceList)
	}
	x.handleNoAnswer(now)
	return false
}

// probe polls a worker to learn whether it is the incarnation that checked in.
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
	if err != nil || h.Answer == kqexecution.AnswerOtherIncarnation {
		return nil
	}
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if h.Answer == kqexecution.AnswerDone && kqexecution.NewIncarnation(worker.ID(), h.Born) != worker {
		x.logInvalidBirth(now, worker, sourceCheckIn)
		return nil
	}
	if x.info.Worker != worker && !x.departed[worker] && x.mayBeCurrent(now, worker, sourceCheckIn) {
		x.setWorker(p.info, p.sequence)
	}
	return nil
}
