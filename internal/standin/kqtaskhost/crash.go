package kqtaskhost

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// crashDowntime is the time from a crash caused by a task until the next incarnation starts.
const crashDowntime = 3 * time.Second

// Crash ends the current incarnation without notice. Its runs are lost, and calls fail until the next
// incarnation starts after downtime.
func (h *Host) Crash(downtime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crash(downtime)
}

// Leave ends the current incarnation as a planned end does. Its runs are lost, and calls fail until
// Restart.
func (h *Host) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isDown {
		return
	}
	h.endIncarnation()
	h.isDown = true
}

// crash is Crash with mu held.
func (h *Host) crash(downtime time.Duration) {
	if h.isDown {
		return
	}
	h.endIncarnation()
	h.isDown = true
	h.config.Ledger.workerCrashed()
	time.AfterFunc(downtime, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.isDown {
			h.restart(h.name)
		}
	})
}

// IsUp reports whether an incarnation is running.
func (h *Host) IsUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.isDown
}

// endIncarnation loses the runs of the current incarnation; mu is held.
func (h *Host) endIncarnation() {
	w := h.worker
	w.advance(time.Now())
	w.replaced = true
	for k := range w.running {
		h.config.Ledger.workerReplaced(k, w.incarnation)
	}
	w.running = map[kqexecution.Run]*run{}
}

// crashIfPoison schedules the crash of the worker if the task of a run that has just started causes one,
// unless the run has ended by then. mu is held.
func (w *worker) crashIfPoison(r kqexecution.Run) {
	h := w.host
	if h.config.CrashAfter == nil {
		return
	}
	after, crashes := h.config.CrashAfter(r.Task)
	if !crashes {
		return
	}
	time.AfterFunc(after, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if w.replaced || w.running[r] == nil {
			return
		}
		h.config.Ledger.crashedBy(r.Task)
		h.crash(crashDowntime)
	})
}
