// Package kqmachine runs a real agent beside a stand-in of its worker, for trials
// of jobs of steps.
package kqmachine

import (
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqnode"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqtaskhost"
)

// Config sets up a Machine.
type Config struct {
	// Name is the agent's name.
	Name string
	// Host is the machine that the worker runs on.
	Host *kqtaskhost.Host
	// Service names the pool that the worker belongs to, Capacity is what it has.
	Service  string
	Capacity kqmodel.Resources
	// Zone is the worker's availability zone.
	Zone string
	// CheckInEvery is how often the worker checks in with the agent.
	CheckInInterval time.Duration
	// Network is how the agent reaches others; nil means TCP.
	Network *kqnode.Network
	// Control sets up the agent's process; boot counts its starts from 1.
	ControlConfig func(boot int) kqcontrol.Config
	// Stopping is called as the process begins to end; may be nil.
	OnStop func()
}

// Machine is an agent with the worker beside it.
type Machine struct {
	// Host is the machine that the worker runs on.
	Host *kqtaskhost.Host

	config   Config
	boots    int
	up       bool
	node     atomic.Pointer[kqnode.Node]
	executor atomic.Pointer[kqexecutor.Executor]
	beats    *checkIns
}

// New returns a Machine whose agent is not started yet.
func New(c Config) *Machine { return &Machine{Host: c.Host, config: c} }

// Start starts the agent's process.
func (m *Machine) Start() error {
	m.boots++
	c := m.config.ControlConfig(m.boots)
	x := kqexecutor.Start(kqexecutor.Config{Connect: m.Host.Connect, MaxLease: c.Lease,
		ZonesKnownAt: c.Evacuation.KnownAt, EvacuateWithin: c.Evacuation.EvacuateWithin, Now: c.Now, Events: c.Events, Counter: c.Counter})
	m.executor.Store(x)
	if f := c.Evacuation.Zones; f != nil {
		x.SetZones(f())
	}
	n, err := kqnode.Start(kqnode.Config{Role: kqmessage.RoleAgent, ListenAddress: c.Address, Control: c, Network: m.config.Network,
		Connected: x.Connected, Disconnected: x.Disconnected, Receive: x.Receive})
	if err != nil {
		x.Stop()
		m.stopping()
		return err
	}
	m.node.Store(n)
	m.up = true
	m.beats = &checkIns{machine: m, executor: x}
	m.beats.tomb.Go(m.beats.loop)
	return nil
}

// SetPolicy hands a policy to the agent; an owner that starts later reads the
// policy itself.
func (m *Machine) SetPolicy(p *kqflow.Policy) {
	if n := m.node.Load(); n != nil {
		n.SetPolicy(p)
	}
}

// SetZones hands the evacuated zones to the agent; an owner that starts later reads
// them itself.
func (m *Machine) SetZones(z kqevacuate.Zones) {
	if n := m.node.Load(); n != nil {
		n.SetZones(z)
	}
	if x := m.executor.Load(); x != nil {
		x.SetZones(z)
	}
}

// Kill ends the process at once.
func (m *Machine) Kill() { m.end((*kqnode.Node).Kill) }

// Leave ends the process as a planned stop does.
func (m *Machine) Shutdown() { m.end((*kqnode.Node).Shutdown) }

func (m *Machine) end(node func(*kqnode.Node)) {
	if !m.up {
		return
	}
	m.up = false
	m.beats.tomb.Kill(nil)
	m.stopping()
	node(m.node.Load())
	m.executor.Load().Stop()
}

func (m *Machine) stopping() {
	if m.config.OnStop != nil {
		m.config.OnStop()
	}
}

// Name returns the agent's name.
func (m *Machine) Name() string { return m.config.Name }

// Up reports whether the process is there.
func (m *Machine) IsRunning() bool { return m.up }

// Owning reports whether the process owns the cell.
func (m *Machine) IsOwner() bool { return m.up && m.node.Load().IsOwner() }

// checkIns is what the worker says to its agent.
type checkIns struct {
	tomb     tomb.Tomb
	machine  *Machine
	executor *kqexecutor.Executor
}

func (c *checkIns) loop() error {
	m := c.machine
	var last kqexecution.Incarnation
	for sequence := uint64(1); ; sequence++ {
		worker := m.Host.Incarnation()
		if worker != last {
			// The sequence of an incarnation starts anew.
			last, sequence = worker, 1
		}
		c.executor.CheckIn(kqplan.WorkerInfo{Worker: worker, Service: m.config.Service, Zone: m.config.Zone, Capacity: m.config.Capacity}, sequence)
		select {
		case <-c.tomb.Dying():
			return nil
		case <-time.After(m.config.CheckInInterval):
		}
	}
}
