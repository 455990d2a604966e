package kqagent

import (
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqdispatch"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqladder"
)

// baselineDrift is the share by which a baseline rises at each measurement, so
// that a lasting change of a service is learned.
const baselineDrift = 0.0005

// baseline is the shortest service time of a class seen on the host.
type baseline struct {
	shortest time.Duration
}

// slowdown returns by how much a service time is above the baseline.
func (b *baseline) slowdown(t time.Duration) float64 {
	if b.shortest == 0 || t < b.shortest {
		b.shortest = t
	}
	b.shortest += time.Duration(float64(b.shortest) * baselineDrift)
	return max(0, float64(t)/float64(b.shortest)-1)
}

// pressure measures how the services on the host do against their targets.
type pressure struct {
	dispatcher *kqdispatch.Dispatcher
	class      func(name string) (kqmodel.ClassSpec, bool)

	mu        sync.Mutex
	baselines map[string]*baseline
}

// services measures each latency-critical class on the host.
func (p *pressure) services(now time.Time) []kqladder.ServiceLatency {
	var out []kqladder.ServiceLatency
	for _, e := range p.dispatcher.Views() {
		for _, c := range e.Classes {
			spec, ok := p.class(c)
			if !ok || spec.Kind != kqmodel.KindLatencyCritical {
				continue
			}
			l := p.dispatcher.Latency(now, c, spec.Percentile)
			out = append(out, kqladder.ServiceLatency{Class: c, Latency: l.AtPercentile, Target: spec.Latency.Std(), Calls: l.Calls})
		}
	}
	return out
}

// pressures measures the slowdown of each latency-critical class on the host.
func (p *pressure) pressures(now time.Time) []kqcell.ServiceReport {
	loads := map[string]time.Duration{}
	for _, e := range p.dispatcher.Views() {
		for _, c := range e.Classes {
			loads[c] = e.Load.ServiceTime
		}
	}
	var out []kqcell.ServiceReport
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services(now) {
		b := p.baselines[s.Class]
		if b == nil {
			b = &baseline{}
			p.baselines[s.Class] = b
		}
		x := kqcell.ServiceReport{Class: s.Class, MissesTarget: s.MissesTarget(), Calls: int(s.Calls)}
		if s.Calls > 0 {
			x.Slowdown = b.slowdown(loads[s.Class])
		}
		out = append(out, x)
	}
	return out
}
