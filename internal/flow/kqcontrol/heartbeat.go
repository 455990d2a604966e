package kqcontrol

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// markConfirmed records that the store has confirmed the ownership by a request that was sent
// at sent. mu is held.
func (c *Controller) markConfirmed(sent time.Time) {
	if sent.After(c.confirmedAt) {
		c.confirmedAt = sent
	}
}

// heartbeater writes heartbeats, which also confirm the ownership.
type heartbeater struct{ controller *Controller }

func (b *heartbeater) loop() error {
	c := b.controller
	t := time.NewTicker(HeartbeatInterval)
	defer t.Stop()
	for {
		if c.heartbeatDue() {
			c.tomb.Go((&heartbeat{c}).run)
		}
		select {
		case <-c.tomb.Dying():
			return nil
		case <-t.C:
		}
	}
}

// heartbeatDue reports whether a heartbeat must be written: no recent commit has carried
// one, and another write may be sent. If so it counts the heartbeat as a write in flight.
func (c *Controller) heartbeatDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	if now.Sub(c.commitHeartbeatAt) < HeartbeatInterval/2 || !c.hasWriteSlot(now) {
		return false
	}
	c.writes.inFlight++
	return true
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDone()
	if err != nil {
		return nil
	}
	if o.Committed {
		c.markConfirmed(sent)
		return nil
	}
	c.loseOwnership(c.config.Now(), o)
	return nil
}
