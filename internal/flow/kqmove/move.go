// Package kqmove decides whether stopping a run, so that its task runs elsewhere,
// gains more than it costs. It does no I/O.
package kqmove

import (
	"math"
	"time"
)

// Costs is what a deployment says that a move takes.
type Costs struct {
	// Stop is the longest that a stop takes.
	Stop time.Duration
	// Restore is how long a start from a checkpoint takes before work goes on.
	Restore time.Duration
	// Checkpoint is the work between two checkpoints.
	Checkpoint time.Duration
}

// Known reports whether the deployment says what a move costs.
func (c Costs) Known() bool { return c.Stop > 0 }

// Run is a run that may move. Speeds are against the estimate.
type Run struct {
	// Left is the work that is not done, Done that which is, both as estimated.
	Left, Done time.Duration
	// Checkpoints is true if a stop saves the work.
	Checkpoints bool
	// Stalled is true if the run stands still: its stop may save nothing.
	Stalled bool
	// Here is the speed that was observed, There that which is expected elsewhere.
	Here, There float64
	// Doubt is the part of the time until the task ends elsewhere by which that must be
	// sooner: a run that nobody holds back may only have been estimated too short.
	Doubt float64
}

// Job is what the run's job still needs and when that is worth something.
type Job struct {
	// Others is when the other tasks of the step end at the latest, from now.
	Others time.Duration
	// Rest is the longest chain of estimates after the step.
	Rest time.Duration
	// Due is until when the job earns its whole worth, and LateTill until when it earns
	// the part Late; zero times if it has no objective.
	Due, LateTill time.Time
	// Late is the part of its worth that a late job earns.
	Late float64
}

// Reason says why a move pays or does not.
type Reason string

// Reasons of a Verdict.
const (
	// Pays is a move that gains more than it costs.
	Pays Reason = "pays"
	// NotSooner is a task that would not end sooner elsewhere.
	NotSooner Reason = "not sooner"
	// NotLast is a task that others of its step outlast either way.
	NotLast Reason = "not the last of its step"
	// InTime is a job that is in time either way.
	InTime Reason = "in time either way"
	// Worthless is a job that is too late either way.
	Worthless Reason = "too late either way"
)

// Verdict is what was decided of a move.
type Verdict struct {
	// Reason says why.
	Reason Reason
	// Gain is how much earlier the step ends, Cost the time that the task does not
	// work for the move.
	Gain, Cost time.Duration
	// Saved is the part of the job's worth that the move is expected to save.
	Saved float64
}

// Pays reports whether the run is to move.
func (v Verdict) Pays() bool { return v.Reason == Pays }

const (
	// commitTime is about how long it takes to store a stop and a start and to hand
	// over the orders.
	commitTime = 150 * time.Millisecond
	// stopShare is the part of its limit that a stop is expected to take.
	stopShare = 0.6
	// leastSaved is the least part of a job's worth for which a run moves.
	leastSaved = 0.05
	// leastSpeed bounds from below how fast a run is expected to go on: what holds it
	// back passes.
	leastSpeed = 0.1
	// spread and leastSpread are the uncertainty of an expected end, against the time
	// until then and at least.
	spread      = 0.15
	leastSpread = 200 * time.Millisecond
	// stalledTime stands for the end of a run that stands still, which does not come.
	stalledTime = time.Minute
)

// Cost returns the time that a task does not work for a move, with the time for work
// that has to be done again.
func (c Costs) Cost(r Run) time.Duration {
	cost := time.Duration(stopShare*float64(c.Stop)) + commitTime
	switch {
	case !r.Checkpoints:
		return cost + r.Done
	case r.Stalled:
		return cost + c.Restore + min(r.Done, c.Checkpoint)
	}
	return cost + c.Restore
}

// HereIn returns the time until the run is expected to end where it is.
func (r Run) HereIn() time.Duration {
	if r.Stalled {
		return stalledTime
	}
	return at(r.Left, r.Here)
}

// ThereIn returns the time until the task is expected to end after a move.
func (c Costs) ThereIn(r Run) time.Duration { return c.Cost(r) + at(r.Left, r.There) }

// at returns how long work takes at a speed.
func at(work time.Duration, speed float64) time.Duration {
	return time.Duration(float64(work) / max(leastSpeed, speed))
}

// Decide weighs a move.
func Decide(now time.Time, c Costs, r Run, j Job) Verdict {
	here, there := r.HereIn(), c.ThereIn(r)
	v := Verdict{Reason: Pays, Cost: c.Cost(r), Gain: max(here, j.Others) - max(there, j.Others)}
	before, after := j.worth(now, max(here, j.Others)), j.worth(now, max(there, j.Others))
	v.Saved = after - before
	least := time.Duration(r.Doubt * float64(there))
	switch {
	case r.Stalled:
		// It would hold its worker for ever, whatever its job is worth.
	case here-there <= least:
		v.Reason = NotSooner
	case !j.Due.IsZero() && v.Saved < leastSaved && before < (1+j.Late)/2:
		v.Reason = Worthless
	case v.Gain <= least:
		v.Reason = NotLast
	case !j.Due.IsZero() && v.Saved < leastSaved:
		v.Reason = InTime
	}
	return v
}

// worth returns the part of its worth that the job is expected to earn if the step
// ends after some time.
func (j Job) worth(now time.Time, in time.Duration) float64 {
	in += j.Rest
	by := func(due time.Time) float64 {
		scale := max(leastSpread, time.Duration(spread*float64(in)))
		return 1 / (1 + math.Exp(-float64(due.Sub(now)-in)/float64(scale)))
	}
	return j.Late*by(j.LateTill) + (1-j.Late)*by(j.Due)
}
