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
	// minStoreDelay is the delay after the first attempt to store a departure that failed. It doubles up to
	// maxStoreDelay. After storeTime a later owner has given the worker's runs up with their lease.
	minStoreDelay = 100 * time.Millisecond
	maxStoreDelay = 2 * time.Second
	storeTime     = 15 * time.Second
)

// ReceiveLeave handles a leave message, which worker has sent if its sender is known: then worker has a birth
// time, or is the current incarnation. A worker ends once its message is acknowledged, and some seconds later
// if it is not, so it has left only when polls show that.
//
// A message without a birth time does not tell which of the incarnations with its id has sent it. It must not
// end a later one, and is checked against the latest that is known.
func (x *Executor) ReceiveLeave(worker kqexecution.Incarnation) {
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.departed[worker] {
		return
	}
	_, born := worker.Born()
	if !born && x.info.Worker != worker {
		x.recordClaim(now, leaveClaim{at: now}, worker)
		if latest, ok := x.latest[worker.ID()]; ok {
			x.logInvalidBirth(now, latest, sourceLeave)
			x.checkClaim(now, latest)
		}
		return
	}
	if !x.mayBeCurrent(now, worker, sourceLeave) {
		return
	}
	isLocal := x.info.Worker != "" && x.info.Worker.SameWorker(worker) || x.latest[worker.ID()] != ""
	x.recordClaim(now, leaveClaim{at: now, sender: worker}, worker)
	if !isLocal {
		return
	}
	if x.info.Worker != "" && worker.Supersedes(x.info.Worker) {
		x.supersede(now, worker, sourceLeave)
	}
	x.recordIncarnation(now, worker)
	x.checkClaim(now, worker)
}

// confirmDeparture records that an incarnation has left, reports it to the owner and stores it; mu is held.
func (x *Executor) confirmDeparture(now time.Time, worker kqexecution.Incarnation, knownFrom string) {
	if x.departed[worker] {
		return
	}
	x.config.Events.Emit(now, kqevent.WorkerDeparted, kqevent.Worker(string(worker)), "known from %s", knownFrom)
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
	x.storeDeparture(now, Departure{Worker: worker, Verified: true})
}

// Departure is what an agent knows of a worker that leaves.
type Departure struct {
	// Worker is the incarnation, or only an id if it is not known which one has sent the leave message.
	Worker kqexecution.Incarnation
	// Verified is true if the incarnation has left. Otherwise a leave message says so.
	Verified bool
}

// storeDeparture starts to store a departure, for owners that this process does not connect to; mu is held.
func (x *Executor) storeDeparture(now time.Time, d Departure) {
	if x.config.RecordDeparture == nil || !x.tomb.Alive() {
		return
	}
	r := &departureRecord{executor: x, departure: d, until: now.Add(storeTime), done: make(chan struct{})}
	x.records[r] = true
	x.tomb.Go(r.run)
}

// departureRecord stores a departure.
type departureRecord struct {
	executor  *Executor
	departure Departure
	until     time.Time
	// done is closed when the departure is stored or has been given up.
	done chan struct{}
}

func (r *departureRecord) run() error {
	x := r.executor
	ctx := x.tomb.Context(context.Background())
	for delay := minStoreDelay; x.tomb.Alive() && x.config.RecordDeparture(ctx, r.departure) != nil && x.config.Now().Before(r.until); delay = min(2*delay, maxStoreDelay) {
		kqtable.Sleep(ctx, delay)
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
