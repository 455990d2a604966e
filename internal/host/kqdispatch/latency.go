package kqdispatch

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
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
	At time.Duration
	// Mean is the mean latency.
	Mean time.Duration
	// Calls is how many calls ended in the window.
	Calls int64
}

// pane is the latencies of a class in the present and the last window, in
// microseconds.
type pane struct {
	from    time.Time
	present *hdrhistogram.Histogram
	last    *hdrhistogram.Histogram
}

// latencies keeps the latencies of each class.
type latencies struct {
	mu      sync.Mutex
	classes map[string]*pane
}

func newLatencies() *latencies { return &latencies{classes: map[string]*pane{}} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyAccuracy)
}

func (l *latencies) pane(now time.Time, class string) *pane {
	p := l.classes[class]
	if p == nil {
		p = &pane{from: now, present: newHistogram(), last: newHistogram()}
		l.classes[class] = p
	}
	if age := now.Sub(p.from); age >= latencyWindow {
		p.present, p.last = p.last, p.present
		p.present.Reset()
		if age >= 2*latencyWindow {
			p.last.Reset()
		}
		p.from = now
	}
	return p
}

func (l *latencies) add(now time.Time, class string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.pane(now, class).present.RecordValue(min(d.Microseconds(), highestLatency))
}

// Latency returns how a class did over the last two windows.
func (d *Dispatcher) Latency(now time.Time, class string, percentile float64) Latency {
	l := d.latency
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pane(now, class)
	h := newHistogram()
	h.Merge(p.present)
	h.Merge(p.last)
	return Latency{Class: class, At: time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond,
		Mean: time.Duration(h.Mean() * float64(time.Microsecond)), Calls: h.TotalCount()}
}
