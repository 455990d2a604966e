package kqowner

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// acquisition is one attempt to acquire the ownership and to load the cell. It runs in its
// own goroutine, so that heartbeats continue while the table does not answer.
type acquisition struct {
	runner *Runner
}

func (a *acquisition) run() error {
	r := a.runner
	defer r.setAcquiring(false)
	sent := r.config.Now()
	loaded, err := a.acquire(r.tomb.Context(context.Background()))
	if err != nil {
		r.mu.Lock()
		r.follower.AcquireFailed(r.config.Now())
		r.mu.Unlock()
		return nil
	}
	a.startOwning(sent, loaded)
	return nil
}

// acquire writes the ownership row and reads the state of the cell.
func (a *acquisition) acquire(ctx context.Context) (kqcell.Snapshot, error) {
	r := a.runner
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
	loaded, err := loadSnapshot(ctx, r.config.Table, r.config.Cell, kqtable.LogUnreadable(r.config.Events, r.config.Now))
	loaded.Ownership, loaded.OwnershipVersion = row, o.Version
	return loaded, err
}

// startOwning creates the cell's state and starts to act as the owner.
func (a *acquisition) startOwning(acquiredAt time.Time, snapshot kqcell.Snapshot) {
	r, s := a.runner, a.runner.config
	cell := kqcell.New(acquiredAt, kqcell.Config{ID: s.Cell, Owner: s.Self, Boot: s.Boot, Address: s.Address, Quota: s.Quota,
		Interference: s.Interference, Events: s.Events, Counter: s.Counter, NewWriteID: kqtable.NewWriteID}, snapshot)
	now := s.Now()
	r.mu.Lock()
	r.cell = cell
	r.needComplete = true
	r.follower.Acquired(now, snapshot.Ownership, snapshot.OwnershipVersion)
	r.mu.Unlock()
	s.Events.Emit(now, kqevent.OwnershipAcquired, kqevent.Process(s.Self), "acquired %s with epoch %d: %d jobs, %d tasks, loaded %s after the write",
		s.Cell, snapshot.Ownership.Epoch, len(snapshot.Jobs), len(snapshot.Tasks), now.Sub(acquiredAt).Round(time.Millisecond))
	ow := &ownership{runner: r, cell: cell}
	r.tomb.Go(ow.run)
}
