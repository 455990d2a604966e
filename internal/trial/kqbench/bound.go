// Package kqbench measures the product: calls, tasks, and the slopes behind
// the capacity page.
package kqbench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// queueBound is a single shared queue with perfect knowledge: every call waits
// in one place and takes the slot that ends it first.
type queueBound struct {
	rate   float64
	fast   int
	slow   int
	factor float64
	median time.Duration
	spread float64
	seed   uint64
	calls  int
}

// freeSlots is the times at which slots come free, soonest first.
type freeSlots []float64

func (f freeSlots) Len() int           { return len(f) }
func (f freeSlots) Less(i, j int) bool { return f[i] < f[j] }
func (f freeSlots) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *freeSlots) Push(x any)        { *f = append(*f, x.(float64)) }
func (f *freeSlots) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

// latencies runs the queue and returns each call's time from arrival to end.
func (b queueBound) latencies() []time.Duration {
	rng := rand.New(rand.NewPCG(b.seed, b.seed))
	fast, slow := make(freeSlots, b.fast), make(freeSlots, b.slow)
	now := 0.0
	out := make([]time.Duration, 0, b.calls)
	for range b.calls {
		now += rng.ExpFloat64() / b.rate
		s := b.median.Seconds() * math.Exp(rng.NormFloat64()*b.spread)
		end := max(now, fast[0]) + s
		slots := &fast
		if len(slow) > 0 {
			if e := max(now, slow[0]) + s*b.factor; e < end {
				end, slots = e, &slow
			}
		}
		(*slots)[0] = end
		heap.Fix(slots, 0)
		out = append(out, time.Duration((end-now)*float64(time.Second)))
	}
	return out
}

// percentile returns the value at p, from 0 to 1.
func percentile(ds []time.Duration, p float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	s := slices.Clone(ds)
	slices.Sort(s)
	return s[min(len(s)-1, int(p*float64(len(s))))]
}
