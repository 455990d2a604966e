package kqgate

import (
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// StepSpec is a step as callers write it; kqflow.Step says what the fields mean.
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

// step returns the step that is stored.
func (s StepSpec) step() kqflow.Step {
	return kqflow.Step{Count: s.Count, Resources: s.Resources, Estimate: s.Estimate.Std(), After: s.After, Checkpoints: s.Checkpoints,
		Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, Rack: s.Rack, MaxPerWorker: s.MaxPerWorker, Speculative: s.Speculative,
		LongRunning: s.LongRunning, MaxUnavailable: s.MaxUnavailable, Image: s.Image, TailTarget: s.TailTarget.Std(), Fills: s.Fills}
}

// FlowSpec is a job of steps as callers write it.
type FlowSpec struct {
	// ID is the caller's name for the flow; a second submission is the same flow.
	ID string `json:"id"`
	// Queue is the class of work that the flow belongs to.
	Queue string `json:"queue"`
	// Payload is passed to each task.
	Payload string `json:"payload,omitempty"`
	// Steps is the steps in order.
	Steps []StepSpec `json:"steps"`
	// Repeat is how many occurrences the flow has; 0 means one, at once.
	Repeat int `json:"repeat,omitempty"`
	// FirstAt is when the first occurrence is due.
	FirstAt time.Time `json:"first_at,omitzero"`
	// Every is the time between two occurrences.
	Every kqmodel.Duration `json:"every,omitempty"`
}

// Job checks the flow and returns it in the form that is stored.
func (f FlowSpec) Job() (kqflow.Job, *kqresult.Error) {
	j := kqflow.Job{ID: f.ID, Queue: f.Queue, Payload: f.Payload, Repeat: f.Repeat, FirstAt: f.FirstAt, Every: f.Every.Std()}
	for _, s := range f.Steps {
		j.Steps = append(j.Steps, s.step())
	}
	if err := checkName("id", f.ID); err != nil {
		return kqflow.Job{}, err
	}
	if strings.Contains(f.ID, ".") {
		return kqflow.Job{}, kqresult.Errorf(kqresult.BadRequest, "id: %q has a dot; dots part the names of tasks", f.ID)
	}
	if f.Repeat > 0 && f.FirstAt.IsZero() {
		return kqflow.Job{}, kqresult.Errorf(kqresult.BadRequest, "first_at: a flow of %d occurrences needs the time of the first", f.Repeat)
	}
	return j, j.Validate()
}

func checkName(field, name string) *kqresult.Error {
	if kqconfig.ValidName(name) {
		return nil
	}
	return kqresult.Errorf(kqresult.BadRequest, "%s: %q is no name: use up to 63 letters, digits, dots, dashes and underscores", field, name)
}

// FlowView is a flow as callers are shown it.
type FlowView struct {
	// ID names the flow.
	ID string `json:"id"`
	// State is queued, running, completed, failed or cancelled.
	State kqflow.State `json:"state"`
}
