package kqexecutor

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// SetZones takes over the evacuated zones as this process has read them.
func (x *Executor) SetZones(z kqevacuate.Zones) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.takeZones(z.Notice())
}

// takeZones takes over zones unless what is known is as new; mu is held.
func (x *Executor) takeZones(n kqevacuate.Notice) {
	x.zones, _ = x.zones.ApplyNotice(x.config.Now(), n)
}

// confirmZones takes over from an answer of the owner as of when its word on zones is
// right, counted from the question since the answer may have waited; mu is held.
// Questions before it are not answered any more.
func (x *Executor) confirmZones(g kqmessage.Grant) {
	if asked, ok := x.askedAt[g.LeaseRequest]; ok && asked.Add(-g.ZonesAge).After(x.toldAt) {
		x.toldAt = asked.Add(-g.ZonesAge)
	}
	for n := range x.askedAt {
		if n <= g.LeaseRequest {
			delete(x.askedAt, n)
		}
	}
}

// zonesOutdated reports whether neither the store nor the owner has said of late which
// zones are evacuated, as after a suspension: then nothing is started; mu is held.
func (x *Executor) zonesOutdated() bool {
	if x.config.ZonesKnownAt == nil {
		return false
	}
	knownAt := x.config.ZonesKnownAt()
	if x.toldAt.After(knownAt) {
		knownAt = x.toldAt
	}
	return kqevacuate.Outdated(x.config.Now(), knownAt, x.config.EvacuateWithin)
}

// evacuated reports whether the start is not to be sent since the worker's zone is
// evacuated: begun if the worker lists the run, which then goes on without another
// start, refused if it does not; mu is held.
func (d *delivery) evacuated() (begun, refused bool) {
	x := d.executor
	switch {
	case !x.zones.Has(x.info.Zone):
		return false, false
	case x.listed[d.order]:
		d.entry.delivery = nil
		return true, false
	}
	x.config.Events.Emit(x.config.Now(), kqevent.OrderRefused, kqevent.Task(d.order.Task), "start of run %d on %s: zone %s is evacuated, %d tries were not answered",
		d.order.Number, d.name, x.info.Zone, d.tries)
	return false, true
}

// coldChange is the least change of when a worker is warm that is worth telling.
const coldChange = time.Second

// takeCold takes over for how long a worker is slow, and reports whether the owner is to
// be told: check-ins that count down say nothing new; mu is held.
func (x *Executor) takeCold(w kqplan.WorkerInfo) bool {
	now := x.config.Now()
	till := now.Add(w.WarmUpLeft)
	if d := till.Sub(x.coldTill); w.WarmUpLeft <= 0 && !x.coldTill.After(now) || d < coldChange && d > -coldChange {
		return false
	}
	x.coldTill = till
	return true
}
