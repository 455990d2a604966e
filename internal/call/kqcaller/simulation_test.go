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

// agent is one agent process with one endpoint.
type agent struct {
	simulation  *simulation
	index       int
	incarnation int
	dispatcher  *kqdispatch.Dispatcher
	alive       context.Context
	kill        context.CancelFunc
}

// simulation connects a Router with agents over a faulty network, in virtual time. The rates are
// probabilities from 0 to 1.
type simulation struct {
	router  *kqcaller.Router
	counter kqinvariant.Counter

	mu         sync.Mutex
	rng        *rand.Rand
	agents     []*agent
	runCounts  map[string]int
	lossRate   float64
	delayRate  float64
	silentRate float64
	breakRate  float64
}

func newSimulation(seed uint64, agents int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, seed)), runCounts: map[string]int{}}
	sim.router = kqcaller.New(kqcaller.Config{Routes: kqroute.Config{Zone: "a", CrossZoneDelay: time.Millisecond, Seed: seed, Counter: &sim.counter},
		Transport: kqcaller.Transport{Send: sim.send, Fetch: sim.fetch, Cancel: sim.cancel}, Retry: kqretry.DefaultRetryBudget,
		Hedge: kqretry.DefaultHedgeBudget, Now: time.Now, Counter: &sim.counter})
	for i := range agents {
		a := &agent{simulation: sim, index: i}
		sim.agents = append(sim.agents, a)
		a.start()
	}
	return sim
}

func (sim *simulation) chance(p float64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.Float64() < p
}

func (sim *simulation) randomBelow(d time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return time.Duration(sim.rng.Int64N(int64(d)))
}

func (a *agent) boot() string { return fmt.Sprintf("agent-%d-%d", a.index, a.incarnation) }

func (a *agent) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+a.index))
}

// start begins a new process of the agent with an empty dispatcher.
func (a *agent) start() {
	a.incarnation++
	a.alive, a.kill = context.WithCancel(context.Background())
	class := func(string) (kqmodel.ClassSpec, bool) {
		return kqmodel.ClassSpec{Kind: kqmodel.KindLatencyCritical, Latency: kqmodel.Duration(2 * time.Second)}, true
	}
	a.dispatcher = kqdispatch.New(kqdispatch.Config{Boot: a.boot(), Answers: kqanswer.Config{Retention: 30 * time.Second, WindowBytes: 4 << 10, MaxTotalBytes: 64 << 10},
		Class: class, Now: time.Now, Counter: &a.simulation.counter,
		Client: func(int) *http.Client { return &http.Client{Transport: &endpoint{agent: a, alive: a.alive}} }})
}

func (a *agent) announce(now time.Time, leaving bool) {
	_ = a.dispatcher.Announce(now, kqdispatch.EndpointAnnouncement{ID: "endpoint", Classes: []string{"lockdesk"}, Address: a.address(),
		Slots: 4, Connections: 16, Leaving: leaving})
	out := kqroute.Announcement{Worker: fmt.Sprint("worker-", a.index), Boot: a.boot(), Address: a.address(), Zone: "a"}
	for _, v := range a.dispatcher.Views() {
		out.Endpoints = append(out.Endpoints, kqroute.Endpoint{ID: v.ID, Classes: v.Classes, Connections: v.Connections, Leaving: v.Leaving, Load: v.Load})
	}
	a.simulation.router.ApplyAnnouncement(now, out)
}

// endpoint is the service that an agent sends calls to.
type endpoint struct {
	agent *agent
	alive context.Context
}

// RoundTrip runs one call. It fails if the call is cancelled or the agent process ends, and at
// breakRate after the call has run.
func (e *endpoint) RoundTrip(q *http.Request) (*http.Response, error) {
	sim := e.agent.simulation
	id := q.Header.Get("Kq-Call-Id")
	sim.mu.Lock()
	sim.runCounts[id]++
	sim.mu.Unlock()
	select {
	case <-q.Context().Done():
		return nil, q.Context().Err()
	case <-e.alive.Done():
		return nil, errBroken
	case <-time.After(5*time.Millisecond + sim.randomBelow(40*time.Millisecond)):
	}
	if sim.chance(sim.breakRate) {
		return nil, errBroken
	}
	body := "answer of " + id + strings.Repeat(".", int(sim.randomBelow(20_000)))
	return &http.Response{StatusCode: 200, Header: http.Header{"X-Id": {id}, "X-Length": {fmt.Sprint(len(body))}},
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)), Request: q}, nil
}

// stream carries the parts of an agent's answer over a connection that may be lost. A silent
// stream delivers nothing and fails after silenceTimeout.
type stream struct {
	simulation *simulation
	parts      chan kqcaller.Part
	ctx        context.Context
	cancel     context.CancelFunc
	silent     bool
}

// silenceTimeout is the time after which a silent connection is detected.
const silenceTimeout = 2 * time.Second

func (s *stream) next() (kqcaller.Part, error) {
	if s.silent {
		select {
		case <-s.ctx.Done():
		case <-time.After(silenceTimeout):
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

// emit returns the function with which the dispatcher sends the parts of a call's answer.
func (s *stream) emit(call string) kqdispatch.Emit {
	return func(p kqanswer.Piece, l kqadmit.Load) error {
		part := kqcaller.Part{CallID: call, Piece: p, Load: l, HasLoad: l.Slots > 0}
		if p.Failure != nil && p.Failure.Code.NotRun() {
			part.Piece.Failure, part.Refusal = nil, p.Failure
		}
		time.Sleep(s.simulation.randomBelow(3 * time.Millisecond))
		if s.simulation.chance(s.simulation.silentRate / 4) {
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

// openStream opens a stream and delivers its request by calling run. The request may be delayed,
// lost, or delivered after the stream has failed.
func (sim *simulation) openStream(ctx context.Context, a *agent, run func(ctx context.Context, d *kqdispatch.Dispatcher, s *stream) error) kqcaller.Stream {
	s := &stream{simulation: sim, parts: make(chan kqcaller.Part), silent: sim.chance(sim.silentRate)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	lost, late := sim.chance(sim.lossRate), sim.chance(sim.delayRate)
	alive, dispatcher := a.alive, a.dispatcher
	go func() {
		defer close(s.parts)
		time.Sleep(sim.randomBelow(3 * time.Millisecond))
		if late {
			time.Sleep(sim.randomBelow(4 * time.Second))
		}
		if lost || alive.Err() != nil {
			time.Sleep(silenceTimeout)
			return
		}
		connCtx := s.ctx
		if s.silent {
			// The agent does not detect that the connection is lost.
			connCtx = alive
		}
		handlerCtx, cancel := context.WithCancel(connCtx)
		defer cancel()
		stop := context.AfterFunc(alive, cancel)
		defer stop()
		_ = run(handlerCtx, dispatcher, s)
	}()
	return kqcaller.Stream{Next: s.next, Close: s.cancel}
}

func (sim *simulation) agentFor(ref kqroute.Ref) *agent {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.agents[int(ref.Agent.Port())-1000]
}

func (sim *simulation) send(ctx context.Context, now time.Time, ref kqroute.Ref, options kqcaller.AttemptOptions, r kqcaller.Request) (kqcaller.Stream, error) {
	return sim.openStream(ctx, sim.agentFor(ref), func(ctx context.Context, d *kqdispatch.Dispatcher, s *stream) error {
		return d.Call(ctx, kqdispatch.Call{ID: kqanswer.ID{Call: r.ID, Attempt: options.Number}, Boot: ref.Boot, Class: r.Class, Endpoint: ref.Endpoint,
			Idempotent: r.Idempotent, NoQueue: options.NoQueue, DeadlineLeft: r.Deadline.Sub(now), Method: r.Method, Path: r.Path}, s.emit(r.ID))
	}), nil
}

func (sim *simulation) fetch(ctx context.Context, _ time.Time, f kqcaller.FetchRequest) (kqcaller.Stream, error) {
	return sim.openStream(ctx, sim.agentFor(f.Ref), func(ctx context.Context, d *kqdispatch.Dispatcher, s *stream) error {
		return d.Fetch(ctx, kqanswer.ID{Call: f.CallID, Attempt: f.Attempt}, f.Ref.Boot, f.Age, f.Offset, f.HeadSeen, s.emit(f.CallID))
	}), nil
}

func (sim *simulation) cancel(_ time.Time, ref kqroute.Ref, call string, attempt uint32) {
	if !sim.chance(sim.lossRate) {
		sim.agentFor(ref).dispatcher.Cancel(kqanswer.ID{Call: call, Attempt: attempt})
	}
}
