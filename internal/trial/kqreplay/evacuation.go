package kqreplay

import (
	"fmt"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// Evacuation evacuates a zone for some time. The workers of the zone warm up afterwards.
type Evacuation struct {
	// Zone is the index of the zone.
	Zone int
	// Start is the time since the start of the replay.
	Start, Duration time.Duration
}

// EvacuationLoad returns a load of quick jobs and of long-running tasks that two of three zones can
// carry; one task of each long-running job may be unavailable. Zone 1 is evacuated for 6 s, and
// as soon as it has warmed up, zone 0 is evacuated for 34 s.
func EvacuationLoad() Load {
	return Load{Workers: 12, Cores: 36, ArrivalSpan: 70 * time.Second, Zones: 3, MaxUnavailable: 1, WarmUpTime: 8 * time.Second, WarmUpSlowdown: 2,
		Quick: JobDistribution{JobsPerSecond: 12, Steps: 1.6, TasksPerStep: 8, Cores: 1.2, TasksPerStepSpread: 0.6, CoresSpread: 0.3, RunTime: 800 * time.Millisecond, StepRunTimeSpread: 0.5, TaskRunTimeSpread: 0.3, EstimateError: 0.2, Value: 0.33},
		Watch: JobDistribution{TasksPerStep: 6, Cores: 2, TasksPerStepSpread: 0.3, CoresSpread: 0.2, Images: 3, Value: 1.6}, InitialWatchJobs: 5,
		ServingLoad: 0.48, ServingSwing: 0.5, ServingPeriod: 20 * time.Second, TargetFactor: 6,
		Evacuations: []Evacuation{{Zone: 1, Start: 8 * time.Second, Duration: 6 * time.Second}, {Zone: 0, Start: 22 * time.Second, Duration: 34 * time.Second}}}
}

// zoneOf returns the zone of the worker with the given index.
func (l Load) zoneOf(worker int) string {
	if l.Zones == 0 {
		return ""
	}
	return fmt.Sprintf("zone-%d", worker%l.Zones)
}

// workerInfo returns the description of a worker that its agent sends to the owner.
func (p *Replay) workerInfo(w *worker) kqplan.WorkerInfo {
	return kqplan.WorkerInfo{Worker: w.incarnation(), Service: service, Zone: w.zone, WarmUpLeft: max(0, w.warmUpUntil.Sub(p.now)),
		Capacity: kqmodel.Resources{MilliProcessors: int64(milliPerProcessor * p.config.Load.Cores), MemoryBytes: 128 << 30}}
}

// applyEvacuations starts and ends the evacuations of zones and the warm-up of workers.
func (p *Replay) applyEvacuations() {
	at := p.now.Sub(replayStart)
	var changes []kqevacuate.Change
	for _, e := range p.config.Load.Evacuations {
		zone := p.config.Load.zoneOf(e.Zone)
		switch {
		case at >= e.Start && at < e.Start+e.Duration:
			changes = append(changes, kqevacuate.Change{Zone: zone})
		case at >= e.Start+e.Duration && at-timeStep < e.Start+e.Duration:
			p.startWarmUp(zone)
		}
	}
	next := p.zones.Apply(p.now, p.version+1, true, changes)
	if !slices.Equal(next.Names(), p.zones.Names()) {
		p.planner.SetZones(p.now, next)
	}
	p.zones = next
	for _, w := range p.workers {
		if !w.warmUpUntil.IsZero() && !p.now.Before(w.warmUpUntil) {
			w.warmUpUntil, w.slowdown = time.Time{}, 1
		}
	}
}

// startWarmUp starts the warm-up of the workers of a zone, in which they are slow.
func (p *Replay) startWarmUp(zone string) {
	if p.config.Load.WarmUpTime == 0 {
		return
	}
	for _, w := range p.workers {
		if w.zone == zone {
			w.warmUpUntil, w.slowdown = p.now.Add(p.config.Load.WarmUpTime), p.config.Load.WarmUpSlowdown
			p.planner.UpdateWorker(p.now, w.name, p.workerInfo(w))
		}
	}
}
