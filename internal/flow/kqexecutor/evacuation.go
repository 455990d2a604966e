package kqexecutor

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// SetZones applies the evacuated zones that this process has read from the store.
func (x *Executor) SetZones(z kqevacuate.Zones) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.applyZones(z.Notice())
}

// applyZones applies a notice unless the known zones are as new or newer; mu is held.
func (x *Executor) applyZones(n kqevacuate.Notice) {
	x.zones, _ = x.zones.ApplyNotice(x.config.Now(), n)
}

// confirmZones updates the time as of which the owner knows the evacuated zones. The age in
// the grant is subtracted from when the lease request was sent, since the grant may have been
// delayed. Earlier requests are dropped: they will not be answered any more. mu is held.
func (x *Executor) confirmZones(g kqmessage.Grant) {
	if requested, ok := x.requestTimes[g.LeaseRequest]; ok && requested.Add(-g.ZonesAge).After(x.ownerZonesAt) {
		x.ownerZonesAt = requested.Add(-g.ZonesAge)
	}
	for n := range x.requestTimes {
		if n <= g.LeaseRequest {
			delete(x.requestTimes, n)
		}
	}
}

// zonesOutdated reports whether neither the store nor the owner has confirmed the evacuated
// zones recently, for example after this process was suspended. No run may be started then.
// mu is held.
func (x *Executor) zonesOutdated() bool {
	if x.config.ZonesKnownAt == nil {
		return false
	}
	knownAt := x.config.ZonesKnownAt()
	if x.ownerZonesAt.After(knownAt) {
		knownAt = x.ownerZonesAt
	}
	return kqevacuate.Outdated(x.config.Now(), knownAt, x.config.EvacuateWithin)
}

// evacuated reports whether the start must not be sent because the worker's zone is evacuated:
// started is true if the worker lists the run, which then continues without another start
// call, and refused is true if it does not. mu is held.
func (s *orderSender) evacuated() (started, refused bool) {
	x := s.executor
	switch {
	case !x.zones.Has(x.info.Zone):
		return false, false
	case x.listed[s.run]:
		s.execution.sender = nil
		return true, false
	}
	x.config.Events.Emit(x.config.Now(), kqevent.OrderRefused, kqevent.Task(s.run.Task), "start of run %d on %s refused: zone %s is evacuated, %d attempts are unanswered",
		s.run.Number, s.incarnation, x.info.Zone, s.attempts)
	return false, true
}

// minWarmUpChange is the smallest change of the end of a worker's warm-up that is reported.
const minWarmUpChange = time.Second

// updateWarmUp updates the end of the worker's warm-up and reports whether to notify the
// owner. A check-in whose remaining time has only counted down changes nothing. mu is held.
func (x *Executor) updateWarmUp(w kqplan.WorkerInfo) bool {
	now := x.config.Now()
	until := now.Add(w.WarmUpLeft)
	if change := until.Sub(x.warmUpUntil); w.WarmUpLeft <= 0 && !x.warmUpUntil.After(now) || change < minWarmUpChange && change > -minWarmUpChange {
		return false
	}
	x.warmUpUntil = until
	return true
}
