package kqreplay

import (
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// baseline places tasks first come, first served, each on the worker with the
// fewest runs that has room, and paces nothing. It bounds from below what a
// scheduler earns that knows capacities and nothing else.
type baseline struct {
	waiting []kqflow.TaskID
	left    map[string]map[int]int
	free    map[*worker]int64
}

func newBaseline(p *Replay) *baseline {
	b := &baseline{left: map[string]map[int]int{}, free: map[*worker]int64{}}
	for _, w := range p.workers {
		b.free[w] = int64(milli * p.config.Load.Cores)
	}
	return b
}

func (b *baseline) submit(j kqflow.Job) {
	b.left[j.ID] = map[int]int{}
	for n, s := range j.Steps {
		b.left[j.ID][n] = s.Count
	}
	b.ready(j, 0)
}

// ready queues the tasks of a step.
func (b *baseline) ready(j kqflow.Job, step int) {
	for i := range j.Steps[step].Count {
		b.waiting = append(b.waiting, kqflow.TaskID{Job: j.ID, Step: step, Index: i})
	}
}

// ended takes over that a task has ended on a worker; it reports whether that
// was the job's last.
func (b *baseline) ended(j kqflow.Job, id kqflow.TaskID, w *worker) bool {
	b.free[w] += j.Steps[id.Step].Reserved().MilliProcessors
	b.left[j.ID][id.Step]--
	if b.left[j.ID][id.Step] > 0 {
		return false
	}
	if id.Step+1 < len(j.Steps) {
		b.ready(j, id.Step+1)
		return false
	}
	return true
}

// place starts what has room, in order.
func (b *baseline) place(p *Replay) {
	var kept []kqflow.TaskID
	for _, id := range b.waiting {
		s := p.specs[id.Job].Steps[id.Step]
		need := s.Reserved().MilliProcessors
		var best *worker
		for _, w := range p.workers {
			if b.free[w] >= need && (best == nil || w.runs.Len() < best.runs.Len()) {
				best = w
			}
		}
		if best == nil {
			kept = append(kept, id)
			continue
		}
		b.free[best] -= need
		p.begin(best, kqexecution.Run{Task: id.String(), Number: 1}, id)
	}
	b.waiting = kept
}

// RunBaseline plays the load with first come, first served in place of the
// planner and the pacers. Losses of workers are left out.
func (p *Replay) RunBaseline() Result {
	p.config.Load.Losses = nil
	b := newBaseline(p)
	for _, j := range p.source.standing() {
		p.note(&j)
		b.submit(j)
	}
	for end := epoch.Add(p.config.Load.Span + settle); p.now.Before(end); {
		p.now = p.now.Add(stepTime)
		p.fault()
		for _, j := range p.source.due(p.now.Sub(epoch)) {
			p.note(&j)
			b.submit(j)
		}
		for _, w := range p.workers {
			for _, e := range w.step(p, p.now) {
				p.endBaseline(b, w, e)
			}
		}
		b.place(p)
	}
	return p.settle()
}

func (p *Replay) endBaseline(b *baseline, w *worker, e kqexecution.RunEnd) {
	id := taskID(e.Run.Task)
	if b.ended(p.specs[id.Job], id, w) {
		p.ended[id.Job] = p.now.Sub(epoch)
	}
}

func taskID(name string) kqflow.TaskID {
	id, err := kqflow.ParseTaskID(name)
	if err != nil {
		panic(err)
	}
	return id
}
