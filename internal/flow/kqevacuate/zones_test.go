package kqevacuate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
)

var (
	start = time.Unix(1000, 0)
	later = start.Add(time.Minute)
)

// A feed whose history was dropped is read anew: a request that was withdrawn
// meanwhile must not stay in force, one that stands keeps its age.
func TestARequestThatAWholeReadDoesNotListIsWithdrawn(t *testing.T) {
	g := NewWithT(t)
	z := kqevacuate.Zones{}.Apply(start, 5, true, []kqevacuate.Change{{Zone: "a"}, {Zone: "b"}})
	z = z.Apply(later, 9, true, []kqevacuate.Change{{Zone: "b"}, {Zone: "c"}})
	g.Expect(z.Names()).To(Equal([]string{"b", "c"}))
	at, _ := z.Since("b")
	g.Expect(at).To(Equal(start))
	at, _ = z.Since("c")
	g.Expect(at).To(Equal(later))
}

// A change that a feed reports must not withdraw the zones that it does not name.
func TestAChangeLeavesTheOtherZonesAlone(t *testing.T) {
	g := NewWithT(t)
	z := kqevacuate.Zones{}.Apply(start, 5, true, []kqevacuate.Change{{Zone: "a"}, {Zone: "b"}})
	next := z.Apply(later, 6, false, []kqevacuate.Change{{Zone: "a", Withdrawn: true}, {Zone: "c"}})
	g.Expect(next.Names()).To(Equal([]string{"b", "c"}))
	g.Expect(z.Names()).To(Equal([]string{"a", "b"}), "a set is not changed")
	begun, ended := next.Difference(z)
	g.Expect(begun).To(Equal([]string{"c"}))
	g.Expect(ended).To(Equal([]string{"a"}))
}

// An agent hears of zones from two sides: the older word must neither withdraw a
// newer request nor bring a withdrawn one back.
func TestAnOlderNoticeChangesNothing(t *testing.T) {
	g := NewWithT(t)
	z := kqevacuate.Zones{}.Apply(start, 9, true, []kqevacuate.Change{{Zone: "a"}})
	z, changed := z.ApplyNotice(later, kqevacuate.Notice{At: 7})
	g.Expect(changed).To(BeFalse())
	g.Expect(z.Has("a")).To(BeTrue())
	z, changed = z.ApplyNotice(later, kqevacuate.Notice{At: 12})
	g.Expect(changed).To(BeTrue())
	g.Expect(z.Has("a")).To(BeFalse())
	z, _ = z.ApplyNotice(later, kqevacuate.Notice{At: 9, Zones: []string{"a"}})
	g.Expect(z.Has("a")).To(BeFalse())
	g.Expect(kqevacuate.Zones{}.Known()).To(BeFalse())
	g.Expect(z.Known()).To(BeTrue())
}

// An owner holds starts while its zones are old: a feed in its usual course must not make
// them so, whatever the bound.
func TestAFeedInItsCourseIsNeverOutdated(t *testing.T) {
	g := NewWithT(t)
	for _, bound := range []time.Duration{0, 100 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, time.Minute} {
		wait := kqevacuate.MaxPollWait(bound, 1500*time.Millisecond)
		g.Expect(wait).To(BeNumerically(">", 0))
		g.Expect(kqevacuate.Outdated(start.Add(2*wait+100*time.Millisecond), start, bound)).To(BeFalse(), bound.String())
	}
	g.Expect(kqevacuate.MaxPollWait(5*time.Second, 1500*time.Millisecond)).To(Equal(1500 * time.Millisecond))
	g.Expect(kqevacuate.Outdated(start.Add(4100*time.Millisecond), start, 5*time.Second)).To(BeTrue())
}
