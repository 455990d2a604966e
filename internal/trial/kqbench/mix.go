package kqbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqladder"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqhost"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqrig"
)

// Control is the method that limits the slowdown of services by colocated batch tasks.
type Control string

// Controls. All but ControlLearned are baselines.
const (
	// ControlLearned is the method of the scheduler: placement by learned interference, and
	// throttling by kqladder.
	ControlLearned Control = "learned"
	// ControlNone does not limit batch tasks.
	ControlNone Control = "none"
	// ControlHalving suspends half of the batch tasks of a host for a minute when its service
	// misses the latency target.
	ControlHalving Control = "static_halving"
)

// MixFigures holds the results of one control on a mix of interfering tasks.
type MixFigures struct {
	// Control is the method measured.
	Control Control `json:"control"`
	// TargetMetShare is the share of windows in which the service met its latency target.
	TargetMetShare float64 `json:"windows_met"`
	// ThroughputShare is the batch work done, divided by the work that ControlNone does in windows
	// in which the target is met.
	ThroughputShare float64 `json:"throughput_of_uncontrolled_good"`
	// Evictions is the mean number of evictions per run.
	Evictions float64 `json:"evictions"`
}

// Workload of the mix. In each window of mixWindow the latency of the service is mixBaseLatency times
// the slowdown by batch tasks, a load that varies by mixLoadAmplitude over mixLoadPeriod, and
// log-normal noise; mixNoiseStdDev is the standard deviation of its logarithm.
const (
	mixWorkers       = 11
	mixClass         = "service"
	mixBaseLatency   = 40 * time.Millisecond
	mixLatencyTarget = 60 * time.Millisecond
	mixWindow        = 2 * time.Second
	mixDuration      = 10 * time.Minute
	mixLoadAmplitude = 0.08
	mixLoadPeriod    = 4 * time.Minute
	mixNoiseStdDev   = 0.02
	mixWindowCalls   = 500
	mixTaskRunTime   = 40 * time.Second
	halvingDuration  = time.Minute
)

// mixFamilies holds how much one processor of each job family slows the service down.
var mixFamilies = map[string]kqhost.Behaviour{
	"quiet":  {Interference: map[string]float64{mixClass: 0.001}},
	"middle": {Interference: map[string]float64{mixClass: 0.006}},
	"noisy":  {Interference: map[string]float64{mixClass: 0.05}},
}

// mixHost simulates the service on one host.
type mixHost struct {
	node *kqrig.Node
	rng  *rand.Rand
	// latency is the latency of the service in the last window.
	latency time.Duration
	// missedAt is the last time at which the latency was over the target; kept by suspendHalf.
	missedAt time.Time
	// workDone is the batch work done on the host, in processor seconds.
	workDone float64
}

// mixBench is the state of one run of the mix. Work is in processor seconds.
type mixBench struct {
	rig          *kqrig.Rig
	control      Control
	hosts        []*mixHost
	goodWindows  int
	windowCount  int
	workDone     float64
	goodWorkDone float64
	jobCount     int
}

// measureMix runs each control with the same seeds, a tenth of the number given.
func measureMix(seeds int) []MixFigures {
	seeds = max(1, seeds/10)
	figures := map[Control]*MixFigures{}
	uncontrolledGoodWork := 0.0
	controls := []Control{ControlNone, ControlLearned, ControlHalving}
	for _, c := range controls {
		s := &MixFigures{Control: c}
		figures[c] = s
		for seed := range seeds {
			m := newMixBench(uint64(seed+1), c)
			m.run()
			s.TargetMetShare += float64(m.goodWindows) / float64(m.windowCount) / float64(seeds)
			s.ThroughputShare += m.workDone
			if c == ControlNone {
				uncontrolledGoodWork += m.goodWorkDone
			}
			s.Evictions += float64(m.rig.EvictionCount()) / float64(seeds)
		}
	}
	var out []MixFigures
	for _, c := range controls {
		s := figures[c]
		s.ThroughputShare /= uncontrolledGoodWork
		out = append(out, *s)
	}
	return out
}

func newMixBench(seed uint64, c Control) *mixBench {
	m := &mixBench{control: c, rig: kqrig.New(kqrig.Config{Seed: seed, Workers: mixWorkers, Interference: c == ControlLearned,
		Capacity: kqmodel.Resources{MilliProcessors: 32_000, MemoryBytes: 125_000_000_000}, Behaviours: mixFamilies})}
	for i, n := range m.rig.Nodes {
		h := &mixHost{node: n, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		m.hosts = append(m.hosts, h)
		n.ServiceReports = h.serviceReports
		switch c {
		case ControlLearned:
			n.ServiceLatencies = h.serviceLatencies
		case ControlHalving:
			n.ThrottleSettings = h.suspendHalf
		}
	}
	return m
}

// serviceLatencies returns the latency of the last window, as an agent measures it.
func (h *mixHost) serviceLatencies(time.Time) []kqladder.ServiceLatency {
	return []kqladder.ServiceLatency{{Class: mixClass, Latency: h.latency, Target: mixLatencyTarget, Calls: mixWindowCalls}}
}

// serviceReports returns the latency of the last window, as an agent reports it to the owner.
func (h *mixHost) serviceReports(time.Time) []kqcell.ServiceReport {
	return []kqcell.ServiceReport{{Class: mixClass, Slowdown: max(0, float64(h.latency)/float64(mixBaseLatency)-1), MissesTarget: h.latency > mixLatencyTarget, Calls: mixWindowCalls}}
}

// suspendHalf suspends every second task for halvingDuration after the service missed its target.
func (h *mixHost) suspendHalf(now time.Time, tasks []kqladder.Task) map[kqmodel.AttemptID]kqladder.Setting {
	if h.latency > mixLatencyTarget {
		h.missedAt = now
	}
	out := map[kqmodel.AttemptID]kqladder.Setting{}
	for _, t := range tasks {
		suspended := now.Sub(h.missedAt) < halvingDuration && t.ID.Task.Index%2 == 0
		out[t.ID] = kqladder.Setting{Share: 1, Suspended: suspended}
	}
	return out
}

// run simulates mixDuration. The latency of a window is computed at its end, so that the controls
// know it one window later.
func (m *mixBench) run() {
	m.rig.Run(3 * time.Second)
	for end := m.rig.Now().Add(mixDuration); m.rig.Now().Before(end); {
		m.submitWork()
		m.rig.Run(mixWindow)
		for _, h := range m.hosts {
			m.recordWindow(h)
		}
	}
}

// recordWindow computes the latency of the service on a host in the window that ends now and adds up
// the work done.
func (m *mixBench) recordWindow(h *mixHost) {
	now := m.rig.Now()
	loadFactor := 1 + mixLoadAmplitude*math.Sin(2*math.Pi*float64(now.UnixNano())/float64(mixLoadPeriod))
	noise := math.Exp(h.rng.NormFloat64() * mixNoiseStdDev)
	h.latency = time.Duration(float64(mixBaseLatency) * loadFactor * noise * h.node.Host.ServiceSlowdown(mixClass))
	worked := h.node.Host.WorkDone(now)
	done := worked - h.workDone
	h.workDone = worked
	m.windowCount++
	m.workDone += done
	if h.latency <= mixLatencyTarget {
		m.goodWindows++
		m.goodWorkDone += done
	}
}

// submitWork submits a job of each family if fewer than 80 tasks are waiting, so that some always wait.
func (m *mixBench) submitWork() {
	const backlog = 80
	if m.rig.WaitingCount() >= backlog {
		return
	}
	for _, f := range []string{"quiet", "middle", "noisy"} {
		m.jobCount++
		s := newJobSpec(fmt.Sprintf("%s-%d", f, m.jobCount), 8, 4, mixTaskRunTime)
		s.Family = f
		m.rig.Submit(s, false)
	}
}
