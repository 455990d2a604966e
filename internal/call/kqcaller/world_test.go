package kqcaller_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqadmit"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqcaller"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqretry"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqdispatch"
)

var errBroken = errors.New("connection broken")

// agent is one agent process with its endpoint.
type agent struct {
	world      *world
	index      int
	life       int
	dispatcher *kqdispatch.Dispatcher
	alive      context.Context
	kill       context.CancelFunc
}

// world is callers, a network and agents in virtual time.
type world struct {
	caller  *kqcaller.Router
	counter kqinvariant.Counter

	mu     sync.Mutex
	rng    *rand.Rand
	agents []*agent
	begun  map[string]int
	loss   float64
	late   float64
	silent float64
	broken float64
}

func newWorld(seed uint64, agents int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, seed)), begun: map[string]int{}}
	w.caller = kqcaller.New(kqcaller.Config{Routes: kqroute.Config{Zone: "a", CrossZoneDelay: time.Millisecond, Seed: seed, Counter: &w.counter},
		Transport: kqcaller.Transport{Send: w.send, Fetch: w.fetch, Cancel: w.cancel}, Retry: kqretry.DefaultRetryBudget,
		Hedge: kqretry.DefaultHedgeBudget, Now: time.Now, Counter: &w.counter})
	for i := range agents {
		a := &agent{world: w, index: i}
		w.agents = append(w.agents, a)
		a.start()
	}
	return w
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < p
}

func (w *world) upTo(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (a *agent) boot() string { return fmt.Sprintf("agent-%d-%d", a.index, a.life) }

func (a *agent) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+a.index))
}

func (a *agent) start() {
	a.life++
	a.alive, a.kill = context.WithCancel(context.Background())
	class := func(string) (kqmodel.ClassSpec, bool) {
		return kqmodel.ClassSpec{Kind: kqmodel.KindLatencyCritical, Latency: kqmodel.Duration(2 * time.Second)}, true
	}
	a.dispatcher = kqdispatch.New(kqdispatch.Config{Boot: a.boot(), Answers: kqanswer.Config{Retention: 30 * time.Second, WindowBytes: 4 << 10, MaxTotalBytes: 64 << 10},
		Class: class, Now: time.Now, Counter: &a.world.counter,
		Client: func(int) *http.Client { return &http.Client{Transport: &endpoint{agent: a, alive: a.alive}} }})
}

func (a *agent) announce(now time.Time, leaving bool) {
	_ = a.dispatcher.Announce(now, kqdispatch.EndpointAnnouncement{ID: "endpoint", Classes: []string{"lockdesk"}, Address: a.address(),
		Slots: 4, Connections: 16, Leaving: leaving})
	out := kqroute.Announcement{Worker: fmt.Sprint("worker-", a.index), Boot: a.boot(), Address: a.address(), Zone: "a"}
	for _, v := range a.dispatcher.Views() {
		out.Endpoints = append(out.Endpoints, kqroute.Endpoint{ID: v.ID, Classes: v.Classes, Connections: v.Connections, Leaving: v.Leaving, Load: v.Load})
	}
	a.world.caller.ApplyAnnouncement(now, out)
}

// endpoint is the service behind an agent.
type endpoint struct {
	agent *agent
	alive context.Context
}

// RoundTrip runs one call; it may break off before the call or after it.
func (e *endpoint) RoundTrip(q *http.Request) (*http.Response, error) {
	w := e.agent.world
	id := q.Header.Get("Kq-Call-Id")
	w.mu.Lock()
	w.begun[id]++
	w.mu.Unlock()
	select {
	case <-q.Context().Done():
		return nil, q.Context().Err()
	case <-e.alive.Done():
		return nil, errBroken
	case <-time.After(5*time.Millisecond + w.upTo(40*time.Millisecond)):
	}
	if w.chance(w.broken) {
		return nil, errBroken
	}
	body := "answer of " + id + strings.Repeat(".", int(w.upTo(20_000)))
	return &http.Response{StatusCode: 200, Header: http.Header{"X-Id": {id}, "X-Length": {fmt.Sprint(len(body))}},
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)), Request: q}, nil
}

// stream carries the parts of an agent over a connection that may die.
type stream struct {
	world  *world
	parts  chan kqcaller.Part
	ctx    context.Context
	cancel context.CancelFunc
	silent bool
}

// silentFor is how long it takes until a silent connection is noticed.
const silentFor = 2 * time.Second

func (s *stream) next() (kqcaller.Part, error) {
	if s.silent {
		select {
		case <-s.ctx.Done():
		case <-time.After(silentFor):
		}
		return kqcaller.Part{}, errBroken
	}
	select {
	case p, ok := <-s.parts:
		if ok {
			return p, nil
		}
	case <-s.ctx.Done():
	}
	return kqcaller.Part{}, errBroken
}

func (s *stream) emit(call string) kqdispatch.Emit {
	return func(p kqanswer.Piece, l kqadmit.Load) error {
		part := kqcaller.Part{CallID: call, Piece: p, Load: l, HasLoad: l.Slots > 0}
		if p.Failure != nil && p.Failure.Code.NotRun() {
			part.Piece.Failure, part.Refusal = nil, p.Failure
		}
		time.Sleep(s.world.upTo(3 * time.Millisecond))
		if s.world.chance(s.world.silent / 4) {
			s.cancel()
		}
		select {
		case s.parts <- part:
			return nil
		case <-s.ctx.Done():
			return errBroken
		}
	}
}

// open begins a stream whose request is carried by run, perhaps late, perhaps
// never, perhaps after the stream has died.
func (w *world) open(ctx context.Context, a *agent, run func(ctx context.Context, d *kqdispatch.Dispatcher, s *stream) error) kqcaller.Stream {
	s := &stream{world: w, parts: make(chan kqcaller.Part), silent: w.chance(w.silent)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	lost, late := w.chance(w.loss), w.chance(w.late)
	alive, dispatcher := a.alive, a.dispatcher
	go func() {
		defer close(s.parts)
		time.Sleep(w.upTo(3 * time.Millisecond))
		if late {
			time.Sleep(w.upTo(4 * time.Second))
		}
		if lost || alive.Err() != nil {
			time.Sleep(silentFor)
			return
		}
		arrived := s.ctx
		if s.silent {
			// The agent does not see that the connection is dead.
			arrived = alive
		}
		both, cancel := context.WithCancel(arrived)
		defer cancel()
		stop := context.AfterFunc(alive, cancel)
		defer stop()
		_ = run(both, dispatcher, s)
	}()
	return kqcaller.Stream{Next: s.next, Close: s.cancel}
}

func (w *world) find(ref kqroute.Ref) *agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[int(ref.Agent.Port())-1000]
}

func (w *world) send(ctx context.Context, now time.Time, ref kqroute.Ref, t kqcaller.AttemptOptions, r kqcaller.Request) (kqcaller.Stream, error) {
	return w.open(ctx, w.find(ref), func(ctx context.Context, d *kqdispatch.Dispatcher, s *stream) error {
		return d.Call(ctx, kqdispatch.Call{ID: kqanswer.ID{Call: r.ID, Attempt: t.Number}, Boot: ref.Boot, Class: r.Class, Endpoint: ref.Endpoint,
			Idempotent: r.Idempotent, NoQueue: t.NoQueue, DeadlineLeft: r.Deadline.Sub(now), Method: r.Method, Path: r.Path}, s.emit(r.ID))
	}), nil
}

func (w *world) fetch(ctx context.Context, _ time.Time, f kqcaller.FetchRequest) (kqcaller.Stream, error) {
	return w.open(ctx, w.find(f.Ref), func(ctx context.Context, d *kqdispatch.Dispatcher, s *stream) error {
		return d.Fetch(ctx, kqanswer.ID{Call: f.CallID, Attempt: f.Attempt}, f.Ref.Boot, f.Age, f.Offset, f.HeadSeen, s.emit(f.CallID))
	}), nil
}

func (w *world) cancel(_ time.Time, ref kqroute.Ref, call string, attempt uint32) {
	if !w.chance(w.loss) {
		w.find(ref).dispatcher.Cancel(kqanswer.ID{Call: call, Attempt: attempt})
	}
}
