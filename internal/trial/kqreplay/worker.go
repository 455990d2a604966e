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
	// unloadedTail is the tail latency of a serving task without load.
	unloadedTail = 25 * time.Millisecond
	// minSpareCapacity is the spare capacity that an overloaded serving task is assumed to have; it
	// bounds the tail latency.
	minSpareCapacity = 0.02
	// measurementSpan is the time over which samples are averaged.
	measurementSpan = 500 * time.Millisecond
	// paceDelay is the time until a changed share of a filling run takes effect.
	paceDelay = 100 * time.Millisecond
	// overTargetLoss is the value that a serving task loses while colocated filling tasks keep it over
	// its target, as a multiple of the value that it would have earned.
	overTargetLoss = 4
)

// run is a simulated run on a worker.
type run struct {
	key  kqexecution.Run
	step kqflow.Step
	// interference is the owner's estimate for a filling run, by serving image.
	interference map[string]float64
	// deadline is when the job should complete.
	deadline time.Time
	// runTime is the run time at full speed, workDone the part of it that has been completed.
	runTime   time.Duration
	workDone  time.Duration
	startedAt time.Time
	// share is the share of full speed in percent, targetShare the one that the pacer has set at
	// targetChangedAt.
	share           int
	targetShare     int
	targetChangedAt time.Time
	// loadPhase is the phase of the load wave of a serving task, in periods.
	loadPhase float64
	// stopAt is when an ordered stop takes effect; zero if none is ordered.
	stopAt time.Time
	// samples holds the measurements of the latest time steps: the tail latency of a serving task in
	// milliseconds, or the milli-processors in use by another task.
	samples []float64
}

func (r *run) meanSample() float64 {
	sum := 0.0
	for _, v := range r.samples {
		sum += v
	}
	return sum / float64(max(1, len(r.samples)))
}

func (r *run) addSample(v float64) {
	r.samples = append(r.samples, v)
	if len(r.samples) > int(measurementSpan/timeStep) {
		r.samples = r.samples[1:]
	}
}

// worker simulates a worker and the pacer of its agent.
type worker struct {
	name              string
	incarnationNumber int
	// crash is the report of the latest loss of the worker.
	crash kqplan.WorkerEnd
	runs  kqordered.Map[kqexecution.Run, *run]
	pacer *kqpace.Pacer
	// slowdown is the factor by which work takes longer.
	slowdown float64
	// zone is the availability zone.
	zone string
	// warmUpUntil is the end of the warm-up after an evacuation; zero if the worker is warm.
	warmUpUntil time.Time
	lost        bool
	// endCount is the number of runs that have ended in this incarnation.
	endCount uint64
}

func newWorker(name string) *worker {
	return &worker{name: name, incarnationNumber: 1, pacer: kqpace.New(), slowdown: 1}
}

// servingLoadAt returns the load of a serving task at a time since the start of the replay, as a
// fraction of its processors and without interference.
func (l Load) servingLoadAt(r *run, at time.Duration) float64 {
	return l.ServingLoad * (1 + l.ServingSwing*math.Sin(2*math.Pi*(at.Seconds()/l.ServingPeriod.Seconds()+r.loadPhase)))
}

// advance simulates one time step and returns the runs that have ended. Filling runs share the
// processors that other runs leave unused.
func (w *worker) advance(p *Replay, now time.Time) []kqexecution.RunEnd {
	if w.lost {
		return nil
	}
	at := now.Sub(replayStart)
	busy, requested := 0.0, 0.0
	for _, r := range w.runs.All() {
		if r.share != r.targetShare && now.Sub(r.targetChangedAt) >= paceDelay {
			r.share = r.targetShare
		}
		size := float64(r.step.Resources.MilliProcessors)
		switch {
		case r.step.Fills:
			requested += size * float64(r.share) / 100
		case r.step.LongRunning:
			busy += size * p.config.Load.servingLoadAt(r, at)
		default:
			busy += size
		}
	}
	fillingFraction := min(1, max(0, p.config.Load.Cores*milliPerProcessor-busy)/max(1, requested))
	var ended []kqexecution.RunEnd
	for _, r := range w.runs.All() {
		if r.step.LongRunning {
			if !r.stopAt.IsZero() && !now.Before(r.stopAt) {
				ended = append(ended, w.endRun(r, kqexecution.EndStopped))
			}
			continue
		}
		speed := 1 / w.slowdown
		if r.step.Fills {
			speed *= fillingFraction * float64(r.share) / 100
		}
		r.workDone += time.Duration(speed * float64(timeStep))
		r.addSample(float64(r.step.Resources.MilliProcessors) * speed * w.slowdown)
		switch {
		case r.workDone >= r.runTime:
			ended = append(ended, w.endRun(r, kqexecution.EndDone))
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			ended = append(ended, w.endRun(r, kqexecution.EndStopped))
			p.checkpoints[r.key.Task] = max(p.checkpoints[r.key.Task], r.workDone)
		}
	}
	w.measureServing(p, at, fillingFraction)
	for _, e := range ended {
		w.runs.Delete(e.Run)
	}
	return ended
}

// endRun returns the end of a run with the next number.
func (w *worker) endRun(r *run, reason kqexecution.EndReason) kqexecution.RunEnd {
	w.endCount++
	e := kqexecution.RunEnd{Number: w.endCount, Run: r.key, Reason: reason}
	if r.step.Checkpoints {
		e.Checkpoint = r.workDone.String()
	}
	return e
}

// measureServing samples the tail latency of the serving tasks and adds the value that they earn in a
// time step. The argument fillingFraction is what filling runs get of the processors that they
// request. Tail latency is inversely proportional to the spare capacity, which the load of the task
// and the interference of filling runs reduce.
func (w *worker) measureServing(p *Replay, at time.Duration, fillingFraction float64) {
	for _, s := range w.runs.All() {
		if !s.step.LongRunning {
			continue
		}
		spareAlone := 1 - p.config.Load.servingLoadAt(s, at)*w.slowdown
		spare := spareAlone
		for _, r := range w.runs.All() {
			if r.step.Fills {
				spare -= p.source.interference[[2]string{s.step.Image, r.step.Image}] * fillingFraction * float64(r.share) / 100 * float64(r.step.Resources.MilliProcessors) / (p.config.Load.Cores * milliPerProcessor)
			}
		}
		tail := float64(unloadedTail.Milliseconds()) / max(minSpareCapacity, spare)
		s.addSample(tail)
		p.recorder.addServingStep(s.step, p.config.Load.TargetFactor*spare >= 1, p.config.Load.TargetFactor*spareAlone >= 1)
	}
}

// updateShares passes the headrooms of the serving tasks to the pacer and sets the shares of the
// filling runs.
func (w *worker) updateShares(now time.Time) {
	headrooms := map[string]float64{}
	var filling []kqpace.FillingRun
	for _, r := range w.runs.All() {
		switch {
		case r.step.LongRunning && len(r.samples) > 0:
			headroom := float64(r.step.TailTarget.Milliseconds()) / r.meanSample()
			if lowest, ok := headrooms[r.step.Image]; !ok || headroom < lowest {
				headrooms[r.step.Image] = headroom
			}
		case r.step.Fills:
			filling = append(filling, r.fillingRun())
		}
	}
	w.pacer.Update(now, headrooms, filling)
	for _, f := range filling {
		w.runs.Get(f.Key).setTargetShare(now, w.pacer.Share(f.Key))
	}
}

// fillingRun returns the run as the pacer needs it.
func (r *run) fillingRun() kqpace.FillingRun {
	return kqpace.FillingRun{Key: r.key, Interference: r.interference, Utilization: r.meanSample() / float64(max(1, r.step.Resources.MilliProcessors)), Deadline: r.deadline}
}

// setTargetShare sets the share that takes effect after paceDelay.
func (r *run) setTargetShare(now time.Time, share int) {
	if share != r.targetShare {
		r.targetShare, r.targetChangedAt = share, now
	}
}

// report returns the complete report of the agent to the owner.
func (w *worker) report(noLearning bool) kqplan.Report {
	report := kqplan.Report{Worker: w.incarnation(), Complete: true}
	var filling []kqpace.FillingRun
	for _, r := range w.runs.All() {
		percent := 100.0
		if !r.step.LongRunning {
			percent = min(99, 100*r.workDone.Seconds()/r.runTime.Seconds())
		}
		status := kqexecution.RunStatus{Run: r.key, Percent: percent, Measurement: r.meanSample()}
		if r.step.Checkpoints {
			status.Checkpoint = r.workDone.String()
		}
		if r.step.Fills && noLearning {
			status.Measurement = 0
		}
		report.Running = append(report.Running, status)
		if r.step.Fills {
			filling = append(filling, r.fillingRun())
			if r.targetShare < 100 {
				report.Slowed = append(report.Slowed, kqplan.SlowedRun{Run: r.key, Percent: r.targetShare})
			}
		}
	}
	report.Paces = w.pacer.SharesByImage(filling)
	return report
}

func (w *worker) incarnation() kqexecution.Incarnation {
	return kqexecution.Incarnation(w.name + "." + string(rune('0'+w.incarnationNumber)))
}
