package kqowner

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// tenure is the time during which a process owns a cell.
type tenure struct {
	runner  *Runner
	cell    *kqcell.Cell
	inboxAt time.Time
}

func (t *tenure) run() error {
	r := t.runner
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-tick.C:
		}
		ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), readTimeout)
		t.readInbox(ctx)
		t.readAllotments(ctx)
		cancel()
		if lost := t.commit(); lost {
			t.end()
			return nil
		}
	}
}

// end gives up what another process owns now.
func (t *tenure) end() {
	r := t.runner
	now := r.config.Now()
	r.mu.Lock()
	r.cell = nil
	r.wake()
	r.follower.OwnershipLost(now)
	r.mu.Unlock()
	r.config.Events.Emit(now, kqevent.OwnerLost, kqevent.Process(r.config.Self), "%s is owned by another process", r.config.Cell)
}

// inboxPage bounds how many news are taken in at once.
const inboxPage = 200

// readInbox takes in what entries have left for the owner.
func (t *tenure) readInbox(ctx context.Context) {
	r := t.runner
	now := r.config.Now()
	if now.Sub(t.inboxAt) < inboxInterval {
		return
	}
	t.inboxAt = now
	rows, err := r.config.Table.Scan(ctx, kqcell.InboxPrefix(r.config.Cell), "", inboxPage)
	if err != nil {
		return
	}
	r.mu.Lock()
	t.cell.RecordStoreResponse(r.config.Now())
	r.mu.Unlock()
	for _, row := range rows {
		t.readNews(ctx, row.Key)
	}
}

func (t *tenure) readNews(ctx context.Context, key string) {
	r := t.runner
	row, found, err := r.config.Table.Get(ctx, kqcell.JobKey(kqcell.JobFromInboxKey(r.config.Cell, key)))
	if err != nil {
		return
	}
	var j kqcell.JobRow
	if found && kqtable.Decode(row, &j) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t.cell.ApplyInboxRow(r.config.Now(), key, j, found)
}

// readAllotments reads the allotments that the cell asked for.
func (t *tenure) readAllotments(ctx context.Context) {
	r := t.runner
	r.mu.Lock()
	teams := t.cell.StaleAllotments()
	r.mu.Unlock()
	for _, team := range teams {
		row, found, err := r.config.Table.Get(ctx, kqcell.AllotmentKey(team))
		if err != nil {
			return
		}
		a := kqcell.AllotmentRow{Version: row.Version}
		if found && kqtable.Decode(row, &a.Allotments) != nil {
			return
		}
		r.mu.Lock()
		t.cell.SetAllotments(team, a)
		r.mu.Unlock()
	}
}

// commit writes the next batch and reports whether the ownership is lost.
func (t *tenure) commit() (lost bool) {
	r := t.runner
	sent := r.config.Now()
	r.mu.Lock()
	b := t.cell.Plan(sent)
	if b == nil {
		r.mu.Unlock()
		return false
	}
	x, marker := t.cell.Transaction(b)
	r.mu.Unlock()
	o, err := r.resolver.Commit(r.tomb.Context(context.Background()), x, marker)
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		t.cell.BatchDropped()
		return false
	case o.Committed:
		t.cell.BatchCommitted(now, sent, b, o.Version)
		r.wake()
		return false
	}
	return t.cell.BatchRejected(now, o.FailedKey)
}

// load reads the jobs and tasks of a cell that have not ended.
func load(ctx context.Context, table kqtable.Table, cell string) (kqcell.Snapshot, error) {
	var l kqcell.Snapshot
	jobs, err := table.ScanAll(ctx, kqcell.ActivePrefix(cell))
	if err != nil {
		return l, err
	}
	for _, row := range jobs {
		var j kqmodel.Job
		if err := kqtable.Decode(row, &j); err != nil {
			return l, err
		}
		l.Jobs = append(l.Jobs, j)
	}
	tasks, err := table.ScanAll(ctx, kqcell.CellTasksPrefix(cell))
	if err != nil {
		return l, err
	}
	for _, row := range tasks {
		var k kqmodel.Task
		if err := kqtable.Decode(row, &k); err != nil {
			return l, err
		}
		l.Tasks = append(l.Tasks, k)
	}
	return l, nil
}
