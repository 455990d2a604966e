package kqreplay

import (
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// baseline is a first-come, first-served scheduler without pacing. It places each task on the worker
// with the fewest runs among those with enough free processors. It is a lower bound for the value
// that a scheduler earns which knows only capacities.
type baseline struct {
	waiting []kqflow.TaskID
	// remaining is the number of tasks that have not ended, by job and step.
	remaining           map[string]map[int]int
	freeMilliProcessors map[*worker]int64
}

func newBaseline(p *Replay) *baseline {
	b := &baseline{remaining: map[string]map[int]int{}, freeMilliProcessors: map[*worker]int64{}}
	for _, w := range p.workers {
		b.freeMilliProcessors[w] = int64(milliPerProcessor * p.config.Load.Cores)
	}
	return b
}

func (b *baseline) submit(j kqflow.Job) {
	b.remaining[j.ID] = map[int]int{}
	for n, s := range j.Steps {
		b.remaining[j.ID][n] = s.Count
	}
	b.queueStep(j, 0)
}

// queueStep queues all tasks of a step.
func (b *baseline) queueStep(j kqflow.Job, step int) {
	for i := range j.Steps[step].Count {
		b.waiting = append(b.waiting, kqflow.TaskID{Job: j.ID, Step: step, Index: i})
	}
}

// taskEnded records that a task has ended on a worker and queues the next step if it was the last
// of its step. It reports whether it was the last task of the job.
func (b *baseline) taskEnded(j kqflow.Job, id kqflow.TaskID, w *worker) bool {
	b.freeMilliProcessors[w] += j.Steps[id.Step].Reserved().MilliProcessors
	b.remaining[j.ID][id.Step]--
	if b.remaining[j.ID][id.Step] > 0 {
		return false
	}
	if id.Step+1 < len(j.Steps) {
		b.queueStep(j, id.Step+1)
		return false
	}
	return true
}

// placeWaiting starts, in order of arrival, the waiting tasks for which a worker has enough free
// processors.
func (b *baseline) placeWaiting(p *Replay) {
	var stillWaiting []kqflow.TaskID
	for _, id := range b.waiting {
		s := p.jobsByID[id.Job].Steps[id.Step]
		need := s.Reserved().MilliProcessors
		var best *worker
		for _, w := range p.workers {
			if b.freeMilliProcessors[w] >= need && (best == nil || w.runs.Len() < best.runs.Len()) {
				best = w
			}
		}
		if best == nil {
			stillWaiting = append(stillWaiting, id)
			continue
		}
		b.freeMilliProcessors[best] -= need
		p.startRun(best, kqexecution.Run{Task: id.String(), Number: 1}, id)
	}
	b.waiting = stillWaiting
}

// RunBaseline replays the load with a first-come, first-served scheduler instead of the planner and
// the pacers. It ignores worker losses, evacuations and admission control.
func (p *Replay) RunBaseline() Result {
	p.config.Load.Losses = nil
	b := newBaseline(p)
	for _, j := range p.source.initialWatchJobs() {
		p.addJob(&j)
		b.submit(j)
	}
	for end := replayStart.Add(p.config.Load.ArrivalSpan + graceTime); p.now.Before(end); {
		p.now = p.now.Add(timeStep)
		p.applyFaults()
		for _, j := range p.source.arrivals(p.now.Sub(replayStart)) {
			p.addJob(&j)
			b.submit(j)
		}
		for _, w := range p.workers {
			for _, e := range w.advance(p, p.now) {
				p.baselineRunEnded(b, w, e)
			}
		}
		b.placeWaiting(p)
	}
	return p.collectResult()
}

func (p *Replay) baselineRunEnded(b *baseline, w *worker, e kqexecution.RunEnd) {
	id := parseTaskID(e.Run.Task)
	if b.taskEnded(p.jobsByID[id.Job], id, w) {
		p.endTimes[id.Job] = p.now.Sub(replayStart)
	}
}

func parseTaskID(name string) kqflow.TaskID {
	id, err := kqflow.ParseTaskID(name)
	if err != nil {
		panic(err)
	}
	return id
}
