package kqcontrol

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// hungLeaseShare is the share of a lease, as its denominator, after which an owner that makes no progress
// writes no heartbeats any more: it grants no leases either, and a successor needs the rest of the lease.
const hungLeaseShare = 2

// heartbeater writes heartbeats, which also confirm the ownership.
type heartbeater struct{ controller *Controller }

func (b *heartbeater) loop() error {
	c := b.controller
	t := time.NewTicker(HeartbeatInterval)
	defer t.Stop()
	for {
		now := c.config.Now()
		if c.confirmation.heartbeatDue(now) && !c.confirmation.isHung(now, c.config.Lease/hungLeaseShare) && c.confirmation.takeSlot(c.config.TimedStore.Latency.IsSlow(now)) {
			c.tomb.Go((&heartbeat{c}).run)
		}
		select {
		case <-c.tomb.Dying():
			return nil
		case <-t.C:
		}
	}
}

// heartbeatPut returns the write of the next heartbeat, by which other processes see that
// the owner is alive.
func (c *Controller) heartbeatPut() kqrows.Put {
	return kqrows.Put{Key: HeartbeatKey(c.config.Cell), Value: kqtable.Encode(heartbeatRow{c.row.Epoch, c.heartbeats.Add(1)})}
}

// heartbeat is one write of the heartbeat row.
type heartbeat struct{ controller *Controller }

// heartbeatRow is the stored form of a heartbeat. Number makes each one different.
type heartbeatRow struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
}

func (b *heartbeat) run() error {
	c := b.controller
	ctx, cancel := c.config.TimedStore.WithTimeout(c.tomb.Context(context.Background()), heartbeatTimeout)
	defer cancel()
	sent := c.config.Now()
	o, err := c.config.Store.Transact(ctx, kqrows.Tx{
		Conditions: []kqrows.Condition{{Key: OwnerKey(c.config.Cell), Version: c.version}},
		Puts:       []kqrows.Put{c.heartbeatPut()}})
	c.confirmation.writeAnswered()
	c.slotFreed()
	if err != nil {
		return nil
	}
	if o.Committed {
		c.confirmation.confirmed(sent)
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseOwnership(c.config.Now(), o)
	return nil
}
