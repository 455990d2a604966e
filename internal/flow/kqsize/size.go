// Package kqsize tells large jobs of a queue from small ones by their work.
package kqsize

import "slices"

// Band is a group of the jobs of a queue that are of about one size.
type Band int

// Bands from small to large: the lower seven tenths of the jobs, the fifth above
// them and the largest tenth.
const (
	BandLower Band = iota
	BandUpper
	BandLargest
	// BandCount is how many bands there are.
	BandCount
)

// String returns the name of the band in tables and metrics.
func (b Band) String() string { return [...]string{"lower", "upper", "largest"}[b] }

const (
	upperFrom   = 0.7
	largestFrom = 0.9
)

// Bounds is above which work a job is in a band, in core-seconds. Jobs of equal
// work are in the same band, the lower of those that they reach into.
type Bounds struct {
	Upper, Largest float64
}

// BoundsOf returns the bounds that split the given work of jobs into bands.
func BoundsOf(work []float64) Bounds {
	if len(work) == 0 {
		return Bounds{}
	}
	sorted := slices.Sorted(slices.Values(work))
	at := func(share float64) float64 { return sorted[max(0, int(share*float64(len(sorted)))-1)] }
	return Bounds{Upper: at(upperFrom), Largest: at(largestFrom)}
}

// Band returns the band of a job.
func (b Bounds) Band(work float64) Band {
	switch {
	case work > b.Largest:
		return BandLargest
	case work > b.Upper:
		return BandUpper
	}
	return BandLower
}

const (
	// window is how many jobs a Scale remembers, leastSeen up to how many it calls
	// every job small.
	window    = 256
	leastSeen = 10
)

// Scale compares a job with the latest ones of its queue. The zero value has
// seen none.
type Classifier struct {
	latest []float64
	next   int
	bounds Bounds
}

// Add takes over the work of a job, in core-seconds.
func (s *Classifier) AddJob(work float64) {
	if len(s.latest) < window {
		s.latest = append(s.latest, work)
	} else {
		s.latest[s.next] = work
		s.next = (s.next + 1) % window
	}
	s.bounds = BoundsOf(s.latest)
}

// Bounds returns the bounds of the bands; known is false while every job is called small.
func (s *Classifier) Bounds() (b Bounds, known bool) {
	return s.bounds, len(s.latest) >= leastSeen
}

// Band returns the band of a job.
func (s *Classifier) Band(work float64) Band {
	if len(s.latest) < leastSeen {
		return BandLower
	}
	return s.bounds.Band(work)
}
