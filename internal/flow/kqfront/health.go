package kqfront

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

const (
	// outAfter is after how long without any answer, while some call waits for
	// one, the store counts as out, if it answers as usual otherwise.
	outAfter = 1100 * time.Millisecond
	// outFailures is how many calls in a row that broke off do the same.
	outFailures   = 4
	probeTimeout  = 1200 * time.Millisecond
	probeInterval = 250 * time.Millisecond
)

// health is what an entry believes of the store: while it is out, requests are
// refused at once, and only probes are sent.
type health struct {
	// speed lengthens the time after which the store counts as out.
	speed *kqrows.Speed

	mu          sync.Mutex
	answeredAt  time.Time
	waitingFrom time.Time
	failures    int
	probing     bool
}

// out reports whether requests should not wait for the store.
func (h *health) out(now time.Time) bool {
	return h.outFor(now) > 0
}

// outFor returns for how long requests should not have waited for the store; 0 if
// they should now.
func (h *health) outFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waitingFrom.IsZero() {
		return 0
	}
	silent := now.Sub(h.waitingFrom)
	if h.failures < outFailures && silent < h.speed.Limit(outAfter) {
		return 0
	}
	return max(1, silent)
}

// answered notes any answer of the store, also a refusal.
func (h *health) answered(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reopen(now)
}

func (h *health) reopen(now time.Time) {
	h.answeredAt, h.waitingFrom, h.failures = now, time.Time{}, 0
}

// unanswered notes a call that ended without an answer, and reports whether the
// caller should begin to probe.
func (h *health) unanswered(sent time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sent.Before(h.answeredAt) {
		return false
	}
	h.failures++
	if h.waitingFrom.IsZero() {
		h.waitingFrom = sent
	}
	begin := !h.probing
	h.probing = true
	return begin
}

// probed ends the probing once the store has answered.
func (h *health) probed(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reopen(now)
	h.probing = false
}

// isAnswer reports whether a call that ended so shows that the store is there.
func isAnswer(err error) bool {
	return !errors.Is(err, kqrows.ErrUnknown) && !errors.Is(err, kqrows.ErrUnreached)
}

// prober asks the store until it answers. It does not wait for the answer to one
// question before it puts the next: one that an outage caught stays unanswered
// after the store is back.
type prober struct {
	front *Frontend
	began time.Time
	done  chan struct{}
	once  sync.Once
}

func newProber(f *Frontend) *prober {
	return &prober{front: f, began: f.config.Now(), done: make(chan struct{})}
}

func (p *prober) run() {
	f := p.front
	told := false
	for {
		go (&probe{p}).run()
		select {
		case <-p.done:
			if now := f.config.Now(); told {
				f.config.Events.Emit(now, kqevent.StoreAnswers, kqevent.Process("store"), "after %s", now.Sub(p.began).Round(time.Millisecond))
			}
			return
		case <-time.After(probeInterval):
		}
		if now := f.config.Now(); !told && f.health.out(now) {
			told = true
			f.config.Events.Emit(now, kqevent.StoreSilent, kqevent.Process("store"), "no answer for %s", now.Sub(p.began).Round(time.Millisecond))
		}
	}
}

// probe is one question of a prober.
type probe struct{ prober *prober }

func (x *probe) run() {
	f := x.prober.front
	ctx, cancel := f.timed.Bound(context.Background(), probeTimeout)
	defer cancel()
	if _, _, err := f.timed.Store.Read(ctx, kqcontrol.SubmissionTable, probeName, kqcontrol.RangeEnd(probeName)); !isAnswer(err) {
		return
	}
	x.prober.once.Do(func() {
		f.health.probed(f.config.Now())
		close(x.prober.done)
	})
}

// probeName is no job's name, so nothing is read.
const probeName = "-"

// observed returns the store with each outcome of a call noted.
func (f *Frontend) observed() kqrows.Store {
	note := func(sent time.Time, err error) {
		switch {
		case isAnswer(err):
			f.health.answered(f.config.Now())
		case f.health.unanswered(sent):
			go newProber(f).run()
		}
	}
	s := f.timed.Store
	return kqrows.Store{
		Transact: func(ctx context.Context, t kqrows.Tx) (kqrows.Outcome, error) {
			sent := f.config.Now()
			o, err := s.Transact(ctx, t)
			note(sent, err)
			return o, err
		},
		Read: func(ctx context.Context, table, from, to string) ([]kqrows.Row, uint64, error) {
			sent := f.config.Now()
			rows, version, err := s.Read(ctx, table, from, to)
			note(sent, err)
			return rows, version, err
		},
		Follow: s.Follow,
	}
}
