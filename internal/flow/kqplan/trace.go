package kqplan

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// moved notes why a run is stopped to go on elsewhere.
func (p *Planner) logMove(now time.Time, r *run, format string, args ...any) {
	p.config.Events.EmitFields(now, kqevent.FlowRunMoved, kqevent.Task(r.task.name), []kqevent.Field{kqevent.Run(r.number)},
		"run %d on %s: %s", r.number, r.worker, fmt.Sprintf(format, args...))
}

// endFields returns what the log holds of an end. The agent saw how long the run
// was on its worker: what the owner counts beyond that is its own delay.
func endEventFields(e kqexecution.End) []kqevent.Field {
	out := []kqevent.Field{kqevent.Run(e.Run.Number), kqevent.How(string(e.How))}
	if e.Ran > 0 {
		out = append(out, kqevent.Millis("ran_ms", e.Ran), kqevent.Millis("carried_ms", e.Carried))
	}
	return out
}

// LoggedStep is what the log holds of a step.
type LoggedStep struct {
	// Count is how many tasks the step has, Cores what each takes.
	Count int     `json:"count"`
	Cores float64 `json:"cores"`
	// EstimateMS is how long a task is expected to take, in milliseconds.
	EstimateMS int64 `json:"estimate_ms"`
	// After lists the steps that must have ended first.
	After []int `json:"after,omitempty"`
	// Standing is true if the tasks run until the job is cancelled.
	LongRunning bool `json:"standing,omitempty"`
	// Fills is true if the tasks use what others leave unused.
	Fills bool `json:"fills,omitempty"`
}

// fields returns what the log holds of a job that was taken over some time
// after it was accepted.
func (j *job) eventFields(age time.Duration) []kqevent.Field {
	steps := make([]LoggedStep, len(j.spec.Steps))
	for i, s := range j.spec.Steps {
		steps[i] = LoggedStep{Count: s.Count, Cores: float64(s.Resources.MilliProcessors) / milliPerProcessor, EstimateMS: s.Estimate.Milliseconds(), After: s.After, LongRunning: s.LongRunning, Fills: s.Fills}
	}
	return []kqevent.Field{kqevent.Queue(j.queue.Name), kqevent.Millis("objective_ms", j.objective), kqevent.Millis("age_ms", age),
		kqevent.Value("repeat", j.spec.Repeat), kqevent.Value("steps", steps)}
}
