package kqexecutor

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// filling returns what decides on the share of a filling run.
func (e *entry) filling() kqpace.FillingRun {
	return kqpace.FillingRun{Key: e.order.Run, Interference: e.order.Interference, Utilization: e.use, Deadline: e.due}
}

// filling returns the filling runs that are to work; mu is held.
func (x *Executor) filling() []kqpace.FillingRun {
	var out []kqpace.FillingRun
	for _, e := range x.runs {
		if e.order.Fills && !e.stopping {
			out = append(out, e.filling())
		}
	}
	return out
}

// paces returns at which shares what presses each image works, and the runs that
// are slowed down; mu is held.
func (x *Executor) paces() (map[string]int, []kqplan.SlowedRun) {
	filling := x.filling()
	var slowed []kqplan.SlowedRun
	for _, r := range filling {
		if share := x.pacer.Share(r.Key); share < fullPercent {
			slowed = append(slowed, kqplan.SlowedRun{Run: r.Key, Percent: share})
		}
	}
	return x.pacer.SharesByImage(filling), slowed
}

// pace lets filling tasks work at the share that serving tasks bear; it returns
// the least room of each image. mu is held.
func (x *Executor) pace(now time.Time, running []kqexecution.Running) map[string]float64 {
	rooms := map[string]float64{}
	for _, r := range running {
		e := x.runs[r.Run]
		switch {
		case e == nil || e.stopping:
		case e.order.TailTarget > 0 && r.Measure > 0:
			room := e.room(r)
			if least, ok := rooms[e.order.Image]; !ok || room < least {
				rooms[e.order.Image] = room
			}
		case e.order.Fills:
			e.use = r.Measure / float64(max(1, e.order.Size.MilliProcessors))
		}
	}
	filling := x.filling()
	x.pacer.Update(now, rooms, filling)
	x.watching = len(filling) > 0 && len(rooms) > 0
	for _, r := range filling {
		e := x.runs[r.Key]
		if percent := x.pacer.Share(r.Key); e.paced != percent && x.listed[r.Key] {
			x.watch.change(r.Key, percent)
			x.paceRun(e, r.Key, percent)
		}
	}
	return rooms
}

// paceRun tells the worker at which share a run works; mu is held.
func (x *Executor) paceRun(e *entry, r kqexecution.Run, percent int) {
	e.paced = percent
	x.tomb.Go((&pacing{x, e, x.info.Worker, r, percent}).run)
}

// pacing tells the worker at which share a run works.
type pacing struct {
	executor *Executor
	entry    *entry
	name     kqexecution.Incarnation
	of       kqexecution.Run
	percent  int
}

func (p *pacing) run() error {
	x := p.executor
	x.mu.Lock()
	worker, token, over := x.worker, x.epoch, x.info.Worker != p.name
	x.mu.Unlock()
	if over {
		return nil
	}
	ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), orderTimeout)
	defer cancel()
	answer, err := worker.Pace(ctx, p.of, token, p.percent)
	if err == nil && answer == kqexecution.AnswerDone {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if p.entry.paced == p.percent {
		p.entry.paced = -1
	}
	return nil
}
