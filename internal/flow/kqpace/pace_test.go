package kqpace_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

const (
	heavy = 0.5
	light = 0.01
)

func newRun(n int, interference map[string]float64) kqpace.FillingRun {
	return kqpace.FillingRun{Key: newKey(n), Interference: interference, Utilization: 1, Deadline: time.Unix(110, 0)}
}

func newKey(n int) kqexecution.Run {
	return kqexecution.Run{Task: fmt.Sprintf("job.0.0.%d", n), Number: 1}
}

// updateFor updates p with the same headroom for the given time, while the runs use exactly their
// shares. It returns the end of that time.
func updateFor(p *kqpace.Pacer, from time.Time, d time.Duration, headrooms map[string]float64, runs ...kqpace.FillingRun) time.Time {
	for t := from; t.Before(from.Add(d)); t = t.Add(200 * time.Millisecond) {
		for i := range runs {
			runs[i].Utilization = float64(p.Share(runs[i].Key)) / 100
		}
		p.Update(t, headrooms, runs)
	}
	return from.Add(d)
}

// Filling runs must be paused well within the time for which a serving task may be over its target,
// those with strong interference first, and get their shares back afterwards.
func TestSharesFollowTheRoomOfServingTasks(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	interfering, lightRun := newRun(1, map[string]float64{"web": heavy}), newRun(2, map[string]float64{"web": light})
	headrooms := func(headroom float64) map[string]float64 { return map[string]float64{"web": headroom} }
	now := updateFor(p, time.Unix(100, 0), time.Second, headrooms(3), interfering, lightRun)
	g.Expect(p.Share(interfering.Key)).To(Equal(100))
	now = updateFor(p, now, time.Second, headrooms(0.95), interfering, lightRun)
	g.Expect(p.Share(interfering.Key)).To(BeNumerically("<", 20))
	now = updateFor(p, now, 1500*time.Millisecond, headrooms(0.95), interfering, lightRun)
	g.Expect(p.Share(interfering.Key)).To(BeZero())
	g.Expect(p.Share(lightRun.Key)).To(BeZero())
	now = updateFor(p, now, 4*time.Second, headrooms(3), interfering, lightRun)
	g.Expect(p.Share(interfering.Key)).To(Equal(100))
	updateFor(p, now, time.Second, map[string]float64{}, interfering, lightRun)
	g.Expect(p.Share(interfering.Key)).To(Equal(100))
}

// Guards against trusting a learned interference of 0: if pausing the other runs does not help, a
// run that is assumed harmless may be the cause and is paused, too.
func TestARunThatIsThoughtHarmlessStandsStillIfNothingElseHelps(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	harmless := newRun(1, map[string]float64{"web": 0})
	updateFor(p, time.Unix(100, 0), 2800*time.Millisecond, map[string]float64{"web": 0.7}, harmless)
	g.Expect(p.Share(harmless.Key)).To(BeZero())
}

// Light runs are throttled only if throttling the others was not enough, and runs with negligible
// interference only after that.
func TestWhatPressesLittleIsSlowedDownLast(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	interfering, lightRun, harmless := newRun(1, map[string]float64{"web": heavy}), newRun(2, map[string]float64{"web": light}), newRun(3, map[string]float64{"web": 0.001})
	now := updateFor(p, time.Unix(100, 0), time.Second, map[string]float64{"web": 3}, interfering, lightRun, harmless)
	for headroom := 2.0; headroom > 0.8; headroom -= 0.1 {
		now = updateFor(p, now, 200*time.Millisecond, map[string]float64{"web": headroom}, interfering, lightRun, harmless)
		g.Expect(p.Share(lightRun.Key)).To(BeNumerically(">=", p.Share(interfering.Key)), "headroom %.1f", headroom)
		g.Expect(p.Share(harmless.Key)).To(Equal(100), "headroom %.1f", headroom)
		if headroom > 1.1 {
			g.Expect(p.Share(lightRun.Key)).To(Equal(100), "headroom %.1f", headroom)
		}
	}
	updateFor(p, now, time.Second, map[string]float64{"web": 0.8}, interfering, lightRun, harmless)
	g.Expect(p.Share(interfering.Key)).To(BeZero())
}

// Guards against a single measurement at the target resetting the time with critical headroom.
func TestANoisyMeasurementDoesNotLetRunsGoOn(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	harmless := newRun(1, map[string]float64{"web": 0})
	now := updateFor(p, time.Unix(100, 0), 1400*time.Millisecond, map[string]float64{"web": 0.8}, harmless)
	now = updateFor(p, now, 200*time.Millisecond, map[string]float64{"web": 1.03}, harmless)
	updateFor(p, now, 1400*time.Millisecond, map[string]float64{"web": 0.8}, harmless)
	g.Expect(p.Share(harmless.Key)).To(BeZero())
}

func TestARunIsSlowedDownOnlyForWhatItDisturbs(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	other, interfering, unknown := newRun(1, map[string]float64{"a": light, "b": heavy}), newRun(2, map[string]float64{"a": heavy, "b": light}), newRun(3, map[string]float64{"b": light})
	updateFor(p, time.Unix(100, 0), time.Second, map[string]float64{"a": 1.1, "b": 3}, other, interfering, unknown)
	g.Expect(p.Share(other.Key)).To(Equal(100))
	g.Expect(p.Share(interfering.Key)).To(BeNumerically("<", 40))
	g.Expect(p.Share(unknown.Key)).To(BeZero(), "an image that is not listed counts as fully disturbed")
}

// If the headroom suffices for one of two runs, one gets it whole instead of half each: the run
// with the earlier deadline or with less interference.
func TestScarceRoomIsNotSpreadThin(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	sooner, later := newRun(1, map[string]float64{"web": heavy}), newRun(2, map[string]float64{"web": heavy})
	sooner.Deadline, later.Deadline = time.Unix(104, 0), time.Unix(120, 0)
	sooner.Utilization, later.Utilization = 0, 0
	p.Update(time.Unix(100, 0), map[string]float64{"web": 1.8}, []kqpace.FillingRun{later, sooner})
	g.Expect(p.Share(sooner.Key)).To(Equal(100))
	g.Expect(p.Share(later.Key)).To(BeNumerically("<", 30))
}

func TestAddedRunsGetWhatRoomIsLeft(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	updateFor(p, time.Unix(100, 0), time.Second, map[string]float64{"web": 1.5})
	added := newRun(1, map[string]float64{"web": 2})
	p.AddRun(added)
	g.Expect(p.Share(added.Key)).To(BeNumerically("<", 20))
}

// Guards against raising shares in small steps although the learned interference shows that there
// is headroom.
func TestSharesRiseByWhatIsKnown(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	moderate := newRun(1, map[string]float64{"web": 0.1})
	now := updateFor(p, time.Unix(100, 0), 4*time.Second, map[string]float64{"web": 0.8}, moderate)
	g.Expect(p.Share(moderate.Key)).To(BeZero())
	updateFor(p, now, 2*time.Second, map[string]float64{"web": 1.5}, moderate)
	g.Expect(p.Share(moderate.Key)).To(Equal(100))
}

func TestATallyTellsByWhatServingTasksAreOverTheirTarget(t *testing.T) {
	g := NewWithT(t)
	var all, one kqpace.Stats
	one.AddServing(time.Second, 1.4, 0.5)
	one.AddServing(time.Second, 0.8, 0.5)
	one.AddServing(time.Second, 0.8, 0)
	one.AddFilling(time.Second, 4, 25)
	all.Merge(one)
	all.Merge(one)
	g.Expect(all).To(Equal(kqpace.Stats{ServingMS: 6000, OverTargetByFillingMS: 2000, OverTargetByLoadMS: 2000, FillingMS: 8000, ThrottledMS: 6000}))
}
