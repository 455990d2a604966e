package kqadmission

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// currentWindow and usualWindow are the time constants of the means of current and usual
	// demand. Demand rises and falls in waves of about 15 s, so usualWindow is longer than one
	// wave.
	currentWindow = 3 * time.Second
	usualWindow   = 30 * time.Second
	// learningPeriod is the time after the first job of a stream during which all of its demand
	// counts as usual.
	learningPeriod = 15 * time.Second
	// maxUsualGrowth bounds the demand that enters the usual demand, as a multiple of the usual
	// demand so far: a burst of 8 s raises it by at most a seventh, so that a burst does not take
	// the share of other streams.
	maxUsualGrowth = 1.5
	// minObservation is the shortest time over which the demand of a new stream is averaged.
	minObservation = 2 * time.Second
	// shareMargin is the factor by which the demand of a stream must exceed its share to count as
	// over its share.
	shareMargin = 1.1
	// deviationFactor is the number of standard deviations of random arrivals that are subtracted
	// from the demand before it is compared with the share: a few large jobs that arrive together
	// by chance are not a burst.
	deviationFactor = 2
	// minUsual is the usual demand, in processors, below which a stream is dropped.
	minUsual = 1e-4
)

// Stream identifies the jobs of one queue, size band and zone.
type Stream struct {
	// Queue is the name of the queue.
	Queue string
	Segment
}

// streamStats holds the demand of one stream.
type streamStats struct {
	// recentWork is the sum of processor-seconds, each weighted by an exponential decay of its age;
	// usualDemand is the long-term mean demand in processors.
	recentWork, usualDemand float64
	updatedAt, firstAt      time.Time
	// squaredWork is the sum of the squared weighted processor-seconds of the jobs.
	squaredWork float64
	// totalWork is the sum of all processor-seconds; it is used during the learning period.
	totalWork float64
}

func (u *streamStats) addWork(now time.Time, work float64) {
	if u.firstAt.IsZero() {
		u.firstAt, u.updatedAt = now, now
	}
	u.advance(now)
	u.recentWork += work
	u.squaredWork += work * work
	u.totalWork += work
}

// advance updates the means to the current time.
func (u *streamStats) advance(now time.Time) {
	lastDemand := u.currentDemand(u.updatedAt)
	if now.Sub(u.firstAt) < learningPeriod {
		u.usualDemand = u.totalWork / max(minObservation, now.Sub(u.firstAt)).Seconds()
	} else {
		u.usualDemand += (min(lastDemand, maxUsualGrowth*u.usualDemand) - u.usualDemand) * (1 - decay(now.Sub(u.updatedAt), usualWindow))
	}
	u.recentWork *= decay(now.Sub(u.updatedAt), currentWindow)
	u.squaredWork *= decay(2*now.Sub(u.updatedAt), currentWindow)
	u.updatedAt = now
}

// currentDemand returns the mean demand over currentWindow, in processors.
func (u *streamStats) currentDemand(now time.Time) float64 {
	observed := max(minObservation, now.Sub(u.firstAt))
	return u.recentWork / (currentWindow.Seconds() * (1 - decay(observed, currentWindow)))
}

// significantDemand returns the current demand less what chance variation of the arrivals explains,
// in processors.
func (u *streamStats) significantDemand(now time.Time) float64 {
	if u.recentWork <= 0 {
		return 0
	}
	return u.currentDemand(now) * max(0, 1-deviationFactor*math.Sqrt(u.squaredWork)/u.recentWork)
}

// decay returns the weight of a sample of the given age, with time constant tau.
func decay(age, tau time.Duration) float64 { return math.Exp(-max(0, age.Seconds()) / tau.Seconds()) }

// DemandTracker tracks the demand of each stream. It is not safe for concurrent use.
type DemandTracker struct {
	streams map[Stream]*streamStats
}

// NewDemandTracker returns a DemandTracker without streams.
func NewDemandTracker() *DemandTracker { return &DemandTracker{streams: map[Stream]*streamStats{}} }

// AddWork adds the work of a new job to the demand of its stream, in processor-seconds.
func (s *DemandTracker) AddWork(now time.Time, f Stream, work float64) {
	u := s.streams[f]
	if u == nil {
		u = &streamStats{}
		s.streams[f] = u
	}
	u.addWork(now, work)
}

// demand is the current and the usual demand of a stream and its share, all in processors.
type demand struct {
	stream                Stream
	priority              int
	current, usual, share float64
}

// OverShare returns the streams whose current demand exceeds their share of the given number of
// processors. It considers the queues in priorities, which maps queue names to priorities. Shares
// are assigned in order of priority: each stream gets its usual demand as far as the processors
// suffice, and the rest is divided in proportion to usual demand.
func (s *DemandTracker) OverShare(now time.Time, priorities map[string]int, processors float64) []Stream {
	var ds []demand
	for f, u := range s.streams {
		p, ok := priorities[f.Queue]
		if !ok {
			continue
		}
		u.advance(now)
		if u.usualDemand < minUsual {
			delete(s.streams, f)
			continue
		}
		ds = append(ds, demand{stream: f, priority: p, current: u.significantDemand(now), usual: u.usualDemand})
	}
	slices.SortFunc(ds, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), strings.Compare(a.stream.Queue, b.stream.Queue), cmp.Compare(a.stream.Band, b.stream.Band), strings.Compare(a.stream.Zone, b.stream.Zone))
	})
	assignShares(ds, processors)
	var out []Stream
	for _, d := range ds {
		if d.current > shareMargin*d.share {
			out = append(out, d.stream)
		}
	}
	return out
}

// assignShares sets the share of each demand; ds is sorted by priority.
func assignShares(ds []demand, processors float64) {
	remaining, totalUsual := processors, 0.0
	for start := 0; start < len(ds); {
		end, levelUsual := start, 0.0
		for ; end < len(ds) && ds[end].priority == ds[start].priority; end++ {
			levelUsual += ds[end].usual
		}
		fraction := min(1, remaining/max(levelUsual, minUsual))
		for i := start; i < end; i++ {
			ds[i].share = fraction * ds[i].usual
		}
		remaining, totalUsual, start = remaining-fraction*levelUsual, totalUsual+levelUsual, end
	}
	for i := range ds {
		ds[i].share += max(0, remaining) * ds[i].usual / max(totalUsual, minUsual)
	}
}
