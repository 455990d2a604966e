package kqrig

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// take tries to take the ownership and to load the cell.
func (n *Node) take() {
	n.taking = true
	row, version := n.follower.NextOwnership(kqcell.OwnershipRow{Owner: n.id, Boot: n.boot, Address: n.address(), WriteID: n.rig.newWriteID()})
	key := kqcell.OwnershipKey(Cell)
	sent := n.rig.now
	c := &kqtable.PendingCommit{MarkerKey: key, Transaction: kqtable.Transaction{
		Conditions: []kqtable.Condition{{Key: key, Version: version}},
		Writes:     []kqtable.Write{{Key: key, Value: kqtable.Encode(row)}}}}
	n.rig.Store.commit(n, c, kqtable.StepSend, func(o kqtable.Outcome, err error) {
		if err != nil || !o.Committed {
			n.loseRace()
			return
		}
		n.load(sent, kqcell.Snapshot{Ownership: row, OwnershipVersion: o.Version})
	})
}

func (n *Node) loseRace() {
	n.taking = false
	n.follower.AcquireFailed(n.rig.now)
}

func (n *Node) load(sent time.Time, l kqcell.Snapshot) {
	n.rig.Store.scan(n, kqcell.ActivePrefix(Cell), func(jobs []kqtable.Row, err error) {
		if err != nil {
			n.loseRace()
			return
		}
		l.Jobs = decode[kqmodel.Job](jobs)
		n.rig.Store.scan(n, kqcell.CellTasksPrefix(Cell), func(tasks []kqtable.Row, err error) {
			if err != nil {
				n.loseRace()
				return
			}
			l.Tasks = decode[kqmodel.Task](tasks)
			n.own(sent, l)
		})
	})
}

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

func (n *Node) own(sent time.Time, l kqcell.Snapshot) {
	n.taking = false
	n.committing = false
	n.cell = kqcell.New(sent, kqcell.Config{ID: Cell, Owner: n.id, Boot: n.boot, Address: n.address(), Quota: n.rig.quota,
		Interference: n.rig.config.Interference, Events: n.rig.config.Events, Counter: n.rig.Counter, NewWriteID: n.rig.newWriteID}, l)
	n.follower.Acquired(n.rig.now, l.Ownership, l.OwnershipVersion)
}

func (r *Rig) quota(team string) (kqmodel.Resources, bool) {
	q, ok := r.config.Quotas[team]
	return q, ok
}

// plan commits the next batch of an owner.
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
			n.wake()
		case cell.BatchRejected(n.rig.now, o.FailedKey):
			n.cell = nil
			n.follower.OwnershipLost(n.rig.now)
		}
	})
}

// readInbox takes in what entries have left for the owner.
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
