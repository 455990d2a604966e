// Package kqplace chooses workers for tasks. It does no I/O.
package kqplace

import (
	"fmt"
	"slices"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// Worker is the state of a worker that a placement depends on.
type Worker struct {
	// ID names the worker.
	ID string
	// Zone names the availability zone.
	Zone string
	// Rack names the rack.
	Rack string
	// Capacity is the capacity of the host.
	Capacity kqmodel.Resources
	// Reserved is the sum of the reservations of its tasks.
	Reserved kqmodel.Resources
	// AcceptsTasks is true if the worker accepts new tasks.
	AcceptsTasks bool
	// MissesTarget is true if a service on the worker misses its latency target.
	MissesTarget bool
	// ServiceSlowdown is the expected slowdown of its services by its tasks, summed over
	// the classes of service; 1 is a doubling of the latency of one class.
	ServiceSlowdown float64
	// ServiceClasses lists the classes of service on the worker.
	ServiceClasses []string
}

// Free returns the capacity that is not reserved.
func (w *Worker) Free() kqmodel.Resources { return w.Capacity.Sub(w.Reserved) }

// Request is a task that needs a worker.
type Request struct {
	// Resources is the reservation of the task.
	Resources kqmodel.Resources
	// Watcher is true if the task is restarted whenever it ends. Interference does not
	// prevent its placement.
	Watcher bool
	// Urgent is true if the task must start at once. Interference does not prevent its
	// placement.
	Urgent bool
	// TasksPerRack counts the tasks of the same job on each rack.
	TasksPerRack map[string]int
	// AvoidWorkers lists the workers on which the task failed before.
	AvoidWorkers []string
	// Interference estimates the slowdown that the task adds to a class of service; nil
	// estimates none.
	Interference func(class string) float64
}

// Weights of the terms of a worker's score.
const (
	weightInterference = 4.0
	weightTasksPerRack = 10.0
	weightMissesTarget = 100.0
	weightUtilization  = 1.0
	// maxServiceSlowdown is the expected slowdown of a worker's services above which the
	// worker gets no further batch tasks.
	maxServiceSlowdown = 1.0
)

// Choice is the worker that Choose picked for a task, with the reason.
type Choice struct {
	// WorkerIndex is the index of the worker.
	WorkerIndex int
	// Reason explains the choice to operators.
	Reason string
}

// Choose returns the worker with the lowest score among those that can run the task, or the
// reasons why there is none.
func Choose(ws []Worker, r Request) (c Choice, ok bool, reason string) {
	best := 0.0
	rejected := rejections{}
	for i := range ws {
		w := &ws[i]
		if !rejected.accepts(w, r) {
			continue
		}
		if s := score(w, r); !ok || s < best {
			best, c.WorkerIndex, ok = s, i, true
		}
	}
	if !ok {
		return c, false, rejected.String()
	}
	w := &ws[c.WorkerIndex]
	c.Reason = fmt.Sprintf("free %s; expected slowdown of its services %.0f%%", w.Free(), 100*(w.ServiceSlowdown+addedSlowdown(w, r)))
	return c, true, ""
}

// score returns the score of a worker for a task; lower is better.
func score(w *Worker, r Request) float64 {
	s := weightInterference*(addedSlowdown(w, r)+w.ServiceSlowdown) + weightTasksPerRack*float64(r.TasksPerRack[w.Rack]) + weightUtilization*utilization(w, r)
	if w.MissesTarget {
		s += weightMissesTarget
	}
	return s
}

// addedSlowdown returns the slowdown that the task would add to the worker's services.
func addedSlowdown(w *Worker, r Request) float64 {
	sum := 0.0
	if r.Interference != nil {
		for _, c := range w.ServiceClasses {
			sum += r.Interference(c)
		}
	}
	return sum
}

// utilization returns the utilization of the most used resource after the placement.
func utilization(w *Worker, r Request) float64 {
	after := w.Reserved.Add(r.Resources)
	u := fraction(after.MilliProcessors, w.Capacity.MilliProcessors)
	u = max(u, fraction(after.MemoryBytes, w.Capacity.MemoryBytes))
	return max(u, fraction(after.Accelerators, w.Capacity.Accelerators))
}

func fraction(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// rejections counts the workers that cannot run a task, by reason.
type rejections struct {
	notAccepting, failedBefore, noCapacity, tooSlow, total int
}

// accepts reports whether the worker can run the task, and counts the reason if it cannot.
func (rj *rejections) accepts(w *Worker, r Request) bool {
	rj.total++
	switch {
	case !w.AcceptsTasks:
		rj.notAccepting++
	case slices.Contains(r.AvoidWorkers, w.ID):
		rj.failedBefore++
	case !r.Resources.FitsIn(w.Free()):
		rj.noCapacity++
	case !r.Watcher && !r.Urgent && (w.MissesTarget || w.ServiceSlowdown+addedSlowdown(w, r) > maxServiceSlowdown):
		rj.tooSlow++
	default:
		return true
	}
	return false
}

// String describes why no worker was chosen.
func (rj *rejections) String() string {
	return fmt.Sprintf("of %d workers, %d lack free capacity, %d accept no tasks, on %d the task failed before and on %d it would slow services too much",
		rj.total, rj.noCapacity, rj.notAccepting, rj.failedBefore, rj.tooSlow)
}
