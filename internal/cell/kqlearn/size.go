// Package kqlearn learns the sizes and run times of job families and how much
// each family slows each class of service, from measurements that lag. It does
// no I/O.
package kqlearn

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

const (
	// priorWeight is how many observations the declared figure counts for.
	priorWeight = 4.0
	// headroom is added to the largest use seen.
	headroom = 1.25
	// maxWeight bounds the weight of the past, so that a family may change.
	maxWeight = 64.0
)

// Sizes is what was learned of the families of a cell. The zero value knows
// nothing.
type SizeEstimator struct {
	families map[string]*family
}

// family holds ratios of measured to declared figures.
type family struct {
	processors ratio
	memory     ratio
	runTime    ratio
}

// ratio is a mean with the largest value seen.
type ratio struct {
	weight float64
	mean   float64
	most   float64
}

func (r *ratio) add(x float64) {
	if r.weight == 0 {
		r.weight, r.mean = priorWeight, 1
	}
	r.weight = min(r.weight+1, maxWeight)
	r.mean += (x - r.mean) / r.weight
	// The largest value fades, so that one outlier does not bind for ever.
	r.most = max(x, r.most*(1-1/maxWeight))
}

func (s *SizeEstimator) family(name string) *family {
	if s.families == nil {
		s.families = map[string]*family{}
	}
	f := s.families[name]
	if f == nil {
		f = &family{}
		s.families[name] = f
	}
	return f
}

// Use counts a measured use of a running attempt against its declared size.
func (s *SizeEstimator) RecordUsage(name string, declared, used kqmodel.Resources) {
	f := s.family(name)
	if declared.MilliProcessors > 0 && used.MilliProcessors > 0 {
		f.processors.add(float64(used.MilliProcessors) / float64(declared.MilliProcessors))
	}
	if declared.MemoryBytes > 0 && used.MemoryBytes > 0 {
		f.memory.add(float64(used.MemoryBytes) / float64(declared.MemoryBytes))
	}
}

// Ran counts the whole run time of a finished task against its declared one.
func (s *SizeEstimator) RecordRunTime(name string, declared, ran time.Duration) {
	if declared > 0 && ran > 0 {
		s.family(name).runTime.add(float64(ran) / float64(declared))
	}
}

// Reserve returns what to reserve for a task: the declared size, corrected by
// what its family was seen to use, and no more than most.
func (s *SizeEstimator) Reservation(name string, declared, most kqmodel.Resources) kqmodel.Resources {
	f := s.families[name]
	if f == nil {
		return declared
	}
	r := declared
	r.MilliProcessors = corrected(f.processors, declared.MilliProcessors, most.MilliProcessors)
	r.MemoryBytes = corrected(f.memory, declared.MemoryBytes, most.MemoryBytes)
	return r
}

// rightWithin is the use, as a share of the declared size, up to which the
// declared size stands.
const rightWithin = 1.02

// wanted is the share of the declared size that the largest use calls for.
func (r ratio) wanted() float64 {
	if w := r.most * headroom; w < 1 || r.most > rightWithin {
		return w
	}
	return 1
}

// corrected moves a declared figure toward the largest measured one with the
// weight of the observations.
func corrected(r ratio, declared, most int64) int64 {
	if r.weight == 0 || declared == 0 {
		return declared
	}
	seen := r.weight - priorWeight
	want := (priorWeight + seen*r.wanted()) / r.weight
	v := int64(float64(declared) * want)
	if most > 0 {
		v = min(v, max(most, declared))
	}
	return max(v, 1)
}

// RunTime returns the expected run time of a task.
func (s *SizeEstimator) ExpectedRunTime(name string, declared time.Duration) time.Duration {
	f := s.families[name]
	if f == nil || f.runTime.weight == 0 {
		return declared
	}
	return time.Duration(float64(declared) * f.runTime.mean)
}

// Wrong reports by how much a family's declared size is off, if it was
// measured: 2 means that it uses twice what is declared.
func (s *SizeEstimator) UsageRatio(name string) (processors, memory float64, known bool) {
	f := s.families[name]
	if f == nil || f.processors.weight == 0 {
		return 1, 1, false
	}
	return f.processors.mean, f.memory.mean, true
}
