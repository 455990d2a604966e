package kqtaskhost

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// shrinkAllowance is the time from a decrease of a worker's capacity until starts count against the new
// capacity: the system has to learn of it from a check-in.
const shrinkAllowance = 4500 * time.Millisecond

// capacity is the capacity of a worker, which may change while it runs.
type capacity struct {
	current kqmodel.Resources
	// previous was the capacity until changedAt.
	previous  kqmodel.Resources
	changedAt time.Time
}

// allows reports whether a worker may use the given resources.
func (c capacity) allows(now time.Time, used kqmodel.Resources) bool {
	return used.FitsIn(c.current) || !c.changedAt.IsZero() && now.Sub(c.changedAt) <= shrinkAllowance && used.FitsIn(c.previous)
}

// SetCapacity changes the capacity of the worker and of later incarnations.
func (h *Host) SetCapacity(r kqmodel.Resources) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.capacity = capacity{current: r, previous: h.capacity.current, changedAt: time.Now()}
}

// Capacity returns the capacity of the worker.
func (h *Host) Capacity() kqmodel.Resources {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.capacity.current
}

// Used returns the resources that the runs of the worker use, those that are being stopped included.
func (h *Host) Used() kqmodel.Resources {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker.used()
}

// used returns the resources that the runs use; mu is held.
func (w *worker) used() kqmodel.Resources {
	var sum kqmodel.Resources
	for _, r := range w.running {
		sum = sum.Add(r.resources)
	}
	return sum
}
