package kqdispatch

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqadmit"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtrace"
)

// Config sets up a Dispatcher.
type Config struct {
	// Boot names the agent process.
	Boot string
	// Answers bounds what is kept of answers.
	Answers kqanswer.Config
	// Class returns the targets of a class; ok is false where there is none.
	Class func(name string) (spec kqmodel.ClassSpec, ok bool)
	// Client makes the client of an endpoint; nil means NewClient.
	Client func(connections int) *http.Client
	// Tracer makes a span for the hop to the endpoint; may be nil.
	Tracer *kqtrace.Tracer
	// Now is the clock.
	Now func() time.Time
	// Events remembers what was decided; may be nil.
	Events *kqevent.Log
	// Counter receives breaches; nil counts none.
	Counter *kqinvariant.Counter
}

// Call is one attempt of a call that an entry sends.
type Call struct {
	// ID names the attempt.
	ID kqanswer.ID
	// Boot is the agent process that the entry means.
	Boot string
	// Class is the class of work.
	Class string
	// Endpoint names the endpoint.
	Endpoint string
	// Idempotent is true if the call may run more than once.
	Idempotent bool
	// NoQueue is true if the call is to be refused rather than queued.
	NoQueue bool
	// DeadlineLeft is the time until the caller stops waiting.
	DeadlineLeft time.Duration
	// Method is the HTTP method.
	Method string
	// Path is the path with its query.
	Path string
	// Headers go to the endpoint.
	Headers []kqanswer.Header
	// Body goes to the endpoint.
	Body []byte
}

// Emit sends one part of an answer with the present load of the endpoint.
type Emit func(p kqanswer.Piece, l kqadmit.Load) error

// Dispatcher runs the calls of one agent.
type Dispatcher struct {
	config  Config
	tomb    tomb.Tomb
	answers *kqanswer.Store
	latency *latencies

	mu        sync.Mutex
	endpoints map[string]*endpoint
	draining  bool
	open      int
	runs      map[kqanswer.ID]*execution
}

// New returns a Dispatcher with no endpoint.
func New(c Config) *Dispatcher {
	if c.Client == nil {
		c.Client = NewClient
	}
	d := &Dispatcher{config: c, answers: kqanswer.NewStore(c.Answers), latency: newLatencies(),
		endpoints: map[string]*endpoint{}, runs: map[kqanswer.ID]*execution{}}
	d.tomb.Go(d.loop)
	return d
}

const expireInterval = 500 * time.Millisecond

func (d *Dispatcher) loop() error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-t.C:
			now := d.config.Now()
			d.answers.Expire(now)
			d.expireEndpoints(now)
		}
	}
}

// expireEndpoints stops calls to endpoints that no longer announce themselves.
func (d *Dispatcher) expireEndpoints(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.endpoints {
		age := now.Sub(e.heardAt)
		if age > endpointSilence && !e.silent {
			e.silent = true
			d.config.Events.Emit(now, kqevent.EndpointGone, kqevent.Process(id), "not announced for %s", age.Round(time.Millisecond))
		}
		if age > endpointForgotten && e.gate.Idle() {
			e.client.CloseIdleConnections()
			delete(d.endpoints, id)
		}
	}
}

// Announce takes over what an endpoint says of itself.
func (d *Dispatcher) Announce(now time.Time, a EndpointAnnouncement) error {
	if a.ID == "" || len(a.Classes) == 0 || a.Slots < 1 || a.Connections < a.Slots || !a.Address.IsValid() {
		return kqresult.Errorf(kqresult.BadRequest, "an endpoint needs a name, classes, an address, slots of at least 1 and as many connections")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.endpoints[a.ID]
	if !ok || e.info.Address != a.Address || e.info.Slots != a.Slots || e.info.Connections != a.Connections {
		e = newEndpoint(now, a, d.config.Counter, d.config.Client(a.Connections))
		d.endpoints[a.ID] = e
		d.config.Events.Emit(now, kqevent.EndpointAnnounced, kqevent.Process(a.ID), "answers %s at %s", strings.Join(a.Classes, ", "), a.Address)
	}
	e.classes, e.heardAt, e.silent = a.Classes, now, false
	switch {
	case a.Leaving && !e.gate.Draining():
		e.gate.Drain()
		d.config.Events.Emit(now, kqevent.EndpointLeaving, kqevent.Process(a.ID), "announced by the endpoint")
	case !a.Leaving && !d.draining:
		e.gate.Resume()
	}
	return nil
}

// Leave stops new calls to an endpoint and reports whether it is known.
func (d *Dispatcher) MarkLeaving(now time.Time, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.endpoints[id]
	if ok && !e.gate.Draining() {
		e.gate.Drain()
		d.config.Events.Emit(now, kqevent.EndpointLeaving, kqevent.Process(id), "announced by the endpoint")
	}
	return ok
}

// Views lists the endpoints that are announced.
func (d *Dispatcher) Views() []EndpointView {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []EndpointView
	for id, e := range d.endpoints {
		if !e.silent {
			out = append(out, EndpointView{ID: id, Classes: e.classes, Connections: e.info.Connections,
				Leaving: e.gate.Draining(), Load: e.gate.Load()})
		}
	}
	slices.SortFunc(out, func(a, b EndpointView) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Drain refuses new calls and waits until none is open or ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	for _, e := range d.endpoints {
		e.gate.Drain()
	}
	d.mu.Unlock()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for d.OpenCalls() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d calls are still open", d.OpenCalls())
		case <-t.C:
		}
	}
	return nil
}

const drainPoll = 10 * time.Millisecond

// Open returns how many calls wait, run or are being read.
func (d *Dispatcher) OpenCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open + len(d.runs)
}

// Close ends the background work and cuts what still runs.
func (d *Dispatcher) Close() {
	d.tomb.Kill(nil)
	d.mu.Lock()
	for _, x := range d.runs {
		x.cancel()
	}
	d.mu.Unlock()
	_ = d.tomb.Wait()
}

// load returns the state of an endpoint, and whether it is known.
func (d *Dispatcher) load(id string) kqadmit.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.endpoints[id]; ok {
		return e.gate.Load()
	}
	return kqadmit.Load{}
}

func (d *Dispatcher) count(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open += n
}
