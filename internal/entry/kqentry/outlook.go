package kqentry

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
)

// outlook says whether a target can be met with what is there.
func (e *Entry) outlook(now time.Time, a kqconfig.Revision) string {
	if a.Quota != nil {
		return e.quotaOutlook(now, *a.Quota)
	}
	switch a.Class.Kind {
	case kqmodel.KindLatencyCritical:
		return e.latencyOutlook(*a.Class)
	case kqmodel.KindWatcher:
		return e.workerOutlook(now, "a watcher is started elsewhere within about 12 s of its worker's loss")
	}
	return e.workerOutlook(now, "jobs that are longer than the target, or wait for room, will miss it")
}

// latencyOutlook compares a target with what the endpoints take now.
func (e *Entry) latencyOutlook(c kqmodel.ClassSpec) string {
	ready, within := 0, 0
	for _, v := range e.caller.Views() {
		for _, name := range v.Classes {
			if name != c.Name || v.State != "ready" {
				continue
			}
			ready++
			if v.TailSeconds <= c.Latency.Std().Seconds() {
				within++
			}
		}
	}
	switch {
	case ready == 0:
		return "no endpoint of the class is announced"
	case within == 0:
		return fmt.Sprintf("it cannot be met: on each of %d endpoints few calls end within %s", ready, c.Latency)
	}
	return fmt.Sprintf("it can be met: on %d of %d endpoints all but few calls end within %s", within, ready, c.Latency)
}

func (e *Entry) workerOutlook(now time.Time, note string) string {
	if _, ok := e.roster.MaxCapacity(now); !ok {
		return "no worker is live"
	}
	return note
}

// quotaOutlook compares a quota with what all workers have.
func (e *Entry) quotaOutlook(now time.Time, q kqmodel.Quota) string {
	var sum kqmodel.Resources
	for _, p := range e.roster.Live(now) {
		sum = sum.Add(p.Capacity)
	}
	if !q.Resources.Fits(sum) {
		return fmt.Sprintf("it is more than all workers have together: %s", sum)
	}
	return fmt.Sprintf("all workers have together %s", sum)
}
