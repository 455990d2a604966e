// Package kqpace decides at what share of full speed filling tasks run that are colocated with
// latency-critical serving tasks on one worker. A filling task is a best-effort task that uses
// processors that other tasks leave unused. The package does no I/O.
package kqpace

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// The headroom of a serving task is its target tail latency divided by its measured tail latency:
// 1 at the target, more below it. The latency of a queue is inversely proportional to the spare
// capacity of its server, so interference reduces the headroom linearly. Headroom and interference
// are numbers without a unit; the interference of a run is the headroom that it takes away.
const (
	// Below criticalHeadroom, an update limits the interference of the filling tasks to
	// criticalFactor times what it was, even if the learned values would allow more. Below
	// lowHeadroom the limit is lowFactor times what it was.
	criticalHeadroom = 1.02
	lowHeadroom      = 1.12
	// minTrustedHeadroom is the headroom below which the learned interference is certainly wrong,
	// so that the budget is 0 and only light runs can get a share.
	minTrustedHeadroom = 0.5
	// reservedHeadroom is the headroom that filling tasks must leave to serving tasks;
	// lightReservedHeadroom applies to runs with less than lightInterference.
	reservedHeadroom      = 1.22
	lightReservedHeadroom = 1.05

	criticalFactor = 0.4
	lowFactor      = 0.75
	// growthFraction is the fraction of the unused budget that is granted in one update.
	growthFraction = 0.5

	// MinUpdateInterval is the minimum time between two changes of the shares, except when the
	// headroom becomes critical.
	MinUpdateInterval = 250 * time.Millisecond
	// pauseInterferingAfter is the time with critical headroom after which all runs pause whose
	// interference is not negligible. After pauseAllAfter the other runs pause, too, because the
	// interference learned for them may be wrong.
	pauseInterferingAfter = 1500 * time.Millisecond
	pauseAllAfter         = 2400 * time.Millisecond
	// fullShare is the share of a run at full speed, in percent.
	fullShare = 100
	// minShare is the lowest share in percent; a run that would get less is paused.
	minShare = 4
	// smoothingWeight is the weight of a new measurement in the smoothed values. Lower measurements
	// replace them at once: any in the baseline, those below criticalHeadroom in the headroom.
	smoothingWeight = 0.6
	// lightInterference is the interference below which a run counts as light.
	lightInterference = 0.06
	// negligibleInterference is the interference below which a run is assumed not to interfere.
	negligibleInterference = 0.005
	// minSlack is the lower bound of the time to a job's deadline. overdueSlack replaces that time
	// for a job that has missed its deadline, so that it ranks as if its deadline were far away.
	minSlack     = 500 * time.Millisecond
	overdueSlack = time.Minute
)

// FillingRun is a run of a filling task on the worker.
type FillingRun struct {
	// Key identifies the run.
	Key kqexecution.Run
	// Interference is the headroom that the run takes at full speed from the serving tasks, by
	// their image.
	Interference map[string]float64
	// Utilization is the fraction of its requested processors that the run has used recently.
	Utilization float64
	// Deadline is when its job should complete.
	Deadline time.Time
}

// interferenceOn returns the headroom that r takes from an image at full speed. For an image that
// is not listed it returns fullShare, which is far above any budget, so that r gets no share.
func (r FillingRun) interferenceOn(image string) float64 {
	if interference, ok := r.Interference[image]; ok {
		return interference
	}
	return fullShare
}

// maxInterference returns the largest interference of r on any image.
func (r FillingRun) maxInterference() float64 {
	highest := 0.0
	for _, interference := range r.Interference {
		highest = max(highest, interference)
	}
	return highest
}

// slack returns the time until the deadline of the run's job.
func (r FillingRun) slack(now time.Time) time.Duration {
	if now.After(r.Deadline) {
		return overdueSlack
	}
	return max(minSlack, r.Deadline.Sub(now))
}

// budget is the headroom of the serving tasks of one image that filling runs may use.
type budget struct {
	// baseline is the smoothed headroom that the serving tasks would have without filling runs.
	baseline float64
	// granted is the headroom that filling runs take at their shares, remaining what can still be
	// granted.
	granted   float64
	remaining float64
	// smoothed is the smoothed measured headroom.
	smoothed float64
	// criticalSince is when the headroom became critical; zero if it is not.
	criticalSince time.Time
	// criticalFor is how long the headroom has been critical, as of the latest refill.
	criticalFor time.Duration
}

// Pacer computes the shares of the filling runs of one worker. It is designed for serving tasks
// whose load changes within seconds, colocated with filling tasks of which a few interfere
// strongly. Each run gets the share that the headroom allows; runs with little interference and an
// early deadline come first.
type Pacer struct {
	budgets   map[string]*budget
	shares    map[kqexecution.Run]int
	updatedAt time.Time
}

// New returns a Pacer without measurements, in which filling runs have full speed.
func New() *Pacer { return &Pacer{budgets: map[string]*budget{}, shares: map[kqexecution.Run]int{}} }

// Share returns the share of a run, in percent.
func (p *Pacer) Share(k kqexecution.Run) int {
	if s, ok := p.shares[k]; ok {
		return s
	}
	return fullShare
}

// SharesByImage returns, for each image with serving tasks, the mean share in percent of the runs
// that interfere with it, weighted by their interference. Light runs are not counted.
func (p *Pacer) SharesByImage(runs []FillingRun) map[string]int {
	out := make(map[string]int, len(p.budgets))
	for image := range p.budgets {
		unthrottled, throttled := 0.0, 0.0
		for _, r := range runs {
			if interference := r.Interference[image]; interference >= lightInterference {
				unthrottled += interference
				throttled += interference * float64(p.Share(r.Key)) / fullShare
			}
		}
		out[image] = fullShare
		if unthrottled > 0 {
			out[image] = int(fullShare * throttled / unthrottled)
		}
	}
	return out
}

// Update takes the lowest headroom of the serving tasks of each image and recomputes the shares of
// the runs, unless the last change is less than MinUpdateInterval ago and no headroom has just
// become critical.
func (p *Pacer) Update(now time.Time, headrooms map[string]float64, runs []FillingRun) {
	for image := range p.budgets {
		if _, ok := headrooms[image]; !ok {
			delete(p.budgets, image)
		}
	}
	critical := false
	for image, headroom := range headrooms {
		critical = p.measureHeadroom(now, image, headroom, runs) || critical
	}
	if now.Sub(p.updatedAt) < MinUpdateInterval && !critical {
		return
	}
	p.updatedAt = now
	for image, headroom := range headrooms {
		p.budgets[image].refill(now, headroom)
	}
	p.allocate(now, runs)
}

// measureHeadroom updates the baseline and the smoothed headroom of an image with a measurement. It
// reports whether the headroom has just become critical.
func (p *Pacer) measureHeadroom(now time.Time, image string, headroom float64, runs []FillingRun) bool {
	b := p.budgets[image]
	if b == nil {
		b = &budget{}
		p.budgets[image] = b
	}
	baseline := headroom
	b.granted = 0
	for _, r := range runs {
		baseline += r.Utilization * r.Interference[image]
		b.granted += float64(p.Share(r.Key)) / fullShare * r.interferenceOn(image)
	}
	if b.baseline == 0 || baseline < b.baseline {
		b.baseline = baseline
	}
	b.baseline += smoothingWeight * (baseline - b.baseline)
	if b.smoothed == 0 || headroom < b.smoothed && headroom < criticalHeadroom {
		b.smoothed = headroom
	}
	b.smoothed += smoothingWeight * (headroom - b.smoothed)
	if b.smoothed >= criticalHeadroom {
		b.criticalSince = time.Time{}
		return false
	}
	if !b.criticalSince.IsZero() {
		return false
	}
	b.criticalSince = now
	return true
}

// refill computes how much of the headroom filling runs may take.
func (b *budget) refill(now time.Time, headroom float64) {
	b.remaining = b.baseline - reservedHeadroom
	b.criticalFor = 0
	if !b.criticalSince.IsZero() {
		b.criticalFor = now.Sub(b.criticalSince)
	}
	switch {
	case headroom < minTrustedHeadroom:
		b.remaining = min(b.remaining, 0)
	case headroom < criticalHeadroom:
		b.remaining = min(b.remaining, criticalFactor*b.granted)
	case headroom < lowHeadroom:
		b.remaining = min(b.remaining, lowFactor*b.granted)
	case b.remaining > b.granted:
		b.remaining = b.granted + growthFraction*(b.remaining-b.granted)
	}
}

// allocate distributes the budgets among the runs in the order of their interference times their
// slack, lowest first.
func (p *Pacer) allocate(now time.Time, runs []FillingRun) {
	order := slices.Clone(runs)
	cost := func(r FillingRun) float64 { return r.maxInterference() * r.slack(now).Seconds() }
	slices.SortFunc(order, func(a, b FillingRun) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), strings.Compare(a.Key.Task, b.Key.Task))
	})
	shares := make(map[kqexecution.Run]int, len(order))
	for _, r := range order {
		shares[r.Key] = p.allocateRun(r)
	}
	p.shares = shares
}

// allocateRun returns the share in percent that the budgets allow for r and deducts it from them.
func (p *Pacer) allocateRun(r FillingRun) int {
	share := 1.0
	for image, b := range p.budgets {
		interference := r.interferenceOn(image)
		remaining := b.remaining
		if interference < lightInterference {
			remaining += reservedHeadroom - lightReservedHeadroom
		}
		switch {
		case b.criticalFor >= pauseAllAfter:
			share = 0
		case interference < negligibleInterference:
		case b.criticalFor >= pauseInterferingAfter:
			share = 0
		case remaining < interference:
			share = min(share, max(0, remaining/interference))
		}
	}
	percent := int(share * fullShare)
	if percent < minShare {
		return 0
	}
	for image, b := range p.budgets {
		b.remaining -= share * r.interferenceOn(image)
	}
	return percent
}

// AddRun allocates a share to a starting run from the remaining budgets, before any measurement
// includes the run.
func (p *Pacer) AddRun(r FillingRun) {
	p.shares[r.Key] = p.allocateRun(r)
}
