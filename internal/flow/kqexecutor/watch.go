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
	// watchInterval is how often what happened to serving and filling tasks is
	// logged, longestLook the most that one look stands for.
	watchInterval = time.Second
	longestLook   = 500 * time.Millisecond
)

// watch follows how serving and filling tasks get on beside each other, for the
// log: a line for each interval, whatever changed within it.
type watch struct {
	tally    kqpace.Stats
	lookedAt time.Time
	loggedAt time.Time
	least    map[string]float64
	changes  []string
}

// look counts what runs since the last look, beside the least room of each image;
// mu is held.
func (x *Executor) look(now time.Time, running []kqexecution.Running, rooms map[string]float64) {
	w := &x.watch
	span := min(longestLook, now.Sub(w.lookedAt))
	w.lookedAt = now
	if w.least == nil {
		w.least = map[string]float64{}
	}
	taken := make(map[string]float64, len(rooms))
	for image, room := range rooms {
		taken[image] = x.taken(image)
		if least, ok := w.least[image]; !ok || room < least {
			w.least[image] = room
		}
	}
	for _, r := range running {
		e := x.runs[r.Run]
		switch {
		case e == nil || e.stopping:
		case e.order.TailTarget > 0 && r.Measure > 0:
			w.tally.AddServing(span, e.room(r), taken[e.order.Image])
		case e.order.Fills:
			w.tally.AddFilling(span, float64(e.order.Size.MilliProcessors)/1000, max(0, e.paced))
		}
	}
	if now.Sub(w.loggedAt) >= watchInterval {
		x.logWatch(now)
	}
}

// room returns the target of a serving run over its tail latency.
func (e *entry) room(r kqexecution.Running) float64 {
	return float64(e.order.TailTarget.Milliseconds()) / r.Measure
}

// taken returns the room that filling runs are thought to take of an image.
func (x *Executor) taken(image string) float64 {
	sum := 0.0
	for _, e := range x.runs {
		if e.order.Fills {
			sum += e.use * e.order.Interference[image]
		}
	}
	return sum
}

// logWatch writes the line of an interval.
func (x *Executor) logWatch(now time.Time) {
	w := &x.watch
	w.loggedAt = now
	if w.tally.ServingMS == 0 || w.tally.FillingMS == 0 {
		w.tally, w.least, w.changes = kqpace.Stats{}, nil, nil
		return
	}
	rooms := make([]string, 0, len(w.least))
	for image, room := range w.least {
		rooms = append(rooms, fmt.Sprintf("%s %.2f", image, room))
	}
	slices.Sort(rooms)
	x.config.Events.EmitFields(now, kqevent.FlowPaced, kqevent.Worker(string(x.info.Worker)), []kqevent.Field{kqevent.Value("pace", w.tally)},
		"least rooms: %s; paces: %s", strings.Join(rooms, ", "), strings.Join(w.changes, ", "))
	w.tally, w.least, w.changes = kqpace.Stats{}, nil, nil
}

// change notes a run's new share for the line of the interval.
func (w *watch) change(r kqexecution.Run, percent int) {
	w.changes = append(w.changes, fmt.Sprintf("%s run %d %d %%", r.Task, r.Number, percent))
}
