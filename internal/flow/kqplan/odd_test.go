package kqplan_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// A worker lists a measurement that is too large. Sums of it are infinite, and what the owner then
// stores cannot be encoded. Guards against owners that end one after another.
func TestAnOddMeasurementEndsTheOwner(t *testing.T) {
	for name, x := range map[string]struct{ tail, use float64 }{
		"none":                 {25, 0},
		"processors too large": {25, math.MaxFloat64},
		"processors negative":  {25, -math.MaxFloat64},
		"tail too small":       {math.SmallestNonzeroFloat64, 100},
		"tail too large":       {math.MaxFloat64, 100},
		"tail negative":        {-math.MaxFloat64, 100},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCell(1)
			c.addHost("h1", "w1", 32)
			serving := kqflow.Step{Count: 1, Resources: newStep(1, 6).Resources, LongRunning: true, Image: "web", TailTarget: 100 * time.Millisecond}
			fill := newStep(2, 3)
			fill.Fills, fill.Checkpoints, fill.Image, fill.Estimate = true, true, "scan", 10*time.Second
			c.Submit(c.now, job("web", "urgent", c.now.Add(-time.Second), serving), nil, 0)
			c.tickUntilIdle()
			c.reportTail("h1", "w1", 25, nil)
			c.Submit(c.now, job("scan", "batch", c.now, fill), nil, 0)
			c.tickUntilIdle()
			for n := range 20 {
				r := kqplan.Report{Worker: "w1", Complete: true}
				tail, use := 25+10*float64(n%2), 3000*float64(n%2)
				if n == 8 || n == 9 {
					tail, use = x.tail, x.use
				}
				r.Running = append(r.Running, kqexecution.RunStatus{Run: kqexecution.Run{Task: "web.0.0.0", Number: 1}, Percent: math.MaxFloat64, Measurement: tail})
				for _, task := range []string{"scan.0.0.0", "scan.0.0.1"} {
					r.Running = append(r.Running, kqexecution.RunStatus{Run: kqexecution.Run{Task: task, Number: 1}, Percent: -math.MaxFloat64, Measurement: use})
				}
				c.now = c.now.Add(400 * time.Millisecond)
				c.LeaseGranted(c.now, "h1", 7*time.Second)
				c.ApplyReport(c.now, "h1", r)
				c.tickUntilIdle()
				_, err := json.Marshal(c.Learned())
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(c.Learned()).To(ConsistOf(HaveField("Interference", BeNumerically("~", 12, 3))), "the other measurements count")
			g.Expect(c.counter.Breaches()).To(BeEmpty())
		})
	}
}

// A worker states a capacity that is out of range. Sums over the workers overflow. Guards against
// work that finds no place on the other workers, or that is placed on this one.
func TestAnOddCapacityKeepsWorkFromTheOtherWorkers(t *testing.T) {
	odd := func(n int64) kqmodel.Resources {
		return kqmodel.Resources{MilliProcessors: n, MemoryBytes: n, Accelerators: n}
	}
	for name, capacity := range map[string]kqmodel.Resources{"too large": odd(math.MaxInt64), "just too large": odd(math.MaxInt64 / 2), "negative": odd(-1), "most negative": odd(math.MinInt64)} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCell(1)
			c.EnableDigests(true)
			for _, n := range []string{"1", "2", "3"} {
				c.addHost("h"+n, "w"+n, 8)
				if n != "3" {
					c.UpdateWorker(c.now, "h"+n, kqplan.WorkerInfo{Worker: kqexecution.Incarnation("w" + n), Service: "s", Capacity: capacity})
				}
			}
			c.Submit(c.now, job("j", "urgent", c.now, newStep(12, 1)), nil, 0)
			c.tickUntilIdle()
			orders := c.takeOrders()
			g.Expect(orders).To(HaveLen(8))
			g.Expect(orders).To(HaveEach(HaveField("Worker", kqexecution.Incarnation("w3"))))
			d := c.Digest(c.now)
			g.Expect(d).NotTo(BeNil())
			g.Expect(d.Levels[0].MilliProcessors).To(Equal(int64(8000)))
			g.Expect(c.counter.Breaches()).To(BeEmpty())
		})
	}
}
