// Package kqentry implements the entry, the process behind the platform's load balancer.
// An entry serves callers' calls, job submissions and operators, and keeps no durable
// state of its own.
package kqentry

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqcaller"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqclaim"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqremote"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqretry"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqmember"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqprocess"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtls"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtoken"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtrace"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// Config holds the settings and dependencies of an Entry.
type Config struct {
	// ID is the name of the entry.
	ID string
	// Zone is the availability zone of the entry.
	Zone string
	// Listen is the address to serve on; port 0 selects a free port.
	Listen netip.AddrPort
	// Advertise is the address that other processes connect to; the zero value means the
	// address that is served.
	Advertise netip.AddrPort
	// Cells is the number of cells that the workers are grouped into.
	Cells int
	// Seeds are the addresses of entries given in the settings.
	Seeds []netip.AddrPort
	// Identity secures the connections with agents, entries, callers and operators; nil
	// leaves them unencrypted.
	Identity *kqtls.Identity
	// OperatorToken guards the configuration and the views of the fleet.
	OperatorToken kqtoken.File
	// Guard limits what clients hold; nil derives the limits from the host.
	Guard *kqserver.Guard
	// Table is the platform's table.
	Table kqtable.Table
	// CrossZoneDelay is the extra round-trip time of a call to another availability zone.
	CrossZoneDelay time.Duration
	// Policy ranks the endpoints; all policies but the default are for benchmarks.
	Policy kqroute.Policy
	// Hedge is the budget for hedged calls, which are sent to a second endpoint; zero
	// disables hedging.
	Hedge kqretry.BudgetConfig
	// DefaultDeadline applies to calls without a Kq-Deadline header.
	DefaultDeadline time.Duration
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64
	// DrainTimeout is the longest time that Drain waits for open calls.
	DrainTimeout time.Duration
	// Seed seeds the random choice of candidate endpoints.
	Seed uint64
	// Now returns the current time.
	Now func() time.Time
	// Events records the decisions of the entry.
	Events *kqevent.Log
	// Tracer creates trace spans; may be nil.
	Tracer *kqtrace.Tracer
	// Counter counts invariant violations.
	Counter *kqinvariant.Counter
}

const (
	tickInterval  = 200 * time.Millisecond
	syncInterval  = 1 * time.Second
	renewInterval = 5 * time.Second
	storeTimeout  = 3 * time.Second
)

// Entry is a running entry process.
type Entry struct {
	config       Config
	boot         string
	address      netip.AddrPort
	tomb         tomb.Tomb
	configHolder *kqconfig.Holder
	configStore  kqconfig.Store
	router       *kqcaller.Router
	claimer      *kqclaim.Claimer
	roster       *kqmember.Roster
	dialer       kqlink.Dialer
	peerClient   *http.Client
	pool         *kqlink.Pool
	announcer    *kqmember.Announcer
	server       *kqserver.Server
	metrics      *metrics
	callStats    callStats

	mu               sync.Mutex
	draining         bool
	openCallCount    int
	storeUnavailable bool
	startedAt        time.Time
	warmedUp         bool
}

// Start starts an entry: it listens, announces itself to the other entries and serves.
func Start(c Config) (*Entry, error) {
	e := &Entry{config: c, boot: kqprocess.NewBootID(), roster: kqmember.NewRoster(), dialer: kqlink.Dialer{TLS: c.Identity.ClientConfig()}}
	e.peerClient = e.dialer.NewClient()
	e.configHolder = kqconfig.NewHolder(kqconfig.HolderConfig{Process: c.ID, Events: c.Events, Counter: c.Counter, OnChange: e.configChanged})
	e.configStore = kqconfig.Store{Resolver: kqtable.Resolver{Table: c.Table, Wait: kqtable.Sleep}}
	e.claimer = kqclaim.New(kqclaim.Config{Resolver: e.configStore.Resolver, Now: c.Now})
	e.pool = kqlink.NewPool(kqlink.Config{Dialer: e.dialer, Options: kqlink.ClientOptions(c.Tracer.ClientOptions()...), OnReplace: e.connectionReplaced})
	e.router = kqcaller.New(kqcaller.Config{
		Routes:    kqroute.Config{Zone: c.Zone, CrossZoneDelay: c.CrossZoneDelay, Seed: c.Seed, Policy: c.Policy, Counter: c.Counter, OnChange: e.endpointChanged},
		Transport: kqremote.NewClient(e.pool).Transport(), Retry: kqretry.DefaultRetryBudget, Hedge: c.Hedge,
		Now: c.Now, Events: c.Events, Counter: c.Counter})
	server, err := kqserver.Listen(kqserver.Config{Listen: c.Listen, TLS: c.Identity.ServerConfig(), Guard: c.Guard, Timeout: e.bodyTimeout})
	if err != nil {
		e.pool.Close()
		e.claimer.Close()
		return nil, err
	}
	e.server = server
	e.startedAt = c.Now()
	e.address = c.Advertise
	if !e.address.IsValid() {
		e.address = server.Addr()
	}
	e.announcer = kqmember.Start(kqmember.Config{SelfID: c.ID, Seeds: c.Seeds, Dialer: e.dialer, Table: c.Table, NewAnnouncement: e.announcement,
		Holder: e.configHolder, Now: c.Now, Events: c.Events})
	e.tomb.Go(e.loop)
	server.Serve(e.handler())
	c.Events.Emit(c.Now(), kqevent.ProcessStarted, kqevent.Process(c.ID), "entry process %s listens on %s", e.boot, server.Addr())
	return e, nil
}

// Addr returns the address that the entry listens on.
func (e *Entry) Addr() netip.AddrPort { return e.server.Addr() }

// Traffic returns the counters of the bytes that the entry received and sent.
func (e *Entry) Traffic() *kqserver.Traffic { return e.server.Traffic() }

// ConfigSequence returns the sequence number of the configuration in force.
func (e *Entry) ConfigSequence() uint64 { return e.configHolder.Sequence() }

// Roster returns the processes that have announced themselves to this entry.
func (e *Entry) Roster() *kqmember.Roster { return e.roster }

// loop expires agents that no longer announce themselves, ejects slow endpoints and keeps
// the entry's own row in the roster up to date. It also starts the loops that synchronize
// with the table and delete expired rows.
func (e *Entry) loop() error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	syncer := &tableSync{entry: e}
	e.tomb.Go(syncer.loop)
	e.tomb.Go(newSweeper(e).loop)
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case <-tick.C:
			now := e.config.Now()
			e.router.Tick(now)
			e.roster.Update(now, e.self())
		}
	}
}

const (
	// warmUpTime is how long an entry collects announcements before it accepts calls.
	warmUpTime = 2 * kqmember.AnnounceInterval
	// maxWarmUpTime is the time after which an entry accepts calls even if no endpoint is
	// ready or it has no configuration.
	maxWarmUpTime = 10 * time.Second
)

// Ready reports whether the load balancer may send calls: the entry has warmed up and is not
// draining. It has warmed up once it has a configuration and a ready endpoint and warmUpTime
// has passed, but no later than after maxWarmUpTime.
func (e *Entry) Ready() bool {
	now := e.config.Now()
	ready := e.ReadyEndpoints() > 0 && e.configHolder.Sequence() > 0
	e.mu.Lock()
	defer e.mu.Unlock()
	age := now.Sub(e.startedAt)
	e.warmedUp = e.warmedUp || (ready && age >= warmUpTime) || age >= maxWarmUpTime
	return e.warmedUp && !e.draining
}

func (e *Entry) self() kqmember.Process {
	return kqmember.Process{ID: e.config.ID, IsEntry: true, Boot: e.boot, Address: e.address, Zone: e.config.Zone,
		Draining: e.isDraining(), ConfigSequence: e.configHolder.Sequence()}
}

func (e *Entry) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// tableSync keeps an entry's configuration up to date with the table and renews the
// entry's row there.
type tableSync struct {
	entry     *Entry
	renewedAt time.Time
}

func (s *tableSync) loop() error {
	e := s.entry
	t := time.NewTicker(syncInterval)
	defer t.Stop()
	for {
		ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), storeTimeout)
		err := e.configStore.Refresh(ctx, e.config.Now, e.configHolder)
		e.setStoreState(err)
		if now := e.config.Now(); err == nil && now.Sub(s.renewedAt) >= renewInterval && !e.isDraining() {
			s.renew(ctx, now)
		}
		cancel()
		select {
		case <-e.tomb.Dying():
			return nil
		case <-t.C:
		}
	}
}

// entryRowTTL is the age of the last renewal beyond which other entries delete an entry's
// row.
const entryRowTTL = 12 * renewInterval

// renew writes the entry's own row and deletes those of entries that have not renewed
// theirs within entryRowTTL.
func (s *tableSync) renew(ctx context.Context, now time.Time) {
	e := s.entry
	t := kqtable.Transaction{Writes: []kqtable.Write{{Key: kqmember.EntryPrefix + e.config.ID,
		Value: kqtable.Encode(kqmember.Entry{ID: e.config.ID, Address: e.address, RenewedAt: now.UTC()})}}}
	// The announcer logs the rows that cannot be decoded.
	if others, err := kqmember.ReadEntries(ctx, e.config.Table, func(kqtable.Row, error) {}); err == nil {
		for _, other := range others {
			if other.ID != e.config.ID && now.Sub(other.RenewedAt) > entryRowTTL {
				t.Writes = append(t.Writes, kqtable.Write{Key: kqmember.EntryPrefix + other.ID, Delete: true})
			}
		}
	}
	if _, err := e.config.Table.Transact(ctx, t); err == nil {
		s.renewedAt = now
	}
}

func (e *Entry) setStoreState(err error) {
	e.mu.Lock()
	wasUnavailable := e.storeUnavailable
	e.storeUnavailable = err != nil
	e.mu.Unlock()
	switch {
	case err != nil && !wasUnavailable:
		e.config.Events.Emit(e.config.Now(), kqevent.StoreUnavailable, kqevent.Process(e.config.ID), "%v", err)
	case err == nil && wasUnavailable:
		e.config.Events.Emit(e.config.Now(), kqevent.StoreAvailable, kqevent.Process(e.config.ID), "the table responds again")
	}
}

// configChanged starts to track how long a new sequence takes to reach all processes.
func (e *Entry) configChanged(now time.Time, sequence uint64) {
	for _, a := range e.configHolder.All() {
		if a.Sequence == sequence {
			e.roster.TrackPropagation(now, sequence, a.AcceptedAt)
		}
	}
}

func (e *Entry) connectionReplaced(now time.Time, peer netip.AddrPort) {
	e.config.Events.Emit(now, kqevent.ConnectionReplaced, kqevent.Process(e.config.ID), "agent at %s did not answer a probe; its connection is replaced", peer)
}

// changeEvents maps the kinds of endpoint changes to event numbers.
var changeEvents = map[kqroute.ChangeKind]kqevent.Number{
	kqroute.ChangeAnnounced: kqevent.EndpointAnnounced,
	kqroute.ChangeLeaving:   kqevent.EndpointLeaving,
	kqroute.ChangeGone:      kqevent.EndpointGone,
	kqroute.ChangeEjected:   kqevent.EndpointEjected,
	kqroute.ChangeRestored:  kqevent.EndpointRestored,
}

func (e *Entry) endpointChanged(now time.Time, c kqroute.Change) {
	e.config.Events.Emit(now, changeEvents[c.Kind], kqevent.Worker(c.Worker), "endpoint %s: %s", c.Endpoint, c.Reason)
}

func (e *Entry) announcement(time.Time) *kqwire.AnnounceRequest {
	return &kqwire.AnnounceRequest{EntryId: e.config.ID, AgentBoot: e.boot, Address: e.address.String(), Zone: e.config.Zone, Draining: e.isDraining()}
}

func (e *Entry) handler() http.Handler {
	monitor := kqprocess.New(kqprocess.Config{Ready: e.Ready, Counter: e.config.Counter})
	monitor.AddGauge("config_sequence", "Configuration sequence in force.", func() float64 { return float64(e.configHolder.Sequence()) })
	monitor.AddGauge("calls_open", "Calls that are under way.", func() float64 { return float64(e.openCalls()) })
	e.metrics = newMetrics(monitor.Registry)
	monitor.Registry.MustRegister(e.server.Guard())
	r := bunrouter.New(bunrouter.WithNotFoundHandler(notFound))
	monitor.AddRoutes(r)
	e.routes(r)
	mux := http.NewServeMux()
	path, h := kqwire.NewEntryServiceHandler(&service{entry: e}, kqlink.HandlerOptions(e.config.Tracer.HandlerOptions()...)...)
	mux.Handle(path, h)
	mux.Handle("/", r)
	return mux
}

func (e *Entry) openCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openCallCount
}

// Drain shuts the entry down. It withdraws readiness, so that /readyz fails and the load
// balancer stops sending calls, waits for balancerGrace and then for the open calls, and
// stops the entry. It returns an error if calls are still open after DrainTimeout.
func (e *Entry) Drain(ctx context.Context) error {
	startedAt := e.config.Now()
	e.config.Events.Emit(startedAt, kqevent.DrainStarted, kqevent.Process(e.config.ID), "readiness is withdrawn; waiting for open calls to end")
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, e.config.DrainTimeout)
	defer cancel()
	e.deleteRow(ctx)
	err := e.awaitCalls(ctx)
	if serverErr := e.server.Drain(ctx); err == nil {
		err = serverErr
	}
	e.stopLoops()
	e.config.Events.Emit(e.config.Now(), kqevent.DrainFinished, kqevent.Process(e.config.ID), "drain ended after %s", e.config.Now().Sub(startedAt).Round(time.Millisecond))
	return err
}

const (
	drainPollInterval = 10 * time.Millisecond
	// balancerGrace is how long new calls are still accepted after readiness is withdrawn,
	// so that calls from a load balancer that has not noticed yet do not fail.
	balancerGrace = 2 * time.Second
)

func (e *Entry) awaitCalls(ctx context.Context) error {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	grace := e.config.Now().Add(balancerGrace)
	for e.config.Now().Before(grace) || e.openCalls() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain did not finish: %d calls are still open", e.openCalls())
		case <-t.C:
		}
	}
	return nil
}

// deleteRow removes the entry from the list of entries in the table.
func (e *Entry) deleteRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, _ = e.config.Table.Transact(ctx, kqtable.Transaction{Writes: []kqtable.Write{{Key: kqmember.EntryPrefix + e.config.ID, Delete: true}}})
}

func (e *Entry) stopLoops() {
	e.tomb.Kill(nil)
	_ = e.tomb.Wait()
	e.announcer.Stop()
	e.claimer.Close()
	e.pool.Close()
	e.peerClient.CloseIdleConnections()
}

// Kill stops the entry immediately, as if its process had crashed.
func (e *Entry) Kill() {
	e.server.Kill()
	e.stopLoops()
}

// Default settings of an entry.
const (
	// DefaultDeadline is the deadline of calls that state none.
	DefaultDeadline = 10 * time.Second
	// DefaultMaxBody is the maximum size of a request body, in bytes.
	DefaultMaxBody = int64(8 << 20)
	// DefaultCrossZoneDelay is the extra round-trip time of a call to another availability
	// zone.
	DefaultCrossZoneDelay = 3 * time.Millisecond
)
