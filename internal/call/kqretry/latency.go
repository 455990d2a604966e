package kqretry

import (
	"slices"
	"time"
)

// window is how many of the latest latencies are kept for each class.
const window = 256

// Latencies keeps the latest latencies of the calls of one class. It is not
// safe for concurrent use.
type LatencyWindow struct {
	ring   []time.Duration
	next   int
	sorted []time.Duration
	stale  int
}

// resortEvery is how many new latencies pass before the order is made again.
const resortEvery = 32

// Add keeps a latency.
func (l *LatencyWindow) Add(d time.Duration) {
	if len(l.ring) < window {
		l.ring = append(l.ring, d)
	} else {
		l.ring[l.next] = d
		l.next = (l.next + 1) % window
	}
	l.stale++
}

// minHedgeSamples is how many latencies are needed before any is trusted.
const minHedgeSamples = 64

// Percentile returns the latency at p, from 0 to 1; ok is false while there
// are too few.
func (l *LatencyWindow) Percentile(p float64) (d time.Duration, ok bool) {
	if len(l.ring) < minHedgeSamples {
		return 0, false
	}
	if l.sorted == nil || l.stale >= resortEvery {
		l.sorted = slices.Clone(l.ring)
		slices.Sort(l.sorted)
		l.stale = 0
	}
	return l.sorted[min(len(l.sorted)-1, int(p*float64(len(l.sorted))))], true
}
