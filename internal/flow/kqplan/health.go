package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// health holds the results of runs on one incarnation of a worker. While it is quarantined, it gets only
// probes, see quarantine.go.
type health struct {
	// failureStreak counts consecutive failed runs; a run that stalls makes it quarantineStreak.
	failureStreak int
	// probeAt is when a quarantined worker may get another task; zero if it is not quarantined.
	probeAt time.Time
	// troubleAt is when a run last failed, was refused or began to stall.
	troubleAt time.Time
	// failureTime is the longest time from the start of a run of the streak to its failure.
	failureTime time.Duration
	// durationRatio is the moving average of actual over estimated durations, 0 while there is none.
	durationRatio float64
}

const (
	// durationRatioWeight is the weight of a new sample in the moving average.
	durationRatioWeight = 0.35
	// slowThreshold is the slowdown from which a worker counts as slow.
	slowThreshold = 1.8
	// minSampleEstimate is the shortest estimate whose duration is sampled.
	minSampleEstimate = 200 * time.Millisecond
)

// recordEnd updates the health of a worker with the end of a run. r is nil if the run was not started
// on this incarnation.
func (x *health) recordEnd(now time.Time, r *run, reason kqexecution.EndReason) {
	switch reason {
	case kqexecution.EndFailed:
		x.recordFailure(now, r)
	case kqexecution.EndDone:
		x.endQuarantine()
		if r != nil && r.task.savedCheckpoint() == "" && !r.task.step.Fills && !r.startedAt.Before(r.host.warmUpUntil) {
			x.recordDuration(now.Sub(r.startedAt), r.task.step.Estimate)
		}
	case kqexecution.EndRefused:
		x.troubleAt = now
		x.probeAt = later(x.probeAt, now.Add(refusedRetryDelay))
	}
}

// recordDuration adds the duration of a run to the moving average.
func (x *health) recordDuration(took, estimate time.Duration) {
	if estimate < minSampleEstimate {
		return
	}
	ratio := float64(took) / float64(estimate)
	if x.durationRatio == 0 {
		x.durationRatio = 1
	}
	x.durationRatio += durationRatioWeight * (ratio - x.durationRatio)
}

// slowdown returns the expected ratio of actual to estimated durations, at least 0.5.
func (x *health) slowdown() float64 {
	if x.durationRatio == 0 {
		return 1
	}
	return max(0.5, x.durationRatio)
}

const (
	// A run has stalled after minStallTime without progress, or after stallShare of the estimate if
	// that is longer.
	minStallTime = 1200 * time.Millisecond
	stallShare   = 0.4
	// minProgressTime is the time after which the progress of a run is extrapolated.
	minProgressTime = 500 * time.Millisecond
	// A slow run is moved or copied if its remaining time is at least minMoveGain times the time
	// that a new run needs.
	minMoveGain           = 1.6
	fullPercent           = 100
	progressCheckInterval = 200 * time.Millisecond
	// maxMoveSearches is how many throttled filling runs another host is searched for per progress
	// check: each search scores every host.
	maxMoveSearches = 12
	// slowPassTime is the duration of a scheduling pass above which the owner counts as overloaded.
	slowPassTime = 100 * time.Millisecond
)

// checkProgress finds runs that are not started, have stalled or are slow: a speculative task gets a
// second copy, any other task is moved to another host.
func (p *Planner) checkProgress(now time.Time) {
	if now.Sub(p.progressCheckedAt) < progressCheckInterval {
		return
	}
	p.progressCheckedAt = now
	p.noMoveHost = map[placementKey]bool{}
	searches := maxMoveSearches
	if p.isOverloaded() {
		searches = 1
	}
	p.moves.beginPass(searches)
	for _, h := range p.rotatedHosts() {
		usable := h.usable(now)
		for _, r := range h.runList() {
			p.stopUnstarted(now, r)
			if usable {
				p.checkRunProgress(now, h, r)
			}
		}
	}
}

const (
	// maxOmittedTime is how long complete reports may leave out a run whose start was ordered. The
	// agent repeats a start every 0.03 s, and the worker lists the run once it is carried out.
	maxOmittedTime = 2 * time.Second
	// minOmissions is the number of such reports from which a start counts as not carried out: the
	// owner may be behind with reports that were sent before the order arrived, but an agent that waits
	// for the answer to a lease request sends at most about one in 2 s.
	minOmissions = 4
)

// countOmissions counts a complete report of a worker for the runs that it should have listed.
func (h *host) countOmissions(now time.Time, worker kqexecution.Incarnation) {
	for _, r := range h.runs.All() {
		if r.reported || !r.ordered || r.worker != worker {
			continue
		}
		if r.omissions == 0 {
			r.omittedSince = now
		}
		r.omissions++
	}
}

// stopUnstarted stops a long-running run whose start is not carried out: the agent holds it back, or the
// worker refuses it for the present. The task is placed again once the agent reports that the run has
// ended, since until then the worker may still start it.
func (p *Planner) stopUnstarted(now time.Time, r *run) {
	if r.stopping || r.reported || !r.task.step.LongRunning || r.task.job.state.Final() || r.omissions < minOmissions || now.Sub(r.omittedSince) <= maxOmittedTime {
		return
	}
	p.logMove(now, r, "its start has not been carried out for %s, %d reports leave it out", now.Sub(r.omittedSince).Round(time.Millisecond), r.omissions)
	r.task.avoidedHost = r.host.name
	p.stop(r)
}

// isOverloaded reports whether scheduling passes take the owner too long. A progress check then
// searches another host for at most one run, and nothing is relocated.
func (p *Planner) isOverloaded() bool { return p.fillingPassDuration > slowPassTime }

// rotatedHosts returns all hosts, starting at a different one in each call, so that the bound on
// searches does not always exclude the same hosts.
func (p *Planner) rotatedHosts() []*host {
	out := make([]*host, 0, p.hosts.Len())
	for _, h := range p.hosts.All() {
		out = append(out, h)
	}
	if len(out) == 0 {
		return nil
	}
	p.hostRotation = (p.hostRotation + len(out)/2 + 1) % len(out)
	return append(out[p.hostRotation:], out[:p.hostRotation]...)
}

// checkRunProgress checks one run. A worker on which a run has stalled is quarantined.
func (p *Planner) checkRunProgress(now time.Time, h *host, r *run) {
	s := r.task.step
	if r.stopping || !r.reported || s.LongRunning || r.task.job.state.Final() || r.percent >= fullPercent {
		return
	}
	if s.Gang {
		p.checkGangProgress(now, r)
		return
	}
	if s.Fills {
		p.checkFillingProgress(now, h, r)
		return
	}
	ran := now.Sub(r.firstReportAt)
	sinceProgress := now.Sub(r.progressedAt)
	stalled := sinceProgress > max(minStallTime, time.Duration(stallShare*float64(s.Estimate)))
	if stalled {
		h.health.recordStall(now, !r.stalled)
		r.stalled = true
	}
	if ran < minProgressTime || r.percent <= 0 && !stalled {
		return
	}
	if p.isOverloaded() && !p.takeMoveSearch(r) {
		return
	}
	remaining := time.Duration(float64(ran) * (fullPercent - r.percent) / max(1, r.percent))
	if s.Speculative {
		p.startCopy(now, r, remaining, stalled)
		return
	}
	p.moveSlowRun(now, h, r, remaining, stalled)
}

const (
	// throttledPace is the share of full speed, in percent, up to which a filling run counts as
	// throttled.
	throttledPace = 30
	// maxThrottledTime is how long a run may be throttled before it is moved.
	maxThrottledTime = 600 * time.Millisecond
	// maxRestartProgress is the progress, in percent, above which a run without checkpoints is not
	// moved, since it would lose its work.
	maxRestartProgress = 25
	// maxMoveProgress is the progress, in percent, above which no run is moved.
	maxMoveProgress = 85
)

// checkFillingProgress moves a filling run that is throttled in favour of serving tasks to a host
// where it is not.
func (p *Planner) checkFillingProgress(now time.Time, h *host, r *run) {
	if r.pace > throttledPace || h.usage.serving == 0 || p.inEvacuationGrace(now, h) {
		r.throttledSince = time.Time{}
		return
	}
	if r.throttledSince.IsZero() {
		r.throttledSince = now
	}
	s := r.task.step
	if now.Sub(r.throttledSince) < maxThrottledTime || r.percent > maxMoveProgress || (!s.Checkpoints && r.percent > maxRestartProgress) {
		return
	}
	if !p.takeMoveSearch(r) {
		return
	}
	to := p.chooseHost(now, r.task)
	if to == nil || to == h || p.fillingEffectOn(s, to).pace <= throttledPace {
		return
	}
	p.logMove(now, r, "at %.0f %%, throttled to %d %% of full speed", r.percent, r.pace)
	r.task.avoidedHost = h.name
	p.stop(r)
}

// takeMoveSearch reports whether it is the turn of a run, and takes one of the searches of the progress check.
func (p *Planner) takeMoveSearch(r *run) bool {
	if !p.moves.maySearch(r.key()) {
		return false
	}
	p.moves.countSearch(r.key())
	return true
}

// startCopy starts a second copy of a task on a host where it is likely to end earlier.
func (p *Planner) startCopy(now time.Time, r *run, remaining time.Duration, stalled bool) {
	t := r.task
	if len(t.runs) > 1 && stalled {
		// The other copy may have stalled too: this one is stopped, so that another can start.
		p.logMove(now, r, "stalled while another copy of the task exists")
		t.avoidedHost = r.host.name
		p.stop(r)
		return
	}
	if len(t.runs) > 1 || p.trials[t.stepKey()] != nil || (!stalled && remaining < time.Duration(minMoveGain*float64(t.step.Estimate))) {
		return
	}
	if h := p.chooseMoveHost(now, t); h != nil && h != r.host {
		p.start(now, t, h)
	}
}

// chooseMoveHost is chooseHost, which is called once per check for the tasks that the same hosts accept if
// it finds none for the first of them.
func (p *Planner) chooseMoveHost(now time.Time, t *task) *host {
	key := t.placementKey(now)
	if p.noMoveHost[key] {
		return nil
	}
	h := p.chooseHost(now, t)
	p.noMoveHost[key] = h == nil && !t.hasBarredHosts(now)
	return h
}

// moveSlowRun stops a run that is expected to end earlier on another host.
func (p *Planner) moveSlowRun(now time.Time, h *host, r *run, remaining time.Duration, stalled bool) {
	s := r.task.step
	restartTime := s.Estimate
	if s.Checkpoints && r.task.savedCheckpoint() != "" {
		restartTime = time.Duration(float64(s.Estimate) * (fullPercent - r.percent) / fullPercent)
	}
	restartTime += restartOverhead
	if !stalled && (remaining < time.Duration(minMoveGain*float64(restartTime))+restartOverhead || p.inEvacuationGrace(now, h)) {
		return
	}
	if to := p.chooseMoveHost(now, r.task); to == nil || to == h || to.health.slowdown() > slowThreshold {
		return
	}
	p.logMove(now, r, "at %.0f %%, stalled %t, expected remaining time %s", r.percent, stalled, remaining.Round(time.Millisecond))
	r.task.avoidedHost = h.name
	p.stop(r)
}

// restartOverhead is about how long it takes to stop a run and to resume it elsewhere.
const restartOverhead = 700 * time.Millisecond

// drain stops the runs that a draining worker cannot finish in time.
func (p *Planner) drain(now time.Time, h *host) {
	for _, r := range h.runList() {
		s := r.task.step
		if r.stopping || s.LongRunning {
			continue
		}
		remaining := time.Duration(float64(s.Estimate) * h.health.slowdown() * (fullPercent - r.percent) / fullPercent)
		if remaining > h.info.Remaining {
			p.logMove(now, r, "its draining worker stays for %s, the run needs another %s", h.info.Remaining, remaining.Round(time.Millisecond))
			p.stop(r)
			p.stopGang(r.task)
		}
	}
}
