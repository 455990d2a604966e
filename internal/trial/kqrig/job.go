package kqrig

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Submit writes a job to the table as an entry does.
func (r *Rig) Submit(s kqmodel.JobSpec, watcher bool) {
	j := kqmodel.Job{Spec: s, Cell: Cell, Watcher: watcher, SubmittedAt: r.now}
	id := r.newWriteID()
	r.mustWrite(kqtable.Write{Key: kqcell.JobKey(s.ID), Value: kqtable.Encode(kqcell.JobRow{Job: j, WriteID: id})},
		kqtable.Write{Key: kqcell.ActiveKey(Cell, s.ID), Value: kqtable.Encode(j)},
		kqtable.Write{Key: kqcell.InboxKey(Cell, s.ID, id)})
	r.checks.accepted[s.ID] = j
}

// Cancel writes the cancellation of a job to the table as an entry does. It does nothing if
// the job has ended or is cancelled already.
func (r *Rig) Cancel(job string) {
	row, j := r.job(job)
	if j.Summary != nil || j.Job.Cancelled {
		return
	}
	j.Job.Cancelled, j.WriteID = true, r.newWriteID()
	r.mustWrite(kqtable.Write{Key: row.Key, Value: kqtable.Encode(j)},
		kqtable.Write{Key: kqcell.ActiveKey(Cell, job), Value: kqtable.Encode(j.Job)},
		kqtable.Write{Key: kqcell.InboxKey(Cell, job, j.WriteID)})
}

// mustWrite writes to the table without the faults of Store.
func (r *Rig) mustWrite(ws ...kqtable.Write) {
	o, err := r.Table.Client().Transact(context.Background(), kqtable.Transaction{Writes: ws})
	if err != nil || !o.Committed {
		panic(fmt.Sprint("write without injected faults failed: ", err))
	}
}

// job returns the stored row of a job that was submitted.
func (r *Rig) job(id string) (kqtable.Row, kqcell.JobRow) {
	row, _, err := r.Table.Client().Get(context.Background(), kqcell.JobKey(id))
	var j kqcell.JobRow
	if err != nil || kqtable.Decode(row, &j) != nil {
		panic("missing or malformed row of job " + id)
	}
	return row, j
}

// Summary returns the summary of a job that has ended, and nil for other jobs.
func (r *Rig) Summary(id string) *kqcell.Summary {
	_, j := r.job(id)
	return j.Summary
}

// AllEnded reports whether all submitted jobs but watchers have ended.
func (r *Rig) AllEnded() bool {
	for id, j := range r.checks.accepted {
		if !j.Watcher && r.Summary(id) == nil {
			return false
		}
	}
	return true
}

// Task returns the committed state of a task, and whether there is one.
func (r *Rig) Task(id kqmodel.TaskID) (kqmodel.Task, bool) {
	row, found, _ := r.Table.Client().Get(context.Background(), kqcell.TaskKey(Cell, id))
	var t kqmodel.Task
	if !found || kqtable.Decode(row, &t) != nil {
		return t, false
	}
	return t, true
}

// RunningCount returns the number of attempts that run on the hosts that are up.
func (r *Rig) RunningCount() int {
	count := 0
	for _, n := range r.Nodes {
		if n.hostUp {
			for _, t := range n.Host.Inventory(r.now).Tasks {
				if t.Phase == kqruntime.PhaseRunning {
					count++
				}
			}
		}
	}
	return count
}

// checks verifies the invariants of the cell at each start of a task, from the table and the
// hosts and without the state of the owner.
type checks struct {
	rig *Rig
	// accepted holds the submitted jobs by id.
	accepted map[string]kqmodel.Job
	// startedOn holds the host that last started an attempt.
	startedOn map[kqmodel.AttemptID]string
	// startDelays holds, by job, the time from the submission to each start.
	startDelays map[string][]time.Duration
}

func newChecks(r *Rig) *checks {
	return &checks{rig: r, accepted: map[string]kqmodel.Job{}, startedOn: map[kqmodel.AttemptID]string{}, startDelays: map[string][]time.Duration{}}
}

// checkStart compares the start of an attempt on a host with the committed state.
func (c *checks) checkStart(host string, o kqruntime.Order) {
	r := c.rig
	firstHost, repeated := c.startedOn[o.ID]
	r.Counter.Check(!repeated || o.Watcher, kqinvariant.ResumedTwice, "attempt %s started on %s and on %s", o.ID, firstHost, host)
	c.startedOn[o.ID] = host
	_, j := r.job(o.ID.Task.Job)
	r.Counter.Check(j.Summary == nil, kqinvariant.StartedAfterCancel, "attempt %s started on %s after the job had ended", o.ID, host)
	t, ok := r.Task(o.ID.Task)
	if !ok || o.Watcher {
		return
	}
	r.Counter.Check(t.Attempt == o.ID.Attempt && t.Worker == host, kqinvariant.TaskInTwoPlaces,
		"attempt %s started on %s; attempt %d on %s is committed", o.ID, host, t.Attempt, t.Worker)
	r.Counter.Check(t.Checkpoint == o.Checkpoint, kqinvariant.ResumedTwice,
		"attempt %s resumed from %q; %q is committed", o.ID, o.Checkpoint, t.Checkpoint)
	c.startDelays[o.ID.Task.Job] = append(c.startDelays[o.ID.Task.Job], r.now.Sub(c.accepted[o.ID.Task.Job].SubmittedAt))
}

// StartDelays returns the time from the submission of a job to each start of one of its tasks.
func (r *Rig) StartDelays(job string) []time.Duration { return r.checks.startDelays[job] }

// EvictionCount returns the number of evictions of tasks of all submitted jobs.
func (r *Rig) EvictionCount() int {
	count := 0
	for id, j := range r.checks.accepted {
		if s := r.Summary(id); s != nil {
			count += s.Evictions
			continue
		}
		for i := range j.Spec.Tasks {
			if t, ok := r.Task(kqmodel.TaskID{Job: id, Index: i}); ok {
				count += int(t.Evictions)
			}
		}
	}
	return count
}

// WaitingCount returns the number of tasks of submitted jobs that are not placed on a worker.
func (r *Rig) WaitingCount() int {
	count := 0
	for id, j := range r.checks.accepted {
		if r.Summary(id) != nil {
			continue
		}
		for i := range j.Spec.Tasks {
			if t, ok := r.Task(kqmodel.TaskID{Job: id, Index: i}); !ok || t.State == "queued" {
				count++
			}
		}
	}
	return count
}
