package kqadmission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

func newStream(queue, zone string, band kqsize.Band) kqadmission.Stream {
	return kqadmission.Stream{Queue: queue, Segment: kqadmission.Segment{Zone: zone, Band: band}}
}

// demand adds work to each stream for the given span at a rate of so many processors, and returns
// the end of the span.
func demand(s *kqadmission.DemandTracker, from time.Time, span time.Duration, processors map[kqadmission.Stream]float64) time.Time {
	const tick = 100 * time.Millisecond
	for at := time.Duration(0); at < span; at += tick {
		for f, p := range processors {
			s.AddWork(from.Add(at), f, p*tick.Seconds())
		}
	}
	return from.Add(span)
}

var priorities = map[string]int{"quick": 0, "report": 1}

// Guards against a burst of one queue, size band or zone reducing the shares of the others.
func TestOthersBearTheCostOfABurst(t *testing.T) {
	baseDemand := map[kqadmission.Stream]float64{newStream("quick", "a", 0): 10, newStream("quick", "b", 0): 10, newStream("quick", "b", kqsize.BandLargest): 10, newStream("report", "a", 0): 20}
	for f := range baseDemand {
		g := NewWithT(t)
		s := kqadmission.NewDemandTracker()
		at := demand(s, now, 40*time.Second, baseDemand)
		g.Expect(s.OverShare(at, priorities, 60)).To(BeEmpty())
		burst := map[kqadmission.Stream]float64{}
		for o, p := range baseDemand {
			burst[o] = p
		}
		burst[f] *= 3
		at = demand(s, at, 4*time.Second, burst)
		g.Expect(s.OverShare(at, priorities, 60)).To(ConsistOf(f))
	}
}

// More urgent queues get their usual demand first, and the others share the rest.
func TestShareOfALessUrgentClass(t *testing.T) {
	g := NewWithT(t)
	s := kqadmission.NewDemandTracker()
	at := demand(s, now, 40*time.Second, map[kqadmission.Stream]float64{newStream("quick", "a", 0): 50, newStream("report", "a", 0): 30})
	g.Expect(s.OverShare(at, priorities, 60)).To(ConsistOf(newStream("report", "a", 0)))
	g.Expect(s.OverShare(at, priorities, 90)).To(BeEmpty())
	g.Expect(s.OverShare(at, map[string]int{"quick": 0}, 60)).To(BeEmpty(), "a queue that no longer exists has no share")
}
