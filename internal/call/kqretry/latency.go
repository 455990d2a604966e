package kqretry

import (
	"slices"
	"time"
)

// maxSamples is the number of latest latencies kept for each class.
const maxSamples = 256

// LatencyWindow keeps the latest latencies of the calls of one class in a ring buffer. It is not
// safe for concurrent use.
type LatencyWindow struct {
	samples        []time.Duration
	next           int
	sorted         []time.Duration
	addedSinceSort int
}

// resortInterval is the number of new latencies after which the samples are sorted again.
const resortInterval = 32

// Add adds a latency; it replaces the oldest one if the window is full.
func (l *LatencyWindow) Add(d time.Duration) {
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, d)
	} else {
		l.samples[l.next] = d
		l.next = (l.next + 1) % maxSamples
	}
	l.addedSinceSort++
}

// minSamples is the number of latencies needed for a percentile.
const minSamples = 64

// Percentile returns the latency at percentile p, given from 0 to 1. ok is false while there are
// fewer than minSamples latencies.
func (l *LatencyWindow) Percentile(p float64) (d time.Duration, ok bool) {
	if len(l.samples) < minSamples {
		return 0, false
	}
	if l.sorted == nil || l.addedSinceSort >= resortInterval {
		l.sorted = slices.Clone(l.samples)
		slices.Sort(l.sorted)
		l.addedSinceSort = 0
	}
	return l.sorted[min(len(l.sorted)-1, int(p*float64(len(l.sorted))))], true
}
