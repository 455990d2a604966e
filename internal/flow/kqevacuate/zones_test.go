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

// If the store drops the history of a feed, all requests are read again. Guards against a
// request that was withdrawn meanwhile staying in force, and against an unchanged request
// losing its age.
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

// Guards against a change from a feed that withdraws zones which it does not name.
func TestAChangeLeavesTheOtherZonesAlone(t *testing.T) {
	g := NewWithT(t)
	z := kqevacuate.Zones{}.Apply(start, 5, true, []kqevacuate.Change{{Zone: "a"}, {Zone: "b"}})
	next := z.Apply(later, 6, false, []kqevacuate.Change{{Zone: "a", Withdrawn: true}, {Zone: "c"}})
	g.Expect(next.Names()).To(Equal([]string{"b", "c"}))
	g.Expect(z.Names()).To(Equal([]string{"a", "b"}), "Apply changed its receiver")
	begun, ended := next.Difference(z)
	g.Expect(begun).To(Equal([]string{"c"}))
	g.Expect(ended).To(Equal([]string{"a"}))
}

// An agent receives zones both from the store and from the owner. Guards against an older
// notice that withdraws a newer request or restores a withdrawn one.
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

// An owner holds starts while its zones are outdated. Guards against zones that become
// outdated, for some maximum delay, although the feed works as usual.
func TestAFeedInItsCourseIsNeverOutdated(t *testing.T) {
	g := NewWithT(t)
	for _, maxDelay := range []time.Duration{0, 100 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, time.Minute} {
		wait := kqevacuate.MaxPollWait(maxDelay, 1500*time.Millisecond)
		g.Expect(wait).To(BeNumerically(">", 0))
		g.Expect(kqevacuate.Outdated(start.Add(2*wait+100*time.Millisecond), start, maxDelay)).To(BeFalse(), maxDelay.String())
	}
	g.Expect(kqevacuate.MaxPollWait(5*time.Second, 1500*time.Millisecond)).To(Equal(1500 * time.Millisecond))
	g.Expect(kqevacuate.Outdated(start.Add(4100*time.Millisecond), start, 5*time.Second)).To(BeTrue())
}
