package kqentry

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
)

// feasibility describes for a dry run whether the targets or the quota of a revision can
// be met with the workers and endpoints that are live.
func (e *Entry) feasibility(now time.Time, a kqconfig.Revision) string {
	if a.Quota != nil {
		return e.quotaFeasibility(now, *a.Quota)
	}
	switch a.Class.Kind {
	case kqmodel.KindLatencyCritical:
		return e.latencyFeasibility(*a.Class)
	case kqmodel.KindWatcher:
		return e.workerFeasibility(now, "a watcher is restarted on another worker within about 12 s of the loss of its worker")
	}
	return e.workerFeasibility(now, "jobs that run longer than the target, or wait for free capacity, will miss it")
}

// latencyFeasibility compares the latency target of a class with the tail latency of its
// ready endpoints.
func (e *Entry) latencyFeasibility(c kqmodel.ClassSpec) string {
	ready, meetingTarget := 0, 0
	for _, v := range e.router.Views() {
		for _, name := range v.Classes {
			if name != c.Name || v.State != "ready" {
				continue
			}
			ready++
			if v.TailSeconds <= c.Latency.Std().Seconds() {
				meetingTarget++
			}
		}
	}
	switch {
	case ready == 0:
		return "no endpoint of the class is ready"
	case meetingTarget == 0:
		return fmt.Sprintf("it cannot be met: on all %d endpoints the tail latency exceeds %s", ready, c.Latency)
	}
	return fmt.Sprintf("it can be met: on %d of %d endpoints the tail latency is within %s", meetingTarget, ready, c.Latency)
}

// workerFeasibility returns note, unless no worker is live.
func (e *Entry) workerFeasibility(now time.Time, note string) string {
	if _, ok := e.roster.MaxCapacity(now); !ok {
		return "no worker is live"
	}
	return note
}

// quotaFeasibility compares a quota with the total capacity of the live workers.
func (e *Entry) quotaFeasibility(now time.Time, q kqmodel.Quota) string {
	var total kqmodel.Resources
	for _, p := range e.roster.Live(now) {
		total = total.Add(p.Capacity)
	}
	if !q.Resources.FitsIn(total) {
		return fmt.Sprintf("the quota exceeds the total capacity of the live workers: %s", total)
	}
	return fmt.Sprintf("the total capacity of the live workers is %s", total)
}
