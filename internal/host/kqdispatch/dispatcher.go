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
	// Boot identifies the agent process.
	Boot string
	// Answers bounds the size and age of the answers that are kept.
	Answers kqanswer.Config
	// Class returns the targets of a class; ok is false if the class does not exist.
	Class func(name string) (spec kqmodel.ClassSpec, ok bool)
	// Client creates the HTTP client of an endpoint; nil means NewClient.
	Client func(connections int) *http.Client
	// Tracer creates a trace span for the request to the endpoint; it may be nil.
	Tracer *kqtrace.Tracer
	// Now is the clock.
	Now func() time.Time
	// Events is the log of decisions; it may be nil.
	Events *kqevent.Log
	// Counter counts invariant violations; nil counts none.
	Counter *kqinvariant.Counter
}

// Call is one attempt of a call that an entry sends.
type Call struct {
	// ID identifies the attempt.
	ID kqanswer.ID
	// Boot is the agent process to which the entry sends the call; empty means any.
	Boot string
	// Class is the class of work.
	Class string
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Idempotent is true if the call may run more than once.
	Idempotent bool
	// NoQueue is true if the call is to be refused instead of queued.
	NoQueue bool
	// DeadlineLeft is the time until the caller stops waiting.
	DeadlineLeft time.Duration
	// Method is the HTTP method.
	Method string
	// Path is the path with its query.
	Path string
	// Headers are the HTTP headers to send to the endpoint.
	Headers []kqanswer.Header
	// Body is the request body to send to the endpoint.
	Body []byte
}

// Emit sends one part of an answer together with the present load of the endpoint.
type Emit func(p kqanswer.Piece, l kqadmit.Load) error

// Dispatcher runs the calls of one agent.
type Dispatcher struct {
	config    Config
	tomb      tomb.Tomb
	answers   *kqanswer.Store
	latencies *latencies

	mu        sync.Mutex
	endpoints map[string]*endpoint
	draining  bool
	// openRequests is the number of Call and Fetch requests in progress.
	openRequests int
	executions   map[kqanswer.ID]*execution
}

// New returns a Dispatcher without endpoints and starts its background work.
func New(c Config) *Dispatcher {
	if c.Client == nil {
		c.Client = NewClient
	}
	d := &Dispatcher{config: c, answers: kqanswer.NewStore(c.Answers), latencies: newLatencies(),
		endpoints: map[string]*endpoint{}, executions: map[kqanswer.ID]*execution{}}
	d.tomb.Go(d.loop)
	return d
}

// expireInterval is how often old answers and unresponsive endpoints are checked for.
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

// expireEndpoints stops new calls to endpoints that have not announced themselves for
// announcementTimeout, and removes endpoints after endpointRetention once they have no calls.
func (d *Dispatcher) expireEndpoints(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.endpoints {
		age := now.Sub(e.lastAnnouncedAt)
		if age > announcementTimeout && !e.isUnresponsive {
			e.isUnresponsive = true
			d.config.Events.Emit(now, kqevent.EndpointGone, kqevent.Process(id), "not announced for %s", age.Round(time.Millisecond))
		}
		if age > endpointRetention && e.gate.Idle() {
			e.client.CloseIdleConnections()
			delete(d.endpoints, id)
		}
	}
}

// Announce applies the announcement of an endpoint. It returns an error if the announcement
// is invalid.
func (d *Dispatcher) Announce(now time.Time, a EndpointAnnouncement) error {
	if a.ID == "" || len(a.Classes) == 0 || a.Slots < 1 || a.Connections < a.Slots || !a.Address.IsValid() {
		return kqresult.Errorf(kqresult.BadRequest, "an endpoint announcement needs an ID, at least one class, an address, at least 1 slot, and at least as many connections as slots")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.endpoints[a.ID]
	if !ok || e.info.Address != a.Address || e.info.Slots != a.Slots || e.info.MaxConnections != a.Connections {
		e = newEndpoint(now, a, d.config.Counter, d.config.Client(a.Connections))
		d.endpoints[a.ID] = e
		d.config.Events.Emit(now, kqevent.EndpointAnnounced, kqevent.Process(a.ID), "answers %s at %s", strings.Join(a.Classes, ", "), a.Address)
	}
	e.classes, e.lastAnnouncedAt, e.isUnresponsive = a.Classes, now, false
	switch {
	case a.Leaving && !e.gate.Draining():
		e.gate.Drain()
		d.config.Events.Emit(now, kqevent.EndpointLeaving, kqevent.Process(a.ID), "announced by the endpoint")
	case !a.Leaving && !d.draining:
		e.gate.Resume()
	}
	return nil
}

// MarkLeaving stops new calls to an endpoint and reports whether the endpoint is known.
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

// Views returns the endpoints that announce themselves, ordered by ID.
func (d *Dispatcher) Views() []EndpointView {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []EndpointView
	for id, e := range d.endpoints {
		if !e.isUnresponsive {
			out = append(out, EndpointView{ID: id, Classes: e.classes, Connections: e.info.MaxConnections,
				Leaving: e.gate.Draining(), Load: e.gate.Load()})
		}
	}
	slices.SortFunc(out, func(a, b EndpointView) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Drain refuses new calls and waits until no call is open. If ctx ends first, it returns an
// error.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	for _, e := range d.endpoints {
		e.gate.Drain()
	}
	d.mu.Unlock()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for d.OpenCalls() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain did not finish: %d calls are still open", d.OpenCalls())
		case <-t.C:
		}
	}
	return nil
}

// drainPollInterval is how often a drain checks for open calls.
const drainPollInterval = 10 * time.Millisecond

// OpenCalls returns the number of Call and Fetch requests in progress plus the number of
// calls that run in an endpoint. It is 0 only if no call waits, runs or is being read.
func (d *Dispatcher) OpenCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openRequests + len(d.executions)
}

// Close stops the background work and cancels the calls that still run.
func (d *Dispatcher) Close() {
	d.tomb.Kill(nil)
	d.mu.Lock()
	for _, x := range d.executions {
		x.cancel()
	}
	d.mu.Unlock()
	_ = d.tomb.Wait()
}

// load returns the load of an endpoint, or the zero value if the endpoint is not known.
func (d *Dispatcher) load(id string) kqadmit.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.endpoints[id]; ok {
		return e.gate.Load()
	}
	return kqadmit.Load{}
}

// addOpenRequests changes the number of Call and Fetch requests in progress.
func (d *Dispatcher) addOpenRequests(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openRequests += n
}
