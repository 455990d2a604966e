// Package kqplace chooses workers for tasks. It does no I/O.
package kqplace

import (
	"fmt"
	"slices"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// Worker is what a placement knows of a worker.
type Worker struct {
	// ID names the worker.
	ID string
	// Zone is the availability zone.
	Zone string
	// Rack is the rack.
	Rack string
	// Capacity is what the host has.
	Capacity kqmodel.Resources
	// Reserved is what its tasks hold.
	Reserved kqmodel.Resources
	// Open is true if the worker takes new tasks.
	AcceptsTasks bool
	// Pressed is true if a service on the worker misses its target.
	MissesTarget bool
	// Slowdown is the expected slowdown of its services by its tasks.
	ServiceSlowdown float64
	// Services is the classes of service on the worker.
	ServiceClasses []string
}

// Free returns what is not reserved.
func (w *Worker) Free() kqmodel.Resources { return w.Capacity.Sub(w.Reserved) }

// Request is a task that needs a worker.
type Request struct {
	// Resources is what the task reserves.
	Resources kqmodel.Resources
	// Watcher is true if the task is kept running.
	Watcher bool
	// Urgent is true if the task must start at once.
	Urgent bool
	// RackUse is how many tasks of the same job each rack holds.
	TasksPerRack map[string]int
	// Avoid is the workers on which the task failed before.
	AvoidWorkers []string
	// Interference estimates the slowdown that the task adds to a class.
	Interference func(class string) float64
}

// Weights of the parts of the score of a placement.
const (
	weightInterference = 4.0
	weightRackUse      = 10.0
	weightPressed      = 100.0
	weightUse          = 1.0
	// slowdownLimit is the expected slowdown above which a worker gets no
	// further batch work.
	slowdownLimit = 1.0
)

// Choice is a chosen worker.
type Choice struct {
	// Worker is the index of the worker.
	WorkerIndex int
	// Reason says why it was chosen.
	Reason string
}

// Choose returns the worker with the lowest score, or why there is none.
func Choose(ws []Worker, r Request) (c Choice, ok bool, why string) {
	best := 0.0
	misses := miss{}
	for i := range ws {
		w := &ws[i]
		if !misses.fits(w, r) {
			continue
		}
		if s := score(w, r); !ok || s < best {
			best, c.WorkerIndex, ok = s, i, true
		}
	}
	if !ok {
		return c, false, misses.String()
	}
	w := &ws[c.WorkerIndex]
	c.Reason = fmt.Sprintf("free %s; expected slowdown of its services %.0f%%", w.Free(), 100*(w.ServiceSlowdown+added(w, r)))
	return c, true, ""
}

// score is lower for a better worker.
func score(w *Worker, r Request) float64 {
	s := weightInterference*(added(w, r)+w.ServiceSlowdown) + weightRackUse*float64(r.TasksPerRack[w.Rack]) + weightUse*use(w, r)
	if w.MissesTarget {
		s += weightPressed
	}
	return s
}

// added is the slowdown that the task would add to the worker's services.
func added(w *Worker, r Request) float64 {
	sum := 0.0
	if r.Interference != nil {
		for _, c := range w.ServiceClasses {
			sum += r.Interference(c)
		}
	}
	return sum
}

// use is the share of the fullest resource after the placement.
func use(w *Worker, r Request) float64 {
	after := w.Reserved.Add(r.Resources)
	u := share(after.MilliProcessors, w.Capacity.MilliProcessors)
	u = max(u, share(after.MemoryBytes, w.Capacity.MemoryBytes))
	return max(u, share(after.Accelerators, w.Capacity.Accelerators))
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// miss counts why workers were left out.
type miss struct {
	closed, failed, full, slow, all int
}

func (m *miss) fits(w *Worker, r Request) bool {
	m.all++
	switch {
	case !w.AcceptsTasks:
		m.closed++
	case slices.Contains(r.AvoidWorkers, w.ID):
		m.failed++
	case !r.Resources.Fits(w.Free()):
		m.full++
	case !r.Watcher && !r.Urgent && (w.MissesTarget || w.ServiceSlowdown+added(w, r) > slowdownLimit):
		m.slow++
	default:
		return true
	}
	return false
}

// String says why no worker was chosen.
func (m *miss) String() string {
	return fmt.Sprintf("of %d workers %d have no room, %d take no work, on %d it failed before and on %d it would slow a service too much",
		m.all, m.full, m.closed, m.failed, m.slow)
}
