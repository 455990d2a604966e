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

// Control is how batch work is kept from slowing services.
type Control string

// Controls. All but ControlLearned are baselines.
const (
	// ControlLearned is the product: learned pairs and the ladder.
	ControlLearned Control = "learned"
	// ControlNone lets batch work run freely.
	ControlNone Control = "none"
	// ControlHalving suspends half of a host's batch tasks for a minute when
	// its service misses the target.
	ControlHalving Control = "static_halving"
)

// MixRun is the outcome of one control on the interfering mix.
type MixRun struct {
	// Control is the control.
	Control Control `json:"control"`
	// Met is the share of windows in which the service met its target.
	Met float64 `json:"windows_met"`
	// Throughput is the batch work done, as a share of that of the uncontrolled
	// run's non-violating windows.
	Throughput float64 `json:"throughput_of_uncontrolled_good"`
	// Evictions is tasks taken off a worker, for each run.
	Evictions float64 `json:"evictions"`
}

const (
	mixWorkers  = 11
	mixClass    = "service"
	mixBase     = 40 * time.Millisecond
	mixTarget   = 60 * time.Millisecond
	mixWindow   = 2 * time.Second
	mixTime     = 10 * time.Minute
	mixSwing    = 0.08
	mixPeriod   = 4 * time.Minute
	mixNoise    = 0.02
	mixCalls    = 500
	mixRunTime  = 40 * time.Second
	halvingTime = time.Minute
)

// mixFamilies is how much one processor of each family slows the service.
var mixFamilies = map[string]kqhost.Behaviour{
	"quiet":  {Interference: map[string]float64{mixClass: 0.001}},
	"middle": {Interference: map[string]float64{mixClass: 0.006}},
	"noisy":  {Interference: map[string]float64{mixClass: 0.05}},
}

// mixHost is the service of one host in the mix.
type mixHost struct {
	node     *kqrig.Node
	rng      *rand.Rand
	measured time.Duration
	halved   time.Time
	worked   float64
}

// mixRun is one run of the mix.
type mixRun struct {
	rig     *kqrig.Rig
	control Control
	hosts   []*mixHost
	good    int
	windows int
	work    float64
	goodly  float64
	jobs    int
}

// mix runs each control over the same seeds.
func mix(seeds int) []MixRun {
	seeds = max(1, seeds/10)
	sums := map[Control]*MixRun{}
	reference := 0.0
	order := []Control{ControlNone, ControlLearned, ControlHalving}
	for _, c := range order {
		s := &MixRun{Control: c}
		sums[c] = s
		for seed := range seeds {
			m := newMixRun(uint64(seed+1), c)
			m.run()
			s.Met += float64(m.good) / float64(m.windows) / float64(seeds)
			s.Throughput += m.work
			if c == ControlNone {
				reference += m.goodly
			}
			s.Evictions += float64(m.rig.Evictions()) / float64(seeds)
		}
	}
	var out []MixRun
	for _, c := range order {
		s := sums[c]
		s.Throughput /= reference
		out = append(out, *s)
	}
	return out
}

func newMixRun(seed uint64, c Control) *mixRun {
	m := &mixRun{control: c, rig: kqrig.New(kqrig.Config{Seed: seed, Workers: mixWorkers, Interference: c == ControlLearned,
		Capacity: kqmodel.Resources{MilliProcessors: 32_000, MemoryBytes: 125_000_000_000}, Behaviours: mixFamilies})}
	for i, n := range m.rig.Nodes {
		h := &mixHost{node: n, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		m.hosts = append(m.hosts, h)
		n.Pressures = h.pressures
		switch c {
		case ControlLearned:
			n.Services = h.services
		case ControlHalving:
			n.Steer = h.halve
		}
	}
	return m
}

// services reports the last window's latency, as a host does.
func (h *mixHost) services(time.Time) []kqladder.ServiceLatency {
	return []kqladder.ServiceLatency{{Class: mixClass, Latency: h.measured, Target: mixTarget, Calls: mixCalls}}
}

func (h *mixHost) pressures(time.Time) []kqcell.ServiceReport {
	return []kqcell.ServiceReport{{Class: mixClass, Slowdown: max(0, float64(h.measured)/float64(mixBase)-1), MissesTarget: h.measured > mixTarget, Calls: mixCalls}}
}

// halve suspends every second task for a while after a miss.
func (h *mixHost) halve(now time.Time, tasks []kqladder.Task) map[kqmodel.AttemptID]kqladder.Setting {
	if h.measured > mixTarget {
		h.halved = now
	}
	out := map[kqmodel.AttemptID]kqladder.Setting{}
	for _, t := range tasks {
		off := now.Sub(h.halved) < halvingTime && t.ID.Task.Index%2 == 0
		out[t.ID] = kqladder.Setting{Share: 1, Suspended: off}
	}
	return out
}

// run lets the windows pass. In each the latency follows what ran on the host,
// the swing of the load and noise; it is known one window later.
func (m *mixRun) run() {
	m.rig.Run(3 * time.Second)
	for end := m.rig.Now().Add(mixTime); m.rig.Now().Before(end); {
		m.feed()
		m.rig.Run(mixWindow)
		for _, h := range m.hosts {
			m.window(h)
		}
	}
}

func (m *mixRun) window(h *mixHost) {
	now := m.rig.Now()
	swing := 1 + mixSwing*math.Sin(2*math.Pi*float64(now.UnixNano())/float64(mixPeriod))
	noise := math.Exp(h.rng.NormFloat64() * mixNoise)
	h.measured = time.Duration(float64(mixBase) * swing * noise * h.node.Host.ServiceSlowdown(mixClass))
	worked := h.node.Host.WorkDone(now)
	done := worked - h.worked
	h.worked = worked
	m.windows++
	m.work += done
	if h.measured <= mixTarget {
		m.good++
		m.goodly += done
	}
}

// feed keeps work of every family waiting.
func (m *mixRun) feed() {
	const backlog = 80
	if m.rig.Waiting() >= backlog {
		return
	}
	for _, f := range []string{"quiet", "middle", "noisy"} {
		m.jobs++
		s := spec(fmt.Sprintf("%s-%d", f, m.jobs), 8, 4, mixRunTime)
		s.Family = f
		m.rig.Submit(s, false)
	}
}
