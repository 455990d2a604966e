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

func run(n int, press map[string]float64) kqpace.FillingRun {
	return kqpace.FillingRun{Key: key(n), Interference: press, Utilization: 1, Deadline: time.Unix(110, 0)}
}

func key(n int) kqexecution.Run {
	return kqexecution.Run{Task: fmt.Sprintf("job.0.0.%d", n), Number: 1}
}

// observe shows a pacer the same rooms for a while; runs use what they are given.
func observe(p *kqpace.Pacer, from time.Time, d time.Duration, rooms map[string]float64, runs ...kqpace.FillingRun) time.Time {
	for t := from; t.Before(from.Add(d)); t = t.Add(200 * time.Millisecond) {
		for i := range runs {
			runs[i].Utilization = float64(p.Share(runs[i].Key)) / 100
		}
		p.Update(t, rooms, runs)
	}
	return from.Add(d)
}

// Filling work must be at a stand well inside the time for which a serving task
// may be over its target, what presses much first, and come back afterwards.
func TestSharesFollowTheRoomOfServingTasks(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	pressing, mild := run(1, map[string]float64{"web": heavy}), run(2, map[string]float64{"web": light})
	rooms := func(room float64) map[string]float64 { return map[string]float64{"web": room} }
	now := observe(p, time.Unix(100, 0), time.Second, rooms(3), pressing, mild)
	g.Expect(p.Share(pressing.Key)).To(Equal(100))
	now = observe(p, now, time.Second, rooms(0.95), pressing, mild)
	g.Expect(p.Share(pressing.Key)).To(BeNumerically("<", 20))
	now = observe(p, now, 1500*time.Millisecond, rooms(0.95), pressing, mild)
	g.Expect(p.Share(pressing.Key)).To(BeZero())
	g.Expect(p.Share(mild.Key)).To(BeZero())
	now = observe(p, now, 4*time.Second, rooms(3), pressing, mild)
	g.Expect(p.Share(pressing.Key)).To(Equal(100))
	observe(p, now, time.Second, map[string]float64{}, pressing, mild)
	g.Expect(p.Share(pressing.Key)).To(Equal(100))
}

// A run that is thought not to press at all may be what takes the room.
func TestARunThatIsThoughtHarmlessStandsStillIfNothingElseHelps(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	harmless := run(1, map[string]float64{"web": 0})
	observe(p, time.Unix(100, 0), 2800*time.Millisecond, map[string]float64{"web": 0.7}, harmless)
	g.Expect(p.Share(harmless.Key)).To(BeZero())
}

// What presses little is slowed down only if slowing down the others was not
// enough, and what does not press at all only after that.
func TestWhatPressesLittleIsSlowedDownLast(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	pressing, mild, harmless := run(1, map[string]float64{"web": heavy}), run(2, map[string]float64{"web": light}), run(3, map[string]float64{"web": 0.001})
	now := observe(p, time.Unix(100, 0), time.Second, map[string]float64{"web": 3}, pressing, mild, harmless)
	for room := 2.0; room > 0.8; room -= 0.1 {
		now = observe(p, now, 200*time.Millisecond, map[string]float64{"web": room}, pressing, mild, harmless)
		g.Expect(p.Share(mild.Key)).To(BeNumerically(">=", p.Share(pressing.Key)), "room %.1f", room)
		g.Expect(p.Share(harmless.Key)).To(Equal(100), "room %.1f", room)
		if room > 1.1 {
			g.Expect(p.Share(mild.Key)).To(Equal(100), "room %.1f", room)
		}
	}
	observe(p, now, time.Second, map[string]float64{"web": 0.8}, pressing, mild, harmless)
	g.Expect(p.Share(pressing.Key)).To(BeZero())
}

// One measurement at the target does not begin the time anew.
func TestANoisyMeasurementDoesNotLetRunsGoOn(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	harmless := run(1, map[string]float64{"web": 0})
	now := observe(p, time.Unix(100, 0), 1400*time.Millisecond, map[string]float64{"web": 0.8}, harmless)
	now = observe(p, now, 200*time.Millisecond, map[string]float64{"web": 1.03}, harmless)
	observe(p, now, 1400*time.Millisecond, map[string]float64{"web": 0.8}, harmless)
	g.Expect(p.Share(harmless.Key)).To(BeZero())
}

func TestARunIsSlowedDownOnlyForWhatItDisturbs(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	other, pressing, unknown := run(1, map[string]float64{"a": light, "b": heavy}), run(2, map[string]float64{"a": heavy, "b": light}), run(3, map[string]float64{"b": light})
	observe(p, time.Unix(100, 0), time.Second, map[string]float64{"a": 1.1, "b": 3}, other, pressing, unknown)
	g.Expect(p.Share(other.Key)).To(Equal(100))
	g.Expect(p.Share(pressing.Key)).To(BeNumerically("<", 40))
	g.Expect(p.Share(unknown.Key)).To(BeZero(), "an image that is not listed counts as disturbed")
}

// Room for one of two runs goes to one of them: that whose job ends sooner, or
// that which presses less, rather than half to each.
func TestScarceRoomIsNotSpreadThin(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	sooner, later := run(1, map[string]float64{"web": heavy}), run(2, map[string]float64{"web": heavy})
	sooner.Deadline, later.Deadline = time.Unix(104, 0), time.Unix(120, 0)
	sooner.Utilization, later.Utilization = 0, 0
	p.Update(time.Unix(100, 0), map[string]float64{"web": 1.8}, []kqpace.FillingRun{later, sooner})
	g.Expect(p.Share(sooner.Key)).To(Equal(100))
	g.Expect(p.Share(later.Key)).To(BeNumerically("<", 30))
}

func TestAddedRunsGetWhatRoomIsLeft(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	observe(p, time.Unix(100, 0), time.Second, map[string]float64{"web": 1.5})
	added := run(1, map[string]float64{"web": 2})
	p.AddRun(added)
	g.Expect(p.Share(added.Key)).To(BeNumerically("<", 20))
}

// Runs that are known to press little must not wait for small steps.
func TestSharesRiseByWhatIsKnown(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.New()
	mild := run(1, map[string]float64{"web": 0.1})
	now := observe(p, time.Unix(100, 0), 4*time.Second, map[string]float64{"web": 0.8}, mild)
	g.Expect(p.Share(mild.Key)).To(BeZero())
	observe(p, now, 2*time.Second, map[string]float64{"web": 1.5}, mild)
	g.Expect(p.Share(mild.Key)).To(Equal(100))
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
