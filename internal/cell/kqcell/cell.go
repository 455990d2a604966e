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

// Times of the leases; docs/LEASES.md gives the argument for them.
const (
	// LeaseTime is how long a worker may go on without a confirmed owner.
	MaxLeaseDuration = 15 * time.Minute
	// DriftMargin covers clocks that run at different speeds over a lease.
	ClockDriftMargin = 10 * time.Second
	// WatcherGiveUp is after how much silence a watcher is started elsewhere.
	WatcherTimeout = 10 * time.Second
	// RenewInterval is the longest time between two commits of an owner.
	RenewInterval = 600 * time.Millisecond
	// CommitSpacing is the shortest time between two commits of an owner, so
	// that the writes to the table follow the cells and not the starts.
	MinCommitInterval = 400 * time.Millisecond
	// MaxAttemptFailures is after how many failures a task is given up.
	MaxTaskFailures = 5
)

// Config sets up a Cell.
type Config struct {
	// ID names the cell.
	ID string
	// Owner names the worker whose agent owns the cell.
	Owner string
	// Boot names the agent process.
	Boot string
	// Address is where the owner listens.
	Address netip.AddrPort
	// Quota returns the quota of a team; ok is false where there is none.
	Quota func(team string) (q kqmodel.Resources, ok bool)
	// Interference switches placement by learned interference off if false.
	Interference bool
	// Events remembers what was decided; may be nil.
	Events *kqevent.Log
	// Counter receives breaches; nil counts none.
	Counter *kqinvariant.Counter
	// NewWriteID returns an identifier that no other write has.
	NewWriteID func() string
}

// chart is the life of a task.
var chart = kqchart.MustLoad("task")

// job is a job that has not ended.
type job struct {
	kqmodel.Job
	tasks  []kqmodel.TaskID
	health kqhealth.JobFailures
}

// Cell is the state that the owner of a cell keeps. It is not safe for
// concurrent use. What its tasks and jobs say is always committed.
type Cell struct {
	config      Config
	row         OwnershipRow
	rowVersion  uint64
	takenAt     time.Time
	confirmedAt time.Time
	storeAt     time.Time

	jobs       map[string]*job
	tasks      map[kqmodel.TaskID]*kqmodel.Task
	workers    map[string]*worker
	inbox      []string
	allotments map[string]AllotmentRow
	refresh    map[string]bool
	sizes      kqlearn.SizeEstimator
	pairs      kqlearn.FamilyInterference
	waiting    map[string]string
	spareSince map[string]time.Time
	planned    *Batch
	sessions   uint64

	memberList     []Member
	membersVersion uint64
	membersAt      time.Time
}

// Loaded is what a new owner reads from the table.
type Snapshot struct {
	// Row is the ownership that was just taken.
	Ownership OwnershipRow
	// RowVersion is the version of that row.
	OwnershipVersion uint64
	// Jobs is the jobs that have not ended.
	Jobs []kqmodel.Job
	// Tasks is the stored tasks of those jobs.
	Tasks []kqmodel.Task
}

// New returns the state of a cell whose ownership was taken by a write that
// was sent at the time taken.
func New(taken time.Time, c Config, l Snapshot) *Cell {
	k := &Cell{config: c, row: l.Ownership, rowVersion: l.OwnershipVersion, takenAt: taken, confirmedAt: taken, storeAt: taken,
		jobs: map[string]*job{}, tasks: map[kqmodel.TaskID]*kqmodel.Task{}, workers: map[string]*worker{},
		allotments: map[string]AllotmentRow{}, refresh: map[string]bool{}, waiting: map[string]string{}, spareSince: map[string]time.Time{}}
	for _, j := range l.Jobs {
		k.addJob(j)
	}
	for _, t := range l.Tasks {
		if _, ok := k.tasks[t.ID]; ok {
			stored := t
			k.tasks[t.ID] = &stored
		}
	}
	for _, t := range k.tasks {
		k.expect(taken, t)
	}
	return k
}

// expect remembers a worker that holds a task but has not registered yet: its
// leases may last until a whole lease after the ownership was taken.
func (k *Cell) expect(taken time.Time, t *kqmodel.Task) {
	if t.Worker == "" || chart.Final(t.State) {
		return
	}
	if _, ok := k.workers[t.Worker]; !ok {
		k.workers[t.Worker] = &worker{id: t.Worker, heardAt: taken, grantedTill: taken.Add(MaxLeaseDuration)}
	}
}

// Epoch returns the epoch of the ownership.
func (k *Cell) Epoch() uint64 { return k.row.Epoch }

// Row returns the ownership as last committed.
func (k *Cell) Ownership() OwnershipRow { return k.row }

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

// News takes over what an inbox row says: the present content of its job, or
// that the job has ended.
func (k *Cell) ApplyInboxRow(now time.Time, key string, row JobRow, found bool) {
	k.storeAt = now
	for _, known := range k.inbox {
		if known == key {
			return
		}
	}
	k.inbox = append(k.inbox, key)
	if found && row.Summary == nil {
		k.addJob(row.Job)
	}
}

// StoreAnswered notes that the table answered a read.
func (k *Cell) RecordStoreResponse(now time.Time) { k.storeAt = now }

// Stale returns the teams whose allotments must be read again.
func (k *Cell) StaleAllotments() []string {
	var out []string
	for t := range k.refresh {
		out = append(out, t)
	}
	return out
}

// SetAllotments takes over the allotments of a team as read.
func (k *Cell) SetAllotments(team string, r AllotmentRow) {
	k.allotments[team] = r
	delete(k.refresh, team)
}

// Jobs returns how many jobs have not ended.
func (k *Cell) JobCount() int { return len(k.jobs) }

// Task returns the committed state of a task.
func (k *Cell) Task(id kqmodel.TaskID) (kqmodel.Task, bool) {
	t, ok := k.tasks[id]
	if !ok {
		return kqmodel.Task{}, false
	}
	return *t, true
}

// Waiting returns why a task is not placed, if it waits.
func (k *Cell) WaitReason(id kqmodel.TaskID) string { return k.waiting[id.String()] }

// Reserve returns what is reserved for a task of a family with a declared size.
func (k *Cell) Reservation(family string, declared kqmodel.Resources) kqmodel.Resources {
	return k.sizes.Reservation(family, declared, kqmodel.Resources{})
}
