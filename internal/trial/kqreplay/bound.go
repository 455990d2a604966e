package kqreplay

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// Bound returns a result that no scheduler exceeds: nothing disturbs anything,
// every quick job is in time, and batch jobs take the core-seconds that others
// leave, those first that are worth most for each of them, as if work could be
// cut at will and none had to wait for another. It is a relaxation: what is
// lost to interference, to order and to what is not known is left out.
func (p *Replay) Bound() Result {
	serving := 0.0
	for _, j := range p.source.standing() {
		s := j.Steps[0]
		serving += float64(s.Count) * float64(s.Resources.MilliProcessors) / milli * p.config.Load.ServingLoad
	}
	for at := time.Duration(0); at <= p.config.Load.Span; at += stepTime {
		for _, j := range p.source.due(at) {
			p.note(&j)
		}
	}
	mean, used := p.means(), 0.0
	var batch []kqflow.Job
	var out Result
	for _, j := range p.jobs {
		if j.Queue == QueueBatch {
			batch = append(batch, j)
			continue
		}
		used += p.trueWork(j)
		w := worth(p.config.Load.Quick, j, mean[j.Queue])
		out.Quick.Owed += w
		out.Quick.Earned += w
	}
	slices.SortFunc(batch, func(a, b kqflow.Job) int {
		return cmp.Compare(worth(p.config.Load.Batch, b, mean[QueueBatch])/p.trueWork(b), worth(p.config.Load.Batch, a, mean[QueueBatch])/p.trueWork(a))
	})
	left := (float64(p.config.Load.Workers)*p.config.Load.Cores-serving)*(p.config.Load.Span+settle).Seconds() - used
	for _, j := range batch {
		w := worth(p.config.Load.Batch, j, mean[QueueBatch])
		out.Batch.Owed += w
		out.Batch.Earned += w * max(0, min(1, left/p.trueWork(j)))
		left -= p.trueWork(j)
	}
	watched := float64(p.config.Load.WatchJobs) * p.config.Load.Watch.Worth * (p.config.Load.Span + settle).Seconds() / 2
	out.Watch = Share{Owed: watched, Earned: watched}
	return out
}

// worth returns what a job is worth if it is in time.
func worth(s Shape, j kqflow.Job, mean float64) float64 {
	return s.Worth * kqplan.JobValue(j.Work(), mean)
}

// trueWork returns the core-seconds that a job really takes.
func (p *Replay) trueWork(j kqflow.Job) float64 {
	sum := 0.0
	for n, s := range j.Steps {
		for i := range s.Count {
			length := p.source.lengths[kqflow.TaskID{Job: j.ID, Step: n, Index: i}.String()]
			sum += float64(s.Resources.MilliProcessors) / milli * length.Seconds()
		}
	}
	return sum
}
