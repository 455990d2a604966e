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
	// unavailableAfter is the time without any answer, counted from when an unanswered call was
	// sent, after which a store of usual speed counts as unavailable.
	unavailableAfter = 1100 * time.Millisecond
	// maxFailures is the number of consecutive unanswered calls after which the store counts as
	// unavailable.
	maxFailures   = 4
	probeTimeout  = 1200 * time.Millisecond
	probeInterval = 250 * time.Millisecond
)

// storeHealth detects whether the store is available to an entry. While it is not, requests are
// refused at once and only probes are sent.
type storeHealth struct {
	// latency lengthens unavailableAfter when the store is slow.
	latency *kqrows.LatencyTracker

	mu         sync.Mutex
	answeredAt time.Time
	// unansweredSince is when the first unanswered call since the latest answer was sent; zero if
	// there is none.
	unansweredSince time.Time
	// failures counts the consecutive unanswered calls.
	failures int
	probing  bool
}

// isUnavailable reports whether requests must not wait for the store.
func (h *storeHealth) isUnavailable(now time.Time) bool {
	return h.unavailableFor(now) > 0
}

// unavailableFor returns the time since the first unanswered call if the store counts as
// unavailable, or 0 if it does not.
func (h *storeHealth) unavailableFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unansweredSince.IsZero() {
		return 0
	}
	unanswered := now.Sub(h.unansweredSince)
	if h.failures < maxFailures && unanswered < h.latency.Timeout(unavailableAfter) {
		return 0
	}
	return max(1, unanswered)
}

// recordAnswer records an answer of the store, which may be a refusal.
func (h *storeHealth) recordAnswer(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markAvailable(now)
}

// markAvailable resets the failures after an answer; mu is held.
func (h *storeHealth) markAvailable(now time.Time) {
	h.answeredAt, h.unansweredSince, h.failures = now, time.Time{}, 0
}

// recordFailure records a call that ended without an answer, and reports whether the caller must
// start probing. Calls that were sent before the latest answer are ignored.
func (h *storeHealth) recordFailure(sent time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sent.Before(h.answeredAt) {
		return false
	}
	h.failures++
	if h.unansweredSince.IsZero() {
		h.unansweredSince = sent
	}
	startProbing := !h.probing
	h.probing = true
	return startProbing
}

// endProbing records that the store has answered a probe.
func (h *storeHealth) endProbing(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markAvailable(now)
	h.probing = false
}

// isAnswer reports whether a call that returned err was answered by the store.
func isAnswer(err error) bool {
	return !errors.Is(err, kqrows.ErrUnknown) && !errors.Is(err, kqrows.ErrUnreachable)
}

// prober probes the store until it answers. It sends probes at a fixed interval without waiting
// for earlier ones: a probe that was in flight during an outage remains unanswered after the
// store is available again.
type prober struct {
	frontend  *Frontend
	startedAt time.Time
	done      chan struct{}
	once      sync.Once
}

func newProber(f *Frontend) *prober {
	return &prober{frontend: f, startedAt: f.config.Now(), done: make(chan struct{})}
}

func (p *prober) run() {
	f := p.frontend
	logged := false
	for {
		go (&probe{p}).run()
		select {
		case <-p.done:
			if now := f.config.Now(); logged {
				f.config.Events.Emit(now, kqevent.StoreResponsive, kqevent.Process("store"), "the store answers again after %s", now.Sub(p.startedAt).Round(time.Millisecond))
			}
			return
		case <-time.After(probeInterval):
		}
		if now := f.config.Now(); !logged && f.health.isUnavailable(now) {
			logged = true
			f.config.Events.Emit(now, kqevent.StoreUnresponsive, kqevent.Process("store"), "the store has not answered for %s", now.Sub(p.startedAt).Round(time.Millisecond))
		}
	}
}

// probe is one probe of a prober.
type probe struct{ prober *prober }

func (p *probe) run() {
	f := p.prober.frontend
	ctx, cancel := f.timedStore.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if _, _, err := f.timedStore.Store.Read(ctx, kqcontrol.SubmissionTable, probeKey, kqcontrol.RangeEnd(probeKey)); !isAnswer(err) {
		return
	}
	p.prober.once.Do(func() {
		f.health.endProbing(f.config.Now())
		close(p.prober.done)
	})
}

// probeKey is not the ID of any job, so probes read no rows.
const probeKey = "-"

// observeStore returns the store with the outcome of each call recorded, except for Follow.
func (f *Frontend) observeStore() kqrows.Store {
	record := func(sent time.Time, err error) {
		switch {
		case isAnswer(err):
			f.health.recordAnswer(f.config.Now())
		case f.health.recordFailure(sent):
			go newProber(f).run()
		}
	}
	s := f.timedStore.Store
	return kqrows.Store{
		Transact: func(ctx context.Context, t kqrows.Tx) (kqrows.Outcome, error) {
			sent := f.config.Now()
			o, err := s.Transact(ctx, t)
			record(sent, err)
			return o, err
		},
		Read: func(ctx context.Context, table, from, to string) ([]kqrows.Row, uint64, error) {
			sent := f.config.Now()
			rows, version, err := s.Read(ctx, table, from, to)
			record(sent, err)
			return rows, version, err
		},
		Follow: s.Follow,
	}
}
