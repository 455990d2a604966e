package kqreplay

import (
	"math"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqordered"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

const (
	baseTail = 25 * time.Millisecond
	// leastRoom bounds how long the tail of an overloaded task gets.
	leastRoom = 0.02
	// measureTime is over how long a measurement is taken.
	measureTime = 500 * time.Millisecond
	paceDelay   = 100 * time.Millisecond
	// serveLoss is how many times over a serving task's time is lost while it is
	// over its target by what fills beside it.
	serveLoss = 4
)

// run is a run on a worker.
type run struct {
	key     kqexecution.Run
	step    kqflow.Step
	press   map[string]float64
	due     time.Time
	length  time.Duration
	worked  time.Duration
	percent int
	paced   int
	pacedAt time.Time
	phase   float64
	stopAt  time.Time
	// looks is what was measured in the latest steps: tail latency in
	// milliseconds, or milli-processors in use.
	looks []float64
}

func (r *run) measure() float64 {
	sum := 0.0
	for _, v := range r.looks {
		sum += v
	}
	return sum / float64(max(1, len(r.looks)))
}

func (r *run) look(v float64) {
	r.looks = append(r.looks, v)
	if len(r.looks) > int(measureTime/stepTime) {
		r.looks = r.looks[1:]
	}
}

// worker is a model of a worker with its agent's pacer.
type worker struct {
	name  string
	life  int
	runs  kqordered.Map[kqexecution.Run, *run]
	pacer *kqpace.Pacer
	slow  float64
	// zone is the availability zone, coldTill until when the worker is slow after its
	// return.
	zone     string
	coldTill time.Time
	gone     bool
	ends     uint64
}

func newWorker(name string) *worker {
	return &worker{name: name, life: 1, pacer: kqpace.New(), slow: 1}
}

// load returns the load of a serving task by itself.
func (l Load) load(r *run, at time.Duration) float64 {
	return l.ServingLoad * (1 + l.Swing*math.Sin(2*math.Pi*(at.Seconds()/l.SwingTime.Seconds()+r.phase)))
}

// step lets a worker work for one step; it returns the runs that have ended.
func (w *worker) step(p *Replay, now time.Time) []kqexecution.RunEnd {
	if w.gone {
		return nil
	}
	at := now.Sub(epoch)
	used, asked := 0.0, 0.0
	for _, r := range w.runs.All() {
		if r.percent != r.paced && now.Sub(r.pacedAt) >= paceDelay {
			r.percent = r.paced
		}
		size := float64(r.step.Resources.MilliProcessors)
		switch {
		case r.step.Fills:
			asked += size * float64(r.percent) / 100
		case r.step.LongRunning:
			used += size * p.config.Load.load(r, at)
		default:
			used += size
		}
	}
	fill := min(1, max(0, p.config.Load.Cores*milli-used)/max(1, asked))
	var ended []kqexecution.RunEnd
	for _, r := range w.runs.All() {
		if r.step.LongRunning {
			if !r.stopAt.IsZero() && !now.Before(r.stopAt) {
				ended = append(ended, w.end(r, kqexecution.EndStopped))
			}
			continue
		}
		speed := 1 / w.slow
		if r.step.Fills {
			speed *= fill * float64(r.percent) / 100
		}
		r.worked += time.Duration(speed * float64(stepTime))
		r.look(float64(r.step.Resources.MilliProcessors) * speed * w.slow)
		switch {
		case r.worked >= r.length:
			ended = append(ended, w.end(r, kqexecution.EndDone))
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			ended = append(ended, w.end(r, kqexecution.EndStopped))
			p.saved[r.key.Task] = max(p.saved[r.key.Task], r.worked)
		}
	}
	w.serve(p, at, fill)
	for _, e := range ended {
		w.runs.Delete(e.Run)
	}
	return ended
}

func (w *worker) end(r *run, how kqexecution.EndReason) kqexecution.RunEnd {
	w.ends++
	e := kqexecution.RunEnd{Number: w.ends, Run: r.key, Reason: how}
	if r.step.Checkpoints {
		e.Checkpoint = r.worked.String()
	}
	return e
}

// serve measures the serving tasks and counts what they earn.
func (w *worker) serve(p *Replay, at time.Duration, fill float64) {
	for _, s := range w.runs.All() {
		if !s.step.LongRunning {
			continue
		}
		alone := 1 - p.config.Load.load(s, at)*w.slow
		left := alone
		for _, r := range w.runs.All() {
			if r.step.Fills {
				left -= p.source.press[[2]string{s.step.Image, r.step.Image}] * fill * float64(r.percent) / 100 * float64(r.step.Resources.MilliProcessors) / (p.config.Load.Cores * milli)
			}
		}
		tail := float64(baseTail.Milliseconds()) / max(leastRoom, left)
		s.look(tail)
		p.account.serve(s.step, p.config.Load.TargetFactor*left >= 1, p.config.Load.TargetFactor*alone >= 1)
	}
}

// hold lets the agent look at the worker and pace what fills.
func (w *worker) hold(now time.Time) {
	rooms := map[string]float64{}
	var filling []kqpace.FillingRun
	for _, r := range w.runs.All() {
		switch {
		case r.step.LongRunning && len(r.looks) > 0:
			room := float64(r.step.TailTarget.Milliseconds()) / r.measure()
			if least, ok := rooms[r.step.Image]; !ok || room < least {
				rooms[r.step.Image] = room
			}
		case r.step.Fills:
			filling = append(filling, r.filling())
		}
	}
	w.pacer.Update(now, rooms, filling)
	for _, f := range filling {
		w.runs.Get(f.Key).pace(now, w.pacer.Share(f.Key))
	}
}

func (r *run) filling() kqpace.FillingRun {
	return kqpace.FillingRun{Key: r.key, Interference: r.press, Utilization: r.measure() / float64(max(1, r.step.Resources.MilliProcessors)), Deadline: r.due}
}

func (r *run) pace(now time.Time, percent int) {
	if percent != r.paced {
		r.paced, r.pacedAt = percent, now
	}
}

// report is what the agent tells the owner.
func (w *worker) report(unlearned bool) kqplan.Report {
	out := kqplan.Report{Worker: w.incarnation(), Complete: true}
	var filling []kqpace.FillingRun
	for _, r := range w.runs.All() {
		percent := 100.0
		if !r.step.LongRunning {
			percent = min(99, 100*r.worked.Seconds()/r.length.Seconds())
		}
		x := kqexecution.RunStatus{Run: r.key, Percent: percent, Measurement: r.measure()}
		if r.step.Checkpoints {
			x.Checkpoint = r.worked.String()
		}
		if r.step.Fills && unlearned {
			x.Measurement = 0
		}
		out.Running = append(out.Running, x)
		if r.step.Fills {
			filling = append(filling, r.filling())
			if r.paced < 100 {
				out.Slowed = append(out.Slowed, kqplan.SlowedRun{Run: r.key, Percent: r.paced})
			}
		}
	}
	out.Paces = w.pacer.SharesByImage(filling)
	return out
}

func (w *worker) incarnation() kqexecution.Incarnation {
	return kqexecution.Incarnation(w.name + "." + string(rune('0'+w.life)))
}
