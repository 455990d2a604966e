package kqfleet

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqagent"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqhost"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqservice"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Worker is one host of the fleet with its runtime, agent and endpoint.
type Worker struct {
	// Name names the worker.
	Name string
	// Faults is the switches of its runtime.
	Faults *kqfault.Switches
	// Host is its task runtime.
	Host *kqhost.Host

	fleet    *Fleet
	user     User
	index    int
	server   *kqserver.Server
	relay    *kqfault.Relay
	agent    *kqagent.Agent
	endpoint *kqservice.Endpoint
}

// startRuntime serves the task runtime.
func (w *Worker) startRuntime() error {
	mux := http.NewServeMux()
	mux.Handle(kqwire.NewRuntimeServiceHandler(kqhost.Service{Host: w.Host, Now: time.Now}))
	mux.Handle(kqwire.NewFaultServiceHandler(w.Faults))
	s, err := kqserver.Start(loopback, mux)
	w.server = s
	return err
}

// StartAgent starts the agent and the endpoint beside it.
func (w *Worker) StartAgent() error {
	if err := w.startAgentOnly(); err != nil {
		return err
	}
	return w.StartEndpoint()
}

func (w *Worker) startAgentOnly() error {
	f := w.fleet
	zone, rack := w.user.zone(w.index)
	var advertise netip.AddrPort
	if w.relay != nil {
		advertise = w.relay.Addr()
	}
	a, err := kqagent.Start(kqagent.Config{Worker: w.Name, Zone: zone, Rack: rack, Listen: loopback, Advertise: advertise, Cells: f.config.Cells,
		Seeds: f.seeds(), Identity: f.config.Identity, Table: kqtable.Remote(kqwire.NewTableServiceClient(f.storeClient, kqlink.URL(f.storeServer.Addr()), kqlink.ClientOptions()...)),
		Runtime:    kqruntime.Remote(kqwire.NewRuntimeServiceClient(f.storeClient, kqlink.URL(w.server.Addr()), kqlink.ClientOptions()...)),
		Throttling: !f.config.Uncontrolled, Interference: !f.config.Uncontrolled, DrainTimeout: f.config.DrainBound,
		Now: time.Now, Events: f.events(w.Name), Tracer: f.config.Tracer, Counter: f.Counter})
	if err != nil {
		return err
	}
	w.agent = a
	if w.relay != nil {
		w.relay.SetTarget(a.Addr())
	}
	return nil
}

// StartEndpoint starts the service of the worker.
func (w *Worker) StartEndpoint() error {
	f, u := w.fleet, w.user
	e, err := kqservice.Start(kqservice.Config{ID: u.Service + "-" + w.Name, Classes: []string{u.Service, u.Background},
		Slots: slotsToday, Connections: connectionsEach, ServiceTime: u.ServiceTime, LogStdDev: f.config.Spread,
		Slowdown: func() float64 { return w.Host.ServiceSlowdown(u.Service) * f.slowdown(w.Name) },
		Agent:    w.agent.Addr(), Dialer: kqlink.Dialer{TLS: f.config.Identity.ClientConfig()}, Seed: f.config.Seed + uint64(w.index) + 1, Ledger: f.Records[u.Name]})
	if err != nil {
		return err
	}
	w.endpoint = e
	return nil
}

// Agent returns the agent, which is nil while the host is down.
func (w *Worker) Agent() *kqagent.Agent { return w.agent }

// Endpoint returns the service.
func (w *Worker) Endpoint() *kqservice.Endpoint { return w.endpoint }

// Relay returns the relay in front of the agent.
func (w *Worker) Relay() *kqfault.Relay { return w.relay }

// KillAgent ends the agent's process alone; tasks and endpoint go on.
func (w *Worker) KillAgent() {
	if w.agent != nil {
		w.agent.Kill()
		w.agent = nil
	}
}

// Kill takes the whole host down with everything that runs on it.
func (w *Worker) Kill() {
	w.KillAgent()
	w.endpoint.Kill()
	w.Faults.Set(kqfault.State{Down: true})
	w.Host.Reboot(time.Now())
}

// Boot brings a host back that was killed.
func (w *Worker) Boot() error {
	w.Faults.Set(kqfault.State{})
	return w.StartAgent()
}

// RestartAgent starts the agent again beside an endpoint that went on.
func (w *Worker) RestartAgent() error {
	err := w.startAgentOnly()
	if err == nil {
		w.endpoint.SetAgent(w.agent.Addr())
	}
	return err
}

func (w *Worker) close() {
	if w.agent != nil {
		w.agent.Kill()
	}
	if w.endpoint != nil {
		w.endpoint.Kill()
	}
	w.server.Kill()
	if w.relay != nil {
		w.relay.Close()
	}
}

// events returns the log of a process of the fleet.
func (f *Fleet) events(process string) *kqevent.Log {
	return kqevent.New(kqevent.Config{Process: process, Logger: f.config.Logger})
}
