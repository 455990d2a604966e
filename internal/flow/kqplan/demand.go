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
	initialDemandDecay = 10 * time.Second
	// demandMargin is how much room is kept for what comes, against its mean: jobs
	// come in bursts, and their tasks together.
	demandMargin = 1.5
	// leastKept is the share of a service below which nothing is kept free.
	minFiniteJobShare = 0.01
	// mostKept bounds the share of a service that is kept free of tasks that stay.
	maxFiniteJobShare = 0.4
)

// queueLoad is what was seen of the jobs of a queue that end.
type queueStats struct {
	scale  kqsize.Classifier
	demand kqforesight.DecayingMean
	// usual and large are the mean sizes of the smallest first tasks of jobs that are not of the largest band, and of those
	// that are, in thousandths of a processor.
	usualTaskSize, largeTaskSize int64
}

// loadOf returns what was seen of a queue.
func (p *Planner) statsOf(queue string) *queueStats {
	l := p.queueStats[queue]
	if l == nil {
		l = &queueStats{}
		p.queueStats[queue] = l
	}
	return l
}

// withheld reports whether a task that stays would take room that its service
// keeps for jobs that end and are at least as urgent. One that has run before is
// put back wherever it fits.
func (p *Planner) isWithheld(now time.Time, t *task, x *pass) bool {
	if !t.step.LongRunning || t.lastRun > 0 {
		return false
	}
	key := t.stepKey()
	if !x.withheld[key] {
		x.withheld[key] = !p.leavesFiniteJobShare(now, t)
	}
	return x.withheld[key]
}

func (p *Planner) leavesFiniteJobShare(now time.Time, t *task) bool {
	q := t.job.queue
	standing, capacity := t.step.Resources.MilliProcessors, int64(0)
	for _, h := range p.hosts.All() {
		if h.info.Service == q.Service && !p.inEvacuatedZone(h) {
			standing += h.usage.longRunning
			capacity += h.info.Capacity.MilliProcessors
		}
	}
	return float64(standing) <= (1-p.finiteJobShare(now, q, capacity))*float64(capacity)
}

// kept returns the share of a queue's service that tasks that stay leave to jobs
// that end; capacity is the processors of the service, in thousandths.
func (p *Planner) finiteJobShare(now time.Time, q kqflow.Queue, capacity int64) float64 {
	need := 0.0
	for name, l := range p.queueStats {
		if o := p.queues[name]; o.Service == q.Service && o.Priority <= q.Priority {
			need += l.demand.Processors(now)
		}
	}
	// An owner that has seen little yet expects the usual headroom to be needed.
	unseen := math.Exp(-now.Sub(p.config.AcquiredAt).Seconds()/initialDemandDecay.Seconds()) * topPriorityReserve / fullPercent
	kept := max(unseen, demandMargin*need*milliPerProcessor/float64(max(1, capacity)))
	if kept < minFiniteJobShare {
		return 0
	}
	return min(maxFiniteJobShare, kept)
}
