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

// planner builds one batch over the committed state.
type planner struct {
	cell  *Cell
	now   time.Time
	batch *Batch
	order []kqmodel.TaskID
}

// Plan returns the next batch to commit, or nil if there is nothing to write
// yet. Until the batch is committed, rejected or dropped, no other is planned.
func (k *Cell) Plan(now time.Time) *Batch {
	if k.planned != nil || now.Sub(k.confirmedAt) < MinCommitInterval {
		return nil
	}
	row := k.row
	row.Commits++
	row.WriteID = k.config.NewWriteID()
	p := &planner{cell: k, now: now, batch: &Batch{at: now, row: row, tasks: map[kqmodel.TaskID]kqmodel.Task{},
		allotments: map[string]allotmentWrite{}, inbox: slices.Clone(k.inbox)}}
	p.order = p.sorted()
	for _, id := range p.order {
		p.observe(p.task(id))
	}
	p.cancel()
	p.handOver()
	p.place()
	p.endJobs()
	p.giveBack()
	if p.batch.empty() && now.Sub(k.confirmedAt) < RenewInterval {
		return nil
	}
	k.planned = p.batch
	return p.batch
}

// sorted lists the tasks in the order of the queue: urgent before watchers
// before the rest, then by submission.
func (p *planner) sorted() []kqmodel.TaskID {
	var out []kqmodel.TaskID
	for id, t := range p.cell.tasks {
		if !chart.Final(t.State) {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, p.compare)
	return out
}

func (p *planner) compare(a, b kqmodel.TaskID) int {
	ja, jb := p.cell.jobs[a.Job], p.cell.jobs[b.Job]
	if c := rank(jb) - rank(ja); c != 0 {
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

func rank(j *job) int {
	switch {
	case j.Spec.Urgency == kqmodel.UrgencyUrgent:
		return 2
	case j.Watcher:
		return 1
	}
	return 0
}

// task returns a task as it stands in the batch.
func (p *planner) task(id kqmodel.TaskID) kqmodel.Task {
	if t, ok := p.batch.tasks[id]; ok {
		return t
	}
	return *p.cell.tasks[id]
}

// step moves a task along the chart into the batch.
func (p *planner) step(t kqmodel.Task, event, reason string) (kqmodel.Task, bool) {
	next, err := chart.Next(t.State, event)
	if err != nil {
		p.cell.config.Counter.Check(false, kqinvariant.TransitionNotInChart, "task %s: %v", t.ID, err)
		return t, false
	}
	t.State, t.Reason, t.ChangedAt = next, reason, p.now
	if next == stateQueued || chart.Final(next) {
		t.Worker, t.HostBoot, t.Reserved = "", "", kqmodel.Resources{}
	}
	p.batch.tasks[t.ID] = t
	return t, true
}

// observe follows what the worker of a task reports.
func (p *planner) observe(t kqmodel.Task) {
	if t.Worker == "" {
		return
	}
	w := p.cell.workers[t.Worker]
	switch {
	case w.registered && w.hostBoot != t.HostBoot:
		p.lose(t, "the host of worker "+w.id+" has restarted")
	case p.silent(w, t):
		p.lose(t, "worker "+w.id+" is silent and its leases have run out")
	case w.registered:
		if r, ok := w.reports[t.AttemptID()]; ok {
			p.follow(t, w, r)
		}
	}
}

// silent reports whether a worker has been silent so long that the task
// cannot run there any more. A watcher is not waited for that long: a second
// one harms nobody.
func (p *planner) silent(w *worker, t kqmodel.Task) bool {
	if p.cell.jobs[t.ID.Job].Watcher {
		return p.now.Sub(w.heardAt) > WatcherTimeout
	}
	return p.now.After(w.grantedTill.Add(ClockDriftMargin))
}

func (p *planner) lose(t kqmodel.Task, reason string) {
	if t.State == stateCancelling {
		p.step(t, eventStopped, reason)
		return
	}
	if t, ok := p.step(t, eventLost, reason); ok {
		t.Evictions++
		p.batch.tasks[t.ID] = t
		p.batch.note(kqevent.TaskLost, kqevent.Task(t.ID.String()), "%s; it resumes from %s", reason, checkpointName(t))
	}
}

func checkpointName(t kqmodel.Task) string {
	if t.Checkpoint == "" {
		return "its start"
	}
	return "checkpoint " + t.Checkpoint
}

// follow applies one report.
func (p *planner) follow(t kqmodel.Task, w *worker, r kqruntime.Report) {
	if r.Checkpoint != "" && r.Checkpoint != t.Checkpoint {
		t.Checkpoint = r.Checkpoint
		p.batch.tasks[t.ID] = t
	}
	switch r.Phase {
	case kqruntime.PhaseFinished:
		p.finished(t, w, r)
	case kqruntime.PhaseFailed:
		p.failed(t, w, r)
	case kqruntime.PhaseStopped:
		p.stopped(t, r)
	case kqruntime.PhaseRunning:
		if t.State == stateAssigned || t.State == stateSuspended {
			p.step(t, eventStarted, "")
			p.batch.note(kqevent.TaskStarted, kqevent.Task(t.ID.String()), "attempt %d runs on worker %s", t.Attempt, w.id)
		}
	case kqruntime.PhaseSuspended:
		if t.State == stateRunning {
			p.step(t, eventSuspended, r.Reason)
			p.batch.note(kqevent.TaskSuspended, kqevent.Task(t.ID.String()), "on worker %s: %s", w.id, r.Reason)
		}
	}
}

func (p *planner) finished(t kqmodel.Task, w *worker, r kqruntime.Report) {
	j := p.cell.jobs[t.ID.Job]
	if t.State == stateCancelling {
		p.step(t, eventStopped, "it finished before it could be stopped")
		return
	}
	if j.Watcher {
		p.step(t, eventRetry, "the watcher ended and is started again")
		return
	}
	p.step(t, eventFinish, "")
	p.batch.note(kqevent.TaskFinished, kqevent.Task(t.ID.String()), "attempt %d on worker %s ran %s", t.Attempt, w.id, r.RunTime.Round(time.Millisecond))
	p.batch.done = append(p.batch.done, func() {
		p.cell.sizes.RecordRunTime(j.Spec.FamilyName(), j.Spec.RunTime.Std(), r.RunTime)
		if w.health.RecordSuccess() {
			p.cell.config.Events.Emit(p.now, kqevent.WorkerRestored, kqevent.Worker(w.id), "a probe finished")
		}
	})
}

func (p *planner) failed(t kqmodel.Task, w *worker, r kqruntime.Report) {
	j := p.cell.jobs[t.ID.Job]
	if t.State == stateCancelling {
		p.step(t, eventStopped, r.Reason)
		return
	}
	t.Failures++
	if !slices.Contains(t.FailedOn, w.id) {
		t.FailedOn = append(slices.Clone(t.FailedOn), w.id)
	}
	event, end := eventRetry, t.Failures >= MaxTaskFailures && !j.Watcher
	if end {
		event = eventFail
	}
	p.step(t, event, r.Reason)
	p.batch.note(kqevent.TaskFailed, kqevent.Task(t.ID.String()), "attempt %d on worker %s: %s", t.Attempt, w.id, r.Reason)
	p.batch.done = append(p.batch.done, func() {
		j.health.RecordFailure(w.id)
		if w.health.RecordFailure(p.now, t.ID.Job, j.health.FailsEverywhere()) {
			p.cell.config.Events.Emit(p.now, kqevent.WorkerQuarantined, kqevent.Worker(w.id), "it failed the tasks of several jobs that do not fail elsewhere")
		}
	})
}

func (p *planner) stopped(t kqmodel.Task, r kqruntime.Report) {
	switch t.State {
	case stateCancelling:
		p.step(t, eventStopped, "cancelled")
	case stateEvicting:
		if t, ok := p.step(t, eventEvicted, t.Reason); ok {
			t.Evictions++
			p.batch.tasks[t.ID] = t
			p.batch.note(kqevent.TaskEvicted, kqevent.Task(t.ID.String()), "%s; it resumes from %s", t.Reason, checkpointName(t))
		}
	default:
		p.step(t, eventRetry, "the worker gave it back: "+r.Reason)
	}
}

// cancel follows the cancelled jobs.
func (p *planner) cancel() {
	for _, id := range p.order {
		t := p.task(id)
		if p.cell.jobs[id.Job].Cancelled && chart.Can(t.State, eventCancel) {
			p.step(t, eventCancel, "the job was cancelled")
		}
	}
}

// handOver evicts the tasks of draining workers and those that stay suspended.
func (p *planner) handOver() {
	for _, id := range p.order {
		t := p.task(id)
		w := p.cell.workers[t.Worker]
		if w == nil || !chart.Can(t.State, eventEvict) {
			continue
		}
		if w.draining {
			p.step(t, eventEvict, "worker "+w.id+" is shutting down")
		} else if t.State == stateSuspended && p.now.Sub(t.ChangedAt) > suspendPatience {
			p.step(t, eventEvict, "it was suspended for "+suspendPatience.String()+": "+t.Reason)
		}
	}
}

// suspendPatience is how long a task stays suspended before it is moved.
const suspendPatience = 30 * time.Second

// endJobs drops the jobs whose tasks have all ended.
func (p *planner) endJobs() {
	for _, j := range p.cell.jobs {
		s := Summary{EndedAt: p.now.UTC()}
		over := true
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
				over = false
			}
		}
		if over {
			for _, id := range j.tasks {
				delete(p.batch.tasks, id)
			}
			p.batch.ended = append(p.batch.ended, ended{job: j.Job, summary: s})
		}
	}
}
