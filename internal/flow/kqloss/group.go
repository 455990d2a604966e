package kqloss

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// Group is how well the jobs of a queue were served that have something in common:
// the availability zone of their callers, or the demand when they came.
type GroupLoss struct {
	// Queue names the class of work.
	Queue string `json:"queue"`
	// By is what the group goes by, "zone" or "demand", and Name its name.
	By   string `json:"by"`
	Name string `json:"name"`
	// Jobs is how many there were, Rejected how many of them were never taken.
	Jobs     int `json:"jobs"`
	Rejected int `json:"rejected"`
	// Owed is what the jobs that were taken were worth, in jobs of the queue's mean
	// size, and Lost the part of it that was not earned.
	Value     float64 `json:"owed"`
	LostValue float64 `json:"lost"`
	// Waited is the mean time in seconds in which tasks on the chain of such a job
	// waited for a run.
	WaitSeconds float64 `json:"waited_s"`
}

// Names of what groups go by, and of demand above and up to its mean.
const (
	ByZone   = "zone"
	ByDemand = "demand"
	Peak     = "peak"
	Trough   = "trough"
)

// demandWindow is over what time arrivals are counted to tell a peak from a trough:
// long enough for a class of two jobs a second, short beside waves of several seconds.
const demandWindow = 2 * time.Second

// groups splits the jobs of a queue, and those of it that were turned away.
func (a *Analyzer) groups(queue string, jobs map[string]*job) []GroupLoss {
	mean := 0.0
	for _, j := range jobs {
		mean += j.work() / float64(max(1, len(jobs)))
	}
	peak := a.demand(queue, jobs)
	byKey := map[GroupLoss]*GroupLoss{}
	group := func(by, name string) *GroupLoss {
		key := GroupLoss{Queue: queue, By: by, Name: name}
		if byKey[key] == nil {
			byKey[key] = &GroupLoss{Queue: queue, By: by, Name: name}
		}
		return byKey[key]
	}
	for id, j := range jobs {
		weight := kqplan.JobValue(j.work(), mean)
		waited := a.chain(j)[CauseWait]
		for _, g := range []*GroupLoss{group(ByZone, a.zones[id]), group(ByDemand, peak(j.submitted))} {
			g.Jobs++
			g.Value += weight
			g.LostValue += weight * (1 - j.value())
			g.WaitSeconds += waited.Seconds()
		}
	}
	for id, t := range a.away {
		if t.queue == queue && a.jobs[id] == nil {
			for _, g := range []*GroupLoss{group(ByZone, a.zones[id]), group(ByDemand, peak(t.at))} {
				g.Jobs++
				g.Rejected++
			}
		}
	}
	out := make([]GroupLoss, 0, len(byKey))
	for _, g := range byKey {
		g.WaitSeconds /= float64(max(1, g.Jobs-g.Rejected))
		out = append(out, *g)
	}
	slices.SortFunc(out, func(x, y GroupLoss) int { return cmp.Or(-cmp.Compare(x.By, y.By), cmp.Compare(x.Name, y.Name)) })
	return out
}

// demand returns what tells whether a job of a queue came among more others than the
// mean job did.
func (a *Analyzer) demand(queue string, jobs map[string]*job) func(time.Time) string {
	counts := map[int64]int{}
	window := func(t time.Time) int64 { return t.UnixNano() / int64(demandWindow) }
	note := func(at time.Time) { counts[window(at)]++ }
	for _, j := range jobs {
		note(j.submitted)
	}
	for id, t := range a.away {
		if t.queue == queue && a.jobs[id] == nil {
			note(t.at)
		}
	}
	// The mean is that of what a job sees: a few arrivals far apart are no peak.
	arrivals, seen := 0, 0
	for _, n := range counts {
		arrivals += n
		seen += n * n
	}
	return func(at time.Time) string {
		if counts[window(at)]*arrivals > seen {
			return Peak
		}
		return Trough
	}
}
