package kqloss

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// GroupLoss reports the jobs of a queue that arrived through the entries of the same availability
// zone, or at times of similar demand.
type GroupLoss struct {
	// Queue is the name of the queue.
	Queue string `json:"queue"`
	// By is the attribute by which jobs are grouped, ByZone or ByDemand. Name is its value: the
	// name of the zone, or Peak or Trough.
	By   string `json:"by"`
	Name string `json:"name"`
	// Jobs is the number of jobs, Rejected the number of them that were never accepted.
	Jobs     int `json:"jobs"`
	Rejected int `json:"rejected"`
	// Value is the value of the accepted jobs, where a job of the queue's mean size counts as 1.
	// LostValue is the part of it that was not earned.
	Value     float64 `json:"owed"`
	LostValue float64 `json:"lost"`
	// WaitSeconds is the mean time for which tasks on the critical path of an accepted job waited
	// for a run.
	WaitSeconds float64 `json:"waited_s"`
}

// Attributes by which jobs are grouped, and the names of demand above its mean and of demand up to
// it.
const (
	ByZone   = "zone"
	ByDemand = "demand"
	Peak     = "peak"
	Trough   = "trough"
)

// demandWindow is the length of the windows in which arrivals are counted to distinguish peaks from
// troughs. It is long enough for a queue with two jobs per second, and short compared with waves of
// several seconds.
const demandWindow = 2 * time.Second

// groupLosses groups the jobs of a queue, including those that were never accepted, by zone and by
// demand.
func (a *Analyzer) groupLosses(queue string, jobs map[string]*job) []GroupLoss {
	mean := 0.0
	for _, j := range jobs {
		mean += j.work() / float64(max(1, len(jobs)))
	}
	demandName := a.classifyDemand(queue, jobs)
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
		waitTime := a.criticalPathTime(j)[CauseWait]
		for _, g := range []*GroupLoss{group(ByZone, a.zones[id]), group(ByDemand, demandName(j.submittedAt))} {
			g.Jobs++
			g.Value += weight
			g.LostValue += weight * (1 - j.earnedShare())
			g.WaitSeconds += waitTime.Seconds()
		}
	}
	for id, t := range a.notAccepted {
		if t.queue == queue && a.jobs[id] == nil {
			for _, g := range []*GroupLoss{group(ByZone, a.zones[id]), group(ByDemand, demandName(t.lastAttemptAt))} {
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

// classifyDemand returns a function that maps the arrival time of a job to Peak or Trough: Peak if
// more jobs of the queue arrived in the same window than in the window of the mean job.
func (a *Analyzer) classifyDemand(queue string, jobs map[string]*job) func(time.Time) string {
	counts := map[int64]int{}
	window := func(t time.Time) int64 { return t.UnixNano() / int64(demandWindow) }
	countArrival := func(at time.Time) { counts[window(at)]++ }
	for _, j := range jobs {
		countArrival(j.submittedAt)
	}
	for id, t := range a.notAccepted {
		if t.queue == queue && a.jobs[id] == nil {
			countArrival(t.lastAttemptAt)
		}
	}
	// The mean is taken over jobs, not over windows, so that a few isolated arrivals are not a
	// peak.
	arrivals, squares := 0, 0
	for _, n := range counts {
		arrivals += n
		squares += n * n
	}
	return func(at time.Time) string {
		if counts[window(at)]*arrivals > squares {
			return Peak
		}
		return Trough
	}
}
