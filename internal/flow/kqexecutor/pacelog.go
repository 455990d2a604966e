package kqexecutor

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

const (
	// paceLogInterval is the time between two lines of the pace log.
	paceLogInterval = time.Second
	// maxSampleSpan limits the time that one sample is counted for.
	maxSampleSpan = 500 * time.Millisecond
)

// paceLog collects how latency-critical and filling tasks affect each other for the event log,
// which gets one line for each interval, regardless of the number of changes within it.
type paceLog struct {
	totals    kqpace.Stats
	sampledAt time.Time
	loggedAt  time.Time
	// lowestHeadroom is the lowest latency headroom of each image within the interval.
	lowestHeadroom map[string]float64
	// changes lists the changed paces within the interval.
	changes []string
}

// samplePaces adds the running tasks to the pace log for the time since the last sample, with
// the lowest headroom of each image. mu is held.
func (x *Executor) samplePaces(now time.Time, running []kqexecution.RunStatus, headrooms map[string]float64) {
	l := &x.paceLog
	span := min(maxSampleSpan, now.Sub(l.sampledAt))
	l.sampledAt = now
	if l.lowestHeadroom == nil {
		l.lowestHeadroom = map[string]float64{}
	}
	interference := make(map[string]float64, len(headrooms))
	for image, headroom := range headrooms {
		interference[image] = x.interference(image)
		if lowest, ok := l.lowestHeadroom[image]; !ok || headroom < lowest {
			l.lowestHeadroom[image] = headroom
		}
	}
	for _, r := range running {
		e := x.runs[r.Run]
		switch {
		case e == nil || e.stopping:
		case e.order.TailTarget > 0 && r.Measurement > 0:
			l.totals.AddServing(span, e.headroom(r), interference[e.order.Image])
		case e.order.Fills:
			l.totals.AddFilling(span, float64(e.order.Size.MilliProcessors)/1000, max(0, e.pacePercent))
		}
	}
	if now.Sub(l.loggedAt) >= paceLogInterval {
		x.logPaces(now)
	}
}

// headroom returns the latency headroom of a latency-critical run: its target divided by its
// tail latency.
func (e *execution) headroom(r kqexecution.RunStatus) float64 {
	return float64(e.order.TailTarget.Milliseconds()) / r.Measurement
}

// interference returns the headroom that the filling runs are estimated to take from an image;
// mu is held.
func (x *Executor) interference(image string) float64 {
	sum := 0.0
	for _, e := range x.runs {
		if e.order.Fills {
			sum += e.utilization * e.order.Interference[image]
		}
	}
	return sum
}

// logPaces logs the line of an interval, unless no latency-critical or no filling task ran in
// it, and begins the next interval. mu is held.
func (x *Executor) logPaces(now time.Time) {
	l := &x.paceLog
	l.loggedAt = now
	if l.totals.ServingMS == 0 || l.totals.FillingMS == 0 {
		l.totals, l.lowestHeadroom, l.changes = kqpace.Stats{}, nil, nil
		return
	}
	headrooms := make([]string, 0, len(l.lowestHeadroom))
	for image, headroom := range l.lowestHeadroom {
		headrooms = append(headrooms, fmt.Sprintf("%s %.2f", image, headroom))
	}
	slices.Sort(headrooms)
	x.config.Events.EmitFields(now, kqevent.FlowPacing, kqevent.Worker(string(x.info.Worker)), []kqevent.Field{kqevent.Value("pace", l.totals)},
		"lowest latency headroom: %s; changed paces: %s", strings.Join(headrooms, ", "), strings.Join(l.changes, ", "))
	l.totals, l.lowestHeadroom, l.changes = kqpace.Stats{}, nil, nil
}

// recordChange adds a run's new pace to the line of the interval.
func (l *paceLog) recordChange(r kqexecution.Run, percent int) {
	l.changes = append(l.changes, fmt.Sprintf("%s run %d at %d %%", r.Task, r.Number, percent))
}
