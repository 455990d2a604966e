package kqcell

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqquota"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// note is an event that is emitted once its batch is committed.
type note struct {
	number  kqevent.Number
	subject kqevent.Subject
	text    string
}

// ended is a job whose last task has ended.
type ended struct {
	job     kqmodel.Job
	summary Summary
}

// allotmentWrite is a changed share of a team.
type allotmentWrite struct {
	version    uint64
	allotments kqquota.Allotments
}

// Batch is the changes that an owner commits in one transaction.
type Batch struct {
	at         time.Time
	row        OwnershipRow
	tasks      map[kqmodel.TaskID]kqmodel.Task
	ended      []ended
	inbox      []string
	allotments map[string]allotmentWrite
	notes      []note
	done       []func()
}

func (b *Batch) note(n kqevent.Number, s kqevent.Subject, format string, args ...any) {
	b.notes = append(b.notes, note{n, s, fmt.Sprintf(format, args...)})
}

// Tasks returns how many tasks the batch changes.
func (b *Batch) TaskCount() int { return len(b.tasks) }

// empty reports whether the batch only renews the ownership.
func (b *Batch) empty() bool {
	return len(b.tasks) == 0 && len(b.ended) == 0 && len(b.inbox) == 0 && len(b.allotments) == 0
}

// Transaction returns the batch as a transaction and the key of its marker. It
// is conditional on the ownership row, so that only the present owner's
// commits take effect.
func (k *Cell) Transaction(b *Batch) (t kqtable.Transaction, marker string) {
	marker = OwnershipKey(k.config.ID)
	t.Conditions = append(t.Conditions, kqtable.Condition{Key: marker, Version: k.rowVersion})
	t.Writes = append(t.Writes, kqtable.Write{Key: marker, Value: kqtable.Encode(b.row)})
	for id, task := range b.tasks {
		t.Writes = append(t.Writes, kqtable.Write{Key: TaskKey(k.config.ID, id), Value: kqtable.Encode(task)})
	}
	for _, e := range b.ended {
		t.Writes = append(t.Writes, k.endWrites(e, b.row.WriteID)...)
	}
	for _, key := range b.inbox {
		t.Writes = append(t.Writes, kqtable.Write{Key: key, Delete: true})
	}
	for team, a := range b.allotments {
		key := AllotmentKey(team)
		t.Conditions = append(t.Conditions, kqtable.Condition{Key: key, Version: a.version})
		t.Writes = append(t.Writes, kqtable.Write{Key: key, Value: kqtable.Encode(a.allotments)})
	}
	return t, marker
}

// endWrites moves a job from the live rows to its summary.
func (k *Cell) endWrites(e ended, writeID string) []kqtable.Write {
	id := e.job.Spec.ID
	ws := []kqtable.Write{
		{Key: JobKey(id), Value: kqtable.Encode(JobRow{Job: e.job, Summary: &e.summary, WriteID: writeID})},
		{Key: ActiveKey(k.config.ID, id), Delete: true},
	}
	for i := range e.job.Spec.Tasks {
		ws = append(ws, kqtable.Write{Key: TaskKey(k.config.ID, kqmodel.TaskID{Job: id, Index: i}), Delete: true})
	}
	return ws
}

// Committed makes a planned batch the state of the cell. sent is when its
// transaction was first sent: the ownership is confirmed up to then.
func (k *Cell) BatchCommitted(now, sent time.Time, b *Batch, version uint64) {
	k.planned = nil
	k.row, k.rowVersion = b.row, version
	k.confirmedAt, k.storeAt = sent, now
	for id, t := range b.tasks {
		k.changed(id)
		stored := t
		k.tasks[id] = &stored
		k.changed(id)
	}
	for _, e := range b.ended {
		k.drop(e.job.Spec.ID)
	}
	k.inbox = k.inbox[len(b.inbox):]
	for team, a := range b.allotments {
		k.allotments[team] = AllotmentRow{Allotments: a.allotments, Version: version}
	}
	for _, n := range b.notes {
		k.config.Events.Emit(now, n.number, n.subject, "%s", n.text)
	}
	for _, f := range b.done {
		f()
	}
}

// changed makes the worker of a task get its orders anew.
func (k *Cell) changed(id kqmodel.TaskID) {
	if t := k.tasks[id]; t != nil && t.Worker != "" {
		if w := k.workers[t.Worker]; w != nil {
			w.version++
		}
	}
}

func (k *Cell) drop(id string) {
	for _, t := range k.jobs[id].tasks {
		k.changed(t)
		delete(k.tasks, t)
		delete(k.waiting, t.String())
	}
	delete(k.jobs, id)
}

// Rejected discards a planned batch whose condition on key did not hold, and
// reports whether the ownership is lost.
func (k *Cell) BatchRejected(now time.Time, key string) (lost bool) {
	b := k.planned
	k.planned, k.storeAt = nil, now
	if key == OwnershipKey(k.config.ID) {
		return true
	}
	for team := range b.allotments {
		k.refresh[team] = true
	}
	return false
}

// Dropped discards a planned batch that the table did not take.
func (k *Cell) BatchDropped() { k.planned = nil }
