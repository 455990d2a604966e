package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// health is what was seen of the work on one incarnation of a worker.
type health struct {
	failureStreak int
	probeAt       time.Time
	durationRatio float64
}

const (
	quarantineStreak    = 2
	quarantineTime      = 1500 * time.Millisecond
	durationRatioWeight = 0.35
	slowThreshold       = 1.8
	minSampleEstimate   = 200 * time.Millisecond
)

// ended learns from the end of a run.
func (x *health) recordEnd(now time.Time, r *run, how kqexecution.How) {
	switch how {
	case kqexecution.HowFailed:
		x.failureStreak++
		if x.failureStreak >= quarantineStreak {
			x.probeAt = now.Add(quarantineTime)
		}
	case kqexecution.HowDone:
		x.failureStreak, x.probeAt = 0, time.Time{}
		if r != nil && r.task.checkpoint == "" && !r.task.step.Fills && !r.startedAt.Before(r.host.warmUpUntil) {
			x.recordDuration(now.Sub(r.startedAt), r.task.step.Estimate)
		}
	case kqexecution.HowRefused:
		x.probeAt = now.Add(refusedRetryDelay)
	}
}

// learn takes over how long work took that was estimated.
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

// slowdown returns how many times as long work takes as estimated.
func (x *health) slowdown() float64 {
	if x.durationRatio == 0 {
		return 1
	}
	return max(0.5, x.durationRatio)
}

// quarantined reports whether the worker fails what it starts.
func (x *health) isQuarantined() bool { return !x.probeAt.IsZero() }

// mayProbe reports whether a quarantined worker may get one more task.
func (h *host) mayProbe(now time.Time) bool {
	if now.Before(h.health.probeAt) {
		return false
	}
	for _, r := range h.runs.All() {
		if !r.startedAt.Before(h.health.probeAt) && !r.task.step.LongRunning {
			return false
		}
	}
	return true
}

const (
	minStallTime          = 1200 * time.Millisecond
	stallShare            = 0.4
	minProgressTime       = 500 * time.Millisecond
	minMoveGain           = 1.6
	fullPercent           = 100
	progressCheckInterval = 200 * time.Millisecond
	// mostMoves is for how many held runs another host is sought at a time: each
	// search weighs every host.
	maxMoveSearches = 12
	// slowPass is from how long a pass on an owner is taken to be behind.
	slowPassTime = 100 * time.Millisecond
)

// watchProgress finds runs that stand still or are slow: a speculative task
// gets a second copy, another one is moved.
func (p *Planner) checkProgress(now time.Time) {
	if now.Sub(p.progressCheckedAt) < progressCheckInterval {
		return
	}
	p.progressCheckedAt = now
	p.movesLeft = maxMoveSearches
	if p.isOverloaded() {
		p.movesLeft = 1
	}
	for _, h := range p.rotatedHosts() {
		if !h.usable(now) {
			continue
		}
		for _, r := range h.runList() {
			p.checkRunProgress(now, h, r)
		}
	}
}

// isBehind reports whether the owner is slow for its fleet: it then leaves most of
// what is only slow where it is, and makes few copies.
func (p *Planner) isOverloaded() bool { return p.fillingPassDuration > slowPassTime }

// hostsInTurn lists the hosts, each time from another one on, so that none is
// always the last for which moves are left.
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
	still := now.Sub(r.progressedAt)
	stalled := still > max(minStallTime, time.Duration(stallShare*float64(s.Estimate)))
	if stalled {
		h.health.failureStreak = max(h.health.failureStreak, quarantineStreak)
		h.health.probeAt = now.Add(quarantineTime)
	}
	if ran < minProgressTime || r.percent <= 0 && !stalled {
		return
	}
	if p.isOverloaded() {
		if p.movesLeft--; p.movesLeft < 0 {
			return
		}
	}
	left := time.Duration(float64(ran) * (fullPercent - r.percent) / max(1, r.percent))
	if s.Speculative {
		p.startCopy(now, r, left, stalled)
		return
	}
	p.moveSlowRun(now, h, r, left, stalled)
}

const (
	// heldPace is the share at which a filling run is as good as held.
	throttledPace = 30
	// heldTime is after how long such a run is moved.
	maxThrottledTime = 600 * time.Millisecond
	// keepPercent is the progress from which on a run without a checkpoint
	// stays.
	maxRestartProgress = 25
	// keepShare is the progress from which on any run stays.
	maxMoveProgress = 85
)

// watchFill moves a filling run that serving tasks hold back to a host where
// it can work.
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
	if p.movesLeft--; p.movesLeft < 0 {
		return
	}
	to := p.chooseHost(now, r.task)
	if to == nil || to == h || p.fillingEffectOn(s, to).pace <= throttledPace {
		return
	}
	p.logMove(now, r, "at %.0f %% held back at %d %%", r.percent, r.pace)
	r.task.avoidedHost = h.name
	p.stop(r)
}

// copyTask starts a second copy where that is likely to end earlier.
func (p *Planner) startCopy(now time.Time, r *run, left time.Duration, stalled bool) {
	t := r.task
	if len(t.runs) > 1 && stalled {
		// The other copy may stand still too, so this one makes way.
		p.logMove(now, r, "stands still beside another copy")
		t.avoidedHost = r.host.name
		p.stop(r)
		return
	}
	if len(t.runs) > 1 || (!stalled && left < time.Duration(minMoveGain*float64(t.step.Estimate))) {
		return
	}
	if h := p.chooseHost(now, t); h != nil && h != r.host {
		p.start(now, t, h)
	}
}

// moveSlow stops a run that would end earlier elsewhere.
func (p *Planner) moveSlowRun(now time.Time, h *host, r *run, left time.Duration, stalled bool) {
	s := r.task.step
	again := s.Estimate
	if s.Checkpoints && r.task.checkpoint != "" {
		again = time.Duration(float64(s.Estimate) * (fullPercent - r.percent) / fullPercent)
	}
	again += restartOverhead
	if !stalled && (left < time.Duration(minMoveGain*float64(again))+restartOverhead || p.inEvacuationGrace(now, h)) {
		return
	}
	if to := p.chooseHost(now, r.task); to == nil || to == h || to.health.slowdown() > slowThreshold {
		return
	}
	p.logMove(now, r, "at %.0f %%, stands still %t, left %s", r.percent, stalled, left.Round(time.Millisecond))
	r.task.avoidedHost = h.name
	p.stop(r)
}

// stopAllowance is about how long a stop and a resumption take.
const restartOverhead = 700 * time.Millisecond

// evacuate stops what a draining worker cannot finish.
func (p *Planner) drain(now time.Time, h *host) {
	for _, r := range h.runList() {
		s := r.task.step
		if r.stopping || s.LongRunning {
			continue
		}
		left := time.Duration(float64(s.Estimate) * h.health.slowdown() * (fullPercent - r.percent) / fullPercent)
		if left > h.info.Remaining {
			p.logMove(now, r, "its worker leaves in %s, %s left", h.info.Remaining, left.Round(time.Millisecond))
			p.stop(r)
			p.stopGang(r.task)
		}
	}
}
