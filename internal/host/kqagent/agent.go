package kqagent

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqowner"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqmember"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqdispatch"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqworker"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqprocess"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// Agent is a running agent.
type Agent struct {
	config     Config
	boot       string
	address    netip.AddrPort
	cell       string
	tomb       tomb.Tomb
	holder     *kqconfig.Holder
	store      kqconfig.Store
	dispatcher *kqdispatch.Dispatcher
	server     *kqserver.Server
	driver     *kqworker.Driver
	runner     *kqowner.Runner
	announcer  *kqmember.Announcer
	owners     *owners
	pressure   *pressure

	mu       sync.Mutex
	draining bool
}

// Start begins to serve.
func Start(c Config) (*Agent, error) {
	a := &Agent{config: c, boot: kqprocess.NewBoot(), cell: kqcell.CellOfRack(c.Zone, c.Rack, c.Cells)}
	a.holder = kqconfig.NewHolder(kqconfig.HolderConfig{Process: c.Worker, Events: c.Events, Counter: c.Counter})
	a.store = kqconfig.Store{}
	a.store.Resolver.Table = c.Table
	a.dispatcher = kqdispatch.New(kqdispatch.Config{Boot: a.boot, Answers: kqanswer.DefaultConfig, Class: a.holder.Class,
		Tracer: c.Tracer, Now: c.Now, Events: c.Events, Counter: c.Counter})
	a.pressure = &pressure{dispatcher: a.dispatcher, class: a.holder.Class, baselines: map[string]*baseline{}}
	dialer := kqlink.Dialer{TLS: c.Identity.Client()}
	a.owners = &owners{dialer: dialer, http: dialer.NewClient(), options: kqlink.ClientOptions(c.Tracer.ClientOptions()...), clients: map[netip.AddrPort]kqwire.AgentServiceClient{}}
	server, err := kqserver.Listen(kqserver.Config{Listen: c.Listen, TLS: c.Identity.Server()})
	if err != nil {
		a.dispatcher.Close()
		return nil, err
	}
	a.server = server
	a.address = c.Advertise
	if !a.address.IsValid() {
		a.address = server.Addr()
	}
	a.startLoops()
	server.Serve(a.handler())
	c.Events.Emit(c.Now(), kqevent.ProcessStarted, kqevent.Process(c.Worker), "agent %s serves on %s for %s", a.boot, server.Addr(), a.cell)
	return a, nil
}

func (a *Agent) startLoops() {
	c := a.config
	info := kqmodel.Worker{ID: c.Worker, Zone: c.Zone, Rack: c.Rack, Address: a.address}
	a.driver = kqworker.Start(kqworker.Config{Runtime: c.Runtime, Services: a.pressure.services, ServiceReports: a.pressure.pressures,
		Worker: info, AgentBoot: a.boot, Throttling: c.Throttling, NotifyPhaseChange: a.poke, Now: c.Now, Events: c.Events})
	runner := kqowner.Start(kqowner.Config{Cell: a.cell, Self: c.Worker, Boot: a.boot, Address: a.address, Table: c.Table,
		Send: a.owners.send, MakeHeartbeat: a.report, ApplyReply: a.driver.ApplyReply, Quota: a.holder.Quota, Interference: c.Interference,
		Now: c.Now, Events: c.Events, Counter: c.Counter})
	a.mu.Lock()
	a.runner = runner
	a.mu.Unlock()
	a.announcer = kqmember.Start(kqmember.Config{Seeds: c.Seeds, Dialer: a.owners.dialer, Table: c.Table, NewAnnouncement: a.announcement,
		Holder: a.holder, Now: c.Now})
	a.tomb.Go(a.loop)
}

// poke makes the next heartbeat come at once.
func (a *Agent) poke() {
	a.mu.Lock()
	r := a.runner
	a.mu.Unlock()
	if r != nil {
		r.HeartbeatNow()
	}
}

// configInterval is between two reads of the configuration while no entry
// passes it on.
const configInterval = 2 * time.Second

// loop reads the configuration from the table until an entry passes it on.
func (a *Agent) loop() error {
	t := time.NewTicker(configInterval)
	defer t.Stop()
	for {
		if len(a.announcer.Entries()) == 0 {
			ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), configInterval)
			_ = a.store.Refresh(ctx, a.config.Now, a.holder)
			cancel()
		}
		select {
		case <-a.tomb.Dying():
			return nil
		case <-t.C:
		}
	}
}

// Addr returns the address served.
func (a *Agent) Addr() netip.AddrPort { return a.server.Addr() }

// Traffic counts the bytes that the agent served.
func (a *Agent) Traffic() *kqserver.Traffic { return a.server.Traffic() }

// Boot returns the identifier of this process.
func (a *Agent) Boot() string { return a.boot }

// Owner returns the ownership of the cell as this worker knows it.
func (a *Agent) Owner() (kqcell.OwnershipRow, bool) { return a.runner.Owner() }

// ConfigSequence returns the configuration in force.
func (a *Agent) ConfigSequence() uint64 { return a.holder.Sequence() }

func (a *Agent) handler() http.Handler {
	side := kqprocess.New(kqprocess.Config{Ready: a.ready, Counter: a.config.Counter})
	side.Gauge("calls_open", "Calls that wait, run or are being read.", func() float64 { return float64(a.dispatcher.OpenCalls()) })
	side.Gauge("config_sequence", "Configuration sequence in force.", func() float64 { return float64(a.holder.Sequence()) })
	side.Gauge("cell_owned", "1 if this process owns its cell.", a.owning)
	side.Gauge("tasks_held", "Attempts that the worker's runtime holds.", func() float64 { return float64(len(a.driver.Inventory().Tasks)) })
	r := bunrouter.New()
	side.Routes(r)
	r.PUT("/v1/endpoints/:id", a.putEndpoint)
	r.DELETE("/v1/endpoints/:id", a.deleteEndpoint)
	mux := http.NewServeMux()
	path, h := kqwire.NewAgentServiceHandler(&service{agent: a}, kqlink.HandlerOptions(a.config.Tracer.HandlerOptions()...)...)
	mux.Handle(path, h)
	mux.Handle("/", r)
	return mux
}

func (a *Agent) owning() float64 {
	if _, owning := a.runner.Owner(); owning {
		return 1
	}
	return 0
}

func (a *Agent) ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.draining && a.driver.Ready()
}

// report makes the heartbeat to the owner of the cell.
func (a *Agent) report(now time.Time, full bool) kqcell.Heartbeat {
	return a.driver.MakeHeartbeat(now, full)
}

// announcement makes the announcement to the entries.
func (a *Agent) announcement(now time.Time) *kqwire.AnnounceRequest {
	row, _ := a.runner.Owner()
	inv := a.driver.Inventory()
	a.mu.Lock()
	draining := a.draining
	a.mu.Unlock()
	return announcement(a, row, inv, draining)
}

// Drain hands over the tasks, finishes the calls in flight and ends.
func (a *Agent) Drain(ctx context.Context) error {
	now := a.config.Now()
	a.config.Events.Emit(now, kqevent.DrainStarted, kqevent.Process(a.config.Worker), "no new work is taken")
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, a.config.DrainTimeout)
	defer cancel()
	a.driver.Drain()
	a.announcer.AnnounceNow()
	err := a.dispatcher.Drain(ctx)
	a.awaitTasks(ctx)
	a.stopLoops()
	if e := a.server.Drain(ctx); err == nil {
		err = e
	}
	a.dispatcher.Close()
	a.config.Events.Emit(a.config.Now(), kqevent.DrainFinished, kqevent.Process(a.config.Worker), "ended after %s", a.config.Now().Sub(now).Round(time.Millisecond))
	return err
}

const drainPoll = 100 * time.Millisecond

// awaitTasks waits until the owner has taken every task away.
func (a *Agent) awaitTasks(ctx context.Context) {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for !a.driver.Idle() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (a *Agent) stopLoops() {
	a.tomb.Kill(nil)
	_ = a.tomb.Wait()
	a.announcer.Stop()
	a.runner.Stop()
	a.driver.Stop()
	a.owners.http.CloseIdleConnections()
}

// Kill ends the agent at once, as if its process had died.
func (a *Agent) Kill() {
	a.server.Kill()
	a.stopLoops()
	a.dispatcher.Close()
}

// owners holds the clients of owners of cells.
type owners struct {
	dialer  kqlink.Dialer
	http    *http.Client
	options []connect.ClientOption

	mu      sync.Mutex
	clients map[netip.AddrPort]kqwire.AgentServiceClient
}

func (o *owners) client(to netip.AddrPort) kqwire.AgentServiceClient {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, ok := o.clients[to]
	if !ok {
		c = kqwire.NewAgentServiceClient(o.http, o.dialer.URL(to), o.options...)
		o.clients[to] = c
	}
	return c
}

// send carries a heartbeat to the owner of the cell.
func (o *owners) send(ctx context.Context, to netip.AddrPort, h kqcell.Heartbeat) (kqcell.Reply, error) {
	r, err := o.client(to).Heartbeat(ctx, connect.NewRequest(heartbeatToWire(h)))
	if err != nil {
		return kqcell.Reply{}, err
	}
	return replyFromWire(r.Msg)
}
