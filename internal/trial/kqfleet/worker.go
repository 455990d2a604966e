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

// Worker is one host of the fleet with its task runtime, agent and endpoint.
type Worker struct {
	// Name is the id of the worker.
	Name string
	// Faults injects faults into the task runtime.
	Faults *kqfault.Switches
	// Host is the stand-in of the task runtime.
	Host *kqhost.Host

	fleet    *Fleet
	user     User
	index    int
	server   *kqserver.Server
	relay    *kqfault.Relay
	agent    *kqagent.Agent
	endpoint *kqservice.Endpoint
}

// startRuntime starts the server of the task runtime.
func (w *Worker) startRuntime() error {
	mux := http.NewServeMux()
	mux.Handle(kqwire.NewRuntimeServiceHandler(kqhost.Service{Host: w.Host, Now: time.Now}))
	mux.Handle(kqwire.NewFaultServiceHandler(w.Faults))
	s, err := kqserver.Start(loopback, mux)
	w.server = s
	return err
}

// StartAgent starts the agent and then the endpoint.
func (w *Worker) StartAgent() error {
	if err := w.startAgentOnly(); err != nil {
		return err
	}
	return w.StartEndpoint()
}

// startAgentOnly starts the agent and points the relay to it, if there is one.
func (w *Worker) startAgentOnly() error {
	f := w.fleet
	zone, rack := w.user.location(w.index)
	var advertise netip.AddrPort
	if w.relay != nil {
		advertise = w.relay.Addr()
	}
	a, err := kqagent.Start(kqagent.Config{Worker: w.Name, Zone: zone, Rack: rack, Listen: loopback, Advertise: advertise, Cells: f.config.Cells,
		Seeds: f.entryAddresses(), Identity: f.config.Identity, Table: kqtable.Remote(kqwire.NewTableServiceClient(f.storeClient, kqlink.URL(f.storeServer.Addr()), kqlink.ClientOptions()...)),
		Runtime:    kqruntime.Remote(kqwire.NewRuntimeServiceClient(f.storeClient, kqlink.URL(w.server.Addr()), kqlink.ClientOptions()...)),
		Throttling: !f.config.DisableInterferenceControl, Interference: !f.config.DisableInterferenceControl, DrainTimeout: f.config.DrainTimeout,
		Now: time.Now, Events: f.newEventLog(w.Name), Tracer: f.config.Tracer, Counter: f.Counter})
	if err != nil {
		return err
	}
	w.agent = a
	if w.relay != nil {
		w.relay.SetTarget(a.Addr())
	}
	return nil
}

// StartEndpoint starts the endpoint of the worker, which serves the user's latency-critical
// and background classes.
func (w *Worker) StartEndpoint() error {
	f, u := w.fleet, w.user
	e, err := kqservice.Start(kqservice.Config{ID: u.ServiceClass + "-" + w.Name, Classes: []string{u.ServiceClass, u.BackgroundClass},
		Slots: endpointSlots, Connections: endpointConnections, ServiceTime: u.ServiceTime, LogStdDev: f.config.LogStdDev,
		Slowdown: func() float64 { return w.Host.ServiceSlowdown(u.ServiceClass) * f.slowdown(w.Name) },
		Agent:    w.agent.Addr(), Dialer: kqlink.Dialer{TLS: f.config.Identity.ClientConfig()}, Seed: f.config.Seed + uint64(w.index) + 1, Ledger: f.CallLedgers[u.Name]})
	if err != nil {
		return err
	}
	w.endpoint = e
	return nil
}

// Agent returns the agent, or nil while it is not running.
func (w *Worker) Agent() *kqagent.Agent { return w.agent }

// Endpoint returns the endpoint that was started last, also if it has been killed.
func (w *Worker) Endpoint() *kqservice.Endpoint { return w.endpoint }

// Relay returns the relay in front of the agent, or nil without Config.Relays.
func (w *Worker) Relay() *kqfault.Relay { return w.relay }

// KillAgent kills only the agent; the tasks and the endpoint continue.
func (w *Worker) KillAgent() {
	if w.agent != nil {
		w.agent.Kill()
		w.agent = nil
	}
}

// Kill kills the host with the agent, the endpoint and all tasks on it.
func (w *Worker) Kill() {
	w.KillAgent()
	w.endpoint.Kill()
	w.Faults.Set(kqfault.State{Down: true})
	w.Host.Reboot(time.Now())
}

// Boot starts a killed host again, with a new agent and a new endpoint.
func (w *Worker) Boot() error {
	w.Faults.Set(kqfault.State{})
	return w.StartAgent()
}

// RestartAgent starts the agent again after KillAgent and connects the endpoint, which has
// continued, to it.
func (w *Worker) RestartAgent() error {
	err := w.startAgentOnly()
	if err == nil {
		w.endpoint.SetAgent(w.agent.Addr())
	}
	return err
}

// close kills the agent, the endpoint and the task runtime's server, and closes the relay.
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

// newEventLog returns the event log of one process of the fleet.
func (f *Fleet) newEventLog(process string) *kqevent.Log {
	return kqevent.New(kqevent.Config{Process: process, Logger: f.config.Logger})
}
