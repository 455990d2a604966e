// Package kqentry is the process behind the platform's balancer: it serves
// callers, jobs and operators, and keeps nothing.
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

// Config sets up an Entry.
type Config struct {
	// ID names the entry.
	ID string
	// Zone is the availability zone.
	Zone string
	// Listen is the address to serve on; port 0 takes a free one.
	Listen netip.AddrPort
	// Advertise is the address that others use; the zero value means Listen.
	Advertise netip.AddrPort
	// Cells is how many cells the workers are grouped into.
	Cells int
	// Seeds is entries known from the settings.
	Seeds []netip.AddrPort
	// Identity secures the connections with agents, entries, callers and operators;
	// nil leaves them unencrypted.
	Identity *kqtls.Identity
	// Operators guards the configuration and the views of the fleet.
	OperatorToken kqtoken.File
	// Table is the platform's table.
	Table kqtable.Table
	// FarDelay is the extra time of a call to another availability zone.
	CrossZoneDelay time.Duration
	// Policy orders the endpoints; all but the default are for the bench.
	Policy kqroute.Policy
	// Hedge bounds the calls that are sent twice; zero sends none.
	Hedge kqretry.BudgetConfig
	// DefaultDeadline is for calls that state none.
	DefaultDeadline time.Duration
	// MaxBody is the largest request body, in bytes.
	MaxBody int64
	// DrainBound is the longest time that open calls have on shutdown.
	DrainTimeout time.Duration
	// Seed draws the candidates for calls.
	Seed uint64
	// Now is the clock.
	Now func() time.Time
	// Events remembers what was decided.
	Events *kqevent.Log
	// Tracer makes spans; may be nil.
	Tracer *kqtrace.Tracer
	// Counter receives breaches.
	Counter *kqinvariant.Counter
}

const (
	tickInterval   = 200 * time.Millisecond
	followInterval = 1 * time.Second
	renewInterval  = 5 * time.Second
	storeTimeout   = 3 * time.Second
)

// Entry is a running entry.
type Entry struct {
	config    Config
	boot      string
	address   netip.AddrPort
	tomb      tomb.Tomb
	holder    *kqconfig.Holder
	store     kqconfig.Store
	caller    *kqcaller.Router
	claims    *kqclaim.Claimer
	roster    *kqmember.Roster
	dialer    kqlink.Dialer
	peers     *http.Client
	pool      *kqlink.Pool
	announcer *kqmember.Announcer
	server    *kqserver.Server
	metrics   *metrics
	outcomes  outcomes

	mu       sync.Mutex
	draining bool
	open     int
	storeOut bool
	started  time.Time
	warm     bool
}

// Start begins to serve.
func Start(c Config) (*Entry, error) {
	e := &Entry{config: c, boot: kqprocess.NewBoot(), roster: kqmember.NewRoster(), dialer: kqlink.Dialer{TLS: c.Identity.Client()}}
	e.peers = e.dialer.NewClient()
	e.holder = kqconfig.NewHolder(kqconfig.HolderConfig{Process: c.ID, Events: c.Events, Counter: c.Counter, OnChange: e.configChanged})
	e.store = kqconfig.Store{Resolver: kqtable.Resolver{Table: c.Table, Wait: kqtable.Sleep}}
	e.claims = kqclaim.New(kqclaim.Config{Resolver: e.store.Resolver, Now: c.Now})
	e.pool = kqlink.NewPool(kqlink.Config{Dialer: e.dialer, Options: kqlink.ClientOptions(c.Tracer.ClientOptions()...), Replaced: e.connectionReplaced})
	e.caller = kqcaller.New(kqcaller.Config{
		Routes:    kqroute.Config{Zone: c.Zone, CrossZoneDelay: c.CrossZoneDelay, Seed: c.Seed, Policy: c.Policy, Counter: c.Counter, OnChange: e.endpointChanged},
		Transport: kqremote.NewClient(e.pool).Transport(), Retry: kqretry.DefaultRetryBudget, Hedge: c.Hedge,
		Now: c.Now, Events: c.Events, Counter: c.Counter})
	server, err := kqserver.Listen(kqserver.Config{Listen: c.Listen, TLS: c.Identity.Server()})
	if err != nil {
		e.pool.Close()
		e.claims.Close()
		return nil, err
	}
	e.server = server
	e.started = c.Now()
	e.address = c.Advertise
	if !e.address.IsValid() {
		e.address = server.Addr()
	}
	e.announcer = kqmember.Start(kqmember.Config{SelfID: c.ID, Seeds: c.Seeds, Dialer: e.dialer, Table: c.Table, NewAnnouncement: e.announcement,
		Holder: e.holder, Now: c.Now})
	e.tomb.Go(e.loop)
	server.Serve(e.handler())
	c.Events.Emit(c.Now(), kqevent.ProcessStarted, kqevent.Process(c.ID), "entry %s serves on %s", e.boot, server.Addr())
	return e, nil
}

// Addr returns the address served.
func (e *Entry) Addr() netip.AddrPort { return e.server.Addr() }

// Traffic counts the bytes that the entry served.
func (e *Entry) Traffic() *kqserver.Traffic { return e.server.Traffic() }

// ConfigSequence returns the configuration in force.
func (e *Entry) ConfigSequence() uint64 { return e.holder.Sequence() }

// Roster returns the processes that this entry has heard.
func (e *Entry) Roster() *kqmember.Roster { return e.roster }

// loop expires what is silent, reads the configuration and renews the row.
func (e *Entry) loop() error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	follower := &follower{entry: e}
	e.tomb.Go(follower.loop)
	e.tomb.Go(newSweeper(e).loop)
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case <-tick.C:
			now := e.config.Now()
			e.caller.Tick(now)
			e.roster.Update(now, e.self())
		}
	}
}

const (
	// warmTime is how long an entry listens to agents before it takes calls.
	warmTime = 2 * kqmember.AnnounceInterval
	// warmBound is after how long an entry takes calls even if it has heard no
	// agent or has no configuration.
	warmBound = 10 * time.Second
)

// Ready reports whether the balancer may send calls: the entry has a
// configuration, has listened to the agents and is not shutting down.
func (e *Entry) Ready() bool {
	now := e.config.Now()
	ready := e.ReadyEndpoints() > 0 && e.holder.Sequence() > 0
	e.mu.Lock()
	defer e.mu.Unlock()
	age := now.Sub(e.started)
	e.warm = e.warm || (ready && age >= warmTime) || age >= warmBound
	return e.warm && !e.draining
}

func (e *Entry) self() kqmember.Process {
	return kqmember.Process{ID: e.config.ID, IsEntry: true, Boot: e.boot, Address: e.address, Zone: e.config.Zone,
		Draining: e.isDraining(), ConfigSequence: e.holder.Sequence()}
}

func (e *Entry) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// follower keeps an entry in touch with the table.
type follower struct {
	entry     *Entry
	renewedAt time.Time
}

func (f *follower) loop() error {
	e := f.entry
	t := time.NewTicker(followInterval)
	defer t.Stop()
	for {
		ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), storeTimeout)
		err := e.store.Refresh(ctx, e.config.Now, e.holder)
		e.noteStore(err)
		if now := e.config.Now(); err == nil && now.Sub(f.renewedAt) >= renewInterval && !e.isDraining() {
			f.renew(ctx, now)
		}
		cancel()
		select {
		case <-e.tomb.Dying():
			return nil
		case <-t.C:
		}
	}
}

// entryGone is after how long without renewal the row of an entry is dropped.
const entryGone = 12 * renewInterval

// renew writes the entry's own row and drops those of entries long gone.
func (f *follower) renew(ctx context.Context, now time.Time) {
	e := f.entry
	t := kqtable.Transaction{Writes: []kqtable.Write{{Key: kqmember.EntryPrefix + e.config.ID,
		Value: kqtable.Encode(kqmember.Entry{ID: e.config.ID, Address: e.address, RenewedAt: now.UTC()})}}}
	if others, err := kqmember.ReadEntries(ctx, e.config.Table); err == nil {
		for _, o := range others {
			if o.ID != e.config.ID && now.Sub(o.RenewedAt) > entryGone {
				t.Writes = append(t.Writes, kqtable.Write{Key: kqmember.EntryPrefix + o.ID, Delete: true})
			}
		}
	}
	if _, err := e.config.Table.Transact(ctx, t); err == nil {
		f.renewedAt = now
	}
}

func (e *Entry) noteStore(err error) {
	e.mu.Lock()
	was := e.storeOut
	e.storeOut = err != nil
	e.mu.Unlock()
	switch {
	case err != nil && !was:
		e.config.Events.Emit(e.config.Now(), kqevent.StoreOut, kqevent.Process(e.config.ID), "%v", err)
	case err == nil && was:
		e.config.Events.Emit(e.config.Now(), kqevent.StoreBack, kqevent.Process(e.config.ID), "the table answers")
	}
}

// configChanged notes when a sequence came into force here.
func (e *Entry) configChanged(now time.Time, sequence uint64) {
	for _, a := range e.holder.All() {
		if a.Sequence == sequence {
			e.roster.TrackPropagation(now, sequence, a.AcceptedAt)
		}
	}
}

func (e *Entry) connectionReplaced(now time.Time, peer netip.AddrPort) {
	e.config.Events.Emit(now, kqevent.ConnectionReplaced, kqevent.Process(e.config.ID), "agent at %s did not answer a probe", peer)
}

// changeEvents gives the event of each kind of change.
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
	side := kqprocess.New(kqprocess.Config{Ready: e.Ready, Counter: e.config.Counter})
	side.Gauge("config_sequence", "Configuration sequence in force.", func() float64 { return float64(e.holder.Sequence()) })
	side.Gauge("calls_open", "Calls that are under way.", func() float64 { return float64(e.openCalls()) })
	e.metrics = newMetrics(side.Registry)
	r := bunrouter.New(bunrouter.WithNotFoundHandler(notFound))
	side.Routes(r)
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
	return e.open
}

// Drain takes no new calls, finishes the open ones and ends. The balancer
// sees /readyz fail meanwhile.
func (e *Entry) Drain(ctx context.Context) error {
	now := e.config.Now()
	e.config.Events.Emit(now, kqevent.DrainStarted, kqevent.Process(e.config.ID), "no new work is taken")
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, e.config.DrainTimeout)
	defer cancel()
	e.dropRow(ctx)
	err := e.awaitCalls(ctx)
	if shut := e.server.Drain(ctx); err == nil {
		err = shut
	}
	e.stopLoops()
	e.config.Events.Emit(e.config.Now(), kqevent.DrainFinished, kqevent.Process(e.config.ID), "ended after %s", e.config.Now().Sub(now).Round(time.Millisecond))
	return err
}

const (
	drainPoll = 10 * time.Millisecond
	// balancerGrace is how long new calls are still taken after readiness is
	// withdrawn, so that a balancer that has not noticed yet cuts off nobody.
	balancerGrace = 2 * time.Second
)

func (e *Entry) awaitCalls(ctx context.Context) error {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	grace := e.config.Now().Add(balancerGrace)
	for e.config.Now().Before(grace) || e.openCalls() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d calls are still open", e.openCalls())
		case <-t.C:
		}
	}
	return nil
}

// dropRow takes the entry out of the list in the table.
func (e *Entry) dropRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, _ = e.config.Table.Transact(ctx, kqtable.Transaction{Writes: []kqtable.Write{{Key: kqmember.EntryPrefix + e.config.ID, Delete: true}}})
}

func (e *Entry) stopLoops() {
	e.tomb.Kill(nil)
	_ = e.tomb.Wait()
	e.announcer.Stop()
	e.claims.Close()
	e.pool.Close()
	e.peers.CloseIdleConnections()
}

// Kill ends the entry at once, as if its process had died.
func (e *Entry) Kill() {
	e.server.Kill()
	e.stopLoops()
}

// Defaults of the settings of an entry.
const (
	// DefaultDeadline is for calls that state none.
	DefaultDeadline = 10 * time.Second
	// DefaultMaxBody is the largest request body, in bytes.
	DefaultMaxBody = int64(8 << 20)
	// DefaultFarDelay is the extra time of a call to another availability zone,
	// there and back.
	DefaultCrossZoneDelay = 3 * time.Millisecond
)
