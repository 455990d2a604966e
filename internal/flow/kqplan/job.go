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
type heldEffect struct {
	revision uint64
	effect   Effect
	run      *run
	end      *heldEnd
}

// job is a job as decided; committed is what the store has of it.
type job struct {
	spec      kqflow.Job
	queue     kqflow.Queue
	objective time.Duration
	deadline  time.Time
	state     kqflow.State
	committed kqflow.State
	// fills is true if every step fills.
	fills bool
	tasks []*task
	// undone counts the tasks that have not ended well, of each step of each
	// occurrence.
	undone  []int
	started bool

	revision uint64
	stored   uint64
	version  uint64
	inFlight bool
	held     []heldEffect

	occurrences int
	band        kqsize.Band
	settled     bool
	endedAt     time.Time
	busyAt      time.Time
}

// task is one task with the runs that have not ended.
type task struct {
	id kqflow.TaskID
	// name is the id as others write it.
	name       string
	job        *job
	step       *kqflow.Step
	done       bool
	failed     []uint64
	lastRun    uint64
	checkpoint string
	runs       []*run
	retryAt    time.Time
	shunned    string
	waiting    bool
	waitingAt  time.Time
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
	over bool
	// counted is the priority under which the host counts the run.
	counted int

	startedAt  time.Time
	seen       bool
	percent    float64
	movedAt    time.Time
	firstMove  time.Time
	reportedAt time.Time
	measure    float64
	press      map[string]float64
	ticket     string
	room       float64
	// pace is the share at which a filling run was last told to work.
	pace   int
	heldAt time.Time
}

func newJob(spec kqflow.Job, q kqflow.Queue) *job {
	j := &job{spec: spec, state: kqflow.StateQueued, committed: kqflow.StateQueued,
		fills: !slices.ContainsFunc(spec.Steps, func(s kqflow.Step) bool { return !s.Fills })}
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
	return !j.inFlight && j.revision == j.stored && len(j.held) == 0 && j.idleRuns()
}

// materialise makes the tasks of each occurrence that is due.
func (j *job) materialise(now time.Time) bool {
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
		j.undone = append(j.undone, s.Count)
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
	return j.tasks[id.Occurrence*len(j.tasks)/j.occurrences+j.offset(id.Step)+id.Index]
}

// offset returns how many tasks of an occurrence come before a step.
func (j *job) offset(step int) int {
	n := 0
	for _, s := range j.spec.Steps[:step] {
		n += s.Count
	}
	return n
}

// restore takes over what an earlier owner stored.
func (p *Planner) restore(now time.Time, j *job, r kqflow.Record, version uint64) {
	j.state, j.committed, j.version = r.State, r.State, version
	j.started = r.State != kqflow.StateQueued
	j.revision = r.Revision
	j.stored = r.Revision
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
	t.failed, t.lastRun, t.checkpoint = r.Failed, r.LastRun, r.Checkpoint
	if r.Done {
		t.finish()
	}
	for _, x := range r.Runs {
		h := p.host(x.Host)
		n := &run{task: t, number: x.Number, host: h, worker: x.Worker, stopping: x.Stopping, ordered: true, startedAt: now, movedAt: now, pace: fullPercent}
		t.runs = append(t.runs, n)
		h.add(n)
		h.grantedTill = later(h.grantedTill, p.leftAt(x.Host).Add(p.lapse(p.config.Lease)))
	}
}

// leftAt returns from when on no earlier owner has granted a host a lease.
func (p *Planner) leftAt(host string) time.Time {
	if p.config.LeftAt == nil {
		return p.config.TakenAt
	}
	return p.config.LeftAt(host)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// record returns the job as it is to be stored.
func (j *job) record(epoch uint64) kqflow.Record {
	r := kqflow.Record{State: j.state, Epoch: epoch, Revision: j.revision, Queue: j.queue, Occurrences: j.occurrences}
	if j.state.Final() && j.idleRuns() {
		return r
	}
	r.Tasks = make([]kqflow.TaskRecord, len(j.tasks))
	for i, t := range j.tasks {
		r.Tasks[i] = t.record()
	}
	return r
}

func (j *job) idleRuns() bool {
	for _, t := range j.tasks {
		if len(t.runs) > 0 {
			return false
		}
	}
	return true
}

func (t *task) record() kqflow.TaskRecord {
	r := kqflow.TaskRecord{Done: t.done, Failed: slices.Clone(t.failed), LastRun: t.lastRun}
	if !t.done {
		r.Checkpoint = t.checkpoint
	}
	for _, x := range t.runs {
		r.Runs = append(r.Runs, kqflow.Run{Number: x.number, Host: x.host.name, Worker: x.worker, Stopping: x.stopping})
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
	return j.undone[occurrence*len(j.spec.Steps)+step] == 0
}

// finish notes that a task has ended well.
func (t *task) finish() {
	if !t.done {
		t.done = true
		t.job.undone[t.id.Occurrence*len(t.job.spec.Steps)+t.id.Step]--
	}
}

// allDone reports whether every task of every occurrence has ended well.
func (j *job) allDone() bool {
	return j.occurrences >= j.spec.Occurrences() && !slices.ContainsFunc(j.undone, func(n int) bool { return n > 0 })
}

func (t *task) remove(r *run) {
	for i, x := range t.runs {
		if x == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	r.host.drop(r)
}

func (r *run) key() kqexecution.Run {
	return kqexecution.Run{Task: r.task.name, Number: r.number}
}

func (r *run) reserved() kqmodel.Resources { return r.task.step.Reserved() }

// stopOrder tells the host of the run to end it.
func (r *run) stopOrder() *Order { return &Order{Run: r.key(), Stop: true, Worker: r.worker} }

// order returns the order that stands for the host of the run.
func (r *run) order(now time.Time) *Order {
	if r.stopping {
		return r.stopOrder()
	}
	s := r.task.step
	return &Order{Run: r.key(), Worker: r.worker, Image: r.task.step.Image, Press: r.press, Left: r.task.job.deadline.Sub(now), Payload: r.task.job.spec.Payload, Checkpoint: r.task.checkpoint, Ticket: r.ticket,
		Size: s.Size, Fills: s.Fills, TailTarget: s.TailTarget}
}

// dueOccurrences makes the tasks of occurrences that have become due.
func (p *Planner) dueOccurrences(now time.Time) {
	for _, j := range p.jobs.All() {
		if !j.state.Final() && j.spec.Repeat > 0 && j.occurrences < j.spec.Occurrences() && j.materialise(now) {
			p.place = true
		}
	}
}
