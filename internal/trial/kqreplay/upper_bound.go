package kqreplay

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// UpperBound returns a result that no scheduler exceeds. It assumes that there is no interference,
// that every quick job meets its objective, and that batch jobs use the remaining core-seconds in
// order of value per core-second, as if work were divisible and steps did not depend on each other.
// It is a relaxation: losses due to interference, dependencies and unknown run times are left out.
func (p *Replay) UpperBound() Result {
	servingCores := 0.0
	for _, j := range p.source.initialWatchJobs() {
		s := j.Steps[0]
		servingCores += float64(s.Count) * float64(s.Resources.MilliProcessors) / milliPerProcessor * p.config.Load.ServingLoad
	}
	for at := time.Duration(0); at <= p.config.Load.ArrivalSpan; at += timeStep {
		for _, j := range p.source.arrivals(at) {
			p.addJob(&j)
		}
	}
	meanWork, quickWork := p.meanWork(), 0.0
	var batch []kqflow.Job
	var result Result
	for _, j := range p.jobs {
		if j.Queue == QueueBatch {
			batch = append(batch, j)
			continue
		}
		quickWork += p.trueWork(j)
		value := jobValue(p.config.Load.Quick, j, meanWork[j.Queue])
		result.Quick.Possible += value
		result.Quick.Earned += value
	}
	slices.SortFunc(batch, func(a, b kqflow.Job) int {
		return cmp.Compare(jobValue(p.config.Load.Batch, b, meanWork[QueueBatch])/p.trueWork(b), jobValue(p.config.Load.Batch, a, meanWork[QueueBatch])/p.trueWork(a))
	})
	remainingWork := (float64(p.config.Load.Workers)*p.config.Load.Cores-servingCores)*(p.config.Load.ArrivalSpan+graceTime).Seconds() - quickWork
	for _, j := range batch {
		value := jobValue(p.config.Load.Batch, j, meanWork[QueueBatch])
		result.Batch.Possible += value
		result.Batch.Earned += value * max(0, min(1, remainingWork/p.trueWork(j)))
		remainingWork -= p.trueWork(j)
	}
	watchValue := float64(p.config.Load.InitialWatchJobs) * p.config.Load.Watch.Value * (p.config.Load.ArrivalSpan + graceTime).Seconds() / 2
	result.Watch = EarnedValue{Possible: watchValue, Earned: watchValue}
	return result
}

// jobValue returns the value of a job that meets its objective.
func jobValue(d JobDistribution, j kqflow.Job, meanWork float64) float64 {
	return d.Value * kqplan.JobValue(j.Work(), meanWork)
}

// trueWork returns the work of a job in core-seconds, by the true run times of its tasks.
func (p *Replay) trueWork(j kqflow.Job) float64 {
	sum := 0.0
	for n, s := range j.Steps {
		for i := range s.Count {
			runTime := p.source.runTimes[kqflow.TaskID{Job: j.ID, Step: n, Index: i}.String()]
			sum += float64(s.Resources.MilliProcessors) / milliPerProcessor * runTime.Seconds()
		}
	}
	return sum
}
