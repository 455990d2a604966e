package kqexecutor

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	// recordRetryDelay is the delay after an attempt to store a departure that failed, and recordTime the
	// time for which attempts are made: a later owner has given the worker's runs up with their lease.
	recordRetryDelay = 100 * time.Millisecond
	recordTime       = 15 * time.Second
)

// Departed handles a leave message: the incarnation has left for good. A message without a birth time does
// not tell which of the incarnations with its id has sent it. The latest known one is then polled, and has
// left if its process is gone: a late message of an earlier incarnation must not end a later one. The owner
// passes such a message on to the agent of the host that the worker is on, or to a later process of it.
func (x *Executor) Departed(worker kqexecution.Incarnation) {
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, born := worker.Born(); !born && x.info.Worker != worker {
		x.claims[worker.ID()] = now
		x.record(now, worker, false)
		if latest, ok := x.latest[worker.ID()]; ok {
			x.logInvalidBirth(now, latest, sourceLeave)
			x.checkClaim(now, latest)
			return
		}
	}
	if x.mayBeCurrent(now, worker, sourceLeave) {
		x.depart(now, worker, "its leave message")
	}
}

// depart records that an incarnation has left, reports it to the owner and stores it; mu is held.
func (x *Executor) depart(now time.Time, worker kqexecution.Incarnation, knownFrom string) {
	if x.departed[worker] {
		return
	}
	x.config.Events.Emit(now, kqevent.WorkerDeparted, kqevent.Worker(string(worker)), "known from %s", knownFrom)
	if x.info.Worker != "" && worker.Supersedes(x.info.Worker) {
		x.supersede(now, worker, sourceLeave)
	}
	x.recordIncarnation(now, worker)
	x.recordLeave(now, worker)
	if x.info.Worker == worker {
		x.removeWorker(now, worker)
	} else {
		x.departed[worker] = true
		if x.send != nil {
			// The owner may have runs of it, or of an earlier incarnation, on any host.
			x.send(kqmessage.ToOwner{WorkerEnds: x.workerEndsAt(now), Departed: worker})
		}
	}
	x.record(now, worker, true)
}

// record starts to store a departure, for owners that this process does not connect to; mu is held.
func (x *Executor) record(now time.Time, worker kqexecution.Incarnation, verified bool) {
	if x.config.RecordDeparture == nil || !x.tomb.Alive() {
		return
	}
	r := &departureRecord{executor: x, worker: worker, verified: verified, until: now.Add(recordTime), done: make(chan struct{})}
	x.records[r] = true
	x.tomb.Go(r.run)
}

// departureRecord stores the departure of an incarnation, or the claim of one.
type departureRecord struct {
	executor *Executor
	worker   kqexecution.Incarnation
	verified bool
	until    time.Time
	// done is closed when the departure is stored or has been given up.
	done chan struct{}
}

func (r *departureRecord) run() error {
	x := r.executor
	ctx := x.tomb.Context(context.Background())
	for x.tomb.Alive() && x.config.RecordDeparture(ctx, r.worker, r.verified) != nil && x.config.Now().Before(r.until) {
		kqtable.Sleep(ctx, recordRetryDelay)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.records, r)
	close(r.done)
	return nil
}

// AwaitRecorded waits until the departures known so far are stored, or ctx ends.
func (x *Executor) AwaitRecorded(ctx context.Context) {
	await(ctx, func() chan struct{} {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.unrecorded()
	})
}

// unrecorded returns the channel of a departure that is being stored, nil if there is none; mu is held.
func (x *Executor) unrecorded() chan struct{} {
	for r := range x.records {
		return r.done
	}
	return nil
}

// Settle waits until the leave messages received so far are verified and the departures known from them are
// stored, or ctx ends. A process that stops calls it, so that what its worker has told is not lost with it.
func (x *Executor) Settle(ctx context.Context) {
	await(ctx, func() chan struct{} {
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, c := range x.checks {
			return c.done
		}
		return x.unrecorded()
	})
}

// await waits for each channel that next returns to be closed, until next returns nil or ctx ends.
func await(ctx context.Context, next func() chan struct{}) {
	for done := next(); done != nil; done = next() {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}
