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

// Submit makes a job durable as an entry does.
func (r *Rig) Submit(s kqmodel.JobSpec, watcher bool) {
	j := kqmodel.Job{Spec: s, Cell: Cell, Watcher: watcher, SubmittedAt: r.now}
	id := r.newWriteID()
	r.mustWrite(kqtable.Write{Key: kqcell.JobKey(s.ID), Value: kqtable.Encode(kqcell.JobRow{Job: j, WriteID: id})},
		kqtable.Write{Key: kqcell.ActiveKey(Cell, s.ID), Value: kqtable.Encode(j)},
		kqtable.Write{Key: kqcell.InboxKey(Cell, s.ID, id)})
	r.checks.accepted[s.ID] = j
}

// Cancel makes the cancellation of a job durable as an entry does.
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

func (r *Rig) mustWrite(ws ...kqtable.Write) {
	o, err := r.Table.Client().Transact(context.Background(), kqtable.Transaction{Writes: ws})
	if err != nil || !o.Committed {
		panic(fmt.Sprint("the rig's own write failed: ", err))
	}
}

func (r *Rig) job(id string) (kqtable.Row, kqcell.JobRow) {
	row, _, err := r.Table.Client().Get(context.Background(), kqcell.JobKey(id))
	var j kqcell.JobRow
	if err != nil || kqtable.Decode(row, &j) != nil {
		panic("the rig lost job " + id)
	}
	return row, j
}

// Summary returns the end of a job, or nil while it goes on.
func (r *Rig) Summary(id string) *kqcell.Summary {
	_, j := r.job(id)
	return j.Summary
}

// AllEnded reports whether every accepted job but the watchers has ended.
func (r *Rig) AllEnded() bool {
	for id, j := range r.checks.accepted {
		if !j.Watcher && r.Summary(id) == nil {
			return false
		}
	}
	return true
}

// Task returns the committed state of a task.
func (r *Rig) Task(id kqmodel.TaskID) (kqmodel.Task, bool) {
	row, found, _ := r.Table.Client().Get(context.Background(), kqcell.TaskKey(Cell, id))
	var t kqmodel.Task
	if !found || kqtable.Decode(row, &t) != nil {
		return t, false
	}
	return t, true
}

// Running counts the attempts that run on live hosts.
func (r *Rig) Running() int {
	sum := 0
	for _, n := range r.Nodes {
		if n.hostUp {
			for _, t := range n.Host.Inventory(r.now).Tasks {
				if t.Phase == kqruntime.PhaseRunning {
					sum++
				}
			}
		}
	}
	return sum
}

// checks asserts from outside what the cell promises.
type checks struct {
	rig      *Rig
	accepted map[string]kqmodel.Job
	resumed  map[kqmodel.AttemptID]string
	starts   map[string][]time.Duration
}

func newChecks(r *Rig) *checks {
	return &checks{rig: r, accepted: map[string]kqmodel.Job{}, resumed: map[kqmodel.AttemptID]string{}, starts: map[string][]time.Duration{}}
}

// started checks one start at a host against what is committed.
func (c *checks) started(host string, o kqruntime.Order) {
	r := c.rig
	at, again := c.resumed[o.ID]
	r.Counter.Check(!again || o.Watcher, kqinvariant.ResumedTwice, "attempt %s started on %s and on %s", o.ID, at, host)
	c.resumed[o.ID] = host
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
	c.starts[o.ID.Task.Job] = append(c.starts[o.ID.Task.Job], r.now.Sub(c.accepted[o.ID.Task.Job].SubmittedAt))
}

// Starts returns how long after its submission each start of a job came.
func (r *Rig) Starts(job string) []time.Duration { return r.checks.starts[job] }

// Evictions counts how often tasks of accepted jobs were taken off workers.
func (r *Rig) Evictions() int {
	sum := 0
	for id, j := range r.checks.accepted {
		if s := r.Summary(id); s != nil {
			sum += s.Evictions
			continue
		}
		for i := range j.Spec.Tasks {
			if t, ok := r.Task(kqmodel.TaskID{Job: id, Index: i}); ok {
				sum += int(t.Evictions)
			}
		}
	}
	return sum
}

// Waiting counts the tasks of accepted jobs that hold no worker.
func (r *Rig) Waiting() int {
	sum := 0
	for id, j := range r.checks.accepted {
		if r.Summary(id) != nil {
			continue
		}
		for i := range j.Spec.Tasks {
			if t, ok := r.Task(kqmodel.TaskID{Job: id, Index: i}); !ok || t.State == "queued" {
				sum++
			}
		}
	}
	return sum
}
