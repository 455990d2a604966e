package kqexecutor

import (
	"context"
	"errors"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	// leaveGrace is how long a worker may answer polls after its leave message: it ends once that was
	// acknowledged. A worker that answers later has not sent the message.
	leaveGrace = time.Second
	// leaveClaimTime is how long a leave message without a birth time may refer to an incarnation. The
	// leases of a worker that answers nothing have ended by then.
	leaveClaimTime = kqplan.MaxStartDelay
)

// checkClaim starts to verify that an incarnation has left if a leave message without a birth time has named
// its id; mu is held.
func (x *Executor) checkClaim(now time.Time, worker kqexecution.Incarnation) {
	claimedAt, ok := x.claims[worker.ID()]
	if !ok || now.Sub(claimedAt) > leaveClaimTime {
		delete(x.claims, worker.ID())
		return
	}
	if x.checks[worker] != nil || x.departed[worker] || x.latest[worker.ID()].Supersedes(worker) || !x.tomb.Alive() {
		return
	}
	c := &leaveCheck{executor: x, worker: worker, connection: x.config.Connect(worker), claimedAt: claimedAt, done: make(chan struct{})}
	x.checks[worker] = c
	x.tomb.Go(c.loop)
}

// leaveCheck polls an incarnation that may have left until it has ended or is known to run.
type leaveCheck struct {
	executor   *Executor
	worker     kqexecution.Incarnation
	connection kqexecution.Worker
	claimedAt  time.Time
	// refused counts the latest polls in a row that failed at once: no process accepts them.
	refused int
	// done is closed when the check has ended.
	done chan struct{}
}

func (c *leaveCheck) loop() error {
	x := c.executor
	ctx := x.tomb.Context(context.Background())
	for x.tomb.Alive() && !c.poll(ctx) {
		kqtable.Sleep(ctx, pollRetryDelay)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.checks, c.worker)
	close(c.done)
	return nil
}

// poll polls the worker once and reports whether the check has ended.
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
	switch {
	case err == nil && h.Answer == kqexecution.AnswerOtherIncarnation:
		c.confirm(now, "a leave message, and another worker answers in its place")
		return true
	case err == nil && kqexecution.NewIncarnation(c.worker.ID(), h.Born).Supersedes(c.worker):
		// A later incarnation has started. Runs of this one may yet start there.
		return true
	case err == nil, errors.Is(err, kqexecution.ErrBirth):
		c.refused = 0
		if now.Sub(c.claimedAt) < leaveGrace {
			return false
		}
		delete(x.claims, c.worker.ID())
		return true
	case timedOut:
		c.refused = 0
		return now.Sub(c.claimedAt) > leaveClaimTime
	}
	if c.refused++; c.refused < maxRefusedPolls {
		return false
	}
	c.confirm(now, "a leave message, and its process accepts no connections")
	return true
}

// confirm records that the worker has left; the executor's mu is held.
func (c *leaveCheck) confirm(now time.Time, knownFrom string) {
	delete(c.executor.claims, c.worker.ID())
	c.executor.depart(now, c.worker, knownFrom)
}
