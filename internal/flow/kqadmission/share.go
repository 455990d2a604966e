package kqadmission

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// presentTime and usualTime are over about how long what is asked for now, and what usually is, are averaged. Callers come
	// in waves of about 15 s, so the usual is longer than one.
	presentTime = 3 * time.Second
	usualTime   = 30 * time.Second
	// learnTime is for how long all that a new flow asks for is usual.
	learnTime = 15 * time.Second
	// mostUsual bounds what counts as usual by what was: a burst of 8 s raises it by at most a seventh, so that it takes no
	// share from others.
	mostUsual = 1.5
	// leastSeen bounds from below over what time the first work is taken to have come.
	leastSeen = 2 * time.Second
	// shareMargin is by how much more than its share a flow may ask for before it counts as over it.
	shareMargin = 1.1
	// deviations is by how many standard deviations of what chance brings it must be above that too: few large jobs that come
	// together are no burst.
	deviations = 2
	// leastUse is the mean, in processors, below which a flow is forgotten.
	leastUse = 1e-4
)

// Flow is the jobs of one queue, size and zone.
type Stream struct {
	// Queue names the queue.
	Queue string
	Segment
}

// use is what a flow asks for.
type use struct {
	// present is processor-seconds weighted by age, usual the mean in processors.
	present, usual float64
	at, since      time.Time
	// squares is the squares of the processor-seconds of each job, weighted by the square of its age's weight.
	squares float64
	// sum is all processor-seconds while the flow is new.
	sum float64
}

func (u *use) add(now time.Time, work float64) {
	if u.since.IsZero() {
		u.since, u.at = now, now
	}
	u.advance(now)
	u.present += work
	u.squares += work * work
	u.sum += work
}

// advance lets the means go on to the present.
func (u *use) advance(now time.Time) {
	before := u.mean(u.at)
	if now.Sub(u.since) < learnTime {
		u.usual = u.sum / max(leastSeen, now.Sub(u.since)).Seconds()
	} else {
		u.usual += (min(before, mostUsual*u.usual) - u.usual) * (1 - decay(now.Sub(u.at), usualTime))
	}
	u.present *= decay(now.Sub(u.at), presentTime)
	u.squares *= decay(2*now.Sub(u.at), presentTime)
	u.at = now
}

// mean returns the mean number of processors that is asked for now.
func (u *use) mean(now time.Time) float64 {
	seen := max(leastSeen, now.Sub(u.since))
	return u.present / (presentTime.Seconds() * (1 - decay(seen, presentTime)))
}

// certain returns what is asked for now beyond what chance explains.
func (u *use) certain(now time.Time) float64 {
	if u.present <= 0 {
		return 0
	}
	return u.mean(now) * max(0, 1-deviations*math.Sqrt(u.squares)/u.present)
}

func decay(age, over time.Duration) float64 { return math.Exp(-max(0, age.Seconds()) / over.Seconds()) }

// Shares follows what flows ask for. It is not safe for concurrent use.
type DemandTracker struct {
	flows map[Stream]*use
}

// NewShares returns Shares that have seen nothing.
func NewDemandTracker() *DemandTracker { return &DemandTracker{flows: map[Stream]*use{}} }

// Ask notes that a job of a flow asks for work, in processor-seconds.
func (s *DemandTracker) AddWork(now time.Time, f Stream, work float64) {
	u := s.flows[f]
	if u == nil {
		u = &use{}
		s.flows[f] = u
	}
	u.add(now, work)
}

// demand is what a flow asks for now and usually, in processors, and the share that it has.
type demand struct {
	flow                  Stream
	priority              int
	present, usual, share float64
}

// Over returns the flows of the queues with the given priorities that ask for more than their share of some processors. More
// urgent queues have their usual use first; what nobody usually uses is shared in proportion to use.
func (s *DemandTracker) OverShare(now time.Time, priorities map[string]int, processors float64) []Stream {
	var ds []demand
	for f, u := range s.flows {
		p, ok := priorities[f.Queue]
		if !ok {
			continue
		}
		u.advance(now)
		if u.usual < leastUse {
			delete(s.flows, f)
			continue
		}
		ds = append(ds, demand{flow: f, priority: p, present: u.certain(now), usual: u.usual})
	}
	slices.SortFunc(ds, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), strings.Compare(a.flow.Queue, b.flow.Queue), cmp.Compare(a.flow.Band, b.flow.Band), strings.Compare(a.flow.Zone, b.flow.Zone))
	})
	divide(ds, processors)
	var out []Stream
	for _, d := range ds {
		if d.present > shareMargin*d.share {
			out = append(out, d.flow)
		}
	}
	return out
}

// divide gives each demand its share; they are in order of priority.
func divide(ds []demand, processors float64) {
	left, all := processors, 0.0
	for from := 0; from < len(ds); {
		till, sum := from, 0.0
		for ; till < len(ds) && ds[till].priority == ds[from].priority; till++ {
			sum += ds[till].usual
		}
		part := min(1, left/max(sum, leastUse))
		for i := from; i < till; i++ {
			ds[i].share = part * ds[i].usual
		}
		left, all, from = left-part*sum, all+sum, till
	}
	for i := range ds {
		ds[i].share += max(0, left) * ds[i].usual / max(all, leastUse)
	}
}
