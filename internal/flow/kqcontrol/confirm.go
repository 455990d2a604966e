package kqcontrol

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

const (
	// lookInterval is the least time between two reads of the ownership.
	lookInterval = 200 * time.Millisecond
	lookTick     = 50 * time.Millisecond
	lookTimeout  = time.Second
	// lateWrite is after how long without an answer a write is not relied on to
	// confirm the ownership.
	lateWrite = 100 * time.Millisecond
)

// confirmer confirms the ownership by reads while writes do not: they wait for each
// other in the store, reads do not.
type confirmer struct {
	controller *Controller
	lookedAt   time.Time
}

func (f *confirmer) loop() error {
	c := f.controller
	t := time.NewTicker(lookTick)
	defer t.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-t.C:
		}
		if now := c.config.Now(); f.due(now) {
			f.lookedAt = now
			c.tomb.Go((&look{c}).run)
		}
	}
}

// due reports whether the ownership is to be read. It never is while writes are
// answered as usual: heartbeats and commits confirm it at least each 1.5 heartbeat
// intervals then.
func (f *confirmer) due(now time.Time) bool {
	c := f.controller
	if now.Sub(f.lookedAt) < lookInterval {
		return false
	}
	c.mu.Lock()
	age := now.Sub(c.confirmedAt)
	c.mu.Unlock()
	speed := c.config.Timed.Speed
	isLate := speed.Oldest(now, kqrows.KindWrite) >= lateWrite || speed.Slow(now)
	return age >= 2*HeartbeatInterval || age >= HeartbeatInterval/2 && isLate
}

// look is one read of the ownership.
type look struct{ controller *Controller }

// run confirms the ownership as of when the read was sent: reads are linearizable, and
// the row changes only as the cell is taken or handed over.
func (l *look) run() error {
	c := l.controller
	ctx, cancel := c.config.Timed.Bound(c.tomb.Context(context.Background()), lookTimeout)
	defer cancel()
	sent := c.config.Now()
	key := OwnerKey(c.config.Cell)
	rows, _, err := c.config.Store.Read(ctx, key.Table, key.Name, RangeEnd(key.Name))
	if err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(rows) == 1 && rows[0].Version == c.version {
		c.confirm(sent)
		c.pulse.looked()
		return nil
	}
	c.config.Events.Emit(c.config.Now(), kqevent.OwnerLost, kqevent.Process(c.config.Name), "%s with epoch %d: the row was changed, as a read shows", c.config.Cell, c.row.Epoch)
	c.end()
	return nil
}
