package kqexecutor

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	// leaveGrace is how long an incarnation that may have sent a leave message may answer polls. One that
	// answers later has not sent it: a worker ends once its message is acknowledged, which may wait for the
	// store.
	leaveGrace = 2 * time.Second
	// leaveClaimTime is how long a leave message is checked. The leases of a worker that answers nothing have
	// ended by then.
	leaveClaimTime = kqplan.MaxStartDelay
)

// leaveClaim is a leave message that is not verified yet.
type leaveClaim struct {
	at time.Time
	// sender is the incarnation that has sent the message; empty if only its id is known.
	sender kqexecution.Incarnation
}

// recordClaim records a leave message of a worker, here and in the store; mu is held.
func (x *Executor) recordClaim(now time.Time, c leaveClaim, worker kqexecution.Incarnation) {
	maps.DeleteFunc(x.claims, func(_ string, old leaveClaim) bool { return now.Sub(old.at) > leaveClaimTime })
	x.claims[worker.ID()] = c
	x.storeDeparture(now, Departure{Worker: worker})
}

// hasSaidThatItLeaves reports whether an incarnation has sent a leave message, after which it sends no
// check-ins; mu is held.
func (x *Executor) hasSaidThatItLeaves(now time.Time, worker kqexecution.Incarnation) bool {
	c := x.claims[worker.ID()]
	return worker != "" && c.sender == worker && now.Sub(c.at) <= leaveClaimTime
}

// checkClaim starts to verify that an incarnation has left, if it may have sent a leave message; mu is held.
func (x *Executor) checkClaim(now time.Time, worker kqexecution.Incarnation) {
	claim, ok := x.claims[worker.ID()]
	switch {
	case !ok:
		return
	case now.Sub(claim.at) > leaveClaimTime:
		delete(x.claims, worker.ID())
		return
	case claim.sender != "" && claim.sender != worker, x.checks[worker] != nil, x.departed[worker], x.latest[worker.ID()].Supersedes(worker), !x.tomb.Alive():
		return
	}
	c := &leaveCheck{executor: x, worker: worker, connection: x.config.Connect(worker), claim: claim, done: make(chan struct{})}
	x.checks[worker] = c
	x.tomb.Go(c.loop)
}

// leaveCheck polls an incarnation that may have left until it has ended or is known to run.
type leaveCheck struct {
	executor   *Executor
	worker     kqexecution.Incarnation
	connection kqexecution.Worker
	claim      leaveClaim
	// refused counts the latest polls in a row that failed at once: no process accepts them.
	refused int
	// done is closed when the check has ended.
	done chan struct{}
}

func (c *leaveCheck) loop() error {
	x := c.executor
	ctx := x.tomb.Context(context.Background())
	for x.tomb.Alive() && !c.poll(ctx) {
		delay := orderRetryDelay
		if c.refused == 0 {
			delay = pollRetryDelay
		}
		kqtable.Sleep(ctx, delay)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.checks, c.worker)
	if x.claims[c.worker.ID()] == c.claim {
		delete(x.claims, c.worker.ID())
	}
	close(c.done)
	return nil
}

// poll polls the worker once and reports whether the check has ended. A poll that times out says nothing: the
// worker may be at work behind a partition.
func (c *leaveCheck) poll(ctx context.Context) bool {
	x := c.executor
	x.mu.Lock()
	token := x.epoch
	x.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	h, err := c.connection.Hold(call, kqexecution.Hold{Token: token})
	timedOut := call.Err() != nil
	cancel()
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	isOver := now.Sub(c.claim.at) > leaveClaimTime
	switch {
	case x.departed[c.worker]:
		return true
	case err == nil && h.Answer == kqexecution.AnswerOtherIncarnation:
		x.confirmDeparture(now, c.worker, "a leave message, and another worker answers in its place")
		return true
	case err == nil && kqexecution.NewIncarnation(c.worker.ID(), h.Born).Supersedes(c.worker):
		// A later incarnation has started. Runs of this one may yet start there.
		return true
	case err == nil, errors.Is(err, kqexecution.ErrBirth), errors.Is(err, kqexecution.ErrUnreadable):
		c.refused = 0
		return isOver || c.claim.sender == "" && now.Sub(c.claim.at) >= leaveGrace
	case timedOut:
		c.refused = 0
		return isOver
	}
	if c.refused++; c.refused < maxRefusedPolls {
		return false
	}
	x.confirmDeparture(now, c.worker, "a leave message, and its process accepts no connections")
	return true
}
