package kqcontrol

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
)

const (
	// feedAge is after how long without an answer of the feed nothing is started:
	// a job may have been cancelled since. An answer of a slow store is added, up to
	// mostFeedAge: with the commit of a start a cancelled job still starts nothing
	// 4 s later.
	feedAge     = 2 * time.Second
	mostFeedAge = 2400 * time.Millisecond
)

// staleAge is after how long without a confirmation an owner sends the entries
// away, so that they look for another, while the store answers as usual.
const staleAge = 1500 * time.Millisecond

// Stale reports whether the store has not confirmed the ownership of late.
func (c *Controller) Stale(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stale(now)
}

func (c *Controller) stale(now time.Time) bool {
	return now.Sub(c.confirmedAt) > c.config.Timed.Speed.Limit(staleAge)
}

// isFed reports whether the feed has been heard of late.
func (c *Controller) isFed(now time.Time) bool {
	return now.Sub(c.fedAt) <= min(mostFeedAge, feedAge+c.config.Timed.Speed.Answer())
}

// sendAway ends the sessions of entries; mu is held.
func (c *Controller) sendAway() {
	for _, s := range c.sessions {
		if s.hello.Role == kqmessage.RoleEntry {
			s.stream.Close()
		}
	}
}
