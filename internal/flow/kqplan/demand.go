package kqplan

import (
	"math"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqforesight"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

const (
	// unseenTime is for about how long an owner expects the usual headroom to be needed.
	unseenTime = 10 * time.Second
	// demandMargin is how much room is kept for what comes, against its mean: jobs
	// come in bursts, and their tasks together.
	demandMargin = 1.5
	// leastKept is the share of a service below which nothing is kept free.
	leastKept = 0.01
	// mostKept bounds the share of a service that is kept free of tasks that stay.
	mostKept = 0.4
)

// queueLoad is what was seen of the jobs of a queue that end.
type queueLoad struct {
	scale  kqsize.Scale
	demand kqforesight.Mean
	// usual and large are the mean sizes of the smallest first tasks of jobs that are not of the largest band, and of those
	// that are, in thousandths of a processor.
	usual, large int64
}

// loadOf returns what was seen of a queue.
func (p *Planner) loadOf(queue string) *queueLoad {
	l := p.loads[queue]
	if l == nil {
		l = &queueLoad{}
		p.loads[queue] = l
	}
	return l
}

// withheld reports whether a task that stays would take room that its service
// keeps for jobs that end and are at least as urgent. One that has run before is
// put back wherever it fits.
func (p *Planner) withheld(now time.Time, t *task, x *pass) bool {
	if !t.step.Standing || t.lastRun > 0 {
		return false
	}
	key := t.stepKey()
	if !x.withheld[key] {
		x.withheld[key] = !p.leavesRoomToEnd(now, t)
	}
	return x.withheld[key]
}

func (p *Planner) leavesRoomToEnd(now time.Time, t *task) bool {
	q := t.job.queue
	standing, capacity := t.step.Size.MilliProcessors, int64(0)
	for _, h := range p.hosts.All() {
		if h.info.Service == q.Service && !p.evacuated(h) {
			standing += h.tally.standing
			capacity += h.info.Capacity.MilliProcessors
		}
	}
	return float64(standing) <= (1-p.kept(now, q, capacity))*float64(capacity)
}

// kept returns the share of a queue's service that tasks that stay leave to jobs
// that end; capacity is the processors of the service, in thousandths.
func (p *Planner) kept(now time.Time, q kqflow.Queue, capacity int64) float64 {
	need := 0.0
	for name, l := range p.loads {
		if o := p.queues[name]; o.Service == q.Service && o.Priority <= q.Priority {
			need += l.demand.Processors(now)
		}
	}
	// An owner that has seen little yet expects the usual headroom to be needed.
	unseen := math.Exp(-now.Sub(p.config.TakenAt).Seconds()/unseenTime.Seconds()) * headroom / fullPercent
	kept := max(unseen, demandMargin*need*milli/float64(max(1, capacity)))
	if kept < leastKept {
		return 0
	}
	return min(mostKept, kept)
}
