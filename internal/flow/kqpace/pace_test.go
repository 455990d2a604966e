package kqpace_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
)

const (
	heavy = 0.5
	light = 0.01
)

func observe(g *kqpace.Group, from time.Time, d time.Duration, looks map[string]kqpace.Look) time.Time {
	for t := from; t.Before(from.Add(d)); t = t.Add(200 * time.Millisecond) {
		g.Observe(t, looks)
	}
	return from.Add(d)
}

// Filling work must be at a stand well inside the time for which a serving task
// may be over its target, what disturbs much first, and come back afterwards.
func TestSharesFollowTheRoomOfServingTasks(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.NewGroup()
	now := time.Unix(100, 0)
	at := func(room float64) map[string]kqpace.Look {
		return map[string]kqpace.Look{"web": {Room: room, Press: heavy}}
	}
	press := map[string]float64{"web": heavy}
	now = observe(p, now, time.Second, at(3))
	g.Expect(p.For(press)).To(Equal(100))
	now = observe(p, now, time.Second, at(0.8))
	g.Expect(p.For(press)).To(BeNumerically("<", 20))
	g.Expect(p.For(map[string]float64{"web": light})).To(Equal(100))
	now = observe(p, now, 1500*time.Millisecond, at(0.8))
	g.Expect(p.For(press)).To(BeZero())
	g.Expect(p.For(map[string]float64{"web": light})).To(BeZero())
	now = observe(p, now, 4*time.Second, at(3))
	g.Expect(p.For(press)).To(Equal(100))
	observe(p, now, time.Second, map[string]kqpace.Look{})
	g.Expect(p.For(press)).To(Equal(100))
}

func TestARunIsSlowedDownOnlyForWhatItDisturbs(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.NewGroup()
	observe(p, time.Unix(100, 0), 3*time.Second, map[string]kqpace.Look{"a": {Room: 0.7, Press: heavy}, "b": {Room: 3}})
	g.Expect(p.For(map[string]float64{"a": light, "b": heavy})).To(BeNumerically("<=", 100))
	g.Expect(p.For(map[string]float64{"a": heavy, "b": light})).To(BeZero())
	g.Expect(p.For(map[string]float64{"b": light})).To(BeZero(), "an image that is not listed counts as disturbed")
}

func TestAddedRunsGetWhatRoomIsLeft(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.NewGroup()
	observe(p, time.Unix(100, 0), time.Second, map[string]kqpace.Look{"web": {Room: 1.5}})
	p.Add(map[string]float64{"web": 2})
	g.Expect(p.For(map[string]float64{"web": 2})).To(BeNumerically("<", 20))
}

// Runs that are known to press little must not wait for small steps.
func TestSharesRiseByWhatIsKnown(t *testing.T) {
	g := NewWithT(t)
	p := kqpace.NewGroup()
	press := map[string]float64{"web": 0.1}
	at := func(room float64) map[string]kqpace.Look {
		return map[string]kqpace.Look{"web": {Room: room, Press: 0.1}}
	}
	now := observe(p, time.Unix(100, 0), 4*time.Second, at(0.8))
	g.Expect(p.For(press)).To(BeZero())
	observe(p, now, 2*time.Second, at(1.5))
	g.Expect(p.For(press)).To(Equal(100))
}
