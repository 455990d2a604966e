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
	Late float64
	// Fail makes every run end in failure.
	Fail bool
	// Hang makes every run stand still.
	Hang bool
}

const (
	stopTime  = 80 * time.Millisecond
	leastLate = 2 * time.Second
	mostLate  = 9 * time.Second
	pollEvery = 20 * time.Millisecond
)

// Size and Length say what a task takes and how long it runs.
type Size func(task string) (size kqmodel.Resources, length time.Duration)

// Config sets up a Host.
type Config struct {
	// Seed draws which orders are late.
	Seed uint64
	// Capacity is what each incarnation has.
	Capacity kqmodel.Resources
	// Size says what tasks take and how long they run.
	Size Size
	// Ledger checks what runs.
	Ledger *Ledger
	// Ready returns how long a standing task takes until it serves, which its progress
	// shows; 0 for a task that ends. May be nil.
	Ready func(task string) time.Duration
	// Sent is told of each start that is sent to the machine, whatever becomes of it;
	// may be nil.
	Sent func(r kqexecution.Run)
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
	id      string
	began   time.Time
	token   uint64
	until   time.Duration
	watched time.Duration
	running map[kqexecution.Run]*run
	highest map[string]uint64
	ended   []kqexecution.End
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
			h.config.Ledger.left(k, h.worker.id)
		}
	}
	h.life++
	h.worker = &worker{host: h, id: fmt.Sprintf("%s.%d", name, h.life), began: time.Now(), running: map[kqexecution.Run]*run{}, highest: map[string]uint64{}}
}

// readyAfter returns how long a standing task takes until it serves; 0 for others.
func (h *Host) readyAfter(task string) time.Duration {
	if h.config.Ready == nil {
		return 0
	}
	return h.config.Ready(task)
}

// Worker returns the name of the present incarnation.
func (h *Host) Worker() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker.id
}

// SetFaults sets what is wrong.
func (h *Host) SetFaults(f Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.worker.advance(time.Now())
	h.faults = f
}

// Connect returns the operations of an incarnation.
func (h *Host) Connect(id string) kqexecution.Worker {
	c := connection{h, id}
	return kqexecution.Worker{Start: c.start, Stop: c.stop, Hold: c.hold,
		Pace: func(context.Context, kqexecution.Run, uint64, int) (kqexecution.Answer, error) {
			return kqexecution.AnswerDone, nil
		}}
}

type connection struct {
	host *Host
	id   string
}

// call runs an order on the worker, now, late or never answered.
func (c connection) call(ctx context.Context, order func(w *worker) kqexecution.Answer) (kqexecution.Answer, kqexecution.Clock, error) {
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults.Down {
		h.mu.Unlock()
		<-ctx.Done()
		h.mu.Lock()
		return "", 0, ErrNoAnswer
	}
	if h.rng.Float64() < h.faults.Late {
		after := leastLate + time.Duration(h.rng.Int64N(int64(mostLate-leastLate)))
		time.AfterFunc(after, func() { c.carryOut(order) })
		h.mu.Unlock()
		<-ctx.Done()
		h.mu.Lock()
		return "", 0, ErrNoAnswer
	}
	if h.worker.id != c.id {
		return kqexecution.AnswerOther, 0, nil
	}
	h.worker.advance(time.Now())
	return order(h.worker), h.worker.clock(time.Now()), nil
}

func (c connection) carryOut(order func(w *worker) kqexecution.Answer) {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	if c.host.worker.id == c.id {
		c.host.worker.advance(time.Now())
		order(c.host.worker)
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
			w.end(k, kqexecution.HowLapsed)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.end(k, kqexecution.HowStopped)
		case !r.hang && !now.Before(done):
			how := kqexecution.HowDone
			if w.host.faults.Fail {
				how = kqexecution.HowFailed
			}
			w.end(k, how)
		}
	}
	if lapsed {
		w.until = 0
	}
}

func (w *worker) end(k kqexecution.Run, how kqexecution.How) {
	delete(w.running, k)
	w.ends++
	w.ended = append(w.ended, kqexecution.End{Number: w.ends, Run: k, How: how})
	w.highest[k.Task] = max(w.highest[k.Task], k.Number)
	w.host.config.Ledger.ended(k, w.id, how)
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

func (w *worker) fenced(token uint64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (c connection) start(ctx context.Context, s kqexecution.Start) (kqexecution.Answer, kqexecution.Clock, error) {
	if sent := c.host.config.Sent; sent != nil {
		sent(s.Run)
	}
	return c.call(ctx, func(w *worker) kqexecution.Answer {
		now := time.Now()
		switch {
		case w.fenced(s.Token):
			return kqexecution.AnswerFenced
		case w.running[s.Run] != nil:
			return kqexecution.AnswerDone
		case s.Number <= w.highest[s.Task]:
			return kqexecution.AnswerOld
		case time.Duration(s.Until) <= now.Sub(w.began):
			return kqexecution.AnswerLate
		}
		w.until = max(w.until, time.Duration(s.Until))
		size, length := w.host.config.Size(s.Task)
		w.running[s.Run] = &run{began: now, length: length, size: size, hang: w.host.faults.Hang}
		used := kqmodel.Resources{}
		for _, r := range w.running {
			used = used.Add(r.size)
		}
		w.host.config.Ledger.started(s.Run, w.id, used.Fits(w.host.config.Capacity))
		w.advanceIn(length)
		w.leaseChanged(now)
		return kqexecution.AnswerDone
	})
}

func (c connection) stop(ctx context.Context, r kqexecution.Run, token uint64) (kqexecution.Answer, error) {
	answer, _, err := c.call(ctx, func(w *worker) kqexecution.Answer {
		if w.fenced(token) {
			return kqexecution.AnswerFenced
		}
		w.highest[r.Task] = max(w.highest[r.Task], r.Number)
		if x := w.running[r]; x != nil && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
			w.advanceIn(stopTime)
		}
		return kqexecution.AnswerDone
	})
	return answer, err
}

func (c connection) hold(ctx context.Context, q kqexecution.Hold) (kqexecution.Held, error) {
	deadline := time.Now().Add(q.Wait)
	for {
		var out kqexecution.Held
		answer, clock, err := c.call(ctx, func(w *worker) kqexecution.Answer { return w.hold(q, &out) })
		out.Answer, out.Clock = answer, clock
		if err != nil || answer != kqexecution.AnswerDone || len(out.Ended) > 0 || !time.Now().Before(deadline) {
			return out, err
		}
		select {
		case <-time.After(pollEvery):
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
		w.until = max(w.until, time.Duration(q.Until))
		w.leaseChanged(time.Now())
	}
	for _, e := range w.ended {
		if e.Number <= q.Seen && e.Number > w.seen {
			w.host.config.Ledger.noted(e, w.id)
		}
	}
	w.seen = max(w.seen, q.Seen)
	out.Ended, out.Running = nil, nil
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
		out.Running = append(out.Running, kqexecution.Running{Run: k, Percent: percent})
	}
	return kqexecution.AnswerDone
}
