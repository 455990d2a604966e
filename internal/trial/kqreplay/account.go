package kqreplay

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
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
	// Quick, Report, Batch and Watch are the shares of each queue.
	Quick, Report, Batch, Watch Share
	// QuickSizes, ReportSizes and BatchSizes are how the jobs of each size were served.
	QuickSizes, ReportSizes, BatchSizes Sizes
	// Over is how long serving tasks were over their target by what fills beside
	// them.
	Over time.Duration
	// Starts is how many runs were begun, Weighed how often a worker was weighed for a
	// task.
	Starts  int
	Weighed int64
	// Callers is what the entries answered.
	Callers Callers
	// Evacuated is how many runs were begun in a zone that was evacuated, Left how many
	// were stopped there.
	Evacuated, Left int
}

// Count is how many of some jobs ended while they were worth something.
type Count struct {
	Jobs, Served int
}

// Of returns the part that was served.
func (c Count) Of() float64 { return float64(c.Served) / float64(max(1, c.Jobs)) }

// Sizes is how the jobs of each size of a queue were served.
type Sizes [kqsize.BandCount]Count

// All returns how the jobs were served whatever their size.
func (s Sizes) All() Count {
	var out Count
	for _, c := range s {
		out.Jobs, out.Served = out.Jobs+c.Jobs, out.Served+c.Served
	}
	return out
}

// Whole returns the part of all worth that was earned.
func (r Result) Whole() float64 {
	return (r.Quick.Earned + r.Report.Earned + r.Batch.Earned + r.Watch.Earned) / (r.Quick.Owed + r.Report.Owed + r.Batch.Owed + r.Watch.Owed)
}

// account counts what a replay earns.
type account struct {
	load   Load
	result Result
	bounds map[string]kqsize.Bounds
}

// serve counts a step of time of a serving task.
func (a *account) serve(s kqflow.Step, met, metAlone bool) {
	worth := a.load.Watch.Worth / float64(s.Count) * stepTime.Seconds() / 2
	switch {
	case met:
		a.result.Watch.Earned += worth
	case metAlone:
		a.result.Watch.Earned -= (serveLoss - 1) * worth
		a.result.Over += stepTime
	}
}

// watch counts what a watch job owes that has been there for some time.
func (a *account) watch(there time.Duration) {
	a.result.Watch.Owed += a.load.Watch.Worth * there.Seconds() / 2
}

// job counts a job by its true objective; took is negative if it has not ended.
func (a *account) job(j kqflow.Job, chain, took time.Duration, meanWork float64) {
	shape, share, sizes, q := a.load.Quick, &a.result.Quick, &a.result.QuickSizes, policy().Queues[j.Queue]
	switch j.Queue {
	case QueueReport:
		shape, share, sizes = a.load.Report, &a.result.Report, &a.result.ReportSizes
	case QueueBatch:
		shape, share, sizes = a.load.Batch, &a.result.Batch, &a.result.BatchSizes
	}
	worth := worth(shape, j, meanWork)
	objective := time.Duration(q.Stretch*float64(chain)) + q.Target
	share.Owed += worth
	earned := 0.0
	if took >= 0 {
		earned = kqplan.EarnedShare(took, objective)
	}
	share.Earned += worth * earned
	c := &sizes[a.bounds[j.Queue].Band(j.Work())]
	c.Jobs++
	if earned > 0 {
		c.Served++
	}
}
