package kqpace

import "time"

// Stats sums up over a time span how long serving tasks of a worker were over their target and how
// much filling tasks were throttled.
type Stats struct {
	// ServingMS is the run time of serving tasks, in task-milliseconds.
	ServingMS float64 `json:"serving_ms"`
	// OverTargetByFillingMS is the part of ServingMS in which tasks were over their latency target
	// because of colocated filling tasks, OverTargetByLoadMS the part in which their own load
	// caused it.
	OverTargetByFillingMS float64 `json:"over_by_filling_ms"`
	OverTargetByLoadMS    float64 `json:"over_by_load_ms"`
	// FillingMS is what filling tasks would have used at full speed, in processor-milliseconds,
	// ThrottledMS the part of it that throttling withheld.
	FillingMS   float64 `json:"filling_ms"`
	ThrottledMS float64 `json:"withheld_ms"`
}

// AddServing counts a serving task over a span, given its headroom and the estimated interference
// of the filling tasks.
func (s *Stats) AddServing(span time.Duration, headroom, interference float64) {
	ms := span.Seconds() * msPerSecond
	s.ServingMS += ms
	switch {
	case headroom >= 1:
	case interference >= minAttributed:
		s.OverTargetByFillingMS += ms
	default:
		s.OverTargetByLoadMS += ms
	}
}

// AddFilling counts a filling task over a span, given its processors and its share in percent.
func (s *Stats) AddFilling(span time.Duration, processors float64, percent int) {
	ms := span.Seconds() * msPerSecond * processors
	s.FillingMS += ms
	s.ThrottledMS += ms * float64(fullShare-percent) / fullShare
}

const (
	msPerSecond = 1000
	// minAttributed is the interference from which on filling tasks count as the cause of a serving
	// task that is over its target.
	minAttributed = 0.03
)

// Merge adds the sums of o to s.
func (s *Stats) Merge(o Stats) {
	s.ServingMS += o.ServingMS
	s.OverTargetByFillingMS += o.OverTargetByFillingMS
	s.OverTargetByLoadMS += o.OverTargetByLoadMS
	s.FillingMS += o.FillingMS
	s.ThrottledMS += o.ThrottledMS
}
