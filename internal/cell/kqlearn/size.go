// Package kqlearn estimates the sizes and run times of job families, and the interference
// between colocated tasks: of families on classes of service and of images on serving images.
// The measurements lag behind. It does no I/O.
package kqlearn

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

const (
	// priorWeight is the weight of the declared value, in observations.
	priorWeight = 4.0
	// reservationMargin is the factor by which a reservation exceeds the largest observed
	// usage.
	reservationMargin = 1.25
	// maxWeight limits the weight of past observations, so that the estimate follows a
	// family that changes.
	maxWeight = 64.0
)

// SizeEstimator estimates the resource usage and the run times of the job families of a cell
// from measurements. The zero value is ready to use and estimates what is declared.
type SizeEstimator struct {
	families map[string]*family
}

// family holds the ratios of measured to declared values of a job family.
type family struct {
	processors measuredRatio
	memory     measuredRatio
	runTime    measuredRatio
}

// measuredRatio holds the mean of the observed ratios and the largest one.
type measuredRatio struct {
	weight  float64
	mean    float64
	largest float64
}

func (r *measuredRatio) observe(x float64) {
	if r.weight == 0 {
		r.weight, r.mean = priorWeight, 1
	}
	r.weight = min(r.weight+1, maxWeight)
	r.mean += (x - r.mean) / r.weight
	// The largest value decays, so that one outlier does not determine the reservation
	// permanently.
	r.largest = max(x, r.largest*(1-1/maxWeight))
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

// RecordUsage records the measured usage of a running attempt and its declared size.
func (s *SizeEstimator) RecordUsage(name string, declared, used kqmodel.Resources) {
	f := s.family(name)
	if declared.MilliProcessors > 0 && used.MilliProcessors > 0 {
		f.processors.observe(float64(used.MilliProcessors) / float64(declared.MilliProcessors))
	}
	if declared.MemoryBytes > 0 && used.MemoryBytes > 0 {
		f.memory.observe(float64(used.MemoryBytes) / float64(declared.MemoryBytes))
	}
}

// RecordRunTime records the total run time of a finished task and its declared run time.
func (s *SizeEstimator) RecordRunTime(name string, declared, ran time.Duration) {
	if declared > 0 && ran > 0 {
		s.family(name).runTime.observe(float64(ran) / float64(declared))
	}
}

// Reservation returns the resources to reserve for a task: the declared size, corrected by the
// observed usage of its family. The correction raises a resource to at most limit; a limit of 0
// is none.
func (s *SizeEstimator) Reservation(name string, declared, limit kqmodel.Resources) kqmodel.Resources {
	f := s.families[name]
	if f == nil {
		return declared
	}
	r := declared
	r.MilliProcessors = correctedSize(f.processors, declared.MilliProcessors, limit.MilliProcessors)
	r.MemoryBytes = correctedSize(f.memory, declared.MemoryBytes, limit.MemoryBytes)
	return r
}

// declaredTolerance is the largest usage, as a share of the declared size, up to which the
// reservation does not exceed the declared size.
const declaredTolerance = 1.02

// wantedShare returns the share of the declared size to reserve for the largest observed
// usage.
func (r measuredRatio) wantedShare() float64 {
	if w := r.largest * reservationMargin; w < 1 || r.largest > declaredTolerance {
		return w
	}
	return 1
}

// correctedSize moves a declared value towards the largest measured one, by the weight of the
// observations against that of the declared value.
func correctedSize(r measuredRatio, declared, limit int64) int64 {
	if r.weight == 0 || declared == 0 {
		return declared
	}
	observed := r.weight - priorWeight
	share := (priorWeight + observed*r.wantedShare()) / r.weight
	v := int64(float64(declared) * share)
	if limit > 0 {
		v = min(v, max(limit, declared))
	}
	return max(v, 1)
}

// ExpectedRunTime returns the expected run time of a task: the declared one times the mean
// measured ratio.
func (s *SizeEstimator) ExpectedRunTime(name string, declared time.Duration) time.Duration {
	f := s.families[name]
	if f == nil || f.runTime.weight == 0 {
		return declared
	}
	return time.Duration(float64(declared) * f.runTime.mean)
}

// UsageRatio returns the mean measured usage of a family over its declared size, and whether
// it was measured: 2 means that the family uses twice what it declares.
func (s *SizeEstimator) UsageRatio(name string) (processors, memory float64, known bool) {
	f := s.families[name]
	if f == nil || f.processors.weight == 0 {
		return 1, 1, false
	}
	return f.processors.mean, f.memory.mean, true
}
