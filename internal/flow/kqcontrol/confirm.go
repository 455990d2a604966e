package kqcontrol

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

const (
	// confirmReadInterval is the minimum time between two reads of the ownership.
	confirmReadInterval = 200 * time.Millisecond
	confirmTick         = 50 * time.Millisecond
	confirmReadTimeout  = time.Second
	// lateWriteAge is the age from which a write without an answer is not relied on to
	// confirm the ownership.
	lateWriteAge = 100 * time.Millisecond
)

// confirmer confirms the ownership by reads while writes do not confirm it in time: in the
// store writes queue behind each other, reads do not.
type confirmer struct {
	controller *Controller
	lastReadAt time.Time
}

func (f *confirmer) loop() error {
	c := f.controller
	t := time.NewTicker(confirmTick)
	defer t.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-t.C:
		}
		if now := c.config.Now(); f.due(now) {
			f.lastReadAt = now
			c.tomb.Go((&confirmingRead{c}).run)
		}
	}
}

// due reports whether the ownership should be read now. No reads are due while writes are
// answered as usual: heartbeats and commits then confirm the ownership at least every 1.5
// heartbeat intervals.
func (f *confirmer) due(now time.Time) bool {
	c := f.controller
	if now.Sub(f.lastReadAt) < confirmReadInterval {
		return false
	}
	age := c.confirmation.age(now)
	latency := c.config.TimedStore.Latency
	isLate := latency.OldestInFlight(now, kqrows.KindWrite) >= lateWriteAge || latency.IsSlow(now)
	return age >= 2*HeartbeatInterval || age >= HeartbeatInterval/2 && isLate
}

// confirmingRead is one read of the ownership row.
type confirmingRead struct{ controller *Controller }

// run confirms the ownership as of the time at which the read was sent: reads are
// linearizable, and the row changes only when the cell is acquired or handed over. If the
// row has changed, it stops the controller.
func (r *confirmingRead) run() error {
	c := r.controller
	ctx, cancel := c.config.TimedStore.WithTimeout(c.tomb.Context(context.Background()), confirmReadTimeout)
	defer cancel()
	sent := c.config.Now()
	key := OwnerKey(c.config.Cell)
	rows, _, err := c.config.Store.Read(ctx, key.Table, key.Name, RangeEnd(key.Name))
	if err != nil {
		return nil
	}
	isOwner := len(rows) == 1 && rows[0].Version == c.version
	if isOwner {
		c.confirmation.confirmed(sent)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if isOwner {
		c.stats.readConfirmed()
		return nil
	}
	c.config.Events.Emit(c.config.Now(), kqevent.OwnershipLost, kqevent.Process(c.config.Name), "cell %s, epoch %d: a read found that the ownership row was changed", c.config.Cell, c.row.Epoch)
	c.stop()
	return nil
}
