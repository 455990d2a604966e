package kqmodel

import (
	"fmt"
	"time"
)

// Urgency is the scheduling priority of a job in the queue of its cell.
type Urgency string

const (
	// UrgencyNormal waits until a worker has enough free capacity.
	UrgencyNormal Urgency = "normal"
	// UrgencyUrgent is placed before normal work and may preempt it.
	UrgencyUrgent Urgency = "urgent"
)

// JobSpec describes a job as its caller declares it.
type JobSpec struct {
	// ID is chosen by the caller; a second submission with the same ID refers to the same job.
	ID string `json:"id"`
	// Team is the team whose quota the job counts against.
	Team string `json:"team"`
	// Class is the name of a class of kind batch or watcher.
	Class string `json:"class"`
	// Family groups jobs that behave alike; if it is empty, Class is used.
	Family string `json:"family,omitempty"`
	// Tasks is the number of tasks.
	Tasks uint32 `json:"tasks"`
	// Resources is the declared size of each task.
	Resources Resources `json:"resources"`
	// RunTime is the declared run time of each task.
	RunTime Duration `json:"run_time,omitempty"`
	// Urgency is the scheduling priority.
	Urgency Urgency `json:"urgency,omitempty"`
	// Command is passed to the worker runtime unchanged.
	Command string `json:"command,omitempty"`
}

// FamilyName returns the family, or the class if no family is declared.
func (s JobSpec) FamilyName() string {
	if s.Family != "" {
		return s.Family
	}
	return s.Class
}

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 1000

// TaskID identifies a task of a job.
type TaskID struct {
	// Job is the job's ID.
	Job string `json:"job"`
	// Index is the position of the task in the job, from 0.
	Index uint32 `json:"index"`
}

// String returns the ID in the form job/index.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

// AttemptID identifies an attempt of a task.
type AttemptID struct {
	// Task is the ID of the task.
	Task TaskID `json:"task"`
	// Attempt is the number of the attempt, from 1.
	Attempt uint32 `json:"attempt"`
}

// String returns the ID in the form job/index#attempt.
func (a AttemptID) String() string { return fmt.Sprintf("%s#%d", a.Task, a.Attempt) }

// Task is the durable state of a task.
type Task struct {
	// ID identifies the task.
	ID TaskID `json:"id"`
	// State is a state of the task's state chart.
	State string `json:"state"`
	// Attempt is the number of the current attempt, 0 before the first one.
	Attempt uint32 `json:"attempt"`
	// Worker is the worker of the current attempt, or empty.
	Worker string `json:"worker,omitempty"`
	// HostBoot is the boot ID of the worker's host when the attempt was assigned.
	HostBoot string `json:"host_boot,omitempty"`
	// Reserved is the resources reserved on the worker for the current attempt.
	Reserved Resources `json:"reserved"`
	// Checkpoint is the name of the last committed checkpoint object.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Evictions counts the evictions of the task from a worker.
	Evictions uint32 `json:"evictions,omitempty"`
	// Failures counts the failed attempts.
	Failures uint32 `json:"failures,omitempty"`
	// FailedOn lists the workers on which attempts failed.
	FailedOn []string `json:"failed_on,omitempty"`
	// ChangedAt is the time of the last change of State.
	ChangedAt time.Time `json:"changed_at"`
	// Reason explains State to operators.
	Reason string `json:"reason,omitempty"`
}

// AttemptID returns the ID of the current attempt.
func (t Task) AttemptID() AttemptID { return AttemptID{Task: t.ID, Attempt: t.Attempt} }

// Job is the durable record of an accepted job.
type Job struct {
	// Spec is the job as the caller declared it.
	Spec JobSpec `json:"spec"`
	// Cell is the home cell, which schedules the job.
	Cell string `json:"cell"`
	// Watcher is true if the job's class is of kind watcher.
	Watcher bool `json:"watcher,omitempty"`
	// SubmittedAt is the time at which the job was stored.
	SubmittedAt time.Time `json:"submitted_at"`
	// Cancelled is true once the cancellation of the job is stored.
	Cancelled bool `json:"cancelled,omitempty"`
}
