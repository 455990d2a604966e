package kqreplay

import (
	"fmt"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// Evacuation evacuates a zone for a while. Its workers are cold when it is returned.
type Evacuation struct {
	// Zone is its index, From when it begins, For how long it lasts.
	Zone      int
	From, For time.Duration
}

// Evacuated is a load of quick jobs, and of tasks that stay of which one may be away,
// that two of three zones can carry. A zone is evacuated for a short time and, at once
// with another that comes back cold, for a long one.
func Evacuated() Load {
	return Load{Workers: 12, Cores: 36, Span: 70 * time.Second, Zones: 3, MayMiss: 1, ColdFor: 8 * time.Second, ColdFactor: 2,
		Quick: Shape{PerSecond: 12, Steps: 1.6, Width: 8, Cores: 1.2, WidthSpread: 0.6, CoresSpread: 0.3, Length: 800 * time.Millisecond, Spread: 0.5, Uneven: 0.3, EstimateError: 0.2, Worth: 0.33},
		Watch: Shape{Width: 6, Cores: 2, WidthSpread: 0.3, CoresSpread: 0.2, Images: 3, Worth: 1.6}, WatchJobs: 5,
		ServingLoad: 0.48, Swing: 0.5, SwingTime: 20 * time.Second, TargetFactor: 6,
		Evacuations: []Evacuation{{Zone: 1, From: 8 * time.Second, For: 6 * time.Second}, {Zone: 0, From: 22 * time.Second, For: 34 * time.Second}}}
}

// zone returns the zone of a worker.
func (l Load) zone(worker int) string {
	if l.Zones == 0 {
		return ""
	}
	return fmt.Sprintf("zone-%d", worker%l.Zones)
}

// info is what the agent of a worker says of it.
func (p *Replay) info(w *worker) kqplan.WorkerInfo {
	return kqplan.WorkerInfo{Worker: w.incarnation(), Service: service, Zone: w.zone, WarmUpLeft: max(0, w.coldTill.Sub(p.now)),
		Capacity: kqmodel.Resources{MilliProcessors: int64(milli * p.config.Load.Cores), MemoryBytes: 128 << 30}}
}

// evacuate begins and ends evacuations, and the cold time of workers.
func (p *Replay) evacuate() {
	at := p.now.Sub(epoch)
	var changes []kqevacuate.Change
	for _, e := range p.config.Load.Evacuations {
		zone := p.config.Load.zone(e.Zone)
		switch {
		case at >= e.From && at < e.From+e.For:
			changes = append(changes, kqevacuate.Change{Zone: zone})
		case at >= e.From+e.For && at-stepTime < e.From+e.For:
			p.cool(zone)
		}
	}
	next := p.zones.Apply(p.now, p.version+1, true, changes)
	if !slices.Equal(next.Names(), p.zones.Names()) {
		p.planner.SetZones(p.now, next)
	}
	p.zones = next
	for _, w := range p.workers {
		if !w.coldTill.IsZero() && !p.now.Before(w.coldTill) {
			w.coldTill, w.slow = time.Time{}, 1
		}
	}
}

// cool makes the workers of a zone cold.
func (p *Replay) cool(zone string) {
	if p.config.Load.ColdFor == 0 {
		return
	}
	for _, w := range p.workers {
		if w.zone == zone {
			w.coldTill, w.slow = p.now.Add(p.config.Load.ColdFor), p.config.Load.ColdFactor
			p.planner.UpdateWorker(p.now, w.name, p.info(w))
		}
	}
}
