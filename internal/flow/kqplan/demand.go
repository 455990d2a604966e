package kqplan

import (
	"math"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqforesight"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

const (
	// initialDemandDecay is the time constant with which the demand that a new owner assumes
	// decays.
	initialDemandDecay = 10 * time.Second
	// demandMargin is the ratio of the capacity kept free for finite jobs to their mean demand:
	// jobs arrive in bursts, and the tasks of a job arrive together.
	demandMargin = 1.5
	// minFiniteJobShare is the share of a service below which nothing is kept free.
	minFiniteJobShare = 0.01
	// maxFiniteJobShare bounds the share of a service that is kept free of long-running tasks.
	maxFiniteJobShare = 0.4
)

// queueStats holds statistics of the finite jobs of a queue.
type queueStats struct {
	classifier kqsize.Classifier
	demand     kqforesight.DecayingMean
	// usualTaskSize and largeTaskSize are moving averages of the smallest first task of a job, in
	// thousandths of a processor: over the jobs below the largest size band, and over those in it.
	usualTaskSize, largeTaskSize int64
}

// statsOf returns the statistics of a queue; it creates them if there are none.
func (p *Planner) statsOf(queue string) *queueStats {
	stats := p.queueStats[queue]
	if stats == nil {
		stats = &queueStats{}
		p.queueStats[queue] = stats
	}
	return stats
}

// isWithheld reports whether a long-running task has to wait because it would use capacity that its
// service keeps for finite jobs of at least its priority. A task that has run before is not
// withheld: it is placed wherever it fits.
func (p *Planner) isWithheld(now time.Time, t *task, ps *pass) bool {
	if !t.step.LongRunning || t.lastRun > 0 {
		return false
	}
	key := t.stepKey()
	if !ps.withheld[key] {
		ps.withheld[key] = !p.leavesFiniteJobShare(now, t)
	}
	return ps.withheld[key]
}

// leavesFiniteJobShare reports whether the service of a long-running task keeps the share for finite
// jobs free if the task is placed outside the evacuated zones.
func (p *Planner) leavesFiniteJobShare(now time.Time, t *task) bool {
	q := t.job.queue
	longRunning, capacity := t.step.Resources.MilliProcessors, int64(0)
	for _, h := range p.hosts.All() {
		if h.info.Service == q.Service && !p.inEvacuatedZone(h) {
			longRunning += h.usage.longRunning
			capacity += h.info.Capacity.MilliProcessors
		}
	}
	return float64(longRunning) <= (1-p.finiteJobShare(now, q, capacity, demandMargin))*float64(capacity)
}

// finiteJobShare returns the share of a queue's service, from 0 to 1, that long-running tasks leave
// to finite jobs of at least the queue's priority: margin times their mean demand. capacity is the
// processors of the service, in thousandths.
func (p *Planner) finiteJobShare(now time.Time, q kqflow.Queue, capacity int64, margin float64) float64 {
	demand := 0.0
	for name, stats := range p.queueStats {
		if other := p.queues[name]; other.Service == q.Service && other.Priority <= q.Priority {
			demand += stats.demand.Processors(now)
		}
	}
	// A new owner has observed little demand: it assumes that the reserve for the top priority is
	// needed, and relies on that assumption less as time passes.
	initial := math.Exp(-now.Sub(p.config.AcquiredAt).Seconds()/initialDemandDecay.Seconds()) * topPriorityReserve / fullPercent
	share := max(initial, margin*demand*milliPerProcessor/float64(max(1, capacity)))
	if share < minFiniteJobShare {
		return 0
	}
	return min(maxFiniteJobShare, share)
}
