package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// A worker on which runs fail, stall or are refused is quarantined: it gets one task at a time, as a
// probe. A probe that ends done, or that works for longer than the failed runs did, ends the quarantine.
// Tasks with one attempt left are no probes as long as another worker could run them. If none could, they
// and all other tasks use the quarantined worker as a last resort, so that no task waits for a probe that
// nothing else makes.

const (
	// quarantineStreak is the number of consecutive failures after which a worker is quarantined
	// for quarantineTime.
	quarantineStreak = 2
	quarantineTime   = 1500 * time.Millisecond
	// lastResortPause is the time after the latest failure, or the beginning of the latest stall, from
	// which a worker may get a task that no other worker could run. It is longer than quarantineTime, so
	// that other tasks probe first, and leaves time to start the task within 3 s.
	lastResortPause = 2500 * time.Millisecond
	// provenFactor is how many times as long as the longest failed run a probe must work to end a
	// quarantine; minProvenTime is the minimum.
	provenFactor  = 2
	minProvenTime = 2500 * time.Millisecond
)

// recordFailure records that a run has failed; r is nil if it was not started on this incarnation.
func (x *health) recordFailure(now time.Time, r *run) {
	x.failureStreak++
	if r == nil || !r.task.step.LongRunning || x.troubleAt.IsZero() {
		// A long-running task is restarted however often it fails, and must not keep others waiting.
		x.troubleAt = now
	}
	if r != nil {
		x.failureTime = max(x.failureTime, now.Sub(r.startedAt))
	}
	if x.failureStreak >= quarantineStreak {
		x.probeAt = now.Add(quarantineTime)
	}
}

// recordStall records that a run makes no progress; begins is true the first time for the run. The run of
// a worker that has completed others since counts again.
func (x *health) recordStall(now time.Time, begins bool) {
	x.failureStreak = max(x.failureStreak, quarantineStreak)
	x.probeAt = now.Add(quarantineTime)
	if begins || x.troubleAt.IsZero() {
		x.troubleAt = now
	}
}

// endQuarantine forgets the failures of a worker.
func (x *health) endQuarantine() {
	x.failureStreak, x.probeAt, x.troubleAt, x.failureTime = 0, time.Time{}, time.Time{}, 0
}

// isQuarantined reports whether the worker is quarantined: it failed, stalled or refused runs, and nothing
// has shown since that it is sound.
func (x *health) isQuarantined() bool { return !x.probeAt.IsZero() }

// hasFailed reports whether a quarantined worker has failed or stalled runs, and not only refused some.
func (x *health) hasFailed() bool { return x.failureStreak >= quarantineStreak }

// rank orders workers for preemption: 0 for a worker that is not quarantined, otherwise 1.
func (x *health) rank() int {
	if x.isQuarantined() {
		return 1
	}
	return 0
}

// checkProbe ends the quarantine of a host if the report of a run that has started since the latest
// trouble shows that the worker is sound: it accepts runs again, if it only refused some; otherwise the run
// has made progress for longer than the failed runs worked. Without this a long probe would keep other
// tasks away until it ends.
func (p *Planner) checkProbe(now time.Time, h *host, r *run) {
	x := &h.health
	if !x.isQuarantined() || r.stopping || r.transferred || r.task.step.LongRunning || !r.startedAt.After(x.troubleAt) {
		return
	}
	worked := r.progressedAt.Sub(r.firstReportAt)
	if x.hasFailed() && (r.percent <= 0 || worked < max(minProvenTime, provenFactor*x.failureTime)) {
		return
	}
	x.endQuarantine()
	p.passRequested = true
	p.config.Events.Emit(now, kqevent.WorkerRestored, kqevent.Worker(string(h.info.Worker)), "host %s: run %d of task %s has made progress for %s", h.name, r.number, r.task.name, worked.Round(time.Millisecond))
}

// logQuarantine logs that the end of a run has begun or ended the quarantine of a host.
func (p *Planner) logQuarantine(now time.Time, h *host, wasQuarantined bool) {
	worker := kqevent.Worker(string(h.info.Worker))
	switch isQuarantined := h.health.isQuarantined(); {
	case isQuarantined && !wasQuarantined:
		p.config.Events.Emit(now, kqevent.WorkerQuarantined, worker, "host %s: %d runs have failed in succession; 0 if a start was refused", h.name, h.health.failureStreak)
	case !isQuarantined && wasQuarantined:
		p.config.Events.Emit(now, kqevent.WorkerRestored, worker, "host %s: a run has ended done", h.name)
	}
}

// mayUseQuarantined reports whether a task may be placed on a quarantined worker like on any other,
// though at lastResortCost. This applies to a restart, which would otherwise wait for a
// probe, whose end may take as long as a throttled filling task. A task that has
// just failed waits, so that it does not fail again and again on quarantined workers.
func (t *task) mayUseQuarantined(now time.Time) bool {
	return t.isRestart() && now.Sub(t.failedAt) >= quarantineTime
}

// isLastAttempt reports whether the job of a task fails if the next run of the task does.
func (t *task) isLastAttempt() bool {
	return !t.step.LongRunning && t.job.queue.MaxAttempts-t.countFailures() <= 1
}

// mayRunQuarantined reports whether a task may be placed on a host whose worker is quarantined.
func (p *Planner) mayRunQuarantined(now time.Time, t *task, h *host) bool {
	switch {
	case t.mayUseQuarantined(now):
		return true
	case !now.Before(h.health.probeAt) && !h.hasProbe(h.health.probeAt) && !(h.health.hasFailed() && t.isLastAttempt()):
		return true
	}
	// A run that stalls puts off probeAt for as long as it does. A restart waits for mayUseQuarantined.
	return !t.isRestart() && now.Sub(h.health.troubleAt) >= lastResortPause && !p.couldRunElsewhere(now, t) && !h.hasProbe(h.health.troubleAt)
}

// hasProbe reports whether a finite run has started on a host at a time or later.
func (h *host) hasProbe(since time.Time) bool {
	for _, r := range h.runs.All() {
		if !r.startedAt.Before(since) && !r.task.step.LongRunning {
			return true
		}
	}
	return false
}

// alternatives holds, as of a time, whether workers that are not quarantined could run tasks.
type alternatives struct {
	at    time.Time
	exist map[placementKey]bool
}

// couldRunElsewhere reports whether workers that are not quarantined could run a task, or its whole gang,
// now or once finite runs have ended there.
func (p *Planner) couldRunElsewhere(now time.Time, t *task) bool {
	if !p.alternatives.at.Equal(now) {
		p.alternatives = alternatives{at: now, exist: map[placementKey]bool{}}
	}
	if t.hasBarredHosts(now) {
		return p.findAlternative(now, t)
	}
	key := t.placementKey(now)
	exists, ok := p.alternatives.exist[key]
	if !ok {
		exists = p.findAlternative(now, t)
		p.alternatives.exist[key] = exists
	}
	return exists
}

// findAlternative is couldRunElsewhere without its results for other tasks that the same hosts accept.
func (p *Planner) findAlternative(now time.Time, t *task) bool {
	return p.couldFit(now, t, func(h *host) (room kqmodel.Resources, ok bool) {
		return h.freeOfFinite(), !h.health.isQuarantined() && !h.info.Unresponsive
	})
}

// couldFit reports whether a task, or its whole gang, fits on the workers that it may run on and that accept work,
// given what each has room for; a host that is not ok is left out.
func (p *Planner) couldFit(now time.Time, t *task, roomOn func(*host) (room kqmodel.Resources, ok bool)) bool {
	missing := 1
	if t.step.Gang {
		missing = t.step.Count
	}
	for _, h := range p.hosts.All() {
		room, ok := roomOn(h)
		if !ok || !h.acceptsWork(now) || p.isDenied(t, h) || !p.isSuitable(now, t, h) {
			continue
		}
		missing -= t.countFitting(h.availableTo(t, room))
		if missing <= 0 {
			return true
		}
	}
	return false
}

// availableTo returns the part of some free resources of a host that a task may use: all but the reserve
// for the top priority, if that is kept free of the task.
func (h *host) availableTo(t *task, free kqmodel.Resources) kqmodel.Resources {
	return free.Sub(h.withReserveFor(t, kqmodel.Resources{}))
}
