package kqcell

import (
	"net/netip"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqhealth"
	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqlearn"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqchart"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// Times of the leases and limits of a cell; docs/LEASES.md gives the reasons.
const (
	// MaxLeaseDuration is how long a worker may run tasks without a confirmed owner.
	MaxLeaseDuration = 15 * time.Minute
	// ClockDriftMargin is added to the end of a lease, for clocks that run at different
	// speeds during the lease.
	ClockDriftMargin = 10 * time.Second
	// WatcherTimeout is the time without a report from a worker after which its watchers
	// are started elsewhere.
	WatcherTimeout = 10 * time.Second
	// RenewInterval is the longest time between two commits of an owner.
	RenewInterval = 600 * time.Millisecond
	// MinCommitInterval is the shortest time between two commits of an owner. It makes the
	// write rate of the table depend on the number of cells, not on the rate of task
	// starts.
	MinCommitInterval = 400 * time.Millisecond
	// MaxTaskFailures is the number of failed attempts after which a task has failed.
	// Watchers are retried without a limit.
	MaxTaskFailures = 5
)

// Config sets up a Cell.
type Config struct {
	// ID names the cell.
	ID string
	// Owner names the worker whose agent owns the cell.
	Owner string
	// Boot identifies the agent process.
	Boot string
	// Address is where the owner listens.
	Address netip.AddrPort
	// Quota returns the quota of a team; ok is false if the team has none.
	Quota func(team string) (q kqmodel.Resources, ok bool)
	// Interference enables placement by learned interference.
	Interference bool
	// Events records the decisions; may be nil.
	Events *kqevent.Log
	// Counter counts violated invariants; may be nil.
	Counter *kqinvariant.Counter
	// NewWriteID returns a unique identifier of a write.
	NewWriteID func() string
}

// chart is the state machine of a task.
var chart = kqchart.MustLoad("task")

// job is a job that has not ended, with the ids of its tasks and the workers on which it
// failed.
type job struct {
	kqmodel.Job
	tasks    []kqmodel.TaskID
	failures kqhealth.JobFailures
}

// Cell holds the state of a cell in its owner. Its jobs and tasks are always as committed
// to the table. It is not safe for concurrent use.
type Cell struct {
	config           Config
	ownership        OwnershipRow
	ownershipVersion uint64
	acquiredAt       time.Time
	confirmedAt      time.Time
	storeRespondedAt time.Time

	jobs            map[string]*job
	tasks           map[kqmodel.TaskID]*kqmodel.Task
	workers         map[string]*worker
	inboxKeys       []string
	allotments      map[string]AllotmentRow
	staleAllotments map[string]bool
	sizes           kqlearn.SizeEstimator
	interference    kqlearn.FamilyInterference
	waitReasons     map[string]string
	unusedSince     map[string]time.Time
	plannedBatch    *Batch
	sessionCount    uint64

	memberList      []Member
	membersVersion  uint64
	membersListedAt time.Time
}

// Snapshot is the stored state of a cell that a new owner reads from the table.
type Snapshot struct {
	// Ownership is the ownership row that was just written.
	Ownership OwnershipRow
	// OwnershipVersion is the version of that row.
	OwnershipVersion uint64
	// Jobs holds the jobs that have not ended.
	Jobs []kqmodel.Job
	// Tasks holds the stored tasks of those jobs.
	Tasks []kqmodel.Task
}

// New returns the state of a cell whose ownership was acquired by a write that was sent at
// acquiredAt.
func New(acquiredAt time.Time, c Config, s Snapshot) *Cell {
	k := &Cell{config: c, ownership: s.Ownership, ownershipVersion: s.OwnershipVersion, acquiredAt: acquiredAt, confirmedAt: acquiredAt, storeRespondedAt: acquiredAt,
		jobs: map[string]*job{}, tasks: map[kqmodel.TaskID]*kqmodel.Task{}, workers: map[string]*worker{},
		allotments: map[string]AllotmentRow{}, staleAllotments: map[string]bool{}, waitReasons: map[string]string{}, unusedSince: map[string]time.Time{}}
	for _, j := range s.Jobs {
		k.addJob(j)
	}
	for _, t := range s.Tasks {
		if _, ok := k.tasks[t.ID]; ok {
			stored := t
			k.tasks[t.ID] = &stored
		}
	}
	for _, t := range k.tasks {
		k.addExpectedWorker(acquiredAt, t)
	}
	return k
}

// addExpectedWorker adds the worker that holds a task, before it registers. Its lease, as
// granted by an earlier owner, may last for a full lease duration after the ownership was
// acquired.
func (k *Cell) addExpectedWorker(acquiredAt time.Time, t *kqmodel.Task) {
	if t.Worker == "" || chart.IsFinal(t.State) {
		return
	}
	if _, ok := k.workers[t.Worker]; !ok {
		k.workers[t.Worker] = &worker{id: t.Worker, lastReportAt: acquiredAt, leaseExpiresAt: acquiredAt.Add(MaxLeaseDuration)}
	}
}

// Epoch returns the epoch of this owner.
func (k *Cell) Epoch() uint64 { return k.ownership.Epoch }

// Ownership returns the ownership row as last committed.
func (k *Cell) Ownership() OwnershipRow { return k.ownership }

func (k *Cell) addJob(j kqmodel.Job) *job {
	if old, ok := k.jobs[j.Spec.ID]; ok {
		old.Cancelled = old.Cancelled || j.Cancelled
		return old
	}
	n := &job{Job: j}
	for i := range j.Spec.Tasks {
		id := kqmodel.TaskID{Job: j.Spec.ID, Index: i}
		n.tasks = append(n.tasks, id)
		k.tasks[id] = &kqmodel.Task{ID: id, State: chart.Initial(), ChangedAt: j.SubmittedAt}
	}
	k.jobs[j.Spec.ID] = n
	return n
}

// ApplyInboxRow applies the job row that an inbox key refers to. found is false if the row
// does not exist; a row with a summary is of a job that has ended. The inbox row is deleted
// with the next batch.
func (k *Cell) ApplyInboxRow(now time.Time, key string, row JobRow, found bool) {
	k.storeRespondedAt = now
	for _, known := range k.inboxKeys {
		if known == key {
			return
		}
	}
	k.inboxKeys = append(k.inboxKeys, key)
	if found && row.Summary == nil {
		k.addJob(row.Job)
	}
}

// RecordStoreResponse records that the table answered a read.
func (k *Cell) RecordStoreResponse(now time.Time) { k.storeRespondedAt = now }

// StaleAllotments returns the teams whose allotments must be read again.
func (k *Cell) StaleAllotments() []string {
	var out []string
	for t := range k.staleAllotments {
		out = append(out, t)
	}
	return out
}

// SetAllotments sets the allotments of a team as read from the table.
func (k *Cell) SetAllotments(team string, r AllotmentRow) {
	k.allotments[team] = r
	delete(k.staleAllotments, team)
}

// JobCount returns how many jobs have not ended.
func (k *Cell) JobCount() int { return len(k.jobs) }

// Task returns the committed state of a task.
func (k *Cell) Task(id kqmodel.TaskID) (kqmodel.Task, bool) {
	t, ok := k.tasks[id]
	if !ok {
		return kqmodel.Task{}, false
	}
	return *t, true
}

// WaitReason returns why a task is not placed, or an empty text if it does not wait.
func (k *Cell) WaitReason(id kqmodel.TaskID) string { return k.waitReasons[id.String()] }

// Reservation returns the resources to reserve for a task of a family with a declared
// size.
func (k *Cell) Reservation(family string, declared kqmodel.Resources) kqmodel.Resources {
	return k.sizes.Reservation(family, declared, kqmodel.Resources{})
}
