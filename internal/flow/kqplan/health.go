package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// health is what was seen of the work on one incarnation of a worker.
type health struct {
	streak  int
	probeAt time.Time
	speed   float64
}

const (
	quarantineStreak = 2
	quarantineTime   = 1500 * time.Millisecond
	speedShare       = 0.35
	slowFactor       = 1.8
	minSample        = 200 * time.Millisecond
)

// ended learns from the end of a run.
func (x *health) ended(now time.Time, r *run, how kqexecution.How) {
	switch how {
	case kqexecution.HowFailed:
		x.streak++
		if x.streak >= quarantineStreak {
			x.probeAt = now.Add(quarantineTime)
		}
	case kqexecution.HowDone:
		x.streak, x.probeAt = 0, time.Time{}
		if r != nil && r.task.checkpoint == "" && !r.task.step.Fills && !r.startedAt.Before(r.host.coldTill) {
			x.learn(now.Sub(r.startedAt), r.task.step.Estimate)
		}
	case kqexecution.HowRefused:
		x.probeAt = now.Add(refusedPause)
	}
}

// learn takes over how long work took that was estimated.
func (x *health) learn(took, estimate time.Duration) {
	if estimate < minSample {
		return
	}
	ratio := float64(took) / float64(estimate)
	if x.speed == 0 {
		x.speed = 1
	}
	x.speed += speedShare * (ratio - x.speed)
}

// slowdown returns how many times as long work takes as estimated.
func (x *health) slowdown() float64 {
	if x.speed == 0 {
		return 1
	}
	return max(0.5, x.speed)
}

// quarantined reports whether the worker fails what it starts.
func (x *health) quarantined() bool { return !x.probeAt.IsZero() }

// mayProbe reports whether a quarantined worker may get one more task.
func (h *host) mayProbe(now time.Time) bool {
	if now.Before(h.health.probeAt) {
		return false
	}
	for _, r := range h.runs.All() {
		if !r.startedAt.Before(h.health.probeAt) && !r.task.step.Standing {
			return false
		}
	}
	return true
}

const (
	stallTime      = 1200 * time.Millisecond
	stallShare     = 0.4
	settleProgress = 500 * time.Millisecond
	moveGain       = 1.6
	fullPercent    = 100
	watchInterval  = 200 * time.Millisecond
	// mostMoves is for how many held runs another host is sought at a time: each
	// search weighs every host.
	mostMoves = 12
	// slowPass is from how long a pass on an owner is taken to be behind.
	slowPass = 100 * time.Millisecond
)

// watchProgress finds runs that stand still or are slow: a speculative task
// gets a second copy, another one is moved.
func (p *Planner) watchProgress(now time.Time) {
	if now.Sub(p.watchedAt) < watchInterval {
		return
	}
	p.watchedAt = now
	p.moves = mostMoves
	if p.isBehind() {
		p.moves = 1
	}
	for _, h := range p.hostsInTurn() {
		if !h.usable(now) {
			continue
		}
		for _, r := range h.list() {
			p.watchRun(now, h, r)
		}
	}
}

// isBehind reports whether the owner is slow for its fleet: it then leaves most of
// what is only slow where it is, and makes few copies.
func (p *Planner) isBehind() bool { return p.fillTook > slowPass }

// hostsInTurn lists the hosts, each time from another one on, so that none is
// always the last for which moves are left.
func (p *Planner) hostsInTurn() []*host {
	out := make([]*host, 0, p.hosts.Len())
	for _, h := range p.hosts.All() {
		out = append(out, h)
	}
	if len(out) == 0 {
		return nil
	}
	p.watches = (p.watches + len(out)/2 + 1) % len(out)
	return append(out[p.watches:], out[:p.watches]...)
}

func (p *Planner) watchRun(now time.Time, h *host, r *run) {
	s := r.task.step
	if r.stopping || !r.seen || s.Standing || r.task.job.state.Final() || r.percent >= fullPercent {
		return
	}
	if s.Gang {
		p.watchGang(now, r)
		return
	}
	if s.Fills {
		p.watchFill(now, h, r)
		return
	}
	ran := now.Sub(r.firstMove)
	still := now.Sub(r.movedAt)
	stalled := still > max(stallTime, time.Duration(stallShare*float64(s.Estimate)))
	if stalled {
		h.health.streak = max(h.health.streak, quarantineStreak)
		h.health.probeAt = now.Add(quarantineTime)
	}
	if ran < settleProgress || r.percent <= 0 && !stalled {
		return
	}
	if p.isBehind() {
		if p.moves--; p.moves < 0 {
			return
		}
	}
	left := time.Duration(float64(ran) * (fullPercent - r.percent) / max(1, r.percent))
	if s.Speculative {
		p.copyTask(now, r, left, stalled)
		return
	}
	p.moveSlow(now, h, r, left, stalled)
}

const (
	// heldPace is the share at which a filling run is as good as held.
	heldPace = 30
	// heldTime is after how long such a run is moved.
	heldTime = 600 * time.Millisecond
	// keepPercent is the progress from which on a run without a checkpoint
	// stays.
	keepPercent = 25
	// keepShare is the progress from which on any run stays.
	keepShare = 85
)

// watchFill moves a filling run that serving tasks hold back to a host where
// it can work.
func (p *Planner) watchFill(now time.Time, h *host, r *run) {
	if r.pace > heldPace || h.tally.serving == 0 || p.staysFirst(now, h) {
		r.heldAt = time.Time{}
		return
	}
	if r.heldAt.IsZero() {
		r.heldAt = now
	}
	s := r.task.step
	if now.Sub(r.heldAt) < heldTime || r.percent > keepShare || (!s.Checkpoints && r.percent > keepPercent) {
		return
	}
	if p.moves--; p.moves < 0 {
		return
	}
	to := p.choose(now, r.task)
	if to == nil || to == h || p.pressing(s, to).pace <= heldPace {
		return
	}
	p.moved(now, r, "at %.0f %% held back at %d %%", r.percent, r.pace)
	r.task.shunned = h.name
	p.stop(r)
}

// copyTask starts a second copy where that is likely to end earlier.
func (p *Planner) copyTask(now time.Time, r *run, left time.Duration, stalled bool) {
	t := r.task
	if len(t.runs) > 1 && stalled {
		// The other copy may stand still too, so this one makes way.
		p.moved(now, r, "stands still beside another copy")
		t.shunned = r.host.name
		p.stop(r)
		return
	}
	if len(t.runs) > 1 || (!stalled && left < time.Duration(moveGain*float64(t.step.Estimate))) {
		return
	}
	if h := p.choose(now, t); h != nil && h != r.host {
		p.start(now, t, h)
	}
}

// moveSlow stops a run that would end earlier elsewhere.
func (p *Planner) moveSlow(now time.Time, h *host, r *run, left time.Duration, stalled bool) {
	s := r.task.step
	again := s.Estimate
	if s.Checkpoints && r.task.checkpoint != "" {
		again = time.Duration(float64(s.Estimate) * (fullPercent - r.percent) / fullPercent)
	}
	again += stopAllowance
	if !stalled && (left < time.Duration(moveGain*float64(again))+stopAllowance || p.staysFirst(now, h)) {
		return
	}
	if to := p.choose(now, r.task); to == nil || to == h || to.health.slowdown() > slowFactor {
		return
	}
	p.moved(now, r, "at %.0f %%, stands still %t, left %s", r.percent, stalled, left.Round(time.Millisecond))
	r.task.shunned = h.name
	p.stop(r)
}

// stopAllowance is about how long a stop and a resumption take.
const stopAllowance = 700 * time.Millisecond

// evacuate stops what a draining worker cannot finish.
func (p *Planner) evacuate(now time.Time, h *host) {
	for _, r := range h.list() {
		s := r.task.step
		if r.stopping || s.Standing {
			continue
		}
		left := time.Duration(float64(s.Estimate) * h.health.slowdown() * (fullPercent - r.percent) / fullPercent)
		if left > h.info.Remaining {
			p.moved(now, r, "its worker leaves in %s, %s left", h.info.Remaining, left.Round(time.Millisecond))
			p.stop(r)
			p.breakUp(r.task)
		}
	}
}
