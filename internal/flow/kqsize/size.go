// Package kqsize classifies the jobs of a queue into size bands by their work.
package kqsize

import "slices"

// Band is a range of the sizes of the jobs of a queue, bounded by quantiles of their work.
type Band int

// Bands in order of size.
const (
	// BandLower is the smallest seven tenths of the jobs.
	BandLower Band = iota
	// BandUpper is the fifth of the jobs above BandLower.
	BandUpper
	// BandLargest is the largest tenth of the jobs.
	BandLargest
	// BandCount is the number of bands.
	BandCount
)

// String returns the name of the band in tables and metrics.
func (b Band) String() string { return [...]string{"lower", "upper", "largest"}[b] }

// The quantiles of the work above which a job is in BandUpper and BandLargest.
const (
	upperQuantile   = 0.7
	largestQuantile = 0.9
)

// Bounds holds the work, in core-seconds, above which a job is in BandUpper and in BandLargest.
// Jobs of equal work are in the same band: the lowest one that any of them falls into.
type Bounds struct {
	Upper, Largest float64
}

// BoundsOf returns the bounds that split the given work of jobs into bands.
func BoundsOf(work []float64) Bounds {
	if len(work) == 0 {
		return Bounds{}
	}
	sorted := slices.Sorted(slices.Values(work))
	quantile := func(q float64) float64 { return sorted[max(0, int(q*float64(len(sorted)))-1)] }
	return Bounds{Upper: quantile(upperQuantile), Largest: quantile(largestQuantile)}
}

// Band returns the band of a job of the given work.
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
	// windowSize is the number of latest jobs that a Classifier compares with.
	windowSize = 256
	// minJobs is the number of jobs before which a Classifier assigns every job to BandLower.
	minJobs = 10
)

// Classifier assigns the jobs of a queue to bands by comparing them with its latest jobs. The
// zero value has no jobs.
type Classifier struct {
	// recent is a ring buffer of the work of the latest jobs, next the index to overwrite.
	recent []float64
	next   int
	bounds Bounds
}

// AddJob adds the work of a job, in core-seconds.
func (c *Classifier) AddJob(work float64) {
	if len(c.recent) < windowSize {
		c.recent = append(c.recent, work)
	} else {
		c.recent[c.next] = work
		c.next = (c.next + 1) % windowSize
	}
	c.bounds = BoundsOf(c.recent)
}

// Bounds returns the bounds of the bands; known is false while every job is assigned to
// BandLower.
func (c *Classifier) Bounds() (b Bounds, known bool) {
	return c.bounds, len(c.recent) >= minJobs
}

// Band returns the band of a job of the given work.
func (c *Classifier) Band(work float64) Band {
	if len(c.recent) < minJobs {
		return BandLower
	}
	return c.bounds.Band(work)
}
