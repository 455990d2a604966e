package kqplan

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// logMove logs why a run is stopped to continue on another host.
func (p *Planner) logMove(now time.Time, r *run, format string, args ...any) {
	p.config.Events.EmitFields(now, kqevent.FlowRunMoved, kqevent.Task(r.task.name), []kqevent.Field{kqevent.Run(r.number)},
		"run %d on %s: %s", r.number, r.worker, fmt.Sprintf(format, args...))
}

// endEventFields returns the event fields of the end of a run. The durations are those that the agent
// observed on the worker: any time that the owner counts beyond them is its own delay.
func endEventFields(e kqexecution.RunEnd) []kqevent.Field {
	out := []kqevent.Field{kqevent.Run(e.Run.Number), kqevent.EndReason(string(e.Reason))}
	if e.Duration > 0 {
		out = append(out, kqevent.Millis("ran_ms", e.Duration), kqevent.Millis("carried_ms", e.DeliveryTime))
	}
	return out
}

// LoggedStep is the description of a job's step in the event log.
type LoggedStep struct {
	// Count is the number of tasks of the step, Cores the processors that each requests.
	Count int     `json:"count"`
	Cores float64 `json:"cores"`
	// EstimateMS is the estimated duration of a task, in milliseconds.
	EstimateMS int64 `json:"estimate_ms"`
	// After lists the steps that must end before this one starts.
	After []int `json:"after,omitempty"`
	// LongRunning is true if the tasks run until the job is cancelled.
	LongRunning bool `json:"standing,omitempty"`
	// Fills is true for filling tasks, which use the processors that others leave unused.
	Fills bool `json:"fills,omitempty"`
}

// eventFields returns the event fields of a job; age is the time from its acceptance by an entry
// until the owner received it.
func (j *job) eventFields(age time.Duration) []kqevent.Field {
	steps := make([]LoggedStep, len(j.spec.Steps))
	for i, s := range j.spec.Steps {
		steps[i] = LoggedStep{Count: s.Count, Cores: float64(s.Resources.MilliProcessors) / milliPerProcessor, EstimateMS: s.Estimate.Milliseconds(), After: s.After, LongRunning: s.LongRunning, Fills: s.Fills}
	}
	return []kqevent.Field{kqevent.Queue(j.queue.Name), kqevent.Millis("objective_ms", j.objective), kqevent.Millis("age_ms", age),
		kqevent.Value("repeat", j.spec.Repeat), kqevent.Value("steps", steps)}
}
