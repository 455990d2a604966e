package kqadmission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

func flow(queue, zone string, b kqsize.Band) kqadmission.Stream {
	return kqadmission.Stream{Queue: queue, Segment: kqadmission.Segment{Zone: zone, Band: b}}
}

// demand asks for processors of each flow for some time.
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

// The burst of one class, size or zone must cost the others nothing.
func TestOthersBearTheCostOfABurst(t *testing.T) {
	calm := map[kqadmission.Stream]float64{flow("quick", "a", 0): 10, flow("quick", "b", 0): 10, flow("quick", "b", kqsize.BandLargest): 10, flow("report", "a", 0): 20}
	for f := range calm {
		g := NewWithT(t)
		s := kqadmission.NewDemandTracker()
		at := demand(s, now, 40*time.Second, calm)
		g.Expect(s.OverShare(at, priorities, 60)).To(BeEmpty())
		burst := map[kqadmission.Stream]float64{}
		for o, p := range calm {
			burst[o] = p
		}
		burst[f] *= 3
		at = demand(s, at, 4*time.Second, burst)
		g.Expect(s.OverShare(at, priorities, 60)).To(ConsistOf(f))
	}
}

// More urgent classes have their usual use first; only the rest is left to the others.
func TestShareOfALessUrgentClass(t *testing.T) {
	g := NewWithT(t)
	s := kqadmission.NewDemandTracker()
	at := demand(s, now, 40*time.Second, map[kqadmission.Stream]float64{flow("quick", "a", 0): 50, flow("report", "a", 0): 30})
	g.Expect(s.OverShare(at, priorities, 60)).To(ConsistOf(flow("report", "a", 0)))
	g.Expect(s.OverShare(at, priorities, 90)).To(BeEmpty())
	g.Expect(s.OverShare(at, map[string]int{"quick": 0}, 60)).To(BeEmpty(), "a queue that is gone has no share")
}
