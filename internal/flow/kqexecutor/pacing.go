package kqexecutor

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// pacerRun returns the pacer's input for a filling run.
func (e *execution) pacerRun() kqpace.FillingRun {
	return kqpace.FillingRun{Key: e.order.Run, Interference: e.order.Interference, Utilization: e.utilization, Deadline: e.deadline}
}

// fillingRuns returns the pacer's input for the filling runs that are not being stopped; mu is
// held.
func (x *Executor) fillingRuns() []kqpace.FillingRun {
	var out []kqpace.FillingRun
	for _, e := range x.runs {
		if e.order.Fills && !e.stopping {
			out = append(out, e.pacerRun())
		}
	}
	return out
}

// paces returns, for each image, the mean pace of the filling runs that interfere with it, and
// the runs that are slowed down. mu is held.
func (x *Executor) paces() (map[string]int, []kqplan.SlowedRun) {
	filling := x.fillingRuns()
	var slowed []kqplan.SlowedRun
	for _, r := range filling {
		if share := x.pacer.Share(r.Key); share < fullPercent {
			slowed = append(slowed, kqplan.SlowedRun{Run: r.Key, Percent: share})
		}
	}
	return x.pacer.SharesByImage(filling), slowed
}

// updatePaces sets the paces of filling runs by the latency headroom of the latency-critical
// runs, and returns the lowest headroom of each image. mu is held.
func (x *Executor) updatePaces(now time.Time, running []kqexecution.RunStatus) map[string]float64 {
	headrooms := map[string]float64{}
	for _, r := range running {
		e := x.runs[r.Run]
		switch {
		case e == nil || e.stopping:
		case e.order.TailTarget > 0 && r.Measurement > 0:
			headroom := e.headroom(r)
			if lowest, ok := headrooms[e.order.Image]; !ok || headroom < lowest {
				headrooms[e.order.Image] = headroom
			}
		case e.order.Fills:
			e.utilization = r.Measurement / float64(max(1, e.order.Size.MilliProcessors))
		}
	}
	filling := x.fillingRuns()
	x.pacer.Update(now, headrooms, filling)
	x.colocated = len(filling) > 0 && len(headrooms) > 0
	for _, r := range filling {
		e := x.runs[r.Key]
		if percent := x.pacer.Share(r.Key); e.pacePercent != percent && x.listed[r.Key] {
			x.paceLog.recordChange(r.Key, percent)
			x.sendPace(e, r.Key, percent)
		}
	}
	return headrooms
}

// sendPace sends the pace of a filling run to the worker; mu is held.
func (x *Executor) sendPace(e *execution, r kqexecution.Run, percent int) {
	e.pacePercent = percent
	x.tomb.Go((&paceRequest{x, e, x.info.Worker, r, percent}).run)
}

// paceRequest sends the pace of one run, in percent of its speed, to the worker.
type paceRequest struct {
	executor    *Executor
	execution   *execution
	incarnation kqexecution.Incarnation
	runID       kqexecution.Run
	percent     int
}

// run makes one call. If it fails, the pace is sent again after the next poll.
func (p *paceRequest) run() error {
	x := p.executor
	x.mu.Lock()
	worker, token, superseded := x.worker, x.epoch, x.info.Worker != p.incarnation
	x.mu.Unlock()
	if superseded {
		return nil
	}
	ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), orderTimeout)
	defer cancel()
	answer, err := worker.Pace(ctx, p.runID, token, p.percent)
	if err == nil && answer == kqexecution.AnswerDone {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if p.execution.pacePercent == p.percent {
		p.execution.pacePercent = -1
	}
	return nil
}
