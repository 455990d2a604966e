package kqgate

import (
	"fmt"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqdecode"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// StepSpec is a step in the form that callers send; kqflow.Step documents the fields.
type StepSpec struct {
	Count          int               `json:"count"`
	Resources      kqmodel.Resources `json:"resources"`
	Estimate       kqmodel.Duration  `json:"estimate,omitempty"`
	After          []int             `json:"after,omitempty"`
	Checkpoints    bool              `json:"checkpoints,omitempty"`
	Gang           bool              `json:"gang,omitempty"`
	SameRack       bool              `json:"same_rack,omitempty"`
	Label          string            `json:"label,omitempty"`
	Rack           string            `json:"rack,omitempty"`
	MaxPerWorker   int               `json:"per_worker,omitempty"`
	Speculative    bool              `json:"speculative,omitempty"`
	LongRunning    bool              `json:"standing,omitempty"`
	MaxUnavailable int               `json:"may_miss,omitempty"`
	Image          string            `json:"image,omitempty"`
	TailTarget     kqmodel.Duration  `json:"tail_target,omitempty"`
	Fills          bool              `json:"fills,omitempty"`
}

// storedStep returns the step in the form that is stored.
func (s StepSpec) storedStep() kqflow.Step {
	return kqflow.Step{Count: s.Count, Resources: s.Resources, Estimate: s.Estimate.Std(), After: s.After, Checkpoints: s.Checkpoints,
		Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, Rack: s.Rack, MaxPerWorker: s.MaxPerWorker, Speculative: s.Speculative,
		LongRunning: s.LongRunning, MaxUnavailable: s.MaxUnavailable, Image: s.Image, TailTarget: s.TailTarget.Std(), Fills: s.Fills}
}

// StepSpecs is the list of steps of a flow.
type StepSpecs []StepSpec

// UnmarshalJSON decodes at most as many steps as a flow may have. An unknown field is an error.
func (s *StepSpecs) UnmarshalJSON(b []byte) (err error) {
	if *s, err = kqdecode.BoundedList[StepSpec](b, kqflow.MaxSteps, true); err != nil {
		return fmt.Errorf("steps: %w", err)
	}
	return nil
}

// FlowSpec is a flow, which is a job of steps, in the form that callers send.
type FlowSpec struct {
	// ID is the caller's name for the flow. Submitting the same ID again is idempotent.
	ID string `json:"id"`
	// Queue is the name of the queue that the flow belongs to.
	Queue string `json:"queue"`
	// Payload is passed to every task.
	Payload string `json:"payload,omitempty"`
	// Steps is the list of steps; a step can depend only on earlier ones.
	Steps StepSpecs `json:"steps"`
	// Repeat is the number of occurrences of a timed flow; 0 means one occurrence that starts at
	// once.
	Repeat int `json:"repeat,omitempty"`
	// FirstAt is the start time of the first occurrence; it is required if Repeat is above 0.
	FirstAt time.Time `json:"first_at,omitzero"`
	// Every is the time between the starts of two occurrences.
	Every kqmodel.Duration `json:"every,omitempty"`
}

// Job validates the flow and returns it in the form that is stored.
func (f FlowSpec) Job() (kqflow.Job, *kqresult.Error) {
	j := kqflow.Job{ID: f.ID, Queue: f.Queue, Payload: f.Payload, Repeat: f.Repeat, FirstAt: f.FirstAt, Every: f.Every.Std()}
	for _, s := range f.Steps {
		j.Steps = append(j.Steps, s.storedStep())
	}
	if err := checkName("id", f.ID); err != nil {
		return kqflow.Job{}, err
	}
	if strings.Contains(f.ID, ".") {
		return kqflow.Job{}, kqresult.Errorf(kqresult.BadRequest, "id: %q contains a dot; dots separate the parts of task names", f.ID)
	}
	if f.Repeat > 0 && f.FirstAt.IsZero() {
		return kqflow.Job{}, kqresult.Errorf(kqresult.BadRequest, "first_at: required for a flow of %d occurrences", f.Repeat)
	}
	return j, j.ValidateSubmission()
}

func checkName(field, name string) *kqresult.Error {
	if kqconfig.ValidName(name) {
		return nil
	}
	return kqresult.Errorf(kqresult.BadRequest, "%s: %q is no name: use up to 63 letters, digits, dots, dashes and underscores", field, name)
}

// FlowView is the response that shows a flow to callers.
type FlowView struct {
	ID string `json:"id"`
	// State is queued, running, completed, failed or cancelled.
	State kqflow.State `json:"state"`
}
