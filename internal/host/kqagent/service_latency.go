package kqagent

import (
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqdispatch"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqladder"
)

// baselineGrowth is the fraction by which a baseline grows at each measurement, so that it
// follows a lasting increase of a service's service time; 0.0005 is 0.05 %.
const baselineGrowth = 0.0005

// baseline is the shortest service time of a class measured on the host.
type baseline struct {
	shortest time.Duration
}

// slowdown updates the baseline with a service time and returns by how much the service time
// exceeds it; 0.1 is 10 %.
func (b *baseline) slowdown(t time.Duration) float64 {
	if b.shortest == 0 || t < b.shortest {
		b.shortest = t
	}
	b.shortest += time.Duration(float64(b.shortest) * baselineGrowth)
	return max(0, float64(t)/float64(b.shortest)-1)
}

// latencyMonitor compares the latencies of the services on the host with their targets and
// with their baselines.
type latencyMonitor struct {
	dispatcher *kqdispatch.Dispatcher
	class      func(name string) (kqmodel.ClassSpec, bool)

	mu        sync.Mutex
	baselines map[string]*baseline
}

// serviceLatencies returns the latency of each latency-critical class on the host.
func (m *latencyMonitor) serviceLatencies(now time.Time) []kqladder.ServiceLatency {
	var out []kqladder.ServiceLatency
	for _, e := range m.dispatcher.Views() {
		for _, c := range e.Classes {
			spec, ok := m.class(c)
			if !ok || spec.Kind != kqmodel.KindLatencyCritical {
				continue
			}
			l := m.dispatcher.Latency(now, c, spec.Percentile)
			out = append(out, kqladder.ServiceLatency{Class: c, Latency: l.AtPercentile, Target: spec.Latency.Std(), Calls: l.Calls})
		}
	}
	return out
}

// serviceReports returns the slowdown of each latency-critical class on the host and whether
// it misses its target.
func (m *latencyMonitor) serviceReports(now time.Time) []kqcell.ServiceReport {
	serviceTimes := map[string]time.Duration{}
	for _, e := range m.dispatcher.Views() {
		for _, c := range e.Classes {
			serviceTimes[c] = e.Load.ServiceTime
		}
	}
	var out []kqcell.ServiceReport
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.serviceLatencies(now) {
		b := m.baselines[s.Class]
		if b == nil {
			b = &baseline{}
			m.baselines[s.Class] = b
		}
		r := kqcell.ServiceReport{Class: s.Class, MissesTarget: s.MissesTarget(), Calls: int(s.Calls)}
		if s.Calls > 0 {
			r.Slowdown = b.slowdown(serviceTimes[s.Class])
		}
		out = append(out, r)
	}
	return out
}
