package kqexecutor

import (
	"context"
	"math/bits"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// order takes over an order; mu is held. Orders that stand already change
// nothing, so the owner may repeat them.
func (x *Executor) order(o *kqplan.Order) {
	if o.Worker != x.info.Worker || !x.tomb.Alive() {
		return
	}
	e := x.runs[o.Run]
	if e == nil {
		e = &entry{order: *o, paced: fullPercent, orderedAt: x.config.Now()}
		x.runs[o.Run] = e
	} else if !o.Stop && e.order.Size.IsZero() {
		e.order = *o
	}
	if o.Stop {
		e.stopping = true
	} else {
		e.order.Interference = o.Interference
		e.due = x.config.Now().Add(o.TimeLeft)
		if x.listed[o.Run] {
			return
		}
	}
	if e.delivery == nil && o.Fills && !o.Stop {
		x.pacer.AddRun(e.filling())
	}
	if e.delivery == nil {
		e.delivery = &delivery{executor: x, entry: e, order: o.Run, worker: x.worker, name: x.info.Worker}
		x.tomb.Go(e.delivery.run)
	}
}

const fullPercent = 100

// delivery carries one run's orders to the worker until the outcome is certain.
type delivery struct {
	executor *Executor
	entry    *entry
	order    kqexecution.Run
	worker   kqexecution.Worker
	name     kqexecution.Incarnation
	refused  kqexecution.Answer
	tries    int
}

func (d *delivery) run() error {
	x := d.executor
	for x.tomb.Alive() {
		start, stop, ok, now := d.next()
		switch {
		case !ok:
			return nil
		case !now:
		case stop:
			d.stop()
		default:
			d.start(start)
		}
		if d.finished() {
			return nil
		}
		t := time.NewTimer(orderPause)
		select {
		case <-t.C:
		case <-x.tomb.Dying():
		}
		t.Stop()
	}
	return nil
}

// next returns what to say to the worker; ok is false if nothing is left, and
// now is false while a new owner has not said yet what stands.
func (d *delivery) next() (s kqexecution.Start, stop, ok, now bool) {
	x := d.executor
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.info.Worker != d.name || x.runs[d.order] != d.entry {
		return s, false, false, false
	}
	if !x.synced {
		return s, false, true, false
	}
	if d.entry.stopping || d.refused != "" {
		return s, true, true, true
	}
	if begun, refused := d.evacuated(); begun {
		return s, false, false, false
	} else if refused {
		d.refused = kqexecution.AnswerUnhealthy
		return s, true, true, true
	} else if x.zonesOutdated() {
		return s, false, true, false
	}
	if x.info.Draining && d.tries == 0 && !x.listed[d.order] {
		d.refused = kqexecution.AnswerUnhealthy
		return s, true, true, true
	}
	x.config.Counter.Check(x.used().Fits(x.info.Capacity), kqinvariant.CapacityExceeded, "worker %s: %s of %s ordered", d.name, x.used(), x.info.Capacity)
	if !x.used().Fits(x.info.Capacity) && !x.listed[d.order] {
		d.refused = kqexecution.AnswerNoRoom
		return s, true, true, true
	}
	o := d.entry.order
	return kqexecution.Start{Run: d.order, Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Until: max(x.until, x.estimate(x.config.Now())+1), Token: x.epoch}, false, true, true
}

// finished reports whether the last order needs no more tries.
func (d *delivery) finished() bool {
	x := d.executor
	x.mu.Lock()
	defer x.mu.Unlock()
	e := d.entry
	if x.runs[d.order] != e {
		return true
	}
	started := e.delivery == nil
	if e.stoppedAt != 0 {
		return true
	}
	if started && e.stopping {
		// A stop came while the start was answered.
		e.delivery = d
		return false
	}
	return started
}

func (d *delivery) start(s kqexecution.Start) {
	x := d.executor
	ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), orderTimeout)
	answer, clock, err := d.worker.Start(ctx, s)
	cancel()
	d.tries++
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.startEnded(now, d, err)
	if err != nil {
		if bits.OnesCount(uint(d.tries)) == 1 {
			x.config.Events.Emit(now, kqevent.OrderUnanswered, kqevent.Task(d.order.Task), "start of run %d on %s, try %d", d.order.Number, d.name, d.tries)
		}
		return
	}
	if x.info.Worker != d.name {
		return
	}
	if clock > x.clock {
		x.clock, x.heldAt = clock, now
	}
	switch answer {
	case kqexecution.AnswerDone:
		d.entry.delivery = nil
		d.entry.began(now)
		if p := x.pacer.Share(d.order); d.entry.order.Fills && p != d.entry.paced {
			x.paceRun(d.entry, d.order, p)
		}
		return
	case kqexecution.AnswerLate, kqexecution.AnswerFenced:
		return
	case kqexecution.AnswerOther:
		x.drop(d.name)
		return
	}
	x.config.Events.Emit(now, kqevent.OrderRefused, kqevent.Task(d.order.Task), "start of run %d on %s: %s", d.order.Number, d.name, answer)
	d.refused = answer
}

// stop tells the worker to end the run, or never to begin it.
func (d *delivery) stop() {
	x := d.executor
	x.mu.Lock()
	token := x.epoch
	x.mu.Unlock()
	ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), orderTimeout)
	answer, err := d.worker.Stop(ctx, d.order, token)
	cancel()
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil || answer != kqexecution.AnswerDone || x.info.Worker != d.name {
		return
	}
	d.entry.stoppedAt = x.holds
	x.wake()
}
