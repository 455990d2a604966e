package kqplan

import (
	"math"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

// rate counts the core-seconds of work that came over about the last rateTime.
type rate struct {
	value float64
	at    time.Time
	since time.Time
}

const (
	rateTime = 10 * time.Second
	// leastSeen bounds from below over what time the first work is taken to have
	// come.
	leastSeen = 2 * time.Second
	// demandMargin is how much room is kept for what comes, against its mean: jobs
	// come in bursts, and their tasks together.
	demandMargin = 1.5
	// leastKept is the share of a service below which nothing is kept free.
	leastKept = 0.01
	// mostKept bounds the share of a service that is kept free of tasks that stay.
	mostKept = 0.4
)

// add takes over the work of a job, in core-seconds.
func (r *rate) add(now time.Time, work float64) {
	if r.since.IsZero() {
		r.since = now
	}
	r.value, r.at = r.sum(now)+work, now
}

// sum returns what came, weighted by its age.
func (r *rate) sum(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateTime.Seconds())
}

// processors returns the mean number of processors that the work takes.
func (r *rate) processors(now time.Time) float64 {
	seen := max(leastSeen, now.Sub(r.since))
	return r.sum(now) / (rateTime.Seconds() * (1 - math.Exp(-seen.Seconds()/rateTime.Seconds())))
}

// queueLoad is what was seen of the jobs of a queue that end.
type queueLoad struct {
	scale  kqsize.Scale
	demand rate
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
			need += l.demand.processors(now)
		}
	}
	// An owner that has seen little yet expects the usual headroom to be needed.
	unseen := math.Exp(-now.Sub(p.config.TakenAt).Seconds()/rateTime.Seconds()) * headroom / fullPercent
	kept := max(unseen, demandMargin*need*milli/float64(max(1, capacity)))
	if kept < leastKept {
		return 0
	}
	return min(mostKept, kept)
}
