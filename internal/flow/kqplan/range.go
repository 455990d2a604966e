package kqplan

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// Divisible marks a report as usable without some of its runs and ends.
func (*Report) Divisible() {}

// CheckCapacity returns an error if the capacity of a worker is out of range: below zero, or above
// what one task may request. The capacities of thousands of workers can be summed up to that limit.
func (w WorkerInfo) CheckCapacity() error {
	if w.Capacity.IsNegative() || !w.Capacity.FitsIn(kqflow.MaxTaskResources) {
		return fmt.Errorf("capacity %s is out of range: expected at least 0 and at most %s", w.Capacity, kqflow.MaxTaskResources)
	}
	return nil
}

// boundInfo returns the description of a worker with durations in range, and without capacity if that
// is out of range: nothing is then placed on the worker.
func (p *Planner) boundInfo(now time.Time, name string, w WorkerInfo) WorkerInfo {
	if err := w.CheckCapacity(); err != nil {
		p.config.Events.Emit(now, kqevent.EntryOmitted, kqevent.Worker(string(w.Worker)), "host %s: %v", name, err)
		w.Capacity = kqmodel.Resources{}
	}
	w.Remaining, w.SilentFor, w.WarmUpLeft = boundDuration(w.Remaining), boundDuration(w.SilentFor), boundDuration(w.WarmUpLeft)
	return w
}

// boundDuration returns a duration limited to at least 0 and at most kqflow.MaxDuration.
func boundDuration(d time.Duration) time.Duration { return min(kqflow.MaxDuration, max(0, d)) }
