package kqcontrol

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// confirm notes that the ownership stood at a time; mu is held.
func (c *Controller) confirm(sent time.Time) {
	if sent.After(c.confirmedAt) {
		c.confirmedAt = sent
	}
}

// beater confirms the ownership.
type beater struct{ controller *Controller }

func (b *beater) loop() error {
	c := b.controller
	t := time.NewTicker(HeartbeatInterval)
	defer t.Stop()
	for {
		if c.beatDue() {
			c.tomb.Go((&beat{c}).run)
		}
		select {
		case <-c.tomb.Dying():
			return nil
		case <-t.C:
		}
	}
}

// beatDue reports whether no commit has moved the beat of late, and takes the beat's
// place among the writes.
func (c *Controller) beatDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	if now.Sub(c.beatenAt) < HeartbeatInterval/2 || !c.hasSlot(now) {
		return false
	}
	c.writes.inFlight++
	return true
}

// beatPut moves the beat, by which others see that the owner is alive.
func (c *Controller) beatPut() kqrows.Put {
	return kqrows.Put{Key: HeartbeatKey(c.config.Cell), Value: kqtable.Encode(beatRow{c.row.Epoch, c.beats.Add(1)})}
}

// beat is one confirmation under way.
type beat struct{ controller *Controller }

type beatRow struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
}

func (b *beat) run() error {
	c := b.controller
	ctx, cancel := c.config.Timed.Bound(c.tomb.Context(context.Background()), beatTimeout)
	defer cancel()
	sent := c.config.Now()
	o, err := c.config.Store.Transact(ctx, kqrows.Tx{
		Expected: []kqrows.Expect{{Key: OwnerKey(c.config.Cell), Version: c.version}},
		Puts:     []kqrows.Put{c.beatPut()}})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended()
	if err != nil {
		return nil
	}
	if o.Committed {
		c.confirm(sent)
		return nil
	}
	c.rejected(c.config.Now(), o)
	return nil
}
