// Package kqrig runs the decision code of one cell, owners and workers alike,
// over small fakes of the table, the hosts and the network, in one goroutine
// and in virtual time. The same seed gives the same run.
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
	// Seed draws everything.
	Seed uint64
	// Workers is how many workers the cell has.
	Workers int
	// WorkersPerRack is how many share a rack; 0 means 3.
	WorkersPerRack int
	// Capacity is what each worker has.
	Capacity kqmodel.Resources
	// Behaviours is how the families really behave.
	Behaviours map[string]kqhost.Behaviour
	// Quotas is the quota of each team.
	Quotas map[string]kqmodel.Resources
	// Interference lets the owner place by learned interference.
	Interference bool
	// Events remembers what the owners decide; may be nil.
	Events *kqevent.Log
}

// Cell is the name of the rig's only cell.
const Cell = "cell-0"

// Start of the virtual time.
var epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// occasion is something that happens at a time.
type occasion struct {
	at    time.Time
	order uint64
	do    func()
}

type agenda []occasion

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(occasion)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// Rig is a cell in virtual time.
type Rig struct {
	// Table is the table, reached through Store.
	Table *kqstore.Table
	// Store is the faults of the table.
	Store *Store
	// Objects is the object store.
	Objects *kqstore.Objects
	// ObjectFaults is the faults of the object store.
	ObjectFaults *kqfault.Switches
	// Ledger records what really ran.
	Ledger *kqhost.Ledger
	// Counter is the breaches seen.
	Counter *kqinvariant.Counter
	// Nodes is the workers.
	Nodes []*Node
	// Network is the faults between workers.
	Network *Network

	config  Config
	now     time.Time
	rng     *rand.Rand
	agenda  agenda
	orders  uint64
	writeID int
	checks  *checks
}

// New returns a Rig whose workers start at once.
func New(c Config) *Rig {
	if c.WorkersPerRack == 0 {
		c.WorkersPerRack = 3
	}
	never := kqfault.New(c.Seed)
	r := &Rig{config: c, now: epoch, rng: rand.New(rand.NewPCG(c.Seed, 7)), Counter: &kqinvariant.Counter{},
		Table: kqstore.NewTable(never), ObjectFaults: kqfault.New(c.Seed + 1), Ledger: kqhost.NewLedger()}
	r.Objects = kqstore.NewObjects(r.ObjectFaults)
	r.Store = &Store{rig: r}
	r.Network = &Network{rig: r, cut: map[string]bool{}, Delay: 2 * time.Millisecond}
	r.checks = newChecks(r)
	r.Ledger.OnStart = r.checks.started
	for i := range c.Workers {
		r.Nodes = append(r.Nodes, newNode(r, i))
	}
	return r
}

// Now returns the virtual time.
func (r *Rig) Now() time.Time { return r.now }

// after plans something.
func (r *Rig) after(d time.Duration, do func()) {
	r.orders++
	heap.Push(&r.agenda, occasion{at: r.now.Add(d), order: r.orders, do: do})
}

// Run lets a span of virtual time pass.
func (r *Rig) Run(d time.Duration) {
	end := r.now.Add(d)
	for len(r.agenda) > 0 && !r.agenda[0].at.After(end) {
		o := heap.Pop(&r.agenda).(occasion)
		r.now = o.at
		o.do()
	}
	r.now = end
}

// RunUntil lets time pass until done, at most the bound, and reports whether
// it was done.
func (r *Rig) RunUntil(bound time.Duration, done func() bool) bool {
	const step = 100 * time.Millisecond
	for end := r.now.Add(bound); r.now.Before(end); {
		if done() {
			return true
		}
		r.Run(step)
	}
	return done()
}

// newWriteID returns an identifier that depends on the seed alone.
func (r *Rig) newWriteID() string {
	r.writeID++
	return fmt.Sprintf("w%d", r.writeID)
}

// Owner returns the node that acts as the owner with the highest epoch, or nil.
func (r *Rig) Owner() *Node {
	var best *Node
	for _, n := range r.Nodes {
		if n.cell != nil && n.up && (best == nil || n.cell.Epoch() > best.cell.Epoch()) {
			best = n
		}
	}
	return best
}

// Breaches describes what was broken.
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

// Reserved returns what the owner would reserve for a task of a family.
func (r *Rig) Reserved(family string, declared kqmodel.Resources) kqmodel.Resources {
	return r.Owner().cell.Reservation(family, declared)
}
