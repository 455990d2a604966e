package kqcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
)

// EvacuationSource gives a process the evacuated zones and how current they are. The zero
// value has no zones.
type EvacuationSource struct {
	// Zones returns the evacuated zones as last read; may be nil.
	Zones func() kqevacuate.Zones
	// Read reads all requests from the store; may be nil.
	Read func(ctx context.Context) (kqevacuate.Notice, error)
	// KnownAt returns the time as of which Zones are known to be correct; may be nil.
	KnownAt func() time.Time
	// EvacuateWithin is the time within which a request must be obeyed; 0 means no limit.
	EvacuateWithin time.Duration
}

// isOutdated reports whether a request may exist that must be obeyed by now but has not
// reached this process.
func (e EvacuationSource) isOutdated(now time.Time) bool {
	return e.KnownAt != nil && kqevacuate.Outdated(now, e.KnownAt(), e.EvacuateWithin)
}

// age returns the maximum age of Zones; 0 if it is not known.
func (e EvacuationSource) age(now time.Time) time.Duration {
	if e.KnownAt == nil {
		return 0
	}
	return now.Sub(e.KnownAt())
}

// zonesRead is one read of the evacuation requests and its result.
type zonesRead struct {
	notice kqevacuate.Notice
	err    error
}

func (r *zonesRead) run(ctx context.Context, e EvacuationSource) {
	if e.Read != nil {
		r.notice, r.err = e.Read(ctx)
	}
}

// sendZones sends an agent the evacuated zones, once they are known.
func (x *Session) sendZones() {
	if z := x.controller.zones; z.Known() {
		n := z.Notice()
		x.send(kqmessage.FromOwner{Zones: &n})
	}
}

// changedZoneReport returns the report on the evacuated zones if it differs from the last
// one, otherwise nil. mu is held.
func (c *Controller) changedZoneReport(now time.Time) *kqevacuate.Report {
	statuses := c.planner.ZoneReport(now)
	if slices.Equal(statuses, c.zoneStatuses) {
		return nil
	}
	c.zoneStatuses = statuses
	return &kqevacuate.Report{Zones: statuses}
}

// EvacuationStatus returns the status of the evacuated zones as last published.
func (c *Controller) EvacuationStatus() []kqevacuate.ZoneStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zoneStatuses
}
