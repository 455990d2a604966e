package kqdispatch

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqwindow"
)

const (
	latencyWindow   = 2 * time.Second
	lowestLatency   = int64(10)
	highestLatency  = int64(600_000_000)
	latencyAccuracy = 2
)

// Latency is how the calls of a class did at one agent in a window of time.
type Latency struct {
	// Class is the class of calls.
	Class string
	// At is the latency at the percentile asked for.
	AtPercentile time.Duration
	// Mean is the mean latency.
	Mean time.Duration
	// Calls is how many calls ended in the window.
	Calls int64
}

// latencies keeps the latencies of each class, in microseconds.
type latencies struct {
	mu      sync.Mutex
	classes map[string]*kqwindow.Window[*hdrhistogram.Histogram]
}

func newLatencies() *latencies {
	return &latencies{classes: map[string]*kqwindow.Window[*hdrhistogram.Histogram]{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyAccuracy)
}

// window returns the window of a class; mu is held.
func (l *latencies) window(now time.Time, class string) *kqwindow.Window[*hdrhistogram.Histogram] {
	w := l.classes[class]
	if w == nil {
		w = kqwindow.New(now, latencyWindow, newHistogram)
		l.classes[class] = w
	}
	return w
}

func (l *latencies) add(now time.Time, class string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.window(now, class).At(now).RecordValue(min(d.Microseconds(), highestLatency))
}

// Latency returns how a class did over the last two windows.
func (d *Dispatcher) Latency(now time.Time, class string, percentile float64) Latency {
	l := d.latency
	l.mu.Lock()
	defer l.mu.Unlock()
	present, last := l.window(now, class).Both(now)
	h := newHistogram()
	h.Merge(present)
	h.Merge(last)
	return Latency{Class: class, AtPercentile: time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond,
		Mean: time.Duration(h.Mean() * float64(time.Microsecond)), Calls: h.TotalCount()}
}
