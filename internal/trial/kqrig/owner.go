package kqrig

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// acquire tries to acquire the ownership of the cell and then loads the cell's state.
func (n *Node) acquire() {
	n.acquiring = true
	row, version := n.follower.NextOwnership(kqcell.OwnershipRow{Owner: n.id, Boot: n.bootID, Address: n.address(), WriteID: n.rig.newWriteID()})
	key := kqcell.OwnershipKey(Cell)
	sent := n.rig.now
	c := &kqtable.PendingCommit{MarkerKey: key, Transaction: kqtable.Transaction{
		Conditions: []kqtable.Condition{{Key: key, Version: version}},
		Writes:     []kqtable.Write{{Key: key, Value: kqtable.Encode(row)}}}}
	n.rig.Store.commit(n, c, kqtable.StepSend, func(o kqtable.Outcome, err error) {
		if err != nil || !o.Committed {
			n.acquireFailed()
			return
		}
		n.load(sent, kqcell.Snapshot{Ownership: row, OwnershipVersion: o.Version})
	})
}

// acquireFailed ends an attempt to acquire the ownership, after a lost race or a failed
// access to the table.
func (n *Node) acquireFailed() {
	n.acquiring = false
	n.follower.AcquireFailed(n.rig.now)
}

// load reads the active jobs and the tasks of the cell and then starts to act as its owner.
func (n *Node) load(sent time.Time, s kqcell.Snapshot) {
	n.rig.Store.scan(n, kqcell.ActivePrefix(Cell), func(jobs []kqtable.Row, err error) {
		if err != nil {
			n.acquireFailed()
			return
		}
		s.Jobs = decode[kqmodel.Job](jobs)
		n.rig.Store.scan(n, kqcell.CellTasksPrefix(Cell), func(tasks []kqtable.Row, err error) {
			if err != nil {
				n.acquireFailed()
				return
			}
			s.Tasks = decode[kqmodel.Task](tasks)
			n.becomeOwner(sent, s)
		})
	})
}

// decode returns the decoded values of rows. It panics on a malformed value.
func decode[T any](rows []kqtable.Row) []T {
	out := make([]T, 0, len(rows))
	for _, r := range rows {
		var v T
		if err := kqtable.Decode(r, &v); err != nil {
			panic(err)
		}
		out = append(out, v)
	}
	return out
}

// becomeOwner starts to act as the owner with the state in the snapshot. sent is when the
// transaction that acquired the ownership was sent.
func (n *Node) becomeOwner(sent time.Time, s kqcell.Snapshot) {
	n.acquiring = false
	n.committing = false
	n.cell = kqcell.New(sent, kqcell.Config{ID: Cell, Owner: n.id, Boot: n.bootID, Address: n.address(), Quota: n.rig.quota,
		Interference: n.rig.config.Interference, Events: n.rig.config.Events, Counter: n.rig.Counter, NewWriteID: n.rig.newWriteID}, s)
	n.follower.Acquired(n.rig.now, s.Ownership, s.OwnershipVersion)
}

// quota returns the quota of a team, and whether it has one.
func (r *Rig) quota(team string) (kqmodel.Resources, bool) {
	q, ok := r.config.Quotas[team]
	return q, ok
}

// plan commits the next batch of the owner unless a commit is in progress.
func (n *Node) plan() {
	if n.cell == nil || n.committing {
		return
	}
	n.readAllotments()
	b := n.cell.Plan(n.rig.now)
	if b == nil {
		return
	}
	cell, sent := n.cell, n.rig.now
	t, marker := cell.Transaction(b)
	n.committing = true
	n.rig.Store.commit(n, &kqtable.PendingCommit{Transaction: t, MarkerKey: marker}, kqtable.StepSend, func(o kqtable.Outcome, err error) {
		n.committing = false
		switch {
		case n.cell != cell:
		case err != nil:
			cell.BatchDropped()
		case o.Committed:
			cell.BatchCommitted(n.rig.now, sent, b, o.Version)
			n.sendNewOrders()
		case cell.BatchRejected(n.rig.now, o.FailedKey):
			n.cell = nil
			n.follower.OwnershipLost(n.rig.now)
		}
	})
}

// readInbox reads the jobs that entries have put into the owner's inbox and applies them.
func (n *Node) readInbox() {
	if n.cell == nil {
		return
	}
	cell := n.cell
	n.rig.Store.scan(n, kqcell.InboxPrefix(Cell), func(rows []kqtable.Row, err error) {
		if err != nil || n.cell != cell {
			return
		}
		cell.RecordStoreResponse(n.rig.now)
		for _, row := range rows {
			n.rig.Store.get(n, kqcell.JobKey(kqcell.JobFromInboxKey(Cell, row.Key)), func(j kqtable.Row, found bool, err error) {
				var v kqcell.JobRow
				if err == nil && n.cell == cell && (!found || kqtable.Decode(j, &v) == nil) {
					cell.ApplyInboxRow(n.rig.now, row.Key, v, found)
				}
			})
		}
	})
}

// readAllotments reads the allotments that the owner needs anew.
func (n *Node) readAllotments() {
	cell := n.cell
	for _, team := range cell.StaleAllotments() {
		n.rig.Store.get(n, kqcell.AllotmentKey(team), func(row kqtable.Row, found bool, err error) {
			a := kqcell.AllotmentRow{Version: row.Version}
			if err == nil && n.cell == cell && (!found || kqtable.Decode(row, &a.Allotments) == nil) {
				cell.SetAllotments(team, a)
			}
		})
	}
}
