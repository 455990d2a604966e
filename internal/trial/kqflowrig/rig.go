// Package kqflowrig runs the real owners, agents and entries of one cell against stand-ins of the
// store, the workers and the network. In a synctest bubble it runs in virtual time: minutes of a
// cell's operation take about a second.
package kqflowrig

import (
	"context"
	"fmt"
	"maps"
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
	defaultLease    = 7 * time.Second
	maxWorkerLease  = 10 * time.Second // bounds how far ahead a worker accepts the end of a lease
	checkInInterval = 1500 * time.Millisecond
	requestTimeout  = 3 * time.Second // of a caller's or operator's request
	maxAttempts     = 4
	agentPort       = 7720
	service         = "service"
	urgentQueue     = "urgent"
	batchQueue      = "batch"
)

// Config sets up a Rig.
type Config struct {
	// Seed seeds all random draws of the rig and its stand-ins.
	Seed uint64
	// Agents is the number of agents, each with one worker.
	Agents int
	// Capacity is the capacity of each worker.
	Capacity kqmodel.Resources
	// Lease is the maximum duration of a granted lease; 0 means 7 s.
	Lease time.Duration
	// LoadTime is how long a new owner takes to load the stored state after it was read.
	LoadTime time.Duration
	// Partitions is the number of partitions of the submission table. The store executes the
	// transactions of a partition one after another. 0 means a store without partitions, whose
	// transactions do not wait for each other.
	Partitions int
	// Events receives the events of all processes; may be nil.
	Events *kqevent.Log
	// OnOutcome is called once per job with its outcome; may be nil.
	OnOutcome func(kqplan.JobOutcome)
	// Zones are the availability zones; agents are assigned to them round-robin. If empty, all
	// agents are in one zone without a name.
	Zones []string
	// EvacuateWithin is the time after an acknowledged evacuation request from which nothing
	// may start in the zone; 0 means no bound.
	EvacuateWithin time.Duration
	// Entries is the number of entries; 0 means one.
	Entries int
	// Admission is true if entries may reject jobs.
	Admission bool
	// SendsBirthTime is true if a restarted worker keeps its id and reports its time of birth, which
	// tells its incarnations apart.
	SendsBirthTime bool
	// GuardsCapacity is true if workers refuse the starts that do not fit their capacity.
	GuardsCapacity bool
}

// Rig is a cell with its entries, and offers the operations of a caller and of an operator.
type Rig struct {
	// Store is the stand-in of the store, Network connects the processes, and Ledger checks the
	// runs that workers execute.
	Store   *kqrowstore.Store
	Network *Network
	Ledger  *kqtaskhost.Ledger
	// Counter counts the invariant violations that the processes detect themselves.
	Counter *kqinvariant.Counter
	// Agents are the agents, each with its worker.
	Agents []*kqmachine.Machine
	// Frontend is the job front end of the first entry. Frontends has that of each entry.
	Frontend  *kqfront.Frontend
	Frontends []*kqfront.Frontend

	config     Config
	rng        *rand.Rand
	entryNodes []*kqnode.Node
	// entryStarts counts the processes started for entries; it makes their boot ids unique.
	entryStarts int
	// mu guards jobs and accepted, which are read while other jobs are submitted. jobs has every
	// registered job by id; accepted has the ids of those that Submit stored, in order.
	mu       sync.Mutex
	jobs     map[string]kqflow.Job
	accepted []string
	// poison holds how long after their start tasks crash their workers, by task.
	poison map[string]time.Duration
	// policy is guarded by mu too.
	policy *kqflow.Policy
	evacuations
}

// New returns a Rig with all processes started. It panics if one fails to start.
func New(c Config) *Rig {
	r := &Rig{config: c, rng: rand.New(rand.NewPCG(c.Seed, 11)), Store: kqrowstore.New(c.Seed), Network: newNetwork(), Counter: &kqinvariant.Counter{},
		jobs: map[string]kqflow.Job{}, poison: map[string]time.Duration{}}
	if c.Partitions > 0 {
		r.Store.EnablePartitions(map[string]int{kqcontrol.SubmissionTable: c.Partitions})
	}
	r.Ledger = kqtaskhost.NewLedger(r.taskRules)
	r.policy = &kqflow.Policy{Version: 1, Queues: map[string]kqflow.Queue{
		urgentQueue: {Name: urgentQueue, Service: service, MaxAttempts: maxAttempts, Stretch: 1.5, Target: 250 * time.Millisecond},
		batchQueue:  {Name: batchQueue, Service: service, Priority: 2, MaxAttempts: maxAttempts, Stretch: 2, Target: time.Second}}}
	for i := range c.Agents {
		r.Agents = append(r.Agents, r.startAgent(i))
	}
	entryCount := max(1, c.Entries)
	r.Frontends, r.entryNodes = make([]*kqfront.Frontend, entryCount), make([]*kqnode.Node, entryCount)
	for i := range entryCount {
		r.startEntry(i)
	}
	return r
}

func (r *Rig) startAgent(i int) *kqmachine.Machine {
	name := fmt.Sprintf("10.0.0.%d", i+1)
	host := kqtaskhost.New(name, kqtaskhost.Config{Seed: r.config.Seed + uint64(i), Capacity: r.config.Capacity, TaskSpec: r.taskSpec, Ledger: r.Ledger, TimeToReady: r.timeToReady,
		SendsBirthTime: r.config.SendsBirthTime, CrashAfter: r.crashAfter, GuardsCapacity: r.config.GuardsCapacity, MaxLease: maxWorkerLease,
		OnStartSent: func(run kqexecution.Run) { r.checkStart(i, run) }})
	var machine *kqmachine.Machine
	var watcher *kqgate.ZoneWatcher
	machine = kqmachine.New(kqmachine.Config{Name: name, Host: host, Service: service, Zone: r.Zone(i), CheckInInterval: checkInInterval,
		Network: r.Network.forMachine(name), ControlConfig: func(boot int) kqcontrol.Config {
			watcher = kqgate.NewZoneWatcher(kqgate.ZoneWatcherConfig{Process: name, Store: r.Store.Client(name), Now: time.Now, OnChange: machine.SetZones})
			c := r.controlConfig(name, boot)
			c.Evacuation = watcher.Evacuation(r.config.EvacuateWithin)
			return c
		},
		OnStop: func() { watcher.Close() }})
	if err := machine.Start(); err != nil {
		panic(err)
	}
	return machine
}

// Zone returns the availability zone of the agent with the given index.
func (r *Rig) Zone(agent int) string {
	if len(r.config.Zones) == 0 {
		return ""
	}
	return r.config.Zones[agent%len(r.config.Zones)]
}

// Stop kills every process and waits until the store has carried out its queued transactions.
func (r *Rig) Stop() {
	for _, a := range r.Agents {
		a.Kill()
	}
	for _, e := range r.entryNodes {
		e.Kill()
	}
	r.Store.WaitIdle()
	r.Network.waitIdle()
}

// RestartEntry kills the process of an entry, which loses its state in memory, and starts a new
// one.
func (r *Rig) RestartEntry(i int) {
	r.entryNodes[i].Kill()
	r.startEntry(i)
}

func (r *Rig) lease() time.Duration {
	if r.config.Lease > 0 {
		return r.config.Lease
	}
	return defaultLease
}

func (r *Rig) controlConfig(name string, boot int) kqcontrol.Config {
	return kqcontrol.Config{Cell: "cell", Name: name, Boot: fmt.Sprintf("%s/%d", name, boot), Address: netip.AddrPortFrom(netip.MustParseAddr(name), agentPort),
		Store: r.Network.limitStore(name, r.Store.Client(name)), Lease: r.lease(), CrossRackSlowdown: 1, Retention: time.Hour, Policy: r.loadPolicy,
		Now: time.Now, WallClock: time.Now, Events: r.config.Events, RecordOutcome: r.config.OnOutcome, Counter: r.Counter}
}

// loadPolicy returns the policy to a new owner, which then takes LoadTime to load its state.
func (r *Rig) loadPolicy() *kqflow.Policy {
	p := r.Policy()
	time.Sleep(r.config.LoadTime)
	return p
}

// Policy returns the newest policy.
func (r *Rig) Policy() *kqflow.Policy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy
}

// AddQueue adds or changes a queue in a new version of the policy, and passes the policy to the running
// agents.
func (r *Rig) AddQueue(q kqflow.Queue) {
	r.mu.Lock()
	next := &kqflow.Policy{Version: r.policy.Version + 1, Queues: maps.Clone(r.policy.Queues)}
	next.Queues[q.Name] = q
	r.policy = next
	r.mu.Unlock()
	r.PassPolicy(next)
}

// PassPolicy passes a policy to the running agents. Its version may be older than what they have.
func (r *Rig) PassPolicy(p *kqflow.Policy) {
	for _, a := range r.Agents {
		a.SetPolicy(p)
	}
}

// EntryName returns the name of the machine of the entry with the given index. It is also the
// entry's name as a client of the store.
func EntryName(i int) string { return fmt.Sprintf("10.0.1.%d", i+1) }

func (r *Rig) startEntry(i int) {
	r.entryStarts++
	control := r.controlConfig(EntryName(i), r.entryStarts)
	config := kqfront.Config{Store: control.Store, Zone: "z", Now: time.Now, WallClock: time.Now, Events: r.config.Events}
	if r.config.Admission {
		config.Admission = &kqfront.AdmissionConfig{Policy: r.Policy}
	}
	frontend := kqfront.New(config)
	node, err := kqnode.Start(kqnode.Config{Role: kqmessage.RoleEntry, Control: control, Network: r.Network.forMachine(EntryName(i)),
		Connected: frontend.Connected, Disconnected: frontend.Disconnected, Receive: frontend.Receive, WantsDigests: r.config.Admission})
	if err != nil {
		panic(err)
	}
	r.Frontends[i], r.entryNodes[i] = frontend, node
	r.Frontend = r.Frontends[0]
}

// taskRules returns the rules by which the ledger checks the runs of a task.
func (r *Rig) taskRules(task string) kqtaskhost.Rules {
	id, _ := kqflow.ParseTaskID(task)
	job := r.registeredJob(id.Job)
	rules := kqtaskhost.Rules{MaxAttempts: maxAttempts}
	if id.Step >= len(job.Steps) {
		return rules
	}
	step := job.Steps[id.Step]
	rules.Speculative = step.Speculative
	for _, a := range step.After {
		if job.Steps[a].Gang {
			// A gang ends as a whole as soon as one member has ended, so the ends of the
			// other members may be missing.
			continue
		}
		for i := range job.Steps[a].Count {
			rules.After = append(rules.After, kqflow.TaskID{Job: id.Job, Step: a, Index: i}.String())
		}
	}
	return rules
}

func (r *Rig) taskSpec(task string) (kqmodel.Resources, time.Duration) {
	id, _ := kqflow.ParseTaskID(task)
	step := r.registeredJob(id.Job).Steps[id.Step]
	return step.Reserved(), step.Estimate
}

// SetPoison makes a task crash each worker that starts it, a time after the start.
func (r *Rig) SetPoison(task string, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.poison[task] = after
}

func (r *Rig) crashAfter(task string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	after, ok := r.poison[task]
	return after, ok
}

// longRunningTimeToReady is the time from the start of a long-running task until it serves.
const longRunningTimeToReady = 500 * time.Millisecond

func (r *Rig) timeToReady(task string) time.Duration {
	id, _ := kqflow.ParseTaskID(task)
	if r.registeredJob(id.Job).Steps[id.Step].LongRunning {
		return longRunningTimeToReady
	}
	return 0
}

// registeredJob returns the job with the given id.
func (r *Rig) registeredJob(id string) kqflow.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

// RandomJob returns a random job of one to three steps, each after the one before.
func (r *Rig) RandomJob() kqflow.Job {
	id := fmt.Sprintf("%016x", r.rng.Uint64())
	job := kqflow.Job{ID: id, Queue: urgentQueue, Payload: "p"}
	estimateSpread := 1500
	if r.rng.IntN(3) == 0 {
		job.Queue, estimateSpread = batchQueue, 4000
	}
	for n := range 1 + r.rng.IntN(3) {
		step := kqflow.Step{Count: 1 + r.rng.IntN(4), Resources: kqmodel.Resources{MilliProcessors: int64(500 + r.rng.IntN(3000)), MemoryBytes: 1 << 30},
			Estimate: time.Duration(200+r.rng.IntN(estimateSpread)) * time.Millisecond, Speculative: r.rng.IntN(5) == 0, Checkpoints: r.rng.IntN(2) == 0}
		if n > 0 {
			step.After = []int{n - 1}
		}
		if r.rng.IntN(6) == 0 {
			step.Gang, step.Speculative = true, false
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// Register makes a job known to the stand-ins and the ledger without submitting it. A job that a test
// submits through a frontend must be registered before its tasks start.
func (r *Rig) Register(j kqflow.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[j.ID] = j
}

// Submit submits a job at the first entry and adds it to the accepted jobs if it is stored. It
// returns whether the job is known to be stored, after at most 3 s.
func (r *Rig) Submit(j kqflow.Job) bool {
	if !r.SubmitUntracked(j) {
		return false
	}
	r.mu.Lock()
	r.accepted = append(r.accepted, j.ID)
	r.mu.Unlock()
	return true
}

// SubmitUntracked is like Submit, but does not add the job to the accepted ones. Tests cancel some
// of the accepted jobs and expect all of them to end.
func (r *Rig) SubmitUntracked(j kqflow.Job) bool {
	r.Register(j)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return r.Frontend.Submit(ctx, j) == kqcontrol.OutcomeStored
}

// Cancel cancels a job and reports whether the cancellation is known to be stored.
func (r *Rig) Cancel(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return r.Frontend.Cancel(ctx, id) == kqcontrol.OutcomeStored
}

// Accepted returns the ids of the jobs that Submit has stored, in order.
func (r *Rig) Accepted() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.accepted)
}

// State returns the state of a job as callers see it, or "" if the first entry does not find the job
// or does not get an answer.
func (r *Rig) State(id string) kqflow.State {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	state, found, err := r.Frontend.State(ctx, id)
	if err != nil || !found {
		return ""
	}
	return state
}

// OwnerCount returns the number of agents whose process considers itself the owner of the cell.
func (r *Rig) OwnerCount() int {
	n := 0
	for _, a := range r.Agents {
		if a.IsOwner() {
			n++
		}
	}
	return n
}

// Epoch returns the epoch of the cell, which is the number of times that ownership was acquired; 0
// if the store cannot be read.
func (r *Rig) Epoch() uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
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

// Reserved returns the part of a worker's capacity that a task reserves.
func (r *Rig) Reserved(task string) kqmodel.Resources {
	resources, _ := r.taskSpec(task)
	return resources
}

// Estimate returns the run time of a task.
func (r *Rig) Estimate(task string) time.Duration {
	_, runTime := r.taskSpec(task)
	return runTime
}
