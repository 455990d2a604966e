// Package kqflowrig runs the real owners, agents and entries of one cell over
// stand-ins of the store, the workers and the network. Run in a synctest bubble
// it takes virtual time and costs a second for minutes of it.
package kqflowrig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqfront"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqnode"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqtaskhost"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqmachine"
)

const (
	lease         = 7 * time.Second
	holdMax       = 10 * time.Second
	checkInEvery  = 1500 * time.Millisecond
	submitTimeout = 3 * time.Second
	attempts      = 4
	innerPort     = 7720
	service       = "service"
	urgentQueue   = "urgent"
	batchQueue    = "batch"
)

// Config sets up a Rig.
type Config struct {
	// Seed draws everything.
	Seed uint64
	// Agents is how many workers there are, each with its agent.
	Agents int
	// Capacity is what each worker has.
	Capacity kqmodel.Resources
	// Lease is the longest lease that is granted; 0 means 7 s.
	Lease time.Duration
	// Partitions is how many partitions the table of submissions has, in a store that
	// carries out the transactions of a partition one after another; 0 means that
	// transactions do not wait for each other.
	Partitions int
	// Events receives what processes log; may be nil.
	Events *kqevent.Log
	// Settled is told once of each job how well it was served; may be nil.
	Settled func(kqplan.JobOutcome)
	// Zones are the availability zones, to which agents belong in turn; none means one
	// without a name.
	Zones []string
	// EvacuateWithin is the time after which nothing starts in an evacuated zone; 0 if
	// there is no bound.
	EvacuateWithin time.Duration
	// Entries is how many entries there are; 0 means one.
	Entries int
	// Admission lets entries reject jobs.
	Admission bool
	// Births is true if workers keep their id when they start again and send their
	// time of birth.
	Births bool
}

// Rig is a cell with its callers.
type Rig struct {
	// Store is the store, Network the links, Ledger what really ran.
	Store   *kqrowstore.Store
	Network *Network
	Ledger  *kqtaskhost.Ledger
	// Counter is the breaches that the program saw itself.
	Counter *kqinvariant.Counter
	// Agents is the workers' agents.
	Agents []*kqmachine.Machine
	// Front is the first entry's side for callers, Fronts that of each.
	Front  *kqfront.Frontend
	Fronts []*kqfront.Frontend

	config  Config
	rng     *rand.Rand
	entries []*kqnode.Node
	// boots counts the processes that entries have had.
	boots int
	// mu guards jobs and order, which are read while others are handed in.
	mu     sync.Mutex
	jobs   map[string]kqflow.Job
	order  []string
	policy *kqflow.Policy
	requests
}

// New returns a Rig whose processes start at once.
func New(c Config) *Rig {
	r := &Rig{config: c, rng: rand.New(rand.NewPCG(c.Seed, 11)), Store: kqrowstore.New(c.Seed), Network: newNetwork(), Counter: &kqinvariant.Counter{},
		jobs: map[string]kqflow.Job{}}
	if c.Partitions > 0 {
		r.Store.EnablePartitions(map[string]int{kqcontrol.SubmissionTable: c.Partitions})
	}
	r.Ledger = kqtaskhost.NewLedger(r.rules)
	r.policy = &kqflow.Policy{Version: 1, Queues: map[string]kqflow.Queue{
		urgentQueue: {Name: urgentQueue, Service: service, MaxAttempts: attempts, Stretch: 1.5, Target: 250 * time.Millisecond},
		batchQueue:  {Name: batchQueue, Service: service, Priority: 2, MaxAttempts: attempts, Stretch: 2, Target: time.Second}}}
	for i := range c.Agents {
		r.Agents = append(r.Agents, r.startAgent(i))
	}
	n := max(1, c.Entries)
	r.Fronts, r.entries = make([]*kqfront.Frontend, n), make([]*kqnode.Node, n)
	for i := range n {
		r.startEntry(i)
	}
	return r
}

func (r *Rig) startAgent(i int) *kqmachine.Machine {
	name := fmt.Sprintf("10.0.0.%d", i+1)
	host := kqtaskhost.New(name, kqtaskhost.Config{Seed: r.config.Seed + uint64(i), Capacity: r.config.Capacity, TaskSpec: r.size, Ledger: r.Ledger, TimeToReady: r.ready,
		SendsBirthTime: r.config.Births, MaxLease: holdMax,
		OnStartSent: func(k kqexecution.Run) { r.sent(i, k) }})
	var m *kqmachine.Machine
	var book *kqgate.ZoneWatcher
	m = kqmachine.New(kqmachine.Config{Name: name, Host: host, Service: service, Zone: r.Zone(i), Capacity: r.config.Capacity, CheckInInterval: checkInEvery,
		Network: r.Network.of(name), ControlConfig: func(boot int) kqcontrol.Config {
			book = kqgate.NewZoneWatcher(kqgate.ZoneWatcherConfig{Process: name, Store: r.Store.Client(name), Now: time.Now, OnChange: m.SetZones})
			c := r.control(name, boot)
			c.Evacuation = book.Evacuation(r.config.EvacuateWithin)
			return c
		},
		OnStop: func() { book.Close() }})
	if err := m.Start(); err != nil {
		panic(err)
	}
	return m
}

// Zone returns the availability zone of an agent.
func (r *Rig) Zone(agent int) string {
	if len(r.config.Zones) == 0 {
		return ""
	}
	return r.config.Zones[agent%len(r.config.Zones)]
}

// Stop ends every process.
func (r *Rig) Stop() {
	for _, a := range r.Agents {
		a.Kill()
	}
	for _, e := range r.entries {
		e.Kill()
	}
	r.Store.WaitIdle()
}

// RestartEntry ends the process of an entry, with what it remembers, and starts another.
func (r *Rig) RestartEntry(i int) {
	r.entries[i].Kill()
	r.startEntry(i)
}

func (r *Rig) lease() time.Duration {
	if r.config.Lease > 0 {
		return r.config.Lease
	}
	return lease
}

func (r *Rig) control(name string, boot int) kqcontrol.Config {
	return kqcontrol.Config{Cell: "cell", Name: name, Boot: fmt.Sprintf("%s/%d", name, boot), Address: netip.AddrPortFrom(netip.MustParseAddr(name), innerPort),
		Store: r.Store.Client(name), Lease: r.lease(), CrossRackSlowdown: 1, Retention: time.Hour, Policy: func() *kqflow.Policy { return r.policy },
		Now: time.Now, WallClock: time.Now, Events: r.config.Events, RecordOutcome: r.config.Settled, Counter: r.Counter}
}

// EntryName returns the name of an entry's machine.
func EntryName(i int) string { return fmt.Sprintf("10.0.1.%d", i+1) }

func (r *Rig) startEntry(i int) {
	r.boots++
	c := r.control(EntryName(i), r.boots)
	f := kqfront.Config{Store: c.Store, Zone: "z", Now: time.Now, WallClock: time.Now, Events: r.config.Events}
	if r.config.Admission {
		f.Admission = &kqfront.AdmissionConfig{Policy: func() *kqflow.Policy { return r.policy }}
	}
	front := kqfront.New(f)
	n, err := kqnode.Start(kqnode.Config{Role: kqmessage.RoleEntry, Control: c, Network: r.Network.of(EntryName(i)),
		Connected: front.Connected, Disconnected: front.Disconnected, Receive: front.Receive, WantsDigests: r.config.Admission})
	if err != nil {
		panic(err)
	}
	r.Fronts[i], r.entries[i] = front, n
	r.Front = r.Fronts[0]
}

// rules says what must hold of a task.
func (r *Rig) rules(task string) kqtaskhost.Rules {
	id, _ := kqflow.ParseTaskID(task)
	j := r.submitted(id.Job)
	out := kqtaskhost.Rules{MaxAttempts: attempts}
	if id.Step >= len(j.Steps) {
		return out
	}
	s := j.Steps[id.Step]
	out.Speculative = s.Speculative
	for _, a := range s.After {
		if j.Steps[a].Gang {
			// The first end of a member is that of all.
			continue
		}
		for i := range j.Steps[a].Count {
			out.After = append(out.After, kqflow.TaskID{Job: id.Job, Step: a, Index: i}.String())
		}
	}
	return out
}

func (r *Rig) size(task string) (kqmodel.Resources, time.Duration) {
	id, _ := kqflow.ParseTaskID(task)
	s := r.submitted(id.Job).Steps[id.Step]
	return s.Reserved(), s.Estimate
}

// standingReady is how long a standing task takes until it serves.
const standingReady = 500 * time.Millisecond

func (r *Rig) ready(task string) time.Duration {
	id, _ := kqflow.ParseTaskID(task)
	if r.submitted(id.Job).Steps[id.Step].LongRunning {
		return standingReady
	}
	return 0
}

// submitted returns a job that was handed in.
func (r *Rig) submitted(id string) kqflow.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

// Job draws a job.
func (r *Rig) Job() kqflow.Job {
	id := fmt.Sprintf("%016x", r.rng.Uint64())
	j := kqflow.Job{ID: id, Queue: urgentQueue, Payload: "p"}
	longest := 1500
	if r.rng.IntN(3) == 0 {
		j.Queue, longest = batchQueue, 4000
	}
	for n := range 1 + r.rng.IntN(3) {
		s := kqflow.Step{Count: 1 + r.rng.IntN(4), Resources: kqmodel.Resources{MilliProcessors: int64(500 + r.rng.IntN(3000)), MemoryBytes: 1 << 30},
			Estimate: time.Duration(200+r.rng.IntN(longest)) * time.Millisecond, Speculative: r.rng.IntN(5) == 0, Checkpoints: r.rng.IntN(2) == 0}
		if n > 0 {
			s.After = []int{n - 1}
		}
		if r.rng.IntN(6) == 0 {
			s.Gang, s.Speculative = true, false
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// Note makes a job known that a caller hands in by itself.
func (r *Rig) Note(j kqflow.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[j.ID] = j
}

// Submit hands a job in until it is stored or the time for it is up.
func (r *Rig) Submit(j kqflow.Job) bool {
	if !r.Serve(j) {
		return false
	}
	r.mu.Lock()
	r.order = append(r.order, j.ID)
	r.mu.Unlock()
	return true
}

// Serve is Submit for a job that is not among the accepted ones, of which some are
// cancelled and all are expected to end.
func (r *Rig) Serve(j kqflow.Job) bool {
	r.Note(j)
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	return r.Front.Submit(ctx, j) == kqcontrol.OutcomeStored
}

// Cancel cancels a job and reports whether that is durable.
func (r *Rig) Cancel(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	return r.Front.Cancel(ctx, id) == kqcontrol.OutcomeStored
}

// Accepted returns the jobs that are durable, in order.
func (r *Rig) Accepted() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.order)
}

// State returns what callers are shown of a job.
func (r *Rig) State(id string) kqflow.State {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	s, found, err := r.Front.State(ctx, id)
	if err != nil || !found {
		return ""
	}
	return s
}

// Owners returns how many processes own the cell.
func (r *Rig) Owners() int {
	n := 0
	for _, a := range r.Agents {
		if a.IsOwner() {
			n++
		}
	}
	return n
}

// Epoch returns how often the cell was taken.
func (r *Rig) Epoch() uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	rows, _, err := r.Store.Client("").Read(ctx, kqcontrol.CellTable, "", "")
	if err != nil {
		return 0
	}
	for _, x := range rows {
		if x.Key == kqcontrol.OwnerKey("cell") {
			owner, _ := kqcontrol.DecodeOwner(x)
			return owner.Epoch
		}
	}
	return 0
}
