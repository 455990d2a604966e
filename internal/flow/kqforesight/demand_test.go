package kqforesight_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqforesight"
)

const (
	step   = 50 * time.Millisecond
	perSec = 5
	// spread is that of the logarithm of the sizes of jobs.
	spread  = 1.2
	minutes = 4
)

var start = time.Unix(1_000_000, 0)

// source draws jobs of very different sizes whose rate follows a function.
type source struct {
	rng    *rand.Rand
	demand kqforesight.Demand
	now    time.Time
	// used is how long the forecast was used, changes how often that changed.
	used    time.Duration
	changes int
}

func newSource(seed uint64) *source {
	return &source{rng: rand.New(rand.NewPCG(seed, 1)), now: start}
}

// run lets jobs come for a time; rate returns the factor on their rate.
func (s *source) run(d time.Duration, rate func(at time.Duration) float64) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		if s.rng.Float64() < perSec*step.Seconds()*rate(s.now.Sub(start)) {
			s.note(s.demand.Add(s.now, math.Exp(spread*s.rng.NormFloat64()-spread*spread/2)))
		}
		s.note(s.demand.Advance(s.now))
		if s.demand.Used() {
			s.used += step
		}
	}
}

func (s *source) note(c kqforesight.Change) {
	if c != kqforesight.Unchanged {
		s.changes++
	}
}

func steady(time.Duration) float64 { return 1 }

func wave(period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return 1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/period.Seconds()) }
}

// A forecast that fits noise would move the room that is kept at random.
func TestNoiseIsForecast(t *testing.T) {
	g := NewWithT(t)
	used, of := time.Duration(0), time.Duration(0)
	for seed := range uint64(50) {
		s := newSource(seed)
		s.run(minutes*time.Minute, steady)
		used, of = used+s.used, of+minutes*time.Minute
	}
	t.Logf("used for %s of %s", used, of)
	g.Expect(used.Seconds()).To(BeNumerically("<=", 0.002*of.Seconds()))
}

// A wave of any period is found and its peaks and troughs are told apart in advance.
func TestAWaveIsMissed(t *testing.T) {
	for _, period := range []time.Duration{8 * time.Second, 11 * time.Second, 15 * time.Second, 25 * time.Second} {
		g := NewWithT(t)
		used, seeds := 0.0, uint64(12)
		for seed := range seeds {
			s := newSource(seed)
			s.run(minutes*time.Minute, wave(period))
			used += s.used.Minutes() / minutes / float64(seeds)
			if s.demand.Used() {
				g.Expect(s.demand.Period().Seconds()).To(BeNumerically("~", period.Seconds(), 0.15*period.Seconds()))
				low, high := math.Inf(1), 0.0
				for n := range int(period / step) {
					x := s.demand.Expected(s.now.Add(time.Duration(n)*step), 0)
					low, high = min(low, x), max(high, x)
				}
				g.Expect(high).To(BeNumerically(">", 1.5*low))
			}
		}
		t.Logf("period %s: used for %.2f of the time", period, used)
		g.Expect(used).To(BeNumerically(">", 0.5), period.String())
	}
}

// A wave that ends leaves a forecast that is wrong: it must not go on being used.
func TestAForecastOutlivesTheWave(t *testing.T) {
	g := NewWithT(t)
	taken := 0
	for seed := range uint64(12) {
		s := newSource(seed)
		s.run(2*time.Minute, wave(15*time.Second))
		if s.demand.Used() {
			taken++
		}
		s.run(time.Minute, steady)
		g.Expect(s.demand.Used()).To(BeFalse(), "seed %d", seed)
		g.Expect(s.changes).To(BeNumerically("<=", 8), "seed %d", seed)
	}
	g.Expect(taken).To(BeNumerically(">=", 8))
}

// A burst is no wave: what it seems to show may not be used for long.
func TestABurstIsTakenForAWave(t *testing.T) {
	g := NewWithT(t)
	used, of := time.Duration(0), time.Duration(0)
	for seed := range uint64(24) {
		s := newSource(seed)
		s.run(minutes*time.Minute, func(at time.Duration) float64 {
			if at > 70*time.Second && at < 78*time.Second {
				return 2
			}
			return 1
		})
		used, of = used+s.used, of+minutes*time.Minute
	}
	t.Logf("used for %s of %s", used, of)
	g.Expect(used.Seconds()).To(BeNumerically("<=", 0.02*of.Seconds()))
}

// A new owner has seen nothing and expects the mean.
func TestANewSeriesIsForecast(t *testing.T) {
	g := NewWithT(t)
	var d kqforesight.Demand
	g.Expect(d.Expected(start, time.Minute)).To(BeZero())
	d.Add(start, 4)
	g.Expect(d.Used()).To(BeFalse())
	g.Expect(d.Expected(start, time.Minute)).To(Equal(d.Mean(start)))
	g.Expect(d.ErrorRatio()).To(Equal(1.0))
	g.Expect(d.Period()).To(BeZero())
}

// A class that has been silent for long begins anew, without a loop over the silence.
func TestASilentClassIsForecastFromOldDemand(t *testing.T) {
	g := NewWithT(t)
	s := newSource(1)
	s.run(2*time.Minute, wave(15*time.Second))
	s.demand.Advance(s.now.Add(1000 * time.Hour))
	g.Expect(s.demand.Used()).To(BeFalse())
	g.Expect(s.demand.Expected(s.now.Add(1000*time.Hour), time.Minute)).To(BeNumerically("<", 1e-6))
}

// BenchmarkDemand shows what a second of ten jobs costs.
func BenchmarkDemand(b *testing.B) {
	s := newSource(1)
	s.run(time.Minute, steady)
	for b.Loop() {
		s.run(time.Second, steady)
	}
}
