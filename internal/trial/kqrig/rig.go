// Package kqrig simulates one cell: it runs the decision code of owners and workers against
// small fakes of the table, the hosts and the network, in one goroutine and in virtual time.
// The same seed gives the same run.
package kqrig

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqhost"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqstore"
)

// Config sets up a Rig.
type Config struct {
	// Seed seeds all random choices.
	Seed uint64
	// Workers is the number of workers of the cell.
	Workers int
	// WorkersPerRack is the number of workers in a rack; 0 means 3.
	WorkersPerRack int
	// Capacity is the capacity of each worker.
	Capacity kqmodel.Resources
	// Behaviours holds, by job family, the true usage and run time of tasks relative to what
	// their jobs declare.
	Behaviours map[string]kqhost.Behaviour
	// Quotas holds the quotas by team; other teams have none.
	Quotas map[string]kqmodel.Resources
	// Interference lets the owner consider learned interference when it places tasks.
	Interference bool
	// Events records the decisions of the owners; may be nil.
	Events *kqevent.Log
}

// Cell is the id of the simulated cell.
const Cell = "cell-0"

// startTime is the virtual time at which a Rig starts.
var startTime = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// event is a function that runs at a virtual time. Events of the same time run in the order
// of their sequence numbers.
type event struct {
	at       time.Time
	sequence uint64
	do       func()
}

// eventQueue is a heap of events; the earliest is first.
type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].sequence < a[j].sequence
	}
	return a[i].at.Before(a[j].at)
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// Rig is a simulated cell. It is not safe for concurrent use.
type Rig struct {
	// Table is the table itself, without faults; nodes access it through Store.
	Table *kqstore.Table
	// Store gives nodes access to the table and injects faults.
	Store *Store
	// Objects is the object store, which holds the checkpoints.
	Objects *kqstore.Objects
	// ObjectFaults injects faults into the object store.
	ObjectFaults *kqfault.Switches
	// Ledger records the tasks that the hosts ran.
	Ledger *kqhost.Ledger
	// Counter records the breaches of invariants.
	Counter *kqinvariant.Counter
	// Nodes holds the workers.
	Nodes []*Node
	// Network connects the workers and injects faults.
	Network *Network

	config       Config
	now          time.Time
	rng          *rand.Rand
	queue        eventQueue
	lastSequence uint64
	lastWriteID  int
	checks       *checks
}

// New returns a Rig whose agents are started.
func New(c Config) *Rig {
	if c.WorkersPerRack == 0 {
		c.WorkersPerRack = 3
	}
	noFaults := kqfault.New(c.Seed)
	r := &Rig{config: c, now: startTime, rng: rand.New(rand.NewPCG(c.Seed, 7)), Counter: &kqinvariant.Counter{},
		Table: kqstore.NewTable(noFaults), ObjectFaults: kqfault.New(c.Seed + 1), Ledger: kqhost.NewLedger()}
	r.Objects = kqstore.NewObjects(r.ObjectFaults)
	r.Store = &Store{rig: r}
	r.Network = &Network{rig: r, cut: map[string]bool{}, Delay: 2 * time.Millisecond}
	r.checks = newChecks(r)
	r.Ledger.OnStart = r.checks.checkStart
	for i := range c.Workers {
		r.Nodes = append(r.Nodes, newNode(r, i))
	}
	return r
}

// Now returns the current virtual time.
func (r *Rig) Now() time.Time { return r.now }

// after schedules do to run after the virtual time d.
func (r *Rig) after(d time.Duration, do func()) {
	r.lastSequence++
	heap.Push(&r.queue, event{at: r.now.Add(d), sequence: r.lastSequence, do: do})
}

// Run advances the virtual time by d and runs the events that are due.
func (r *Rig) Run(d time.Duration) {
	end := r.now.Add(d)
	for len(r.queue) > 0 && !r.queue[0].at.After(end) {
		o := heap.Pop(&r.queue).(event)
		r.now = o.at
		o.do()
	}
	r.now = end
}

// RunUntil advances the virtual time until done returns true, by the timeout at most, and
// returns the last result of done.
func (r *Rig) RunUntil(timeout time.Duration, done func() bool) bool {
	const step = 100 * time.Millisecond
	for end := r.now.Add(timeout); r.now.Before(end); {
		if done() {
			return true
		}
		r.Run(step)
	}
	return done()
}

// newWriteID returns a unique id of a write, the same in each run with the same seed.
func (r *Rig) newWriteID() string {
	r.lastWriteID++
	return fmt.Sprintf("w%d", r.lastWriteID)
}

// Owner returns the owner of the cell, the one with the highest epoch if several nodes act as
// the owner, or nil if none does.
func (r *Rig) Owner() *Node {
	var highest *Node
	for _, n := range r.Nodes {
		if n.cell != nil && n.agentUp && (highest == nil || n.cell.Epoch() > highest.cell.Epoch()) {
			highest = n
		}
	}
	return highest
}

// Breaches returns a description of each breach that Counter and Ledger have recorded.
func (r *Rig) Breaches() []string {
	var out []string
	for _, b := range r.Counter.Breaches() {
		out = append(out, fmt.Sprintf("%s: %s", b.Name, b.Detail))
	}
	t := r.Ledger.Totals()
	if t.RunTwice > 0 {
		out = append(out, fmt.Sprintf("ledger: %d tasks run twice", t.RunTwice))
	}
	if t.CapacityExceeded > 0 {
		out = append(out, fmt.Sprintf("ledger: capacity exceeded %d times", t.CapacityExceeded))
	}
	return out
}

// Reservation returns the resources that the owner would reserve for a task of a family. There
// must be an owner.
func (r *Rig) Reservation(family string, declared kqmodel.Resources) kqmodel.Resources {
	return r.Owner().cell.Reservation(family, declared)
}
