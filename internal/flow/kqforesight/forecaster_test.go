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
	step          = 50 * time.Millisecond
	jobsPerSecond = 5
	// sizeDeviation is the standard deviation of the logarithm of the sizes of jobs.
	sizeDeviation = 1.2
	minutes       = 4
)

var start = time.Unix(1_000_000, 0)

// jobSource generates jobs of very different sizes whose rate follows a function of time.
type jobSource struct {
	rng        *rand.Rand
	forecaster kqforesight.Forecaster
	now        time.Time
	// usedFor is how long the forecast was used, changes how often that changed.
	usedFor time.Duration
	changes int
}

func newJobSource(seed uint64) *jobSource {
	return &jobSource{rng: rand.New(rand.NewPCG(seed, 1)), now: start}
}

// run generates jobs for a time; factor returns the factor on their rate.
func (s *jobSource) run(d time.Duration, factor func(at time.Duration) float64) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		if s.rng.Float64() < jobsPerSecond*step.Seconds()*factor(s.now.Sub(start)) {
			s.countChange(s.forecaster.AddJob(s.now, math.Exp(sizeDeviation*s.rng.NormFloat64()-sizeDeviation*sizeDeviation/2)))
		}
		s.countChange(s.forecaster.Advance(s.now))
		if s.forecaster.UsesForecast() {
			s.usedFor += step
		}
	}
}

func (s *jobSource) countChange(c kqforesight.Change) {
	if c != kqforesight.Unchanged {
		s.changes++
	}
}

func steady(time.Duration) float64 { return 1 }

func wave(period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return 1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/period.Seconds()) }
}

// Guards against a forecast that is fitted to noise, which would vary the reserved capacity at
// random.
func TestNoiseIsForecast(t *testing.T) {
	g := NewWithT(t)
	used, total := time.Duration(0), time.Duration(0)
	for seed := range uint64(50) {
		s := newJobSource(seed)
		s.run(minutes*time.Minute, steady)
		used, total = used+s.usedFor, total+minutes*time.Minute
	}
	t.Logf("used for %s of %s", used, total)
	g.Expect(used.Seconds()).To(BeNumerically("<=", 0.002*total.Seconds()))
}

// Guards against a wave that is not detected, or whose peaks and troughs are not forecast.
func TestAWaveIsMissed(t *testing.T) {
	for _, period := range []time.Duration{8 * time.Second, 11 * time.Second, 15 * time.Second, 25 * time.Second} {
		g := NewWithT(t)
		used, seeds := 0.0, uint64(12)
		for seed := range seeds {
			s := newJobSource(seed)
			s.run(minutes*time.Minute, wave(period))
			used += s.usedFor.Minutes() / minutes / float64(seeds)
			if s.forecaster.UsesForecast() {
				g.Expect(s.forecaster.Period().Seconds()).To(BeNumerically("~", period.Seconds(), 0.15*period.Seconds()))
				low, high := math.Inf(1), 0.0
				for n := range int(period / step) {
					x := s.forecaster.ExpectedPeak(s.now.Add(time.Duration(n)*step), 0)
					low, high = min(low, x), max(high, x)
				}
				g.Expect(high).To(BeNumerically(">", 1.5*low))
			}
		}
		t.Logf("period %s: used for %.2f of the time", period, used)
		g.Expect(used).To(BeNumerically(">", 0.5), period.String())
	}
}

// Guards against a forecast that stays in use after the wave that it was fitted to has ended.
func TestAForecastOutlivesTheWave(t *testing.T) {
	g := NewWithT(t)
	adopted := 0
	for seed := range uint64(12) {
		s := newJobSource(seed)
		s.run(2*time.Minute, wave(15*time.Second))
		if s.forecaster.UsesForecast() {
			adopted++
		}
		s.run(time.Minute, steady)
		g.Expect(s.forecaster.UsesForecast()).To(BeFalse(), "seed %d", seed)
		g.Expect(s.changes).To(BeNumerically("<=", 8), "seed %d", seed)
	}
	g.Expect(adopted).To(BeNumerically(">=", 8))
}

// Guards against a single burst that is taken for a wave, so that a wrong forecast is used for
// long.
func TestABurstIsTakenForAWave(t *testing.T) {
	g := NewWithT(t)
	used, total := time.Duration(0), time.Duration(0)
	for seed := range uint64(24) {
		s := newJobSource(seed)
		s.run(minutes*time.Minute, func(at time.Duration) float64 {
			if at > 70*time.Second && at < 78*time.Second {
				return 2
			}
			return 1
		})
		used, total = used+s.usedFor, total+minutes*time.Minute
	}
	t.Logf("used for %s of %s", used, total)
	g.Expect(used.Seconds()).To(BeNumerically("<=", 0.02*total.Seconds()))
}

// A new owner has no recorded demand. Guards against a forecast from a series that has just
// begun: the mean must be expected.
func TestANewSeriesIsForecast(t *testing.T) {
	g := NewWithT(t)
	var d kqforesight.Forecaster
	g.Expect(d.ExpectedPeak(start, time.Minute)).To(BeZero())
	d.AddJob(start, 4)
	g.Expect(d.UsesForecast()).To(BeFalse())
	g.Expect(d.ExpectedPeak(start, time.Minute)).To(Equal(d.Mean(start)))
	g.Expect(d.ErrorRatio()).To(Equal(1.0))
	g.Expect(d.Period()).To(BeZero())
}

// Guards against a forecast from old demand after a class had no jobs for a long time, and
// against closing each interval of that time in a loop.
func TestASilentClassIsForecastFromOldDemand(t *testing.T) {
	g := NewWithT(t)
	s := newJobSource(1)
	s.run(2*time.Minute, wave(15*time.Second))
	s.forecaster.Advance(s.now.Add(1000 * time.Hour))
	g.Expect(s.forecaster.UsesForecast()).To(BeFalse())
	g.Expect(s.forecaster.ExpectedPeak(s.now.Add(1000*time.Hour), time.Minute)).To(BeNumerically("<", 1e-6))
}

// BenchmarkDemand measures the cost of one second of demand, about five jobs.
func BenchmarkDemand(b *testing.B) {
	s := newJobSource(1)
	s.run(time.Minute, steady)
	for b.Loop() {
		s.run(time.Second, steady)
	}
}
