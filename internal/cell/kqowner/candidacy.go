package kqowner

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// candidacy is one try to take the ownership and to load the cell. It runs
// beside the heartbeats, which go on while the table does not answer.
type candidacy struct {
	runner *Runner
}

func (c *candidacy) run() error {
	r := c.runner
	defer r.setTaking(false)
	sent := r.config.Now()
	loaded, err := c.take(r.tomb.Context(context.Background()))
	if err != nil {
		r.mu.Lock()
		r.follower.AcquireFailed(r.config.Now())
		r.mu.Unlock()
		return nil
	}
	c.own(sent, loaded)
	return nil
}

// take writes the ownership row and reads the cell.
func (c *candidacy) take(ctx context.Context) (kqcell.Snapshot, error) {
	r := c.runner
	r.mu.Lock()
	row, version := r.follower.NextOwnership(kqcell.OwnershipRow{Owner: r.config.Self, Boot: r.config.Boot,
		Address: r.config.Address, WriteID: kqtable.NewWriteID()})
	r.mu.Unlock()
	key := kqcell.OwnershipKey(r.config.Cell)
	o, err := r.resolver.Commit(ctx, kqtable.Transaction{
		Conditions: []kqtable.Condition{{Key: key, Version: version}},
		Writes:     []kqtable.Write{{Key: key, Value: kqtable.Encode(row)}}}, key)
	if err != nil {
		return kqcell.Snapshot{}, err
	}
	if !o.Committed {
		return kqcell.Snapshot{}, kqcell.NotOwnerError(r.config.Cell)
	}
	loaded, err := load(ctx, r.config.Table, r.config.Cell)
	loaded.Ownership, loaded.OwnershipVersion = row, o.Version
	return loaded, err
}

// own begins to act as the owner.
func (c *candidacy) own(taken time.Time, l kqcell.Snapshot) {
	r, s := c.runner, c.runner.config
	cell := kqcell.New(taken, kqcell.Config{ID: s.Cell, Owner: s.Self, Boot: s.Boot, Address: s.Address, Quota: s.Quota,
		Interference: s.Interference, Events: s.Events, Counter: s.Counter, NewWriteID: kqtable.NewWriteID}, l)
	now := s.Now()
	r.mu.Lock()
	r.cell = cell
	r.needFull = true
	r.follower.Acquired(now, l.Ownership, l.OwnershipVersion)
	r.mu.Unlock()
	s.Events.Emit(now, kqevent.OwnerTaken, kqevent.Process(s.Self), "%s with epoch %d: %d jobs, %d tasks, %s after the write",
		s.Cell, l.Ownership.Epoch, len(l.Jobs), len(l.Tasks), now.Sub(taken).Round(time.Millisecond))
	t := &tenure{runner: r, cell: cell}
	r.tomb.Go(t.run)
}
