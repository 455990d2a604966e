package kqpace

import "time"

// Tally is what became of serving and filling tasks on a worker over a while.
type Stats struct {
	// ServingMS is how long serving tasks were at work, in task-milliseconds.
	ServingMS float64 `json:"serving_ms"`
	// OverByFillingMS is for how long of it they were over their target because
	// of what fills beside them, OverByLoadMS by their own load alone.
	OverTargetByFillingMS float64 `json:"over_by_filling_ms"`
	OverTargetByLoadMS    float64 `json:"over_by_load_ms"`
	// FillingMS is the core-milliseconds for which filling tasks were there,
	// WithheldMS what they were denied of it.
	FillingMS   float64 `json:"filling_ms"`
	ThrottledMS float64 `json:"withheld_ms"`
}

// Serve counts a serving task over a span: the room that it has, and the room
// that filling tasks are thought to take of it.
func (t *Stats) AddServing(span time.Duration, room, taken float64) {
	ms := span.Seconds() * msPerSecond
	t.ServingMS += ms
	switch {
	case room >= 1:
	case taken >= leastTaken:
		t.OverTargetByFillingMS += ms
	default:
		t.OverTargetByLoadMS += ms
	}
}

// Fill counts a filling task over a span by its processors and its share.
func (t *Stats) AddFilling(span time.Duration, cores float64, percent int) {
	ms := span.Seconds() * msPerSecond * cores
	t.FillingMS += ms
	t.ThrottledMS += ms * float64(full-percent) / full
}

const (
	msPerSecond = 1000
	// leastTaken is from which room on filling tasks count as the cause.
	leastTaken = 0.03
)

// Merge adds another tally.
func (t *Stats) Merge(o Stats) {
	t.ServingMS += o.ServingMS
	t.OverTargetByFillingMS += o.OverTargetByFillingMS
	t.OverTargetByLoadMS += o.OverTargetByLoadMS
	t.FillingMS += o.FillingMS
	t.ThrottledMS += o.ThrottledMS
}
