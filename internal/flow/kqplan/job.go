package kqplan

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// pendingEffect is an effect that is released once a revision of its job is committed.
type pendingEffect struct {
	revision uint64
	effect   Effect
	run      *run
	end      *pendingEnd
}

// job is a job in its latest decided state; committedState is its state in the store.
type job struct {
	spec           kqflow.Job
	queue          kqflow.Queue
	objective      time.Duration
	deadline       time.Time
	state          kqflow.State
	committedState kqflow.State
	// fillingOnly is true if all steps consist of filling tasks, hasLongRunning if some consist of
	// long-running tasks.
	fillingOnly    bool
	hasLongRunning bool
	tasks          []*task
	graph          stepGraph
	// steps holds the progress of each step of each occurrence.
	steps []stepProgress
	// runCount is the number of runs of all tasks.
	runCount int
	started  bool

	// revision counts the decided changes of the job, storedRevision is the revision in the
	// store and version the version of the stored record.
	revision       uint64
	storedRevision uint64
	version        uint64
	writeInFlight  bool
	pendingEffects []pendingEffect

	// occurrences is the number of occurrences whose tasks exist.
	occurrences int
	// band is the size band of the job among the jobs of its queue.
	band            kqsize.Band
	outcomeRecorded bool
	endedAt         time.Time
	// lastBusyAt is the latest time at which idleTime found a run of the job, or the time of the
	// first call of idleTime if it never found one.
	lastBusyAt time.Time
}

// task is a task of a job with the runs of it that have not ended.
type task struct {
	id kqflow.TaskID
	// name is the text form of id, as used in orders and reports.
	name string
	job  *job
	step *kqflow.Step
	done bool
	// failedRuns holds the numbers of the runs that failed, lastRun that of the last run.
	failedRuns []uint64
	lastRun    uint64
	checkpoint string
	runs       []*run
	// crashes holds the crashes of workers under the task, see kqflow.TaskRecord.
	crashes []kqflow.CrashRecord
	// retryAt is the earliest time at which the task is placed again.
	retryAt time.Time
	// avoidedHost is the host where a run of the task last failed, was refused, or was stopped
	// because it was not started, stalled or was slow or throttled.
	avoidedHost string
	// failedAt is when a run of the task last failed.
	failedAt time.Time
	// barredUntil holds, by name, the hosts that have refused the task, with the end of refusalBar.
	// It is empty for finite tasks.
	barredUntil map[string]time.Time
	// waitLogged is true if it was logged why the task waits, and claimedHost is the host for which a
	// claim of the task was logged last.
	waitLogged  bool
	claimedHost string
	// waitingSince is when the gang of the task began to wait for capacity.
	waitingSince time.Time
	// holdConsideredAt is when a hold of capacity was last considered for the gang of the task.
	holdConsideredAt time.Time
}

// run is an attempt of a task that was decided and has not ended.
type run struct {
	task     *task
	number   uint64
	host     *host
	worker   kqexecution.Incarnation
	stopping bool
	// stoppingSince is the time of the first pass in which the run was being stopped.
	stoppingSince time.Time
	ordered       bool
	// transferred is true if the run was ordered from an earlier incarnation of its worker than
	// the one in worker.
	transferred bool
	// countedPriority is the priority under which the usage of the host counts the run.
	countedPriority int

	startedAt time.Time
	// reported is true once a report has listed the run.
	reported bool
	// omissions is the number of complete reports that left the run out since its start was ordered,
	// while none has listed it; omittedSince is when the first of them arrived.
	omissions    int
	omittedSince time.Time
	// percent is the reported progress, which last changed at progressedAt.
	percent       float64
	progressedAt  time.Time
	firstReportAt time.Time
	lastReportAt  time.Time
	// stalled is true once the run has stalled.
	stalled bool
	// measurement is the reported tail latency of a serving run, in milliseconds, or the
	// processor use of a filling run, in thousandths of a processor.
	measurement float64
	// interference is Order.Interference as last sent.
	interference map[string]float64
	ticket       string
	// headroom is the tail latency target over the measured tail latency of a serving run; 0 if
	// it was not measured yet.
	headroom float64
	// pace is the reported share of full speed, in percent, at which a filling run works.
	pace int
	// throttledSince is the time since which serving tasks have held back a filling run.
	// It is zero while they do not.
	throttledSince time.Time
}

func newJob(spec kqflow.Job, q kqflow.Queue) *job {
	j := &job{spec: spec, state: kqflow.StateQueued, committedState: kqflow.StateQueued, graph: newStepGraph(spec.Steps),
		fillingOnly:    !slices.ContainsFunc(spec.Steps, func(s kqflow.Step) bool { return !s.Fills }),
		hasLongRunning: slices.ContainsFunc(spec.Steps, func(s kqflow.Step) bool { return s.LongRunning })}
	j.setQueue(q)
	return j
}

func (j *job) setQueue(q kqflow.Queue) {
	j.queue = q
	j.objective = q.Objective(j.spec)
	j.deadline = j.spec.SubmittedAt.Add(j.objective)
}

// isQuiescent reports whether the job has no run, no pending write and no pending effect.
func (j *job) isQuiescent() bool {
	return !j.writeInFlight && j.revision == j.storedRevision && len(j.pendingEffects) == 0 && j.hasNoRuns()
}

// addDueTasks creates the tasks of each occurrence that is due and reports whether there was
// any.
func (j *job) addDueTasks(now time.Time) bool {
	added := false
	for j.occurrences < j.spec.Occurrences() && !j.spec.DueAt(j.occurrences).After(now) {
		j.addTasks(j.occurrences)
		j.occurrences++
		added = true
	}
	return added
}

func (j *job) addTasks(occurrence int) {
	for n := range j.spec.Steps {
		s := &j.spec.Steps[n]
		j.steps = append(j.steps, stepProgress{unfinished: s.Count, blockedBy: len(j.graph.dependencies[n])})
		for i := range s.Count {
			id := kqflow.TaskID{Job: j.spec.ID, Occurrence: occurrence, Step: n, Index: i}
			j.tasks = append(j.tasks, &task{id: id, name: id.String(), job: j, step: s})
		}
	}
}

// task returns the task with an ID, or nil if the job has no such task at present.
func (j *job) task(id kqflow.TaskID) *task {
	steps := j.spec.Steps
	if id.Occurrence >= j.occurrences || id.Step >= len(steps) || id.Index >= steps[id.Step].Count || len(j.tasks) == 0 {
		return nil
	}
	return j.stepTasks(id.Occurrence, id.Step)[id.Index]
}

// restoreJob loads the progress of a job that an earlier owner stored. Hosts of restored runs
// may still hold a lease of that owner, so it is assumed to last as long as it can.
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
	var suspects []crashedRun
	for i, t := range j.tasks {
		if i >= len(r.Tasks) {
			break
		}
		p.restoreTask(now, t, r.Tasks[i])
		if n := len(t.crashes); !t.done && n > 0 && t.crashes[n-1].Suspected {
			suspects = append(suspects, crashedRun{task: t})
		}
	}
	p.requireTrials(now, suspects)
}

func (p *Planner) restoreTask(now time.Time, t *task, r kqflow.TaskRecord) {
	t.failedRuns, t.lastRun, t.checkpoint, t.crashes = r.FailedRuns, r.LastRun, r.Checkpoint, r.Crashes
	if r.Done {
		t.markDone()
	}
	for _, n := range r.FailedRuns {
		t.progress().addFailure(n)
	}
	for _, x := range r.Runs {
		h := p.host(x.Host)
		n := &run{task: t, number: x.Number, host: h, worker: x.Worker, stopping: x.Stopping, transferred: x.Transferred, ordered: true, startedAt: now, progressedAt: now, pace: fullPercent}
		t.addRun(n)
		h.leaseExpiresAt = later(h.leaseExpiresAt, p.priorGrantsUntil(x.Host).Add(p.maxLeaseDuration(p.config.Lease)))
	}
}

// priorGrantsUntil returns the time after which no earlier owner granted a host a lease.
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

// record returns the record of the job for the store. That of an ended job without runs has no
// tasks.
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

func (j *job) hasNoRuns() bool { return j.runCount == 0 }

func (t *task) record() kqflow.TaskRecord {
	r := kqflow.TaskRecord{Done: t.done, FailedRuns: slices.Clone(t.failedRuns), LastRun: t.lastRun}
	if !t.done {
		r.Checkpoint, r.Crashes = t.savedCheckpoint(), slices.Clone(t.crashes)
	}
	for _, x := range t.runs {
		r.Runs = append(r.Runs, kqflow.RunRecord{Number: x.number, Host: x.host.name, Worker: x.worker, Stopping: x.stopping, Transferred: x.transferred})
	}
	return r
}

// allDone reports whether all tasks of all occurrences are done.
func (j *job) allDone() bool {
	return j.occurrences >= j.spec.Occurrences() && !slices.ContainsFunc(j.steps, func(s stepProgress) bool { return s.unfinished > 0 })
}

// addRun adds a run to its task and its host.
func (t *task) addRun(r *run) {
	t.runs = append(t.runs, r)
	t.job.runCount++
	if !r.stopping {
		t.progress().activeRuns++
	}
	r.host.addRun(r)
}

// removeRun removes a run from its task and its host.
func (t *task) removeRun(r *run) {
	if n := slices.Index(t.runs, r); n >= 0 {
		t.runs = append(t.runs[:n], t.runs[n+1:]...)
		t.job.runCount--
		if !r.stopping {
			t.progress().activeRuns--
		}
	}
	r.host.removeRun(r)
}

func (r *run) key() kqexecution.Run {
	return kqexecution.Run{Task: r.task.name, Number: r.number}
}

func (r *run) reserved() kqmodel.Resources { return r.task.step.Reserved() }

// stopOrder returns the order to stop the run.
func (r *run) stopOrder() *Order { return &Order{Run: r.key(), Stop: true, Worker: r.worker} }

// currentOrder returns the order that applies to the run at present: a stop if it is stopping,
// otherwise a start.
func (r *run) currentOrder(now time.Time) *Order {
	if r.stopping {
		return r.stopOrder()
	}
	s := r.task.step
	return &Order{Run: r.key(), Worker: r.worker, Image: r.task.step.Image, Interference: r.interference, TimeLeft: r.task.job.deadline.Sub(now), Payload: r.task.job.spec.Payload, Checkpoint: r.task.savedCheckpoint(), Ticket: r.ticket,
		Size: s.Resources, Fills: s.Fills, TailTarget: s.TailTarget}
}

// addDueOccurrences creates the tasks of the occurrences of repeated jobs that have become due.
func (p *Planner) addDueOccurrences(now time.Time) {
	for _, j := range p.jobs.All() {
		if !j.state.Final() && j.spec.Repeat > 0 && j.occurrences < j.spec.Occurrences() && j.addDueTasks(now) {
			p.passRequested = true
		}
	}
}
