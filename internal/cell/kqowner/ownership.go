package kqowner

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// ownership carries out the work of the owner of a cell until another process replaces it.
type ownership struct {
	runner      *Runner
	cell        *kqcell.Cell
	inboxReadAt time.Time
}

func (ow *ownership) run() error {
	r := ow.runner
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-tick.C:
		}
		ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), readTimeout)
		ow.readInbox(ctx)
		ow.readAllotments(ctx)
		cancel()
		if lost := ow.commit(); lost {
			ow.handleLoss()
			return nil
		}
	}
}

// handleLoss drops the state of the cell, which another process owns now.
func (ow *ownership) handleLoss() {
	r := ow.runner
	now := r.config.Now()
	r.mu.Lock()
	r.cell = nil
	r.wakeHeld()
	r.follower.OwnershipLost(now)
	r.mu.Unlock()
	r.config.Events.Emit(now, kqevent.OwnershipLost, kqevent.Process(r.config.Self), "%s is owned by another process", r.config.Cell)
}

// inboxPageSize limits the inbox rows that are read at once.
const inboxPageSize = 200

// readInbox reads the changes of jobs that entries have left for the owner.
func (ow *ownership) readInbox(ctx context.Context) {
	r := ow.runner
	now := r.config.Now()
	if now.Sub(ow.inboxReadAt) < inboxInterval {
		return
	}
	ow.inboxReadAt = now
	rows, err := r.config.Table.Scan(ctx, kqcell.InboxPrefix(r.config.Cell), "", inboxPageSize)
	if err != nil {
		return
	}
	r.mu.Lock()
	ow.cell.RecordStoreResponse(r.config.Now())
	r.mu.Unlock()
	for _, row := range rows {
		ow.readInboxRow(ctx, row.Key)
	}
}

// readInboxRow reads and applies the job that an inbox row refers to.
func (ow *ownership) readInboxRow(ctx context.Context, key string) {
	r := ow.runner
	row, found, err := r.config.Table.Get(ctx, kqcell.JobKey(kqcell.JobFromInboxKey(r.config.Cell, key)))
	if err != nil {
		return
	}
	var j kqcell.JobRow
	if found {
		if j, err = readJob(row); err != nil {
			// The inbox row is deleted, so that such rows do not fill the page.
			kqtable.LogUnreadable(r.config.Events, r.config.Now)(row, err)
			found = false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ow.cell.ApplyInboxRow(r.config.Now(), key, j, found)
}

// readAllotments reads the allotments that the cell reports as stale.
func (ow *ownership) readAllotments(ctx context.Context) {
	r := ow.runner
	r.mu.Lock()
	teams := ow.cell.StaleAllotments()
	r.mu.Unlock()
	for _, team := range teams {
		row, found, err := r.config.Table.Get(ctx, kqcell.AllotmentKey(team))
		if err != nil {
			return
		}
		a := kqcell.AllotmentRow{Version: row.Version}
		if found {
			if err := kqtable.Decode(row, &a.Allotments); err != nil {
				kqtable.LogUnreadable(r.config.Events, r.config.Now)(row, err)
				continue
			}
		}
		r.mu.Lock()
		ow.cell.SetAllotments(team, a)
		r.mu.Unlock()
	}
}

// commit commits the next batch, if there is one, and reports whether the ownership is lost.
func (ow *ownership) commit() (lost bool) {
	r := ow.runner
	sent := r.config.Now()
	r.mu.Lock()
	b := ow.cell.Plan(sent)
	if b == nil {
		r.mu.Unlock()
		return false
	}
	tx, marker := ow.cell.Transaction(b)
	r.mu.Unlock()
	o, err := r.resolver.Commit(r.tomb.Context(context.Background()), tx, marker)
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		ow.cell.BatchDropped()
		return false
	case o.Committed:
		ow.cell.BatchCommitted(now, sent, b, o.Version)
		r.wakeHeld()
		return false
	}
	return ow.cell.BatchRejected(now, o.FailedKey)
}
