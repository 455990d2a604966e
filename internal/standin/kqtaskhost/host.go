// Package kqtaskhost is a stand-in for workers that run tasks under one lease
// each, and a ledger that checks what they really ran.
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

// ErrNoAnswer says that a worker did not answer.
var ErrNoAnswer = errors.New("no answer")

// Faults is what is wrong with one worker.
type Faults struct {
	// Down makes the worker unreachable.
	Down bool
	// Late is the share of orders that are carried out seconds later, unanswered.
	LateOrders float64
	// Fail makes every run end in failure.
	FailRuns bool
	// Hang makes every run stand still.
	HangRuns bool
}

const (
	stopTime  = 80 * time.Millisecond
	leastLate = 2 * time.Second
	mostLate  = 9 * time.Second
	pollEvery = 20 * time.Millisecond
)

// Size and Length say what a task takes and how long it runs.
type TaskSpecFunc func(task string) (size kqmodel.Resources, length time.Duration)

// Config sets up a Host.
type Config struct {
	// Seed draws which orders are late.
	Seed uint64
	// Capacity is what each incarnation has.
	Capacity kqmodel.Resources
	// Size says what tasks take and how long they run.
	TaskSpec TaskSpecFunc
	// Ledger checks what runs.
	Ledger *Ledger
	// Ready returns how long a standing task takes until it serves, which its progress
	// shows; 0 for a task that ends. May be nil.
	TimeToReady func(task string) time.Duration
	// Sent is told of each start that is sent to the machine, whatever becomes of it;
	// may be nil.
	OnStartSent func(r kqexecution.Run)
	// Births is true if a worker that starts again keeps its id and sends its time
	// of birth; otherwise it starts under another id and sends none.
	SendsBirthTime bool
	// MaxLease bounds how far ahead of its clock a worker takes the end of its
	// lease; 0 means without bound.
	MaxLease time.Duration
}

// Host is a machine on which one incarnation of a worker runs at a time.
type Host struct {
	config Config

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	life   int
	worker *worker
}

// worker is one incarnation.
type worker struct {
	host    *Host
	name    kqexecution.Incarnation
	began   time.Time
	token   uint64
	until   time.Duration
	watched time.Duration
	running map[kqexecution.Run]*run
	highest map[string]uint64
	ended   []kqexecution.RunEnd
	ends    uint64
	seen    uint64
	gone    bool
}

type run struct {
	began  time.Time
	length time.Duration
	size   kqmodel.Resources
	hang   bool
	stopAt time.Time
}

// New returns a Host with its first incarnation.
func New(name string, c Config) *Host {
	h := &Host{config: c, rng: rand.New(rand.NewPCG(c.Seed, 5))}
	h.Restart(name)
	return h
}

// Restart replaces the incarnation: what it ran is gone.
func (h *Host) Restart(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.worker != nil {
		h.worker.advance(time.Now())
		h.worker.gone = true
		for k := range h.worker.running {
			h.config.Ledger.left(k, h.worker.name)
		}
	}
	h.life++
	h.worker = &worker{host: h, name: h.incarnation(name), began: time.Now(), running: map[kqexecution.Run]*run{}, highest: map[string]uint64{}}
}

// incarnation names the next incarnation; mu is held.
func (h *Host) incarnation(name string) kqexecution.Incarnation {
	if !h.config.SendsBirthTime {
		return kqexecution.NewIncarnation(fmt.Sprintf("%s.%d", name, h.life), time.Time{})
	}
	// Two births are never in the same millisecond.
	born := time.Now().Truncate(time.Millisecond)
	if h.worker != nil {
		if last, _ := h.worker.name.Born(); !born.After(last) {
			born = last.Add(time.Millisecond)
		}
	}
	return kqexecution.NewIncarnation(name, born)
}

// readyAfter returns how long a standing task takes until it serves; 0 for others.
func (h *Host) readyAfter(task string) time.Duration {
	if h.config.TimeToReady == nil {
		return 0
	}
	return h.config.TimeToReady(task)
}

// Worker returns the name of the present incarnation.
func (h *Host) Incarnation() kqexecution.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker.name
}

func (h *Host) present() *worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker
}

// SetFaults sets what is wrong.
func (h *Host) SetFaults(f Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.worker.advance(time.Now())
	h.faults = f
}

// Connect returns the operations of a worker. Orders name the id alone, so that any
// incarnation of that id carries them out.
func (h *Host) Connect(worker kqexecution.Incarnation) kqexecution.Worker {
	c := connection{h, worker.ID()}
	return kqexecution.Worker{Start: c.start, Stop: c.stop, Hold: c.hold,
		Pace: func(context.Context, kqexecution.Run, uint64, int) (kqexecution.Answer, error) {
			return kqexecution.AnswerDone, nil
		}}
}

type connection struct {
	host *Host
	id   string
}

// order is one order to a worker. A start that is late is carried out by whichever
// incarnation of the id is there then; any other order by none but sentTo.
type order struct {
	isStart bool
	sentTo  *worker
	do      func(w *worker, revived bool) kqexecution.Answer
}

// call runs an order on the worker, now, late or never answered.
func (c connection) call(ctx context.Context, o order) (kqexecution.Answer, kqexecution.Clock, error) {
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults.Down {
		h.mu.Unlock()
		<-ctx.Done()
		h.mu.Lock()
		return "", 0, ErrNoAnswer
	}
	if h.rng.Float64() < h.faults.LateOrders {
		after := leastLate + time.Duration(h.rng.Int64N(int64(mostLate-leastLate)))
		o.sentTo = h.worker
		time.AfterFunc(after, func() { c.carryOut(o) })
		h.mu.Unlock()
		<-ctx.Done()
		h.mu.Lock()
		return "", 0, ErrNoAnswer
	}
	if h.worker.name.ID() != c.id {
		return kqexecution.AnswerOtherIncarnation, 0, nil
	}
	h.worker.advance(time.Now())
	return o.do(h.worker, false), h.worker.clock(time.Now()), nil
}

// carryOut runs a late order.
func (c connection) carryOut(o order) {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	w := c.host.worker
	if w.name.ID() == c.id && (o.isStart || o.sentTo == w) {
		w.advance(time.Now())
		o.do(w, o.sentTo != w)
	}
}

func (w *worker) clock(now time.Time) kqexecution.Clock { return kqexecution.Clock(now.Sub(w.began)) }

// advance brings the worker to a time: runs end, and a lease that has passed
// kills everything.
func (w *worker) advance(now time.Time) {
	lapsed := w.until > 0 && now.Sub(w.began) >= w.until
	for k, r := range w.running {
		done := r.began.Add(r.length)
		switch {
		case lapsed && !(done.Before(w.began.Add(w.until)) && !r.hang):
			w.end(k, kqexecution.EndLeaseExpired)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.end(k, kqexecution.EndStopped)
		case !r.hang && !now.Before(done):
			how := kqexecution.EndDone
			if w.host.faults.FailRuns {
				how = kqexecution.EndFailed
			}
			w.end(k, how)
		}
	}
	if lapsed {
		w.until = 0
	}
}

func (w *worker) end(k kqexecution.Run, how kqexecution.EndReason) {
	delete(w.running, k)
	w.ends++
	w.ended = append(w.ended, kqexecution.RunEnd{Number: w.ends, Run: k, Reason: how})
	w.highest[k.Task] = max(w.highest[k.Task], k.Number)
	w.host.config.Ledger.ended(k, w.name, how)
}

// advanceIn brings the worker to the time after a while.
func (w *worker) advanceIn(d time.Duration) {
	time.AfterFunc(d, func() {
		w.host.mu.Lock()
		defer w.host.mu.Unlock()
		if !w.gone {
			w.advance(time.Now())
		}
	})
}

// leaseChanged makes the end of the lease take effect in time.
func (w *worker) leaseChanged(now time.Time) {
	if w.until > w.watched {
		w.watched = w.until
		w.advanceIn(w.until - now.Sub(w.began))
	}
}

// bounded returns the end of a lease as far as the worker takes it.
func (w *worker) bounded(now time.Time, until kqexecution.Clock) time.Duration {
	most := w.host.config.MaxLease
	if most <= 0 {
		return time.Duration(until)
	}
	return min(time.Duration(until), now.Sub(w.began)+most)
}

func (w *worker) fenced(token uint64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (c connection) start(ctx context.Context, s kqexecution.Start) (kqexecution.Answer, kqexecution.Clock, error) {
	if sent := c.host.config.OnStartSent; sent != nil {
		sent(s.Run)
	}
	return c.call(ctx, order{isStart: true, do: func(w *worker, revived bool) kqexecution.Answer {
		now := time.Now()
		switch {
		case w.fenced(s.Token):
			return kqexecution.AnswerFenced
		case w.running[s.Run] != nil:
			return kqexecution.AnswerDone
		case s.Number <= w.highest[s.Task]:
			return kqexecution.AnswerAlreadyEnded
		case time.Duration(s.LeaseUntil) <= now.Sub(w.began):
			return kqexecution.AnswerLeaseExpired
		}
		w.until = max(w.until, w.bounded(now, s.LeaseUntil))
		size, length := w.host.config.TaskSpec(s.Task)
		w.running[s.Run] = &run{began: now, length: length, size: size, hang: w.host.faults.HangRuns}
		used := kqmodel.Resources{}
		for _, r := range w.running {
			used = used.Add(r.size)
		}
		w.host.config.Ledger.started(s.Run, w.name, used.FitsIn(w.host.config.Capacity), revived)
		w.advanceIn(length)
		w.leaseChanged(now)
		return kqexecution.AnswerDone
	}})
}

func (c connection) stop(ctx context.Context, r kqexecution.Run, token uint64) (kqexecution.Answer, error) {
	answer, _, err := c.call(ctx, order{do: func(w *worker, _ bool) kqexecution.Answer {
		if w.fenced(token) {
			return kqexecution.AnswerFenced
		}
		w.highest[r.Task] = max(w.highest[r.Task], r.Number)
		if x := w.running[r]; x != nil && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
			w.advanceIn(stopTime)
		}
		return kqexecution.AnswerDone
	}})
	return answer, err
}

// hold forgets ends as the question arrives, and then waits for others.
func (c connection) hold(ctx context.Context, q kqexecution.Hold) (kqexecution.Held, error) {
	deadline := time.Now().Add(q.Wait)
	to := c.host.present()
	for ; ; q.Acknowledged = 0 {
		var out kqexecution.Held
		answer, clock, err := c.call(ctx, order{do: func(w *worker, _ bool) kqexecution.Answer { return w.hold(q, &out) }})
		out.Answer, out.Clock = answer, clock
		if err != nil || answer != kqexecution.AnswerDone || len(out.Ended) > 0 || !time.Now().Before(deadline) {
			return out, err
		}
		select {
		case <-time.After(pollEvery):
			if c.host.present() != to {
				// The connection has ended with the worker.
				return kqexecution.Held{}, ErrNoAnswer
			}
		case <-ctx.Done():
			return out, ErrNoAnswer
		}
	}
}

// hold takes over the lease and lists what is there.
func (w *worker) hold(q kqexecution.Hold, out *kqexecution.Held) kqexecution.Answer {
	if w.fenced(q.Token) {
		return kqexecution.AnswerFenced
	}
	if len(w.running) > 0 || w.until > 0 {
		w.until = max(w.until, w.bounded(time.Now(), q.LeaseUntil))
		w.leaseChanged(time.Now())
	}
	for _, e := range w.ended {
		if e.Number <= q.Acknowledged && e.Number > w.seen {
			w.host.config.Ledger.noted(e, w.name)
		}
	}
	// What an earlier incarnation counted may be above what there is to forget.
	w.seen = max(w.seen, min(q.Acknowledged, w.ends))
	out.Ended, out.Running = nil, nil
	out.Born, _ = w.name.Born()
	for _, e := range w.ended {
		if e.Number > w.seen {
			out.Ended = append(out.Ended, e)
		}
	}
	now := time.Now()
	for k, r := range w.running {
		percent := 100 * float64(now.Sub(r.began)) / float64(max(1, r.length))
		if r.hang {
			percent = 1
		}
		percent = min(99, percent)
		if ready := w.host.readyAfter(k.Task); ready > 0 {
			percent = min(100, 100*float64(now.Sub(r.began))/float64(ready))
		}
		out.Running = append(out.Running, kqexecution.RunStatus{Run: k, Percent: percent})
	}
	return kqexecution.AnswerDone
}
