// Package kqbench measures the latency of calls, the starts and store writes of tasks, and how the
// cost of each role grows with the number of workers, from which the capacity page is made.
package kqbench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// idealQueue simulates a single shared queue with perfect knowledge, used as a lower bound on the
// latency of a routing policy: calls arrive at random times with the mean rate callsPerSecond, and
// each takes the slot on which it ends first.
type idealQueue struct {
	callsPerSecond float64
	fastSlots      int
	slowSlots      int
	// slowdown multiplies the service time on a slow slot.
	slowdown float64
	// Service times are log-normal; logStdDev is the standard deviation of their logarithm.
	medianServiceTime time.Duration
	logStdDev         float64
	seed              uint64
	callCount         int
}

// slotHeap is a min-heap of the times, in seconds, at which slots become free.
type slotHeap []float64

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h slotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *slotHeap) Push(x any)        { *h = append(*h, x.(float64)) }
func (h *slotHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// latencies runs the simulation and returns the time from arrival to end of each call.
func (q idealQueue) latencies() []time.Duration {
	rng := rand.New(rand.NewPCG(q.seed, q.seed))
	fast, slow := make(slotHeap, q.fastSlots), make(slotHeap, q.slowSlots)
	now := 0.0
	out := make([]time.Duration, 0, q.callCount)
	for range q.callCount {
		now += rng.ExpFloat64() / q.callsPerSecond
		service := q.medianServiceTime.Seconds() * math.Exp(rng.NormFloat64()*q.logStdDev)
		end := max(now, fast[0]) + service
		slots := &fast
		if len(slow) > 0 {
			if slowEnd := max(now, slow[0]) + service*q.slowdown; slowEnd < end {
				end, slots = slowEnd, &slow
			}
		}
		(*slots)[0] = end
		heap.Fix(slots, 0)
		out = append(out, time.Duration((end-now)*float64(time.Second)))
	}
	return out
}

// percentile returns the value below which the share p of ds lies, with p from 0 to 1, or 0 if ds is
// empty.
func percentile(ds []time.Duration, p float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	s := slices.Clone(ds)
	slices.Sort(s)
	return s[min(len(s)-1, int(p*float64(len(s))))]
}
