// Package kqflowdemo runs a cell for jobs of steps in one process: real agents,
// an entry and its HTTP API on loopback, over stand-ins of the store and of the
// workers.
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
	cellName     = "cell"
	lease        = 7 * time.Second
	checkInEvery = time.Second
	lookUpTime   = time.Second
	standingTime = 24 * time.Hour
	// standingReady is how long a standing task takes until it serves.
	standingReady = 300 * time.Millisecond
	keepStates    = time.Hour
	// evacuateWithin is the time after which nothing starts in an evacuated zone.
	evacuateWithin = 5 * time.Second
	entryName      = "entry"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// CellConfig sets up a Cell.
type CellConfig struct {
	// Workers is how many workers there are, each with its agent.
	Workers int
	// Capacity is what each worker has.
	Capacity kqmodel.Resources
	// Service names the pool that the workers belong to.
	Service string
	// Listen is where the API is served; port 0 takes a free one.
	Listen netip.AddrPort
	// Seed draws the faults of the stand-ins.
	Seed uint64
	// Events remembers what was decided; may be nil.
	Events *kqevent.Log
}

// Cell is one cell with its entry.
type Cell struct {
	// Store is the stand-in of the store, Ledger what the workers really ran.
	Store  *kqrowstore.Store
	Ledger *kqtaskhost.Ledger
	// Counter is the breaches that the program saw itself.
	Counter *kqinvariant.Counter
	// Members is the agents with their workers.
	Members []*kqmachine.Machine

	config CellConfig
	book   *kqgate.PolicyWatcher
	entry  *kqnode.Node
	server *kqserver.Server
}

// NewCell starts a Cell.
func NewCell(c CellConfig) (*Cell, error) {
	x := &Cell{config: c, Store: kqrowstore.New(c.Seed), Counter: &kqinvariant.Counter{}}
	x.Ledger = kqtaskhost.NewLedger(x.rules)
	for i := range c.Workers {
		m, err := x.newMember(i, c.Seed+uint64(i))
		if err != nil {
			x.Close()
			return nil, err
		}
		x.Members = append(x.Members, m)
	}
	if err := x.startEntry(); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

func (x *Cell) startEntry() error {
	store := x.Store.Client(entryName)
	x.book = kqgate.NewPolicyWatcher(kqgate.PolicyWatcherConfig{Store: store, Now: time.Now, Events: x.config.Events})
	front := kqfront.New(kqfront.Config{Store: store, Now: time.Now, WallClock: time.Now, Events: x.config.Events})
	var err error
	x.entry, err = kqnode.Start(kqnode.Config{Role: kqmessage.RoleEntry, Control: x.control(entryName, 1, netip.AddrPort{}, x.book),
		Connected: front.Connected, Disconnected: front.Disconnected, Receive: front.Receive})
	if err != nil {
		return err
	}
	x.server, err = kqserver.Start(x.config.Listen, kqgate.New(kqgate.Config{Front: front, Policies: x.book, Store: store, Events: x.config.Events}).Handler())
	return err
}

// Addr returns where the API is served.
func (x *Cell) Addr() netip.AddrPort { return x.server.Addr() }

// Close ends every process.
func (x *Cell) Close() {
	for _, m := range x.Members {
		m.Kill()
	}
	if x.server != nil {
		x.server.Kill()
	}
	if x.entry != nil {
		x.entry.Kill()
	}
	if x.book != nil {
		x.book.Close()
	}
}

// Owner returns the member that owns the cell, or nil.
func (x *Cell) Owner() *kqmachine.Machine {
	for _, m := range x.Members {
		if m.IsOwner() {
			return m
		}
	}
	return nil
}

func (x *Cell) control(name string, boot int, at netip.AddrPort, b *kqgate.PolicyWatcher) kqcontrol.Config {
	return kqcontrol.Config{Cell: cellName, Name: name, Boot: fmt.Sprintf("%s/%d", name, boot), Address: at, Store: x.Store.Client(name),
		Lease: lease, CrossRackSlowdown: 1, Retention: keepStates, Policy: b.Policy, Now: time.Now, WallClock: time.Now, Events: x.config.Events, Counter: x.Counter}
}

// step reads the step of a task as it was handed in.
func (x *Cell) step(task string) (kqflow.TaskID, kqflow.Submission, bool) {
	id, err := kqflow.ParseTaskID(task)
	if err != nil {
		return id, kqflow.Submission{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookUpTime)
	defer cancel()
	rows, _, err := x.Store.Client("runtime").Read(ctx, kqcontrol.SubmissionTable, id.Job, kqcontrol.RangeEnd(id.Job))
	if err != nil || len(rows) == 0 {
		return id, kqflow.Submission{}, false
	}
	s, err := kqcontrol.DecodeSubmission(rows[0])
	return id, s, err == nil && id.Step < len(s.Job.Steps)
}

// size says what a task takes and how long it runs.
func (x *Cell) size(task string) (kqmodel.Resources, time.Duration) {
	id, s, ok := x.step(task)
	if !ok {
		return kqmodel.Resources{}, 0
	}
	step := s.Job.Steps[id.Step]
	if step.LongRunning {
		return step.Reserved(), standingTime
	}
	return step.Reserved(), step.Estimate
}

// ready says how long a standing task takes until it serves.
func (x *Cell) ready(task string) time.Duration {
	if id, s, ok := x.step(task); ok && s.Job.Steps[id.Step].LongRunning {
		return standingReady
	}
	return 0
}

// rules says what must hold of a task.
func (x *Cell) rules(task string) kqtaskhost.Rules {
	id, s, ok := x.step(task)
	if !ok {
		return kqtaskhost.Rules{}
	}
	step := s.Job.Steps[id.Step]
	r := kqtaskhost.Rules{Speculative: step.Speculative, MaxAttempts: math.MaxInt}
	if q, ok := x.book.Policy().Queues[s.Job.Queue]; ok && !step.LongRunning {
		r.MaxAttempts = q.MaxAttempts
	}
	for _, a := range step.After {
		for i := range s.Job.Steps[a].Count {
			r.After = append(r.After, kqflow.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: a, Index: i}.String())
		}
	}
	return r
}

// newMember starts an agent with the worker beside it.
func (x *Cell) newMember(number int, seed uint64) (*kqmachine.Machine, error) {
	name := fmt.Sprintf("worker-%d", number+1)
	at, err := freePort()
	if err != nil {
		return nil, err
	}
	var m *kqmachine.Machine
	var book *kqgate.PolicyWatcher
	var zones *kqgate.ZoneWatcher
	m = kqmachine.New(kqmachine.Config{Name: name, Service: x.config.Service, Zone: zoneOf(number), Capacity: x.config.Capacity, CheckInInterval: checkInEvery,
		Host: kqtaskhost.New(name, kqtaskhost.Config{Seed: seed, Capacity: x.config.Capacity, TaskSpec: x.size, Ledger: x.Ledger, TimeToReady: x.ready}),
		ControlConfig: func(boot int) kqcontrol.Config {
			book = kqgate.NewPolicyWatcher(kqgate.PolicyWatcherConfig{Store: x.Store.Client(name), Now: time.Now, Events: x.config.Events, OnChange: m.SetPolicy})
			zones = kqgate.NewZoneWatcher(kqgate.ZoneWatcherConfig{Process: name, Store: x.Store.Client(name), Now: time.Now, Events: x.config.Events, OnChange: m.SetZones})
			c := x.control(name, boot, at, book)
			c.Evacuation = zones.Evacuation(evacuateWithin)
			return c
		},
		OnStop: func() { book.Close(); zones.Close() }})
	return m, m.Start()
}

// freePort returns a loopback address that nobody serves on.
func freePort() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(loopback, 0).String())
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "free port")
	}
	defer l.Close()
	return netip.ParseAddrPort(l.Addr().String())
}

// demoZones are the availability zones of the demo, to which workers belong in turn.
var demoZones = []string{"zone-a", "zone-b", "zone-c"}

func zoneOf(worker int) string { return demoZones[worker%len(demoZones)] }
