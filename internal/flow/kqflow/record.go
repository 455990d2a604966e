package kqflow

import "github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"

// State is what callers see of a job.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state does not change any more.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Submission is the stored form of what a caller handed in; the entries write it.
type Submission struct {
	// Job is the job.
	Job Job `json:"job"`
	// Cancelled is true once a caller has cancelled the job.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Run is one run of a task that has been ordered and has not ended.
type RunRecord struct {
	// Number counts the starts of the task from 1.
	Number uint64 `json:"number"`
	// Host names the machine beside which the worker runs.
	Host string `json:"host"`
	// Worker names the incarnation of the worker.
	Worker kqexecution.Incarnation `json:"worker"`
	// Stopping is true if the run is no longer wanted.
	Stopping bool `json:"stopping,omitempty"`
}

// TaskRecord is the stored progress of a task.
type TaskRecord struct {
	// Done is true once a run has ended well.
	Done bool `json:"done,omitempty"`
	// Failed is the numbers of the runs that ended in failure.
	FailedRuns []uint64 `json:"failed,omitempty"`
	// LastRun is the highest run number given so far.
	LastRun uint64 `json:"last_run,omitempty"`
	// Checkpoint is where the next run resumes.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Runs is the runs that have not ended.
	Runs []RunRecord `json:"runs,omitempty"`
}

// Record is the stored progress of a job; only the owner writes it.
type JobRecord struct {
	// State is what callers see.
	State State `json:"state"`
	// Epoch and Revision tell each write from every other.
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	// Queue is the queue's settings as last in force for the job.
	Queue Queue `json:"queue"`
	// Occurrences is how many occurrences have tasks so far.
	Occurrences int `json:"occurrences"`
	// Tasks is every task by occurrence, step and index in that order; it is
	// empty once the state is final.
	Tasks []TaskRecord `json:"tasks,omitempty"`
}
