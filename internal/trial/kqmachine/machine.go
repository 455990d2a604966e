// Package kqmachine runs a real agent with a stand-in for its worker, for trials of jobs of
// steps.
package kqmachine

import (
	"context"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqnode"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqtaskhost"
)

// settleTimeout limits how long a planned stop waits for departures to be stored.
const settleTimeout = 1500 * time.Millisecond

// Config sets up a Machine.
type Config struct {
	// Name is the agent's name.
	Name string
	// Host is the stand-in for the machine that the worker runs on.
	Host *kqtaskhost.Host
	// Service names the pool that the worker belongs to.
	Service string
	// Zone is the worker's availability zone.
	Zone string
	// CheckInInterval is the time between check-ins of the worker with its agent.
	CheckInInterval time.Duration
	// Network connects the agent to other processes; nil means TCP.
	Network *kqnode.Network
	// ControlConfig returns the configuration of the agent's process; boot counts its starts
	// from 1.
	ControlConfig func(boot int) kqcontrol.Config
	// OnStop is called when the process begins to stop; may be nil.
	OnStop func()
}

// Machine is an agent with its worker.
type Machine struct {
	// Host is the stand-in for the machine that the worker runs on.
	Host *kqtaskhost.Host

	config    Config
	bootCount int
	running   bool
	// isDraining is true while the worker says that it is about to leave.
	isDraining atomic.Bool
	node       atomic.Pointer[kqnode.Node]
	executor   atomic.Pointer[kqexecutor.Executor]
	checkIns   *checkInLoop
}

// New returns a Machine whose agent has not been started.
func New(c Config) *Machine { return &Machine{Host: c.Host, config: c} }

// Start starts the agent's process.
func (m *Machine) Start() error {
	m.bootCount++
	c := m.config.ControlConfig(m.bootCount)
	if c.TimedStore == nil {
		c.TimedStore = kqrows.NewTimedStore(c.Store, c.Now)
	}
	x := kqexecutor.Start(kqexecutor.Config{Connect: m.Host.Connect, MaxLease: c.Lease,
		RecordDeparture: kqcontrol.DepartureRecorder{Store: c.TimedStore, Host: c.Name}.Record,
		ZonesKnownAt:    c.Evacuation.KnownAt, EvacuateWithin: c.Evacuation.EvacuateWithin, Now: c.Now, Events: c.Events, Counter: c.Counter})
	m.executor.Store(x)
	if f := c.Evacuation.Zones; f != nil {
		x.SetZones(f())
	}
	n, err := kqnode.Start(kqnode.Config{Role: kqmessage.RoleAgent, ListenAddress: c.Address, Control: c, Network: m.config.Network,
		Connected: x.Connected, Disconnected: x.Disconnected, Receive: x.Receive})
	if err != nil {
		x.Stop()
		m.notifyStop()
		return err
	}
	m.node.Store(n)
	m.running = true
	m.checkIns = &checkInLoop{machine: m, executor: x}
	m.checkIns.tomb.Go(m.checkIns.run)
	return nil
}

// SetPolicy applies a policy to the running agent.
func (m *Machine) SetPolicy(p *kqflow.Policy) {
	if n := m.node.Load(); n != nil {
		n.SetPolicy(p)
	}
}

// SetZones applies the evacuated zones to the running agent.
func (m *Machine) SetZones(z kqevacuate.Zones) {
	if n := m.node.Load(); n != nil {
		n.SetZones(z)
	}
	if x := m.executor.Load(); x != nil {
		x.SetZones(z)
	}
}

// Kill stops the process immediately, as a crash does.
func (m *Machine) Kill() { m.stop((*kqnode.Node).Kill) }

// Shutdown stops the process as a planned stop does: departures that it knows of are stored, and an owner
// hands its ownership over.
func (m *Machine) Shutdown() {
	if m.running {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		m.executor.Load().Settle(ctx)
	}
	m.stop((*kqnode.Node).Shutdown)
}

func (m *Machine) stop(stopNode func(*kqnode.Node)) {
	if !m.running {
		return
	}
	m.running = false
	m.checkIns.tomb.Kill(nil)
	m.notifyStop()
	stopNode(m.node.Load())
	m.executor.Load().Stop()
}

func (m *Machine) notifyStop() {
	if m.config.OnStop != nil {
		m.config.OnStop()
	}
}

// ReplaceWorker drains the worker for a time; it then leaves, and another one starts.
func (m *Machine) ReplaceWorker(drainTime time.Duration) {
	m.isDraining.Store(true)
	time.Sleep(drainTime)
	m.isDraining.Store(false)
	left := m.Host.Incarnation()
	m.Host.Restart(m.Name())
	m.executor.Load().ReceiveLeave(left)
}

// Drain makes the worker report that it is about to leave.
func (m *Machine) Drain() { m.isDraining.Store(true) }

// Leave sends the agent's process a leave message that names told, and returns when it is acknowledged.
func (m *Machine) Leave(told kqexecution.Incarnation) {
	x := m.executor.Load()
	x.ReceiveLeave(told)
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	x.AwaitRecorded(ctx)
}

// Name returns the agent's name.
func (m *Machine) Name() string { return m.config.Name }

// IsRunning reports whether the process is running.
func (m *Machine) IsRunning() bool { return m.running }

// IsOwner reports whether the process is running and owns the cell.
func (m *Machine) IsOwner() bool { return m.running && m.node.Load().IsOwner() }

// checkInLoop sends the worker's check-ins to its agent.
type checkInLoop struct {
	tomb     tomb.Tomb
	machine  *Machine
	executor *kqexecutor.Executor
}

func (c *checkInLoop) run() error {
	m := c.machine
	var last kqexecution.Incarnation
	for sequence := uint64(1); ; sequence++ {
		worker := m.Host.Incarnation()
		if !m.Host.IsUp() {
			worker = ""
		}
		if worker != last {
			// Each incarnation numbers its check-ins from 1.
			last, sequence = worker, 1
		}
		if worker != "" {
			c.executor.CheckIn(kqplan.WorkerInfo{Worker: worker, Service: m.config.Service, Zone: m.config.Zone, Capacity: m.Host.Capacity(), Draining: m.isDraining.Load()}, sequence)
		}
		select {
		case <-c.tomb.Dying():
			return nil
		case <-time.After(m.config.CheckInInterval):
		}
	}
}
