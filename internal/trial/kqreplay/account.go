package kqreplay

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// Share is what of some worth was earned.
type Share struct {
	// Owed is the worth, Earned what of it was earned.
	Owed, Earned float64
}

// Of returns the part that was earned.
func (s Share) Of() float64 { return s.Earned / max(s.Owed, 1e-9) }

// Result is what a replay earned.
type Result struct {
	// Quick, Batch and Watch are the shares of each queue.
	Quick, Batch, Watch Share
	// Over is how long serving tasks were over their target by what fills beside
	// them.
	Over time.Duration
	// Starts is how many runs were begun.
	Starts int
}

// Whole returns the part of all worth that was earned.
func (r Result) Whole() float64 {
	return (r.Quick.Earned + r.Batch.Earned + r.Watch.Earned) / (r.Quick.Owed + r.Batch.Owed + r.Watch.Owed)
}

// account counts what a replay earns.
type account struct {
	load   Load
	result Result
}

// serve counts a step of time of a serving task.
func (a *account) serve(s kqflow.Step, met, metAlone bool) {
	worth := a.load.Watch.Worth / float64(s.Count) * stepTime.Seconds() / 2
	a.result.Watch.Owed += worth
	switch {
	case met:
		a.result.Watch.Earned += worth
	case metAlone:
		a.result.Watch.Earned -= (serveLoss - 1) * worth
		a.result.Over += stepTime
	}
}

// job counts a job by its true objective; took is negative if it has not ended.
func (a *account) job(j kqflow.Job, chain, took time.Duration, meanWork float64) {
	shape, share, q := a.load.Quick, &a.result.Quick, policy().Queues[j.Queue]
	if j.Queue == QueueBatch {
		shape, share = a.load.Batch, &a.result.Batch
	}
	worth := worth(shape, j, meanWork)
	objective := time.Duration(q.Stretch*float64(chain)) + q.Target
	share.Owed += worth
	if took >= 0 {
		share.Earned += worth * kqplan.Earned(took, objective)
	}
}

// work returns the core-seconds of a job by its estimates.
func work(j kqflow.Job) float64 {
	sum := 0.0
	for _, s := range j.Steps {
		sum += float64(s.Count) * float64(s.Size.MilliProcessors) / milli * s.Estimate.Seconds()
	}
	return sum
}
