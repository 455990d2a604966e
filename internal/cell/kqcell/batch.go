package kqcell

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqquota"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// pendingEvent is an event that is emitted once its batch is committed.
type pendingEvent struct {
	number  kqevent.Number
	subject kqevent.Subject
	text    string
}

// endedJob is a job whose last task has ended, with its summary.
type endedJob struct {
	job     kqmodel.Job
	summary Summary
}

// allotmentWrite is a change of a team's allotments, conditional on the version of
// their row.
type allotmentWrite struct {
	version    uint64
	allotments kqquota.Allotments
}

// Batch holds the changes that an owner commits in one transaction, and the events and
// callbacks that follow the commit.
type Batch struct {
	plannedAt  time.Time
	ownership  OwnershipRow
	tasks      map[kqmodel.TaskID]kqmodel.Task
	endedJobs  []endedJob
	inboxKeys  []string
	allotments map[string]allotmentWrite
	events     []pendingEvent
	onCommit   []func()
}

func (b *Batch) addEvent(n kqevent.Number, s kqevent.Subject, format string, args ...any) {
	b.events = append(b.events, pendingEvent{n, s, fmt.Sprintf(format, args...)})
}

// TaskCount returns how many tasks the batch changes.
func (b *Batch) TaskCount() int { return len(b.tasks) }

// renewsOnly reports whether the batch changes nothing but the ownership row.
func (b *Batch) renewsOnly() bool {
	return len(b.tasks) == 0 && len(b.endedJobs) == 0 && len(b.inboxKeys) == 0 && len(b.allotments) == 0
}

// Transaction returns the batch as a transaction, and the key of its marker row. The
// transaction is conditional on the version of the ownership row, so that only commits of
// the current owner take effect.
func (k *Cell) Transaction(b *Batch) (t kqtable.Transaction, marker string) {
	marker = OwnershipKey(k.config.ID)
	t.Conditions = append(t.Conditions, kqtable.Condition{Key: marker, Version: k.ownershipVersion})
	t.Writes = append(t.Writes, kqtable.Write{Key: marker, Value: kqtable.Encode(b.ownership)})
	for id, task := range b.tasks {
		t.Writes = append(t.Writes, kqtable.Write{Key: TaskKey(k.config.ID, id), Value: kqtable.Encode(task)})
	}
	for _, e := range b.endedJobs {
		t.Writes = append(t.Writes, k.endWrites(e, b.ownership.WriteID)...)
	}
	for _, key := range b.inboxKeys {
		t.Writes = append(t.Writes, kqtable.Write{Key: key, Delete: true})
	}
	for team, a := range b.allotments {
		key := AllotmentKey(team)
		t.Conditions = append(t.Conditions, kqtable.Condition{Key: key, Version: a.version})
		t.Writes = append(t.Writes, kqtable.Write{Key: key, Value: kqtable.Encode(a.allotments)})
	}
	return t, marker
}

// endWrites returns the writes that delete a job's task rows and store its summary.
func (k *Cell) endWrites(e endedJob, writeID string) []kqtable.Write {
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

// BatchCommitted applies a committed batch to the state of the cell. sent is when its
// transaction was first sent: the commit confirms that the ownership was held then.
func (k *Cell) BatchCommitted(now, sent time.Time, b *Batch, version uint64) {
	k.plannedBatch = nil
	k.ownership, k.ownershipVersion = b.ownership, version
	k.confirmedAt, k.storeRespondedAt = sent, now
	for id, t := range b.tasks {
		k.invalidateOrders(id)
		stored := t
		k.tasks[id] = &stored
		k.invalidateOrders(id)
	}
	for _, e := range b.endedJobs {
		k.removeJob(e.job.Spec.ID)
	}
	k.inboxKeys = k.inboxKeys[len(b.inboxKeys):]
	for team, a := range b.allotments {
		k.allotments[team] = AllotmentRow{Allotments: a.allotments, Version: version}
	}
	for _, n := range b.events {
		k.config.Events.Emit(now, n.number, n.subject, "%s", n.text)
	}
	for _, f := range b.onCommit {
		f()
	}
}

// invalidateOrders raises the version of the orders of a task's worker, so that the
// worker's agent receives them again.
func (k *Cell) invalidateOrders(id kqmodel.TaskID) {
	if t := k.tasks[id]; t != nil && t.Worker != "" {
		if w := k.workers[t.Worker]; w != nil {
			w.ordersVersion++
		}
	}
}

func (k *Cell) removeJob(id string) {
	for _, t := range k.jobs[id].tasks {
		k.invalidateOrders(t)
		delete(k.tasks, t)
		delete(k.waitReasons, t.String())
	}
	delete(k.jobs, id)
}

// BatchRejected discards a planned batch whose condition on key did not hold, and reports
// whether the ownership is lost. Otherwise the allotments that the batch wrote are stale
// and must be read again.
func (k *Cell) BatchRejected(now time.Time, key string) (lost bool) {
	b := k.plannedBatch
	k.plannedBatch, k.storeRespondedAt = nil, now
	if key == OwnershipKey(k.config.ID) {
		return true
	}
	for team := range b.allotments {
		k.staleAllotments[team] = true
	}
	return false
}

// BatchDropped discards a planned batch that the table did not commit.
func (k *Cell) BatchDropped() { k.plannedBatch = nil }
