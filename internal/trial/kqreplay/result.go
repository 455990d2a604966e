package kqreplay

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

// EarnedValue holds the value of some jobs and how much of it a replay earned.
type EarnedValue struct {
	// Possible is the value if all objectives are met, Earned the value earned.
	Possible, Earned float64
}

// Fraction returns the earned fraction of the possible value.
func (v EarnedValue) Fraction() float64 { return v.Earned / max(v.Possible, 1e-9) }

// Result holds the outcome of a replay.
type Result struct {
	// Quick, Report, Batch and Watch are the earned values of each queue.
	Quick, Report, Batch, Watch EarnedValue
	// QuickByBand, ReportByBand and BatchByBand count the served jobs of each queue by size band.
	QuickByBand, ReportByBand, BatchByBand ServedByBand
	// OverTargetByFilling is how long serving tasks were over their latency target because of
	// colocated filling tasks, summed over the tasks.
	OverTargetByFilling time.Duration
	// Starts is the number of started runs, CandidatesScored how often the planner scored a worker
	// for a task.
	Starts           int
	CandidatesScored int64
	// Admission counts the admission decisions of the entries.
	Admission AdmissionStats
	// StartedInEvacuated is the number of runs started in an evacuated zone, StoppedInEvacuated the
	// number of runs stopped there.
	StartedInEvacuated, StoppedInEvacuated int
}

// ServedCount is a number of jobs and how many of them completed while they still had value.
type ServedCount struct {
	Jobs, Served int
}

// Fraction returns the fraction of the jobs that was served.
func (c ServedCount) Fraction() float64 { return float64(c.Served) / float64(max(1, c.Jobs)) }

// ServedByBand counts the served jobs of a queue by size band.
type ServedByBand [kqsize.BandCount]ServedCount

// Total returns the sum over all size bands.
func (b ServedByBand) Total() ServedCount {
	var total ServedCount
	for _, c := range b {
		total.Jobs, total.Served = total.Jobs+c.Jobs, total.Served+c.Served
	}
	return total
}

// EarnedFraction returns the earned fraction of the possible value of all queues.
func (r Result) EarnedFraction() float64 {
	return (r.Quick.Earned + r.Report.Earned + r.Batch.Earned + r.Watch.Earned) / (r.Quick.Possible + r.Report.Possible + r.Batch.Possible + r.Watch.Possible)
}

// resultRecorder accumulates the Result of a replay.
type resultRecorder struct {
	load   Load
	result Result
	// bandBounds holds the bounds of the size bands of each queue.
	bandBounds map[string]kqsize.Bounds
}

// addServingStep adds one time step of a serving task of step s. The argument met reports whether
// the task met its latency target, metAlone whether it would have without filling tasks.
func (r *resultRecorder) addServingStep(s kqflow.Step, met, metAlone bool) {
	value := r.load.Watch.Value / float64(s.Count) * timeStep.Seconds() / 2
	switch {
	case met:
		r.result.Watch.Earned += value
	case metAlone:
		r.result.Watch.Earned -= (overTargetLoss - 1) * value
		r.result.OverTargetByFilling += timeStep
	}
}

// addPossibleServing adds the possible value of a watch job that exists for the given time.
func (r *resultRecorder) addPossibleServing(lifetime time.Duration) {
	r.result.Watch.Possible += r.load.Watch.Value * lifetime.Seconds() / 2
}

// recordOutcome adds the outcome of a job of a finite run time. Its objective follows from the
// critical path of the true run times. A negative responseTime means that the job did not complete.
func (r *resultRecorder) recordOutcome(j kqflow.Job, criticalPath, responseTime time.Duration, meanWork float64) {
	distribution, value, byBand, q := r.load.Quick, &r.result.Quick, &r.result.QuickByBand, policy().Queues[j.Queue]
	switch j.Queue {
	case QueueReport:
		distribution, value, byBand = r.load.Report, &r.result.Report, &r.result.ReportByBand
	case QueueBatch:
		distribution, value, byBand = r.load.Batch, &r.result.Batch, &r.result.BatchByBand
	}
	possible := jobValue(distribution, j, meanWork)
	objective := time.Duration(q.Stretch*float64(criticalPath)) + q.Target
	value.Possible += possible
	earnedShare := 0.0
	if responseTime >= 0 {
		earnedShare = kqplan.EarnedShare(responseTime, objective)
	}
	value.Earned += possible * earnedShare
	count := &byBand[r.bandBounds[j.Queue].Band(j.Work())]
	count.Jobs++
	if earnedShare > 0 {
		count.Served++
	}
}
