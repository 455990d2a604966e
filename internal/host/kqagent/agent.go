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
	config         Config
	boot           string
	address        netip.AddrPort
	cell           string
	tomb           tomb.Tomb
	configHolder   *kqconfig.Holder
	configStore    kqconfig.Store
	dispatcher     *kqdispatch.Dispatcher
	server         *kqserver.Server
	driver         *kqworker.Driver
	runner         *kqowner.Runner
	announcer      *kqmember.Announcer
	ownerClients   *ownerClients
	latencyMonitor *latencyMonitor

	mu       sync.Mutex
	draining bool
}

// Start starts an agent: it serves calls, drives the worker's runtime, takes part in the
// ownership of its cell and announces itself to the entries.
func Start(c Config) (*Agent, error) {
	a := &Agent{config: c, boot: kqprocess.NewBootID(), cell: kqcell.CellOfRack(c.Zone, c.Rack, c.Cells)}
	a.configHolder = kqconfig.NewHolder(kqconfig.HolderConfig{Process: c.Worker, Events: c.Events, Counter: c.Counter})
	a.configStore = kqconfig.Store{}
	a.configStore.Resolver.Table = c.Table
	a.dispatcher = kqdispatch.New(kqdispatch.Config{Boot: a.boot, Answers: kqanswer.DefaultConfig, Class: a.configHolder.Class,
		Tracer: c.Tracer, Now: c.Now, Events: c.Events, Counter: c.Counter})
	a.latencyMonitor = &latencyMonitor{dispatcher: a.dispatcher, class: a.configHolder.Class, baselines: map[string]*baseline{}}
	dialer := kqlink.Dialer{TLS: c.Identity.ClientConfig()}
	a.ownerClients = &ownerClients{dialer: dialer, http: dialer.NewClient(), options: kqlink.ClientOptions(c.Tracer.ClientOptions()...), clients: map[netip.AddrPort]kqwire.AgentServiceClient{}}
	server, err := kqserver.Listen(kqserver.Config{Listen: c.Listen, TLS: c.Identity.ServerConfig(), Guard: c.Guard,
		Timeout: func(r *http.Request) time.Duration { return kqlink.Timeout(r, kqserver.DefaultTimeout) }})
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
	c.Events.Emit(c.Now(), kqevent.ProcessStarted, kqevent.Process(c.Worker), "agent process %s listens on %s and belongs to %s", a.boot, server.Addr(), a.cell)
	return a, nil
}

// startLoops starts the driver, the runner of the ownership, the announcer and the loop that
// follows the configuration.
func (a *Agent) startLoops() {
	c := a.config
	worker := kqmodel.Worker{ID: c.Worker, Zone: c.Zone, Rack: c.Rack, Address: a.address}
	a.driver = kqworker.Start(kqworker.Config{Runtime: c.Runtime, Services: a.latencyMonitor.serviceLatencies, ServiceReports: a.latencyMonitor.serviceReports,
		Worker: worker, AgentBoot: a.boot, Throttling: c.Throttling, NotifyPhaseChange: a.heartbeatNow, Now: c.Now, Events: c.Events})
	runner := kqowner.Start(kqowner.Config{Cell: a.cell, Self: c.Worker, Boot: a.boot, Address: a.address, Table: c.Table,
		Send: a.ownerClients.sendHeartbeat, MakeHeartbeat: a.makeHeartbeat, ApplyReply: a.driver.ApplyReply, Quota: a.configHolder.Quota, Interference: c.Interference,
		Now: c.Now, Events: c.Events, Counter: c.Counter})
	a.mu.Lock()
	a.runner = runner
	a.mu.Unlock()
	a.announcer = kqmember.Start(kqmember.Config{Seeds: c.Seeds, Dialer: a.ownerClients.dialer, Table: c.Table, NewAnnouncement: a.announcement,
		Holder: a.configHolder, Now: c.Now, Events: c.Events})
	a.tomb.Go(a.loop)
}

// heartbeatNow makes the runner send the next heartbeat immediately.
func (a *Agent) heartbeatNow() {
	a.mu.Lock()
	r := a.runner
	a.mu.Unlock()
	if r != nil {
		r.HeartbeatNow()
	}
}

// configInterval is the time between two reads of the configuration from the table while the
// agent knows no entry that would send it.
const configInterval = 2 * time.Second

// loop reads the configuration from the table while the agent knows no entry. Once it
// knows one, the entry sends the configuration.
func (a *Agent) loop() error {
	t := time.NewTicker(configInterval)
	defer t.Stop()
	for {
		if len(a.announcer.Entries()) == 0 {
			ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), configInterval)
			_ = a.configStore.Refresh(ctx, a.config.Now, a.configHolder)
			cancel()
		}
		select {
		case <-a.tomb.Dying():
			return nil
		case <-t.C:
		}
	}
}

// Addr returns the address on which the agent serves.
func (a *Agent) Addr() netip.AddrPort { return a.server.Addr() }

// Traffic returns the counter of the bytes that the agent has served.
func (a *Agent) Traffic() *kqserver.Traffic { return a.server.Traffic() }

// Boot returns the identifier of this process.
func (a *Agent) Boot() string { return a.boot }

// Owner returns the ownership of the cell as this worker knows it, and whether this process
// is the owner.
func (a *Agent) Owner() (kqcell.OwnershipRow, bool) { return a.runner.Owner() }

// ConfigSequence returns the sequence number of the configuration in force.
func (a *Agent) ConfigSequence() uint64 { return a.configHolder.Sequence() }

func (a *Agent) handler() http.Handler {
	monitor := kqprocess.New(kqprocess.Config{Ready: a.ready, Counter: a.config.Counter})
	monitor.AddGauge("calls_open", "Calls that wait, run or are being read.", func() float64 { return float64(a.dispatcher.OpenCalls()) })
	monitor.AddGauge("config_sequence", "Configuration sequence in force.", func() float64 { return float64(a.configHolder.Sequence()) })
	monitor.AddGauge("cell_owned", "1 if this process owns its cell.", a.ownsCell)
	monitor.AddGauge("tasks_held", "Attempts that the worker's runtime holds.", func() float64 { return float64(len(a.driver.Inventory().Tasks)) })
	monitor.Registry.MustRegister(a.server.Guard())
	r := bunrouter.New()
	monitor.AddRoutes(r)
	r.PUT("/v1/endpoints/:id", a.putEndpoint)
	r.DELETE("/v1/endpoints/:id", a.deleteEndpoint)
	mux := http.NewServeMux()
	path, h := kqwire.NewAgentServiceHandler(&service{agent: a}, kqlink.HandlerOptions(a.config.Tracer.HandlerOptions()...)...)
	mux.Handle(path, h)
	mux.Handle("/", r)
	return mux
}

// ownsCell returns 1 if this process owns its cell and 0 if not.
func (a *Agent) ownsCell() float64 {
	if _, isOwner := a.runner.Owner(); isOwner {
		return 1
	}
	return 0
}

// ready reports whether the agent accepts work.
func (a *Agent) ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.draining && a.driver.Ready()
}

// makeHeartbeat returns the next heartbeat to the owner of the cell.
func (a *Agent) makeHeartbeat(now time.Time, complete bool) kqcell.Heartbeat {
	return a.driver.MakeHeartbeat(now, complete)
}

// announcement returns the next announcement to the entries.
func (a *Agent) announcement(now time.Time) *kqwire.AnnounceRequest {
	ownership, _ := a.runner.Owner()
	inventory := a.driver.Inventory()
	a.mu.Lock()
	draining := a.draining
	a.mu.Unlock()
	return announcement(a, ownership, inventory, draining)
}

// Drain announces that the agent shuts down, waits until the owner has moved its tasks away
// and the calls in flight have ended, at most for DrainTimeout, and stops the agent. It
// returns an error if calls are still open after that time.
func (a *Agent) Drain(ctx context.Context) error {
	startedAt := a.config.Now()
	a.config.Events.Emit(startedAt, kqevent.DrainStarted, kqevent.Process(a.config.Worker), "no new calls or tasks are accepted; waiting for open calls and tasks to end")
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
	if serverErr := a.server.Drain(ctx); err == nil {
		err = serverErr
	}
	a.dispatcher.Close()
	a.config.Events.Emit(a.config.Now(), kqevent.DrainFinished, kqevent.Process(a.config.Worker), "drain ended after %s", a.config.Now().Sub(startedAt).Round(time.Millisecond))
	return err
}

// drainPollInterval is how often a drain checks for remaining tasks.
const drainPollInterval = 100 * time.Millisecond

// awaitTasks waits until the owner has moved every task away or ctx ends.
func (a *Agent) awaitTasks(ctx context.Context) {
	t := time.NewTicker(drainPollInterval)
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
	a.ownerClients.http.CloseIdleConnections()
}

// Kill stops the agent immediately, as if its process had crashed.
func (a *Agent) Kill() {
	a.server.Kill()
	a.stopLoops()
	a.dispatcher.Close()
}

// ownerClients holds the clients of owners of cells, by address.
type ownerClients struct {
	dialer  kqlink.Dialer
	http    *http.Client
	options []connect.ClientOption

	mu      sync.Mutex
	clients map[netip.AddrPort]kqwire.AgentServiceClient
}

func (o *ownerClients) client(to netip.AddrPort) kqwire.AgentServiceClient {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, ok := o.clients[to]
	if !ok {
		c = kqwire.NewAgentServiceClient(o.http, o.dialer.URL(to), o.options...)
		o.clients[to] = c
	}
	return c
}

// sendHeartbeat sends a heartbeat to the owner of the cell and returns its reply.
func (o *ownerClients) sendHeartbeat(ctx context.Context, to netip.AddrPort, h kqcell.Heartbeat) (kqcell.Reply, error) {
	r, err := o.client(to).Heartbeat(ctx, connect.NewRequest(heartbeatToWire(h)))
	if err != nil {
		return kqcell.Reply{}, err
	}
	return replyFromWire(r.Msg)
}
