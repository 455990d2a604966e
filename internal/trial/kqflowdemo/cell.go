// Package kqflowdemo runs a cell for jobs of steps in one process: real agents, an entry and
// its HTTP API on loopback, with stand-ins for the store and the workers.
package kqflowdemo

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqfront"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqnode"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqtaskhost"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqmachine"
)

const (
	cellName            = "cell"
	leaseDuration       = 7 * time.Second
	checkInInterval     = time.Second
	lookUpTimeout       = time.Second
	longRunningDuration = 24 * time.Hour
	// longRunningTimeToReady is how long a long-running task takes until it is ready to
	// serve.
	longRunningTimeToReady = 300 * time.Millisecond
	retention              = time.Hour
	// evacuateWithin is the time after which no run starts in an evacuated zone.
	evacuateWithin = 5 * time.Second
	entryName      = "entry"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// CellConfig sets up a Cell.
type CellConfig struct {
	// Workers is the number of workers, each with its agent.
	Workers int
	// Capacity is the capacity of each worker.
	Capacity kqmodel.Resources
	// Service names the pool that the workers belong to.
	Service string
	// ListenAddress is the address of the API; port 0 takes a free port.
	ListenAddress netip.AddrPort
	// Guard limits what clients of the API hold; nil derives the limits from the host.
	Guard *kqserver.Guard
	// Seed seeds the random faults of the stand-ins.
	Seed uint64
	// Events receives the events of all processes; may be nil.
	Events *kqevent.Log
}

// Cell is one cell with its entry.
type Cell struct {
	// Store is the stand-in for the store, Ledger the record of the runs on all workers.
	Store  *kqrowstore.Store
	Ledger *kqtaskhost.Ledger
	// Counter counts the breaches of invariants that the processes detected themselves.
	Counter *kqinvariant.Counter
	// Agents are the agents, each with its worker.
	Agents []*kqmachine.Machine

	config   CellConfig
	policies *kqgate.PolicyWatcher
	entry    *kqnode.Node
	server   *kqserver.Server
}

// NewCell starts the agents and the entry of a Cell.
func NewCell(c CellConfig) (*Cell, error) {
	x := &Cell{config: c, Store: kqrowstore.New(c.Seed), Counter: &kqinvariant.Counter{}}
	x.Ledger = kqtaskhost.NewLedger(x.rules)
	for i := range c.Workers {
		m, err := x.startAgent(i, c.Seed+uint64(i))
		if err != nil {
			x.Close()
			return nil, err
		}
		x.Agents = append(x.Agents, m)
	}
	if err := x.startEntry(); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

func (x *Cell) startEntry() error {
	store := x.Store.Client(entryName)
	x.policies = kqgate.NewPolicyWatcher(kqgate.PolicyWatcherConfig{Store: store, Now: time.Now, Events: x.config.Events})
	front := kqfront.New(kqfront.Config{Store: store, Now: time.Now, WallClock: time.Now, Events: x.config.Events})
	var err error
	x.entry, err = kqnode.Start(kqnode.Config{Role: kqmessage.RoleEntry, Control: x.controlConfig(entryName, 1, netip.AddrPort{}, x.policies),
		Connected: front.Connected, Disconnected: front.Disconnected, Receive: front.Receive})
	if err != nil {
		return err
	}
	x.server, err = kqserver.StartWith(kqserver.Config{Listen: x.config.ListenAddress, Guard: x.config.Guard}, kqgate.New(kqgate.Config{Front: front, Policies: x.policies, Store: store, Events: x.config.Events}).Handler())
	return err
}

// Addr returns the address of the API.
func (x *Cell) Addr() netip.AddrPort { return x.server.Addr() }

// Close stops all processes immediately.
func (x *Cell) Close() {
	for _, m := range x.Agents {
		m.Kill()
	}
	if x.server != nil {
		x.server.Kill()
	}
	if x.entry != nil {
		x.entry.Kill()
	}
	if x.policies != nil {
		x.policies.Close()
	}
}

// Owner returns the agent that owns the cell, or nil.
func (x *Cell) Owner() *kqmachine.Machine {
	for _, m := range x.Agents {
		if m.IsOwner() {
			return m
		}
	}
	return nil
}

// controlConfig returns the configuration of the process name in its boot-th start.
func (x *Cell) controlConfig(name string, boot int, address netip.AddrPort, policies *kqgate.PolicyWatcher) kqcontrol.Config {
	return kqcontrol.Config{Cell: cellName, Name: name, Boot: fmt.Sprintf("%s/%d", name, boot), Address: address, Store: x.Store.Client(name),
		Lease: leaseDuration, CrossRackSlowdown: 1, Retention: retention, Policy: policies.Policy, Now: time.Now, WallClock: time.Now, Events: x.config.Events, Counter: x.Counter}
}

// submissionOf reads from the store the submission of the job that a task belongs to. It
// returns false if the store cannot be read or has no valid submission with the task's step.
func (x *Cell) submissionOf(task string) (kqflow.TaskID, kqflow.Submission, bool) {
	id, err := kqflow.ParseTaskID(task)
	if err != nil {
		return id, kqflow.Submission{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookUpTimeout)
	defer cancel()
	rows, _, err := x.Store.Client("runtime").Read(ctx, kqcontrol.SubmissionTable, id.Job, kqcontrol.RangeEnd(id.Job))
	if err != nil || len(rows) == 0 {
		return id, kqflow.Submission{}, false
	}
	s, err := kqcontrol.DecodeSubmission(rows[0])
	return id, s, err == nil && id.Step < len(s.Job.Steps)
}

// taskSpec returns the resources that a task uses and how long it runs.
func (x *Cell) taskSpec(task string) (kqmodel.Resources, time.Duration) {
	id, s, ok := x.submissionOf(task)
	if !ok {
		return kqmodel.Resources{}, 0
	}
	step := s.Job.Steps[id.Step]
	if step.LongRunning {
		return step.Reserved(), longRunningDuration
	}
	return step.Reserved(), step.Estimate
}

// timeToReady returns how long a long-running task takes until it is ready to serve, 0 for a
// finite task.
func (x *Cell) timeToReady(task string) time.Duration {
	if id, s, ok := x.submissionOf(task); ok && s.Job.Steps[id.Step].LongRunning {
		return longRunningTimeToReady
	}
	return 0
}

// rules returns the rules that the ledger checks the runs of a task against.
func (x *Cell) rules(task string) kqtaskhost.Rules {
	id, s, ok := x.submissionOf(task)
	if !ok {
		return kqtaskhost.Rules{}
	}
	step := s.Job.Steps[id.Step]
	r := kqtaskhost.Rules{Speculative: step.Speculative, MaxAttempts: math.MaxInt}
	if q, ok := x.policies.Policy().Queues[s.Job.Queue]; ok && !step.LongRunning {
		r.MaxAttempts = q.MaxAttempts
	}
	for _, a := range step.After {
		for i := range s.Job.Steps[a].Count {
			r.After = append(r.After, kqflow.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: a, Index: i}.String())
		}
	}
	return r
}

// newMember starts an agent with its worker.
func (x *Cell) startAgent(number int, seed uint64) (*kqmachine.Machine, error) {
	name := fmt.Sprintf("worker-%d", number+1)
	address, err := freePort()
	if err != nil {
		return nil, err
	}
	var m *kqmachine.Machine
	var policies *kqgate.PolicyWatcher
	var zones *kqgate.ZoneWatcher
	m = kqmachine.New(kqmachine.Config{Name: name, Service: x.config.Service, Zone: zoneOf(number), CheckInInterval: checkInInterval,
		Host: kqtaskhost.New(name, kqtaskhost.Config{Seed: seed, Capacity: x.config.Capacity, TaskSpec: x.taskSpec, Ledger: x.Ledger, TimeToReady: x.timeToReady}),
		ControlConfig: func(boot int) kqcontrol.Config {
			policies = kqgate.NewPolicyWatcher(kqgate.PolicyWatcherConfig{Store: x.Store.Client(name), Now: time.Now, Events: x.config.Events, OnChange: m.SetPolicy})
			zones = kqgate.NewZoneWatcher(kqgate.ZoneWatcherConfig{Process: name, Store: x.Store.Client(name), Now: time.Now, Events: x.config.Events, OnChange: m.SetZones})
			c := x.controlConfig(name, boot, address, policies)
			c.Evacuation = zones.Evacuation(evacuateWithin)
			return c
		},
		OnStop: func() { policies.Close(); zones.Close() }})
	return m, m.Start()
}

// freePort returns a loopback address with a free port.
func freePort() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(loopback, 0).String())
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "find a free port")
	}
	defer l.Close()
	return netip.ParseAddrPort(l.Addr().String())
}

// demoZones lists the availability zones; workers are assigned to them in turn.
var demoZones = []string{"zone-a", "zone-b", "zone-c"}

func zoneOf(worker int) string { return demoZones[worker%len(demoZones)] }
