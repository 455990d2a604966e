package kqcell

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
)

// States and events of the task chart.
const (
	stateQueued     = "queued"
	stateAssigned   = "assigned"
	stateRunning    = "running"
	stateSuspended  = "suspended"
	stateEvicting   = "evicting"
	stateCancelling = "cancelling"
	stateFinished   = "finished"
	stateCancelled  = "cancelled"
	stateFailed     = "failed"

	eventAssign    = "assign"
	eventStarted   = "started"
	eventSuspended = "suspended"
	eventEvict     = "evict"
	eventEvicted   = "evicted"
	eventLost      = "lost"
	eventRetry     = "retry"
	eventFinish    = "finish"
	eventFail      = "fail"
	eventCancel    = "cancel"
	eventStopped   = "stopped"
)

// planner builds one batch on top of the committed state.
type planner struct {
	cell    *Cell
	now     time.Time
	batch   *Batch
	taskIDs []kqmodel.TaskID
}

// Plan returns the next batch to commit, or nil if there is nothing to write or
// MinCommitInterval has not passed. It returns no other batch until this one is committed,
// rejected or dropped.
func (k *Cell) Plan(now time.Time) *Batch {
	if k.plannedBatch != nil || now.Sub(k.confirmedAt) < MinCommitInterval {
		return nil
	}
	row := k.ownership
	row.Commits++
	row.WriteID = k.config.NewWriteID()
	p := &planner{cell: k, now: now, batch: &Batch{plannedAt: now, ownership: row, tasks: map[kqmodel.TaskID]kqmodel.Task{},
		allotments: map[string]allotmentWrite{}, inboxKeys: slices.Clone(k.inboxKeys)}}
	p.taskIDs = p.sortedTasks()
	for _, id := range p.taskIDs {
		p.checkWorker(p.task(id))
	}
	p.cancelTasks()
	p.evictTasks()
	p.placeTasks()
	p.endJobs()
	p.returnAllotments()
	if p.batch.renewsOnly() && now.Sub(k.confirmedAt) < RenewInterval {
		return nil
	}
	k.plannedBatch = p.batch
	return p.batch
}

// sortedTasks lists the tasks that have not ended in scheduling order: urgent ones, then
// watchers, then the rest, each by the time of submission.
func (p *planner) sortedTasks() []kqmodel.TaskID {
	var out []kqmodel.TaskID
	for id, t := range p.cell.tasks {
		if !chart.IsFinal(t.State) {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, p.compareTasks)
	return out
}

func (p *planner) compareTasks(a, b kqmodel.TaskID) int {
	ja, jb := p.cell.jobs[a.Job], p.cell.jobs[b.Job]
	if c := queuePriority(jb) - queuePriority(ja); c != 0 {
		return c
	}
	if c := ja.SubmittedAt.Compare(jb.SubmittedAt); c != 0 {
		return c
	}
	if a.Job != b.Job {
		if a.Job < b.Job {
			return -1
		}
		return 1
	}
	return int(a.Index) - int(b.Index)
}

// queuePriority returns the priority of a job's tasks; higher ones are placed first, and
// only tasks of priority 0 are preempted.
func queuePriority(j *job) int {
	switch {
	case j.Spec.Urgency == kqmodel.UrgencyUrgent:
		return 2
	case j.Watcher:
		return 1
	}
	return 0
}

// task returns a task as the batch leaves it.
func (p *planner) task(id kqmodel.TaskID) kqmodel.Task {
	if t, ok := p.batch.tasks[id]; ok {
		return t
	}
	return *p.cell.tasks[id]
}

// transition adds a task to the batch in the state that the event leads to. It returns false
// if the chart has no such transition.
func (p *planner) transition(t kqmodel.Task, event, reason string) (kqmodel.Task, bool) {
	next, err := chart.Next(t.State, event)
	if err != nil {
		p.cell.config.Counter.Check(false, kqinvariant.TransitionNotInChart, "task %s: %v", t.ID, err)
		return t, false
	}
	t.State, t.Reason, t.ChangedAt = next, reason, p.now
	if next == stateQueued || chart.IsFinal(next) {
		t.Worker, t.HostBoot, t.Reserved = "", "", kqmodel.Resources{}
	}
	p.batch.tasks[t.ID] = t
	return t, true
}

// checkWorker updates a task from its worker's report, and marks the task as lost if the host
// has restarted or the worker's lease has expired.
func (p *planner) checkWorker(t kqmodel.Task) {
	if t.Worker == "" {
		return
	}
	w := p.cell.workers[t.Worker]
	switch {
	case w.registered && w.hostBoot != t.HostBoot:
		p.markLost(t, "the host of worker "+w.id+" restarted")
	case p.isLost(w, t):
		p.markLost(t, "worker "+w.id+" does not report and its lease has expired")
	case w.registered:
		if r, ok := w.reports[t.AttemptID()]; ok {
			p.applyReport(t, w, r)
		}
	}
}

// isLost reports whether a task counts as lost on its worker. A watcher does if the worker
// has not reported for WatcherTimeout, since running a watcher twice does no harm. Any other
// task does only once the worker's lease has expired and it cannot run there any more.
func (p *planner) isLost(w *worker, t kqmodel.Task) bool {
	if p.cell.jobs[t.ID.Job].Watcher {
		return p.now.Sub(w.lastReportAt) > WatcherTimeout
	}
	return p.now.After(w.leaseExpiresAt.Add(ClockDriftMargin))
}

func (p *planner) markLost(t kqmodel.Task, reason string) {
	if t.State == stateCancelling {
		p.transition(t, eventStopped, reason)
		return
	}
	if t, ok := p.transition(t, eventLost, reason); ok {
		t.Evictions++
		p.batch.tasks[t.ID] = t
		p.batch.addEvent(kqevent.TaskLost, kqevent.Task(t.ID.String()), "%s; it resumes from %s", reason, resumePoint(t))
	}
}

func resumePoint(t kqmodel.Task) string {
	if t.Checkpoint == "" {
		return "its start"
	}
	return "checkpoint " + t.Checkpoint
}

// applyReport updates a task from the report of its current attempt.
func (p *planner) applyReport(t kqmodel.Task, w *worker, r kqruntime.Report) {
	if r.Checkpoint != "" && r.Checkpoint != t.Checkpoint {
		t.Checkpoint = r.Checkpoint
		p.batch.tasks[t.ID] = t
	}
	switch r.Phase {
	case kqruntime.PhaseFinished:
		p.taskFinished(t, w, r)
	case kqruntime.PhaseFailed:
		p.taskFailed(t, w, r)
	case kqruntime.PhaseStopped:
		p.taskStopped(t, r)
	case kqruntime.PhaseRunning:
		if t.State == stateAssigned || t.State == stateSuspended {
			p.transition(t, eventStarted, "")
			p.batch.addEvent(kqevent.TaskStarted, kqevent.Task(t.ID.String()), "attempt %d runs on worker %s", t.Attempt, w.id)
		}
	case kqruntime.PhaseSuspended:
		if t.State == stateRunning {
			p.transition(t, eventSuspended, r.Reason)
			p.batch.addEvent(kqevent.TaskSuspended, kqevent.Task(t.ID.String()), "on worker %s: %s", w.id, r.Reason)
		}
	}
}

func (p *planner) taskFinished(t kqmodel.Task, w *worker, r kqruntime.Report) {
	j := p.cell.jobs[t.ID.Job]
	if t.State == stateCancelling {
		p.transition(t, eventStopped, "the task finished before it was stopped")
		return
	}
	if j.Watcher {
		p.transition(t, eventRetry, "the watcher ended and is restarted")
		return
	}
	p.transition(t, eventFinish, "")
	p.batch.addEvent(kqevent.TaskFinished, kqevent.Task(t.ID.String()), "attempt %d on worker %s ran %s", t.Attempt, w.id, r.RunTime.Round(time.Millisecond))
	p.batch.onCommit = append(p.batch.onCommit, func() {
		p.cell.sizes.RecordRunTime(j.Spec.FamilyName(), j.Spec.RunTime.Std(), r.RunTime)
		if w.health.RecordSuccess() {
			p.cell.config.Events.Emit(p.now, kqevent.WorkerRestored, kqevent.Worker(w.id), "a probe task finished")
		}
	})
}

func (p *planner) taskFailed(t kqmodel.Task, w *worker, r kqruntime.Report) {
	j := p.cell.jobs[t.ID.Job]
	if t.State == stateCancelling {
		p.transition(t, eventStopped, r.Reason)
		return
	}
	t.Failures++
	if !slices.Contains(t.FailedOn, w.id) {
		t.FailedOn = append(slices.Clone(t.FailedOn), w.id)
	}
	event, exhausted := eventRetry, t.Failures >= MaxTaskFailures && !j.Watcher
	if exhausted {
		event = eventFail
	}
	p.transition(t, event, r.Reason)
	p.batch.addEvent(kqevent.TaskFailed, kqevent.Task(t.ID.String()), "attempt %d on worker %s: %s", t.Attempt, w.id, r.Reason)
	p.batch.onCommit = append(p.batch.onCommit, func() {
		j.failures.RecordFailure(w.id)
		if w.health.RecordFailure(p.now, t.ID.Job, j.failures.FailsEverywhere()) {
			p.cell.config.Events.Emit(p.now, kqevent.WorkerQuarantined, kqevent.Worker(w.id), "tasks of several jobs failed on it that do not fail on other workers")
		}
	})
}

func (p *planner) taskStopped(t kqmodel.Task, r kqruntime.Report) {
	switch t.State {
	case stateCancelling:
		p.transition(t, eventStopped, "cancelled")
	case stateEvicting:
		if t, ok := p.transition(t, eventEvicted, t.Reason); ok {
			t.Evictions++
			p.batch.tasks[t.ID] = t
			p.batch.addEvent(kqevent.TaskEvicted, kqevent.Task(t.ID.String()), "%s; it resumes from %s", t.Reason, resumePoint(t))
		}
	default:
		p.transition(t, eventRetry, "the worker stopped the attempt: "+r.Reason)
	}
}

// cancelTasks starts to cancel the tasks of cancelled jobs.
func (p *planner) cancelTasks() {
	for _, id := range p.taskIDs {
		t := p.task(id)
		if p.cell.jobs[id.Job].Cancelled && chart.Allows(t.State, eventCancel) {
			p.transition(t, eventCancel, "the job was cancelled")
		}
	}
}

// evictTasks evicts the tasks of draining workers, and those that have been suspended for
// longer than maxSuspension.
func (p *planner) evictTasks() {
	for _, id := range p.taskIDs {
		t := p.task(id)
		w := p.cell.workers[t.Worker]
		if w == nil || !chart.Allows(t.State, eventEvict) {
			continue
		}
		if w.draining {
			p.transition(t, eventEvict, "worker "+w.id+" is shutting down")
		} else if t.State == stateSuspended && p.now.Sub(t.ChangedAt) > maxSuspension {
			p.transition(t, eventEvict, "it was suspended for "+maxSuspension.String()+": "+t.Reason)
		}
	}
}

// maxSuspension is how long a task may be suspended before it is evicted.
const maxSuspension = 30 * time.Second

// endJobs adds to the batch the end of each job whose tasks have all ended.
func (p *planner) endJobs() {
	for _, j := range p.cell.jobs {
		s := Summary{EndedAt: p.now.UTC()}
		allEnded := true
		for _, id := range j.tasks {
			t := p.task(id)
			s.Evictions += int(t.Evictions)
			switch t.State {
			case stateFinished:
				s.Finished++
			case stateFailed:
				s.Failed++
			case stateCancelled:
				s.Cancelled++
			default:
				allEnded = false
			}
		}
		if allEnded {
			for _, id := range j.tasks {
				delete(p.batch.tasks, id)
			}
			p.batch.endedJobs = append(p.batch.endedJobs, endedJob{job: j.Job, summary: s})
		}
	}
}
