package kqmodel

import (
	"fmt"
	"time"
)

// Urgency orders the queue of a cell.
type Urgency string

// Urgencies.
const (
	// UrgencyNormal waits for room.
	UrgencyNormal Urgency = "normal"
	// UrgencyUrgent goes before normal work and may take its place.
	UrgencyUrgent Urgency = "urgent"
)

// JobSpec is what a caller declares of a job.
type JobSpec struct {
	// ID is the caller's name for the job; a second submission is the same job.
	ID string `json:"id"`
	// Team is who the job counts for.
	Team string `json:"team"`
	// Class is the class of work, of kind batch or watcher.
	Class string `json:"class"`
	// Family groups jobs that behave alike; empty means the class.
	Family string `json:"family,omitempty"`
	// Tasks is how many tasks the job has.
	Tasks uint32 `json:"tasks"`
	// Resources is what each task is declared to need.
	Resources Resources `json:"resources"`
	// RunTime is how long each task is declared to run.
	RunTime Duration `json:"run_time,omitempty"`
	// Urgency orders the queue.
	Urgency Urgency `json:"urgency,omitempty"`
	// Command is passed to the worker runtime as it is.
	Command string `json:"command,omitempty"`
}

// FamilyName returns the family, or the class where none is declared.
func (s JobSpec) FamilyName() string {
	if s.Family != "" {
		return s.Family
	}
	return s.Class
}

// TaskID names one task of a job.
type TaskID struct {
	// Job is the job's ID.
	Job string `json:"job"`
	// Index counts the tasks of the job from 0.
	Index uint32 `json:"index"`
}

// String returns the name in the form job/index.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

// AttemptID names one attempt of a task.
type AttemptID struct {
	// Task is the task.
	Task TaskID `json:"task"`
	// Attempt counts the attempts from 1.
	Attempt uint32 `json:"attempt"`
}

// String returns the name in the form job/index#attempt.
func (a AttemptID) String() string { return fmt.Sprintf("%s#%d", a.Task, a.Attempt) }

// Task is the durable state of one task.
type Task struct {
	// ID names the task.
	ID TaskID `json:"id"`
	// State is a state of the task chart.
	State string `json:"state"`
	// Attempt is the current attempt, 0 before the first.
	Attempt uint32 `json:"attempt"`
	// Worker holds the current attempt, if any.
	Worker string `json:"worker,omitempty"`
	// HostBoot is the boot of the worker's host at assignment.
	HostBoot string `json:"host_boot,omitempty"`
	// Reserved is what the current attempt holds on its worker.
	Reserved Resources `json:"reserved"`
	// Checkpoint names the last committed checkpoint object.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Evictions counts how often the task was taken off a worker.
	Evictions uint32 `json:"evictions,omitempty"`
	// Failures counts attempts that ended in failure.
	Failures uint32 `json:"failures,omitempty"`
	// FailedOn is the workers on which attempts failed.
	FailedOn []string `json:"failed_on,omitempty"`
	// ChangedAt is when State last changed.
	ChangedAt time.Time `json:"changed_at"`
	// Reason says why State is what it is.
	Reason string `json:"reason,omitempty"`
}

// AttemptID returns the name of the current attempt.
func (t Task) AttemptID() AttemptID { return AttemptID{Task: t.ID, Attempt: t.Attempt} }

// Job is a job accepted by the system.
type Job struct {
	// Spec is what the caller declared.
	Spec JobSpec `json:"spec"`
	// Cell is the home cell.
	Cell string `json:"cell"`
	// Watcher is true if the job's class is kept running.
	Watcher bool `json:"watcher,omitempty"`
	// SubmittedAt is when the job became durable.
	SubmittedAt time.Time `json:"submitted_at"`
	// Cancelled is true once a cancellation is durable.
	Cancelled bool `json:"cancelled,omitempty"`
}
