package kqdispatch

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqwindow"
)

const (
	// latencyWindow is the length of one measurement window; a measurement covers two.
	latencyWindow = 2 * time.Second
	// minLatency and maxLatency are the range of recorded latencies, in microseconds. Longer
	// latencies count as maxLatency.
	minLatency = int64(10)
	maxLatency = int64(600_000_000)
	// significantDigits is the precision of a measured latency, in decimal digits.
	significantDigits = 2
)

// Latency is the measured latency of the calls of a class at one agent.
type Latency struct {
	// Class is the class of calls.
	Class string
	// AtPercentile is the latency at the requested percentile.
	AtPercentile time.Duration
	// Mean is the mean latency.
	Mean time.Duration
	// Calls is the number of calls that were measured.
	Calls int64
}

// latencies holds the latencies of the calls of each class, in microseconds.
type latencies struct {
	mu      sync.Mutex
	classes map[string]*kqwindow.Window[*hdrhistogram.Histogram]
}

func newLatencies() *latencies {
	return &latencies{classes: map[string]*kqwindow.Window[*hdrhistogram.Histogram]{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, significantDigits)
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

func (l *latencies) record(now time.Time, class string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.window(now, class).Current(now).RecordValue(min(d.Microseconds(), maxLatency))
}

// Latency returns the latency of a class over the present and the previous window.
func (d *Dispatcher) Latency(now time.Time, class string, percentile float64) Latency {
	l := d.latencies
	l.mu.Lock()
	defer l.mu.Unlock()
	current, previous := l.window(now, class).CurrentAndLast(now)
	h := newHistogram()
	h.Merge(current)
	h.Merge(previous)
	return Latency{Class: class, AtPercentile: time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond,
		Mean: time.Duration(h.Mean() * float64(time.Microsecond)), Calls: h.TotalCount()}
}
