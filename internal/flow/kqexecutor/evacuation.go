package kqexecutor

import (
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
)

// SetZones takes over the evacuated zones as this process has read them.
func (x *Executor) SetZones(z kqevacuate.Zones) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.takeZones(z.Notice())
}

// takeZones takes over zones unless what is known is as new; mu is held.
func (x *Executor) takeZones(n kqevacuate.Notice) {
	x.zones, _ = x.zones.Heard(x.config.Now(), n)
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
