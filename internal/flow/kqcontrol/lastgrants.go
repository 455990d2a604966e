package kqcontrol

import (
	"maps"
	"math"
	"time"
)

const (
	// maxLastGrants limits the size of the LeasesRow. Hosts beyond it are counted from the next takeover.
	maxLastGrants = 200
	// lastGrantRetention is how long a last grant is kept. An owner that can write gives the runs of
	// the host up much sooner.
	lastGrantRetention = 2 * time.Minute
	// idleTime is the time without a grant after which a connected host seems to be lost: an agent
	// requests a lease twice in that time. At most one of maxIdleShare hosts may be idle at once.
	idleTime     = time.Second
	maxIdleShare = 4
)

// StoredTime is a time in the form in which processes tell it each other through the store. It is an upper
// bound on two clocks. A wait ends when it has passed on both, so that a clock that jumps or starts anew
// does not shorten the wait.
type StoredTime struct {
	// ClockMS is the store's clock, WallMS the time of day.
	ClockMS int64 `json:"clock"`
	WallMS  int64 `json:"wall"`
}

// clockResolution is added to a stored time: the store's clock and the times stored are cut to
// milliseconds.
const clockResolution = 2 * time.Millisecond

// storedTime converts a time of this process. Ok is false if the store reports no clock.
func (c *Controller) storedTime(at time.Time) (s StoredTime, ok bool) {
	clock, ok := c.config.TimedStore.ClockAt(at)
	wall := c.config.WallClock().Add(at.Sub(c.config.Now()))
	return StoredTime{ClockMS: (clock + clockResolution).Milliseconds(), WallMS: wall.Add(clockResolution).UnixMilli()}, ok
}

// maxStoredMS is the highest stored time that is used. A higher one would overflow.
const maxStoredMS = math.MaxInt64 / int64(time.Millisecond)

// localTime converts a stored time to an upper bound on the clock of this process. Ok is false if it is
// malformed or the store reports no clock.
func (c *Controller) localTime(s StoredTime) (at time.Time, ok bool) {
	if min(s.ClockMS, s.WallMS) <= 0 || max(s.ClockMS, s.WallMS) > maxStoredMS {
		return time.Time{}, false
	}
	at, ok = c.config.TimedStore.TimeOf(time.Duration(s.ClockMS) * time.Millisecond)
	byWall := c.config.Now().Add(time.UnixMilli(s.WallMS).Sub(c.config.WallClock()))
	if byWall.After(at) {
		at = byWall
	}
	return at, ok
}

// earlierOf returns a stored time on the clock of this process if it is before t, otherwise t.
func (c *Controller) earlierOf(t time.Time, s StoredTime) time.Time {
	if at, ok := c.localTime(s); ok && at.Before(t) {
		return at
	}
	return t
}

// beganAfter returns when the first known epoch after a given one began.
func (r LeasesRow) beganAfter(epoch uint64) (s StoredTime, ok bool) {
	first := uint64(0)
	for e := range r.Begins {
		if e > epoch && (first == 0 || e < first) {
			first = e
		}
	}
	return r.Begins[first], first != 0
}

// mayGrant reports whether the owner of an epoch that has stored the row may grant a host a lease.
func (r LeasesRow) mayGrant(host string, epoch uint64) bool {
	_, isBarred := r.LastGrants[host]
	return r.Hosts[host] == epoch && !isBarred
}

// lastGrant is the last lease that this owner has granted a host.
type lastGrant struct {
	// at is when it was granted; confirmedAt is from when on no lease was granted that ends later.
	at, confirmedAt time.Time
}

// leaseGranted records that a host is granted a lease, unless its duration is 0, for a confirmation of the
// ownership. The host may hold a longer one that an earlier owner granted before acquiredAt. mu is held.
func (c *Controller) leaseGranted(now time.Time, host string, d time.Duration, confirmedAt time.Time) {
	if confirmedAt.Before(c.leases.acquiredAt) {
		confirmedAt = c.leases.acquiredAt
	}
	if d > 0 {
		c.leases.granted[host] = lastGrant{now, confirmedAt}
	}
}

// silentHosts returns the hosts whose last grants are not stored and which seem to be lost: they are not
// connected, or the last requests of a few connected ones are missing. If those of many are, the owner or
// its network is slow. mu is held.
func (c *Controller) silentHosts(now time.Time) []string {
	l := &c.leases
	var lost, idle []string
	for host, g := range l.granted {
		switch {
		case l.pendingHosts[host]:
		case c.sessions[host] == nil:
			lost = append(lost, host)
		case now.Sub(g.at) >= idleTime:
			idle = append(idle, host)
		}
	}
	if len(idle) <= max(1, c.agentCount/maxIdleShare) {
		lost = append(lost, idle...)
	}
	return lost[:min(len(lost), max(0, maxLastGrants-len(l.row.LastGrants)))]
}

// nextLeasesRow returns the row to be stored now, and bars the hosts that it adds to the last grants from
// leases until a later row is stored. mu is held.
func (c *Controller) nextLeasesRow(now time.Time) LeasesRow {
	l := &c.leases
	row := l.row.withHosts(c.row.Epoch, l.pendingHosts)
	newest, ok := c.storedTime(now)
	if !ok {
		return row
	}
	if _, isKnown := row.Begins[c.row.Epoch]; !isKnown {
		row.Begins[c.row.Epoch], _ = c.storedTime(l.acquiredAt)
	}
	// An entry in the far future is from before the store's clock started anew.
	maps.DeleteFunc(row.LastGrants, func(_ string, s StoredTime) bool {
		return max(s.ClockMS-newest.ClockMS, newest.ClockMS-s.ClockMS) > lastGrantRetention.Milliseconds()
	})
	l.barred = c.silentHosts(now)
	for _, host := range l.barred {
		row.LastGrants[host], _ = c.storedTime(l.granted[host].confirmedAt)
		c.planner.WithholdLease(host)
	}
	return row
}

// lastGrantsDue reports whether the last grants of hosts should be stored. mu is held.
func (c *Controller) lastGrantsDue(now time.Time) bool {
	_, ok := c.storedTime(now)
	return ok && len(c.silentHosts(now)) > 0
}
