package kqcontrol

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
)

const (
	// feedAge is the time without an answer of the submission feed after which nothing is
	// started, since a job may have been cancelled meanwhile. The response time of the
	// store is added, up to maxFeedAge in total: including the commit of a start, a
	// cancelled job then still starts nothing 4 s after its cancellation.
	feedAge    = 2 * time.Second
	maxFeedAge = 2400 * time.Millisecond
)

// staleAge is the time without a confirmation after which an owner disconnects the entries,
// so that they look for another owner. It is extended while the store is slow.
const staleAge = 1500 * time.Millisecond

// Stale reports whether the store has not confirmed the ownership recently.
func (c *Controller) Stale(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isStale(now)
}

// isStale is Stale with mu held.
func (c *Controller) isStale(now time.Time) bool {
	return c.confirmation.age(now) > c.config.TimedStore.Latency.Timeout(staleAge)
}

// isFeedCurrent reports whether the submission feed has answered recently; mu is held.
func (c *Controller) isFeedCurrent(now time.Time) bool {
	return now.Sub(c.lastFeedAt) <= min(maxFeedAge, feedAge+c.config.TimedStore.Latency.ResponseTime())
}

// disconnectEntries closes the streams of all entries; mu is held.
func (c *Controller) disconnectEntries() {
	for _, s := range c.sessions {
		if s.hello.Role == kqmessage.RoleEntry {
			s.stream.Close()
		}
	}
}
