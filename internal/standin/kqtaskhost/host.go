// Package kqtaskhost is a stand-in for workers that each run their tasks under a single
// lease. Its ledger records every start and end on the workers and checks them against the
// scheduler's guarantees.
package kqtaskhost

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// ErrNoAnswer is returned for an order that the worker did not answer. The worker may still
// carry it out later.
var ErrNoAnswer = errors.New("the worker did not answer")

// Faults holds the faults that are switched on for one worker.
type Faults struct {
	// Down makes the worker unreachable.
	Down bool
	// LateOrders is the share of orders, from 0 to 1, that are carried out 2 to 9 seconds
	// late and never answered.
	LateOrders float64
	// FailRuns makes every run end in failure.
	FailRuns bool
	// HangRuns makes every run that starts hang: it makes no progress and never completes.
	HangRuns bool
}

const (
	// stopTime is the time from a stop order to the end of the run.
	stopTime = 80 * time.Millisecond
	// minLateDelay and maxLateDelay bound the delay of a late order.
	minLateDelay = 2 * time.Second
	maxLateDelay = 9 * time.Second
	// pollInterval is how often a waiting hold looks for runs that have ended.
	pollInterval = 20 * time.Millisecond
)

// TaskSpecFunc returns the resources that a task uses and how long it runs.
type TaskSpecFunc func(task string) (resources kqmodel.Resources, runTime time.Duration)

// Config sets up a Host.
type Config struct {
	// Seed seeds the random choice of late orders and their delays.
	Seed uint64
	// Capacity is the capacity of each incarnation.
	Capacity kqmodel.Resources
	// TaskSpec returns the resources and the run time of a task.
	TaskSpec TaskSpecFunc
	// Ledger records and checks the runs.
	Ledger *Ledger
	// TimeToReady returns how long a long-running task takes until it is ready to serve;
	// its reported progress reaches 100 percent then. It returns 0 for a finite task. May be
	// nil.
	TimeToReady func(task string) time.Duration
	// OnStartSent is called for each start order sent to the host, whether or not it is
	// carried out; may be nil.
	OnStartSent func(r kqexecution.Run)
	// SendsBirthTime makes a restarted worker keep its id and report its time of birth.
	// Otherwise it restarts under a new id and reports none.
	SendsBirthTime bool
	// CrashAfter returns how long after its start a task crashes its worker; crashes is false if it does
	// not. May be nil.
	CrashAfter func(task string) (after time.Duration, crashes bool)
	// GuardsCapacity makes a worker refuse the starts that do not fit its capacity.
	GuardsCapacity bool
	// MaxLease bounds the lease that a worker accepts, measured from its own clock; 0 means
	// no bound.
	MaxLease time.Duration
}

// Host is a machine that runs one incarnation of a worker at a time.
type Host struct {
	name   string
	config Config

	mu           sync.Mutex
	rng          *rand.Rand
	faults       Faults
	incarnations int // number of incarnations so far
	worker       *worker
	// isDown is true from a crash until the next incarnation starts.
	isDown   bool
	capacity capacity
}

// worker is one incarnation of the host's worker. Its lease times are durations since start.
type worker struct {
	host         *Host
	incarnation  kqexecution.Incarnation
	start        time.Time
	highestToken uint64        // highest fencing token seen
	leaseUntil   time.Duration // end of the lease; 0 if there is none
	leaseTimerAt time.Duration // latest lease end for which a timer is set
	running      map[kqexecution.Run]*run
	highestRun   map[string]uint64 // by task: highest run number that ended or was stopped
	runEnds      []kqexecution.RunEnd
	endCount     uint64
	acknowledged uint64 // number up to which the owner has acknowledged ends
	replaced     bool   // a later incarnation has started
}

// run is a run in progress; stopAt is zero unless a stop was ordered.
type run struct {
	startedAt time.Time
	duration  time.Duration
	resources kqmodel.Resources
	hangs     bool
	stopAt    time.Time
}

// New returns a Host that runs the first incarnation of a worker.
func New(name string, c Config) *Host {
	h := &Host{name: name, config: c, rng: rand.New(rand.NewPCG(c.Seed, 5)), capacity: capacity{current: c.Capacity}}
	h.Restart(name)
	return h
}

// Restart replaces the current incarnation by a new one. The runs of the old incarnation are
// lost without an end.
func (h *Host) Restart(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.restart(name)
}

// restart is Restart with mu held.
func (h *Host) restart(name string) {
	if h.worker != nil && !h.isDown {
		h.endIncarnation()
	}
	h.isDown = false
	h.incarnations++
	h.worker = &worker{host: h, incarnation: h.nextIncarnation(name), start: time.Now(), running: map[kqexecution.Run]*run{}, highestRun: map[string]uint64{}}
}

// nextIncarnation returns the name of the next incarnation; mu is held.
func (h *Host) nextIncarnation(name string) kqexecution.Incarnation {
	if !h.config.SendsBirthTime {
		return kqexecution.NewIncarnation(fmt.Sprintf("%s.%d", name, h.incarnations), time.Time{})
	}
	// Incarnations are told apart by the millisecond of their birth, so that no two may
	// have the same.
	born := time.Now().Truncate(time.Millisecond)
	if h.worker != nil {
		if last, _ := h.worker.incarnation.Born(); !born.After(last) {
			born = last.Add(time.Millisecond)
		}
	}
	return kqexecution.NewIncarnation(name, born)
}

// timeToReady returns how long a long-running task takes until it is ready to serve, 0 for a
// finite task.
func (h *Host) timeToReady(task string) time.Duration {
	if h.config.TimeToReady == nil {
		return 0
	}
	return h.config.TimeToReady(task)
}

// Incarnation returns the name of the current incarnation.
func (h *Host) Incarnation() kqexecution.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker.incarnation
}

func (h *Host) currentWorker() *worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker
}

// SetFaults replaces the faults that are switched on.
func (h *Host) SetFaults(f Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.worker.advance(time.Now())
	h.faults = f
}

// Connect returns the operations of a worker. Orders are addressed by the worker's id alone:
// any incarnation with that id carries them out.
func (h *Host) Connect(worker kqexecution.Incarnation) kqexecution.Worker {
	c := connection{h, worker.ID()}
	return kqexecution.Worker{Start: c.start, Stop: c.stop, Hold: c.hold,
		Pace: func(context.Context, kqexecution.Run, uint64, int) (kqexecution.Answer, error) {
			return kqexecution.AnswerDone, nil
		}}
}

// connection delivers orders to the worker with the given id on a host.
type connection struct {
	host *Host
	id   string
}

// order is one order to a worker. A late start is carried out by the incarnation that runs
// under the same id at that time, any other late order only by the incarnation that it was
// sent to.
type order struct {
	isStart bool
	sentTo  *worker // set for late orders only
	apply   func(w *worker, sentToEarlier bool) kqexecution.Answer
}

// deliver applies an order to the worker and returns the answer and the worker's clock. With
// faults, the order is dropped or applied late; deliver then returns ErrNoAnswer once ctx has
// ended.
func (c connection) deliver(ctx context.Context, o order) (kqexecution.Answer, kqexecution.Clock, error) {
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isDown {
		return "", 0, ErrNoAnswer
	}
	if h.faults.Down {
		h.mu.Unlock()
		<-ctx.Done()
		h.mu.Lock()
		return "", 0, ErrNoAnswer
	}
	if h.rng.Float64() < h.faults.LateOrders {
		after := minLateDelay + time.Duration(h.rng.Int64N(int64(maxLateDelay-minLateDelay)))
		o.sentTo = h.worker
		time.AfterFunc(after, func() { c.deliverLate(o) })
		h.mu.Unlock()
		<-ctx.Done()
		h.mu.Lock()
		return "", 0, ErrNoAnswer
	}
	if h.worker.incarnation.ID() != c.id {
		return kqexecution.AnswerOtherIncarnation, 0, nil
	}
	h.worker.advance(time.Now())
	return o.apply(h.worker, false), h.worker.clock(time.Now()), nil
}

// deliverLate applies a late order.
func (c connection) deliverLate(o order) {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	w := c.host.worker
	if !c.host.isDown && w.incarnation.ID() == c.id && (o.isStart || o.sentTo == w) {
		w.advance(time.Now())
		o.apply(w, o.sentTo != w)
	}
}

func (w *worker) clock(now time.Time) kqexecution.Clock { return kqexecution.Clock(now.Sub(w.start)) }

// advance brings the worker's state to now: it ends the runs that are due, and every run if
// the lease has expired, except those that completed before it did. mu is held.
func (w *worker) advance(now time.Time) {
	leaseExpired := w.leaseUntil > 0 && now.Sub(w.start) >= w.leaseUntil
	for k, r := range w.running {
		done := r.startedAt.Add(r.duration)
		switch {
		case leaseExpired && !(done.Before(w.start.Add(w.leaseUntil)) && !r.hangs):
			w.endRun(k, kqexecution.EndLeaseExpired)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.endRun(k, kqexecution.EndStopped)
		case !r.hangs && !now.Before(done):
			reason := kqexecution.EndDone
			if w.host.faults.FailRuns {
				reason = kqexecution.EndFailed
			}
			w.endRun(k, reason)
		}
	}
	if leaseExpired {
		w.leaseUntil = 0
	}
}

func (w *worker) endRun(k kqexecution.Run, reason kqexecution.EndReason) {
	delete(w.running, k)
	w.endCount++
	w.runEnds = append(w.runEnds, kqexecution.RunEnd{Number: w.endCount, Run: k, Reason: reason})
	w.highestRun[k.Task] = max(w.highestRun[k.Task], k.Number)
	w.host.config.Ledger.ended(k, w.incarnation, reason)
}

// advanceAfter advances the worker once d has passed, unless it has been replaced by then.
func (w *worker) advanceAfter(d time.Duration) {
	time.AfterFunc(d, func() {
		w.host.mu.Lock()
		defer w.host.mu.Unlock()
		if !w.replaced {
			w.advance(time.Now())
		}
	})
}

// watchLease advances the worker when its lease ends, so that runs are ended in time without
// a further order.
func (w *worker) watchLease(now time.Time) {
	if w.leaseUntil > w.leaseTimerAt {
		w.leaseTimerAt = w.leaseUntil
		w.advanceAfter(w.leaseUntil - now.Sub(w.start))
	}
}

// boundLease returns the end of a lease, limited to MaxLease from now.
func (w *worker) boundLease(now time.Time, until kqexecution.Clock) time.Duration {
	limit := w.host.config.MaxLease
	if limit <= 0 {
		return time.Duration(until)
	}
	return min(time.Duration(until), now.Sub(w.start)+limit)
}

// fenced reports whether a higher fencing token than token was seen; otherwise it records
// token.
func (w *worker) fenced(token uint64) bool {
	if token < w.highestToken {
		return true
	}
	w.highestToken = token
	return false
}

func (c connection) start(ctx context.Context, s kqexecution.Start) (kqexecution.Answer, kqexecution.Clock, error) {
	if onSent := c.host.config.OnStartSent; onSent != nil {
		onSent(s.Run)
	}
	return c.deliver(ctx, order{isStart: true, apply: func(w *worker, sentToEarlier bool) kqexecution.Answer {
		now := time.Now()
		switch {
		case w.fenced(s.Token):
			return kqexecution.AnswerFenced
		case w.running[s.Run] != nil:
			return kqexecution.AnswerDone
		case s.Number <= w.highestRun[s.Task]:
			return kqexecution.AnswerAlreadyEnded
		case time.Duration(s.LeaseUntil) <= now.Sub(w.start):
			return kqexecution.AnswerLeaseExpired
		}
		resources, duration := w.host.config.TaskSpec(s.Task)
		used := w.used().Add(resources)
		if w.host.config.GuardsCapacity && !used.FitsIn(w.host.capacity.current) {
			return kqexecution.AnswerNoCapacity
		}
		w.leaseUntil = max(w.leaseUntil, w.boundLease(now, s.LeaseUntil))
		w.running[s.Run] = &run{startedAt: now, duration: duration, resources: resources, hangs: w.host.faults.HangRuns}
		w.host.config.Ledger.started(s.Run, w.incarnation, w.host.capacity.allows(now, used), sentToEarlier)
		w.crashIfPoison(s.Run)
		w.advanceAfter(duration)
		w.watchLease(now)
		return kqexecution.AnswerDone
	}})
}

func (c connection) stop(ctx context.Context, r kqexecution.Run, token uint64) (kqexecution.Answer, error) {
	answer, _, err := c.deliver(ctx, order{apply: func(w *worker, _ bool) kqexecution.Answer {
		if w.fenced(token) {
			return kqexecution.AnswerFenced
		}
		w.highestRun[r.Task] = max(w.highestRun[r.Task], r.Number)
		if x := w.running[r]; x != nil && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
			w.advanceAfter(stopTime)
		}
		return kqexecution.AnswerDone
	}})
	return answer, err
}

// hold drops the acknowledged ends once, with the first delivery, and then waits up to q.Wait
// for new ends.
func (c connection) hold(ctx context.Context, q kqexecution.Hold) (kqexecution.Held, error) {
	deadline := time.Now().Add(q.Wait)
	target := c.host.currentWorker()
	for ; ; q.Acknowledged = 0 {
		var out kqexecution.Held
		answer, clock, err := c.deliver(ctx, order{apply: func(w *worker, _ bool) kqexecution.Answer { return w.hold(q, &out) }})
		out.Answer, out.Clock = answer, clock
		if err != nil || answer != kqexecution.AnswerDone || len(out.Ended) > 0 || !time.Now().Before(deadline) {
			return out, err
		}
		select {
		case <-time.After(pollInterval):
			if c.host.currentWorker() != target {
				// The connection ended with the incarnation that it led to.
				return kqexecution.Held{}, ErrNoAnswer
			}
		case <-ctx.Done():
			return out, ErrNoAnswer
		}
	}
}

// hold applies the new lease and lists the running and ended runs.
func (w *worker) hold(q kqexecution.Hold, out *kqexecution.Held) kqexecution.Answer {
	if w.fenced(q.Token) {
		return kqexecution.AnswerFenced
	}
	if len(w.running) > 0 || w.leaseUntil > 0 {
		w.leaseUntil = max(w.leaseUntil, w.boundLease(time.Now(), q.LeaseUntil))
		w.watchLease(time.Now())
	}
	for _, e := range w.runEnds {
		if e.Number <= q.Acknowledged && e.Number > w.acknowledged {
			w.host.config.Ledger.acknowledged(e, w.incarnation)
		}
	}
	// Acknowledged may come from an earlier incarnation and exceed the ends of this one.
	w.acknowledged = max(w.acknowledged, min(q.Acknowledged, w.endCount))
	out.Ended, out.Running = nil, nil
	out.Born, _ = w.incarnation.Born()
	for _, e := range w.runEnds {
		if e.Number > w.acknowledged {
			out.Ended = append(out.Ended, e)
		}
	}
	now := time.Now()
	for k, r := range w.running {
		percent := 100 * float64(now.Sub(r.startedAt)) / float64(max(1, r.duration))
		if r.hangs {
			percent = 1
		}
		percent = min(99, percent)
		if ready := w.host.timeToReady(k.Task); ready > 0 {
			percent = min(100, 100*float64(now.Sub(r.startedAt))/float64(ready))
		}
		out.Running = append(out.Running, kqexecution.RunStatus{Run: k, Percent: percent})
	}
	return kqexecution.AnswerDone
}
