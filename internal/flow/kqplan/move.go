package kqplan

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmove"
)

// stepEnds is when the tasks of a step end at the latest, from now: of all, and of
// all but the last to end. Rest is the chain of estimates after the step.
type stepEnds struct {
	last         *task
	first, other time.Duration
	rest         time.Duration
}

// others returns when the other tasks of the step end at the latest.
func (e *stepEnds) others(t *task) time.Duration {
	if e.last == t {
		return e.other
	}
	return e.first
}

// endsOf returns when the tasks of a task's step are expected to end; it is counted
// once in each look.
func (p *Planner) endsOf(now time.Time, t *task) *stepEnds {
	key := t.stepKey()
	if e, ok := p.stepEnds[key]; ok {
		return e
	}
	e := &stepEnds{rest: t.job.restAfter(t.id.Step)}
	for _, m := range t.job.tasks {
		if m.done || m.step != t.step || m.id.Occurrence != t.id.Occurrence {
			continue
		}
		switch in := p.leastEnd(now, m); {
		case e.last == nil || in > e.first:
			e.last, e.first, e.other = m, in, e.first
		default:
			e.other = max(e.other, in)
		}
	}
	p.stepEnds[key] = e
	return e
}

// leastEnd returns the time until a task is expected to end, moved or not.
func (p *Planner) leastEnd(now time.Time, t *task) time.Duration {
	least := p.config.Moves.Restore + t.rest()
	for _, r := range t.runs {
		if x, ok := p.mover(now, r, 1); ok && !r.stopping {
			return min(x.HereIn(), p.config.Moves.ThereIn(x))
		}
	}
	return least
}

// restAfter returns the longest chain of estimates of the steps that follow a step.
func (j *job) restAfter(step int) time.Duration {
	most := time.Duration(0)
	for n := range j.spec.Steps {
		if s := &j.spec.Steps[n]; slices.Contains(s.After, step) {
			most = max(most, s.Estimate+j.restAfter(n))
		}
	}
	return most
}

// mover returns what a move of a run is weighed by; ok is false while its speed is
// not known.
func (p *Planner) mover(now time.Time, r *run, there float64) (x kqmove.Run, ok bool) {
	s := r.task.step
	done := time.Duration(float64(s.Estimate) * min(fullPercent, max(0, r.percent)) / fullPercent)
	x = kqmove.Run{Left: s.Estimate - done, Done: done, Checkpoints: s.Checkpoints, There: there}
	if ran := now.Sub(r.firstMove); !s.Fills && ran > 0 {
		// The mean pace: what does not fill is not paced, and its steps of progress are
		// coarse against its length.
		x.Here = float64(done) / float64(ran)
		return x, r.seen && ran >= settleProgress
	}
	x.Here, ok = r.observed.Speed()
	return x, ok && now.Sub(r.startedAt) >= p.config.Moves.Restore+settleProgress
}

// slowDoubt is by how much sooner a run that is slow by itself must end elsewhere.
const slowDoubt = moveGain - 1

// weigh decides on a move of a run to a place with a speed.
func (p *Planner) weigh(now time.Time, r *run, there float64, stalled bool) kqmove.Verdict {
	x, ok := p.mover(now, r, there)
	if !ok && !stalled {
		return kqmove.Verdict{Reason: kqmove.NotSooner}
	}
	if x.Stalled = stalled; stalled {
		x.Here = 0
	}
	if !r.task.step.Fills && !stalled {
		x.Doubt = slowDoubt
	}
	j, e := r.task.job, p.endsOf(now, r.task)
	y := kqmove.Job{Others: e.others(r.task), Rest: e.rest, Late: lateWorth}
	if j.spec.HasObjective() {
		y.Due, y.LateTill = j.deadline, j.spec.SubmittedAt.Add(lateFactor*j.objective)
	}
	return kqmove.Decide(now, p.config.Moves, x, y)
}

// moveIfItPays stops a run that would end so much sooner elsewhere that it pays, and
// reserves the place. A filling run of a job that is too late either way moves too if it
// ends sooner elsewhere: held back, it keeps others from working there, and leaving such
// runs where they are cost the filling class more than their moves (docs/LOAD.md).
func (p *Planner) moveIfItPays(now time.Time, h *host, r *run, stalled bool) {
	if r.task.booking != nil {
		return
	}
	// What is slow by itself was counted where an owner is behind.
	if r.task.step.Fills {
		if p.moves--; p.moves < 0 {
			return
		}
	}
	to := p.choose(now, r.task)
	if to == nil || to == h || !p.suits(r.task.step, to) {
		return
	}
	v := p.weigh(now, r, p.speedOn(r.task.step, to), stalled)
	if !v.Pays() && !(v.Reason == kqmove.Worthless && r.task.step.Fills) {
		return
	}
	p.config.Events.EmitFields(now, kqevent.FlowRunMoved, kqevent.Task(r.task.name),
		[]kqevent.Field{kqevent.Run(r.number), kqevent.Millis("gain_ms", v.Gain), kqevent.Millis("cost_ms", v.Cost), kqevent.Value("saved", v.Saved), kqevent.Value("to", to.name)},
		"run %d on %s: at %.0f %%, stands still %t, %s, step ends %s sooner on host %s", r.number, r.worker, r.percent, stalled, v.Reason, v.Gain.Round(time.Millisecond), to.name)
	r.task.shunned = h.name
	r.task.markMoved(v.Pays())
	p.book(now, r.task, to)
	p.stop(r)
}

// suits reports whether a host is a place to move a task of a step to. What is known of a
// host's speed is learned from tasks that do not fill, whose estimates may all be wrong.
func (p *Planner) suits(s *kqflow.Step, h *host) bool {
	if s.Fills {
		return p.pressing(s, h).pace > heldPace
	}
	return h.health.slowdown() <= slowFactor
}

// speedOn returns the speed that a task of a step is expected to have on a host.
func (p *Planner) speedOn(s *kqflow.Step, h *host) float64 {
	speed := 1 / h.health.expected()
	if !s.Fills {
		return speed
	}
	pace := p.pressing(s, h).pace
	unused := float64(h.unused(pace))
	if asked := float64(h.filling() + s.Size.MilliProcessors); asked > unused {
		speed *= unused / asked
	}
	return min(speed, float64(pace)/fullPercent)
}
