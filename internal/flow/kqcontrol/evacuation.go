package kqcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
)

// Evacuation is how a process knows which zones are evacuated; the zero value
// knows none.
type EvacuationSource struct {
	// Zones returns the zones as this process has last heard of them; may be nil.
	Zones func() kqevacuate.Zones
	// Read reads all requests from the store; may be nil.
	Read func(ctx context.Context) (kqevacuate.Notice, error)
	// KnownAt returns as of when Zones are known to be right; may be nil.
	KnownAt func() time.Time
	// Bound is the time after which a request must be obeyed; 0 if there is no bound.
	EvacuateWithin time.Duration
}

// outdated reports whether a request may exist that must be obeyed by now and that
// this process has not heard of.
func (e EvacuationSource) outdated(now time.Time) bool {
	return e.KnownAt != nil && kqevacuate.Outdated(now, e.KnownAt(), e.EvacuateWithin)
}

// age returns how old Zones may be; 0 if that is not known.
func (e EvacuationSource) age(now time.Time) time.Duration {
	if e.KnownAt == nil {
		return 0
	}
	return now.Sub(e.KnownAt())
}

// zonesReading is one read of the requests.
type zonesReading struct {
	notice kqevacuate.Notice
	err    error
}

func (r *zonesReading) run(ctx context.Context, e EvacuationSource) {
	if e.Read != nil {
		r.notice, r.err = e.Read(ctx)
	}
}

// loadZones takes over the requests as read along with what earlier owners left.
func (c *Controller) loadZones(now time.Time, r zonesReading) {
	if f := c.config.Evacuation.Zones; f != nil {
		c.zones = f()
	}
	c.zones, _ = c.zones.ApplyNotice(now, r.notice)
	c.planner.SetZones(now, c.zones)
}

// SetZones takes over the zones that are evacuated, and tells the agents: one that
// is cut off from the store hears of them only so.
func (c *Controller) SetZones(z kqevacuate.Zones) {
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	zones, changed := c.zones.ApplyNotice(now, z.Notice())
	if !changed {
		return
	}
	c.zones = zones
	c.planner.SetZones(now, zones)
	for _, s := range c.sessions {
		if s.hello.Role == kqmessage.RoleAgent {
			s.sendZones()
		}
	}
	c.wake()
}

// sendZones tells an agent which zones are evacuated, if that is known.
func (x *Session) sendZones() {
	if z := x.controller.zones; z.Known() {
		n := z.Notice()
		x.send(kqmessage.FromOwner{Zones: &n})
	}
}

// zoneReport returns what is left in evacuated zones if that has changed; mu is held.
func (c *Controller) zoneReport(now time.Time) *kqevacuate.Report {
	left := c.planner.ZoneReport(now)
	if slices.Equal(left, c.left) {
		return nil
	}
	c.left = left
	return &kqevacuate.Report{Zones: left}
}

// Left returns what was last told of evacuated zones.
func (c *Controller) EvacuationStatus() []kqevacuate.ZoneStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}
