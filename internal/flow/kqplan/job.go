package kqplan

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// heldEffect waits for a revision of its job to be committed.
type pendingEffect struct {
	revision uint64
	effect   Effect
	run      *run
	end      *pendingEnd
}

// job is a job as decided; committed is what the store has of it.
type job struct {
	spec           kqflow.Job
	queue          kqflow.Queue
	objective      time.Duration
	deadline       time.Time
	state          kqflow.State
	committedState kqflow.State
	// fills is true if every step fills.
	fillingOnly bool
	tasks       []*task
	// undone counts the tasks that have not ended well, of each step of each
	// occurrence.
	unfinished []int
	started    bool

	revision       uint64
	storedRevision uint64
	version        uint64
	writeInFlight  bool
	pendingEffects []pendingEffect

	occurrences     int
	band            kqsize.Band
	outcomeRecorded bool
	endedAt         time.Time
	lastBusyAt      time.Time
}

// task is one task with the runs that have not ended.
type task struct {
	id kqflow.TaskID
	// name is the id as others write it.
	name         string
	job          *job
	step         *kqflow.Step
	done         bool
	failedRuns   []uint64
	lastRun      uint64
	checkpoint   string
	runs         []*run
	retryAt      time.Time
	avoidedHost  string
	waitLogged   bool
	waitingSince time.Time
}

// run is a start of a task that has been decided and has not ended.
type run struct {
	task     *task
	number   uint64
	host     *host
	worker   kqexecution.Incarnation
	stopping bool
	ordered  bool
	// over is true if the run was given to an earlier incarnation of its worker.
	transferred bool
	// counted is the priority under which the host counts the run.
	countedPriority int

	startedAt     time.Time
	reported      bool
	percent       float64
	progressedAt  time.Time
	firstReportAt time.Time
	lastReportAt  time.Time
	measurement   float64
	interference  map[string]float64
	ticket        string
	headroom      float64
	// pace is the share at which a filling run was last told to work.
	pace           int
	throttledSince time.Time
}

func newJob(spec kqflow.Job, q kqflow.Queue) *job {
	j := &job{spec: spec, state: kqflow.StateQueued, committedState: kqflow.StateQueued,
		fillingOnly: !slices.ContainsFunc(spec.Steps, func(s kqflow.Step) bool { return !s.Fills })}
	j.setQueue(q)
	return j
}

func (j *job) setQueue(q kqflow.Queue) {
	j.queue = q
	j.objective = q.Objective(j.spec)
	j.deadline = j.spec.SubmittedAt.Add(j.objective)
}

// idle reports whether nothing of the job is under way.
func (j *job) idle() bool {
	return !j.writeInFlight && j.revision == j.storedRevision && len(j.pendingEffects) == 0 && j.hasNoRuns()
}

// materialise makes the tasks of each occurrence that is due.
func (j *job) addDueTasks(now time.Time) bool {
	made := false
	for j.occurrences < j.spec.Occurrences() && !j.spec.DueAt(j.occurrences).After(now) {
		j.addTasks(j.occurrences)
		j.occurrences++
		made = true
	}
	return made
}

func (j *job) addTasks(occurrence int) {
	for n := range j.spec.Steps {
		s := &j.spec.Steps[n]
		j.unfinished = append(j.unfinished, s.Count)
		for i := range s.Count {
			id := kqflow.TaskID{Job: j.spec.ID, Occurrence: occurrence, Step: n, Index: i}
			j.tasks = append(j.tasks, &task{id: id, name: id.String(), job: j, step: s})
		}
	}
}

// task returns the task of an id, or nil if the job has no such task now.
func (j *job) task(id kqflow.TaskID) *task {
	steps := j.spec.Steps
	if id.Occurrence >= j.occurrences || id.Step >= len(steps) || id.Index >= steps[id.Step].Count || len(j.tasks) == 0 {
		return nil
	}
	return j.tasks[id.Occurrence*len(j.tasks)/j.occurrences+j.stepOffset(id.Step)+id.Index]
}

// offset returns how many tasks of an occurrence come before a step.
func (j *job) stepOffset(step int) int {
	n := 0
	for _, s := range j.spec.Steps[:step] {
		n += s.Count
	}
	return n
}

// restore takes over what an earlier owner stored.
func (p *Planner) restoreJob(now time.Time, j *job, r kqflow.JobRecord, version uint64) {
	j.state, j.committedState, j.version = r.State, r.State, version
	j.started = r.State != kqflow.StateQueued
	j.revision = r.Revision
	j.storedRevision = r.Revision
	j.endedAt = now
	if len(r.Tasks) == 0 && r.State.Final() {
		return
	}
	for k := range r.Occurrences {
		j.addTasks(k)
	}
	j.occurrences = r.Occurrences
	for i, t := range j.tasks {
		if i < len(r.Tasks) {
			p.restoreTask(now, t, r.Tasks[i])
		}
	}
}

func (p *Planner) restoreTask(now time.Time, t *task, r kqflow.TaskRecord) {
	t.failedRuns, t.lastRun, t.checkpoint = r.FailedRuns, r.LastRun, r.Checkpoint
	if r.Done {
		t.markDone()
	}
	for _, x := range r.Runs {
		h := p.host(x.Host)
		n := &run{task: t, number: x.Number, host: h, worker: x.Worker, stopping: x.Stopping, ordered: true, startedAt: now, progressedAt: now, pace: fullPercent}
		t.runs = append(t.runs, n)
		h.addRun(n)
		h.leaseExpiresAt = later(h.leaseExpiresAt, p.priorGrantsUntil(x.Host).Add(p.maxLeaseDuration(p.config.Lease)))
	}
}

// leftAt returns from when on no earlier owner has granted a host a lease.
func (p *Planner) priorGrantsUntil(host string) time.Time {
	if p.config.PriorGrantsUntil == nil {
		return p.config.AcquiredAt
	}
	return p.config.PriorGrantsUntil(host)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// record returns the job as it is to be stored.
func (j *job) record(epoch uint64) kqflow.JobRecord {
	r := kqflow.JobRecord{State: j.state, Epoch: epoch, Revision: j.revision, Queue: j.queue, Occurrences: j.occurrences}
	if j.state.Final() && j.hasNoRuns() {
		return r
	}
	r.Tasks = make([]kqflow.TaskRecord, len(j.tasks))
	for i, t := range j.tasks {
		r.Tasks[i] = t.record()
	}
	return r
}

func (j *job) hasNoRuns() bool {
	for _, t := range j.tasks {
		if len(t.runs) > 0 {
			return false
		}
	}
	return true
}

func (t *task) record() kqflow.TaskRecord {
	r := kqflow.TaskRecord{Done: t.done, FailedRuns: slices.Clone(t.failedRuns), LastRun: t.lastRun}
	if !t.done {
		r.Checkpoint = t.checkpoint
	}
	for _, x := range t.runs {
		r.Runs = append(r.Runs, kqflow.RunRecord{Number: x.number, Host: x.host.name, Worker: x.worker, Stopping: x.stopping})
	}
	return r
}

// ready reports whether the steps before the task's step have ended.
func (t *task) ready() bool {
	for _, a := range t.step.After {
		if !t.job.stepDone(t.id.Occurrence, a) {
			return false
		}
	}
	return true
}

func (j *job) stepDone(occurrence, step int) bool {
	return j.unfinished[occurrence*len(j.spec.Steps)+step] == 0
}

// finish notes that a task has ended well.
func (t *task) markDone() {
	if !t.done {
		t.done = true
		t.job.unfinished[t.id.Occurrence*len(t.job.spec.Steps)+t.id.Step]--
	}
}

// allDone reports whether every task of every occurrence has ended well.
func (j *job) allDone() bool {
	return j.occurrences >= j.spec.Occurrences() && !slices.ContainsFunc(j.unfinished, func(n int) bool { return n > 0 })
}

func (t *task) removeRun(r *run) {
	for i, x := range t.runs {
		if x == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	r.host.removeRun(r)
}

func (r *run) key() kqexecution.Run {
	return kqexecution.Run{Task: r.task.name, Number: r.number}
}

func (r *run) reserved() kqmodel.Resources { return r.task.step.Reserved() }

// stopOrder tells the host of the run to end it.
func (r *run) stopOrder() *Order { return &Order{Run: r.key(), Stop: true, Worker: r.worker} }

// order returns the order that stands for the host of the run.
func (r *run) currentOrder(now time.Time) *Order {
	if r.stopping {
		return r.stopOrder()
	}
	s := r.task.step
	return &Order{Run: r.key(), Worker: r.worker, Image: r.task.step.Image, Interference: r.interference, TimeLeft: r.task.job.deadline.Sub(now), Payload: r.task.job.spec.Payload, Checkpoint: r.task.checkpoint, Ticket: r.ticket,
		Size: s.Resources, Fills: s.Fills, TailTarget: s.TailTarget}
}

// dueOccurrences makes the tasks of occurrences that have become due.
func (p *Planner) addDueOccurrences(now time.Time) {
	for _, j := range p.jobs.All() {
		if !j.state.Final() && j.spec.Repeat > 0 && j.occurrences < j.spec.Occurrences() && j.addDueTasks(now) {
			p.passRequested = true
		}
	}
}
