package kqflow

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state is terminal.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Submission is the stored form of a submitted job. The entries write it.
type Submission struct {
	Job Job `json:"job"`
	// Cancelled is true once a caller has cancelled the job.
	Cancelled bool `json:"cancelled,omitempty"`
}

// RunRecord is the stored form of a run that has been ordered and has not ended.
type RunRecord struct {
	// Number is the number of the run within its task, counted from 1.
	Number uint64 `json:"number"`
	// Host names the machine of the worker.
	Host string `json:"host"`
	// Worker is the incarnation of the worker.
	Worker kqexecution.Incarnation `json:"worker"`
	// Stopping is true if the run is being stopped.
	Stopping bool `json:"stopping,omitempty"`
	// Transferred is true if the run was ordered from an earlier incarnation than Worker, where it is
	// only stopped.
	Transferred bool `json:"transferred,omitempty"`
}

// CrashRecord is the stored form of the crash of a worker under a task.
type CrashRecord struct {
	// Worker is the incarnation that crashed, Host its machine.
	Worker kqexecution.Incarnation `json:"worker"`
	Host   string                  `json:"host,omitempty"`
	// RunTime is how long the run had been at work.
	RunTime time.Duration `json:"ran,omitempty"`
	// Suspected is true if the start of the run may have caused the crash, and Isolated if only its job
	// can have done so.
	Suspected bool `json:"suspected,omitempty"`
	Isolated  bool `json:"isolated,omitempty"`
}

// TaskRecord is the stored progress of a task.
type TaskRecord struct {
	// Done is true once a run has succeeded.
	Done bool `json:"done,omitempty"`
	// FailedRuns holds the numbers of the runs that failed.
	FailedRuns []uint64 `json:"failed,omitempty"`
	// LastRun is the highest run number assigned so far.
	LastRun uint64 `json:"last_run,omitempty"`
	// Checkpoint names the checkpoint from which the next run resumes.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Crashes holds the crashes of workers under the task since a run of it was last at work for long.
	Crashes []CrashRecord `json:"crashes,omitempty"`
	// Runs holds the runs that have not ended.
	Runs []RunRecord `json:"runs,omitempty"`
}

// JobRecord is the stored progress of a job. Only the owner writes it.
type JobRecord struct {
	State State `json:"state"`
	// Epoch and Revision together identify one write: the owner's epoch and a number that increases
	// with each write of that owner.
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	// Queue holds the latest settings of the queue that were applied to the job.
	Queue Queue `json:"queue"`
	// Occurrences is the number of occurrences whose tasks have been created.
	Occurrences int `json:"occurrences"`
	// Tasks holds the tasks in order of occurrence, step and index. It is empty once the state is
	// final.
	Tasks []TaskRecord `json:"tasks,omitempty"`
}
