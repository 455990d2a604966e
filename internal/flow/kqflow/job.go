// Package kqflow defines the data types of jobs that consist of steps: the job as a caller submits
// it, the queue settings of the operator, and the stored progress.
package kqflow

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Step is a stage of a job: a number of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Resources is what each task requests on a worker.
	Resources kqmodel.Resources `json:"size"`
	// Estimate is the estimated run time of a task.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the indexes of the earlier steps that must complete before this one starts.
	After []int `json:"after,omitempty"`
	// Checkpoints is true if the tasks can resume from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is true if the tasks must all run at the same time.
	Gang bool `json:"gang,omitempty"`
	// SameRack is true if a gang runs slower when it spans more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is the label that a worker must have to run the tasks; empty means any worker.
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the data of the tasks; empty if there is none.
	Rack string `json:"rack,omitempty"`
	// MaxPerWorker is the maximum number of tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `json:"per_worker,omitempty"`
	// Speculative is true if a second copy of a running task may be started.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning is true if the tasks run until the job is cancelled.
	LongRunning bool `json:"standing,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step the scheduler may stop at the same
	// time.
	MaxUnavailable int `json:"may_miss,omitempty"`
	// Image names the program that the tasks run. What is learned about one task of an image is
	// assumed to hold for the others.
	Image string `json:"image,omitempty"`
	// TailTarget is the tail latency that a long-running task must stay below. A task with a target
	// is a latency-critical serving task.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// Fills is true for filling tasks: best-effort tasks that reserve no processors and use those
	// that other tasks leave unused.
	Fills bool `json:"fills,omitempty"`
}

// Reserved returns the part of a worker's capacity that a task of the step reserves.
func (s Step) Reserved() kqmodel.Resources {
	r := s.Resources
	if s.Fills {
		r.MilliProcessors = 0
	}
	return r
}

// Job is a job as a caller submits it.
type Job struct {
	// ID is the caller's name for the job. Submitting the same ID again is idempotent.
	ID string `json:"id"`
	// Queue names the class of work that the job belongs to.
	Queue string `json:"queue"`
	// Payload is passed to every task.
	Payload string `json:"payload,omitempty"`
	// Steps is the list of steps; a step can depend only on earlier ones.
	Steps []Step `json:"steps"`
	// Repeat is the number of occurrences of a timed job; 0 means one occurrence that starts at
	// once.
	Repeat int `json:"repeat,omitempty"`
	// FirstAt is the start time of the first occurrence of a timed job.
	FirstAt time.Time `json:"first_at,omitzero"`
	// Every is the time between the starts of two occurrences.
	Every time.Duration `json:"every,omitempty"`
	// SubmittedAt is the time at which the job was accepted.
	SubmittedAt time.Time `json:"submitted_at"`
	// Zone is the availability zone of the entry that accepted the job; it is set only if the entry
	// does admission control.
	Zone string `json:"zone,omitempty"`
}

// Limits of a job.
const (
	MaxSteps = 64
	// MaxTasks is the maximum number of tasks over all occurrences.
	MaxTasks = 2400
	// MaxPayload is the maximum size of a payload, in bytes.
	MaxPayload = 4000
	// MaxDuration is the maximum of every duration of a job, and of the time between its first and
	// its last occurrence.
	MaxDuration = 365 * 24 * time.Hour
	// MaxSubmissionBytes is the maximum size of a stored submission: a row holds 64 KiB, of which some are left
	// for what the entry adds.
	MaxSubmissionBytes = 63 << 10
	// MaxNameBytes is the maximum size of a label, a rack and an image: each order of a task names its image.
	MaxNameBytes = 1000
	// maxYear is the last year that the stored form of a time can represent.
	maxYear = 9999
)

// MaxTaskResources is the maximum request of one task.
var MaxTaskResources = kqmodel.Resources{MilliProcessors: 1_000_000_000, MemoryBytes: 1 << 50, Accelerators: 1_000_000}

// Occurrences returns the number of times that the steps run.
func (j Job) Occurrences() int { return max(1, j.Repeat) }

// DueAt returns the earliest start time of an occurrence, counted from 0.
func (j Job) DueAt(occurrence int) time.Time {
	if j.Repeat == 0 {
		return j.SubmittedAt
	}
	return j.FirstAt.Add(time.Duration(occurrence) * j.Every)
}

// Validate returns the first reason why the job is invalid, or nil if it is valid.
func (j Job) Validate() *kqresult.Error {
	switch {
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return kqresult.Errorf(kqresult.BadRequest, "steps: expected 1 to %d, got %d", MaxSteps, len(j.Steps))
	case len(j.Payload) > MaxPayload:
		return kqresult.Errorf(kqresult.BadRequest, "payload: at most %d bytes, got %d", MaxPayload, len(j.Payload))
	case j.Repeat < 0 || j.Repeat > MaxTasks || j.Every < 0 || (j.Repeat > 1 && j.Every == 0):
		return kqresult.Errorf(kqresult.BadRequest, "repeat: %d occurrences every %s: expected 0 to %d occurrences, and a positive interval between them", j.Repeat, j.Every, MaxTasks)
	case j.Every > MaxDuration/time.Duration(j.Occurrences()):
		return kqresult.Errorf(kqresult.BadRequest, "repeat: %d occurrences every %s span more than %s", j.Repeat, j.Every, MaxDuration)
	case j.FirstAt.Year() < 0 || j.FirstAt.Year() > maxYear:
		return kqresult.Errorf(kqresult.BadRequest, "first_at: the year must be between 0 and %d", maxYear)
	}
	total := 0
	for n, s := range j.Steps {
		if err := s.validate(n); err != nil {
			return err
		}
		total += s.Count * j.Occurrences()
	}
	if total > MaxTasks {
		return kqresult.Errorf(kqresult.BadRequest, "steps: at most %d tasks, got %d", MaxTasks, total)
	}
	return nil
}

// ValidateSubmission returns the first reason why a job that is submitted is refused: it is invalid or too large.
func (j Job) ValidateSubmission() *kqresult.Error {
	if err := j.Validate(); err != nil {
		return err
	}
	return j.CheckSize()
}

// CheckSize returns why a job of valid values is too large to be stored and ordered, or nil if it is not. It is
// checked as the job is submitted, but not for jobs that are stored.
func (j Job) CheckSize() *kqresult.Error {
	for n, s := range j.Steps {
		if len(s.Label) > MaxNameBytes || len(s.Rack) > MaxNameBytes || len(s.Image) > MaxNameBytes {
			return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: label, rack and image: at most %d bytes each, got %d, %d and %d", n, MaxNameBytes, len(s.Label), len(s.Rack), len(s.Image))
		}
	}
	if n := len(kqtable.Encode(Submission{Job: j, Cancelled: true})); n > MaxSubmissionBytes {
		return kqresult.Errorf(kqresult.TooLarge, "the job takes %d bytes as it is stored, at most %d are possible: it has too many or too long dependencies, texts or steps", n, MaxSubmissionBytes)
	}
	return nil
}

func (s Step) validate(index int) *kqresult.Error {
	if s.Count < 1 {
		return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: count: expected 1 or more, got %d", index, s.Count)
	}
	if s.Count > MaxTasks {
		return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: count: at most %d tasks, got %d", index, MaxTasks, s.Count)
	}
	if s.Resources.IsNegative() || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: resources, estimate and limits must not be negative", index)
	}
	if s.Resources.MilliProcessors > MaxTaskResources.MilliProcessors || s.Resources.MemoryBytes > MaxTaskResources.MemoryBytes || s.Resources.Accelerators > MaxTaskResources.Accelerators {
		return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: size: at most %s, got %s", index, MaxTaskResources, s.Resources)
	}
	if s.Estimate > MaxDuration || s.TailTarget > MaxDuration || s.TailTarget < 0 {
		return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: time: the estimate and the tail latency target must be between 0 and %s", index, MaxDuration)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: after: %d is not an earlier step", index, dependency)
		}
	}
	return nil
}

// Summary returns a description of the steps for logs.
func (j Job) Summary() string {
	var b strings.Builder
	for n, s := range j.Steps {
		if n > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%d of %s for %s", s.Count, s.Resources, s.Estimate)
		for _, f := range []struct {
			set  bool
			name string
		}{{s.Checkpoints, "checkpoints"}, {s.Gang, "gang"}, {s.SameRack, "same rack"}, {s.Speculative, "speculative"}, {s.LongRunning, "standing"}, {s.Fills, "fills"}} {
			if f.set {
				b.WriteString(", " + f.name)
			}
		}
		if s.Image != "" {
			fmt.Fprintf(&b, ", image %s", s.Image)
		}
		if s.TailTarget > 0 {
			fmt.Fprintf(&b, ", tail latency below %s, at most %d unavailable", s.TailTarget, s.MaxUnavailable)
		}
		if s.MaxPerWorker > 0 {
			fmt.Fprintf(&b, ", at most %d per worker", s.MaxPerWorker)
		}
		if len(s.After) > 0 {
			fmt.Fprintf(&b, ", after %v", s.After)
		}
	}
	return b.String()
}

// CriticalPath returns the estimated run time of one occurrence with unlimited workers: the longest
// chain of estimates over dependent steps.
func (j Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for index, s := range j.Steps {
		start := time.Duration(0)
		for _, dependency := range s.After {
			start = max(start, ends[dependency])
		}
		ends[index] = start + s.Estimate
		longest = max(longest, ends[index])
	}
	return longest
}

// HasObjective reports whether the job should complete within a certain time of being accepted.
// Timed and long-running jobs have no objective. The job must have passed Validate.
func (j Job) HasObjective() bool { return j.Repeat == 0 && !j.Steps[0].LongRunning }

// Work returns the estimated processor-seconds of one occurrence.
func (j Job) Work() float64 {
	return j.processorSeconds(func(s Step) kqmodel.Resources { return s.Resources })
}

// ReservedWork returns the part of Work that is done on reserved processors.
func (j Job) ReservedWork() float64 { return j.processorSeconds(Step.Reserved) }

func (j Job) processorSeconds(resources func(Step) kqmodel.Resources) float64 {
	sum := 0.0
	for _, s := range j.Steps {
		sum += float64(s.Count) * float64(resources(s).MilliProcessors) / 1000 * s.Estimate.Seconds()
	}
	return sum
}

// Queue is a class of work with the settings of the operator.
type Queue struct {
	Name string `json:"name"`
	// Service names the pool of workers that runs its tasks.
	Service string `json:"service"`
	// Priority is the urgency of the queue: 0 is the most urgent, and its tasks may preempt those
	// of queues with a higher number.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int `json:"attempts"`
	// Stretch is the factor by which the critical path of a job enters its objective.
	Stretch float64 `json:"stretch"`
	// Target is the constant part of the objective of every job.
	Target time.Duration `json:"target"`
	// Approval is set if a policy service decides which workers may run a step.
	Approval Approval `json:"approval,omitzero"`
}

// Approval describes the policy service of a queue.
type Approval struct {
	// Required is true if a worker must be approved before it may run a step.
	Required bool `json:"needed,omitempty"`
	// DecisionTime is how long the service takes to answer a request, DecisionTimePerWorker how
	// much longer it takes for each worker in the request.
	DecisionTime          time.Duration `json:"decide,omitempty"`
	DecisionTimePerWorker time.Duration `json:"each,omitempty"`
	// ValidFor is how long an approval is valid.
	ValidFor time.Duration `json:"valid,omitempty"`
}

// Objective returns the time after acceptance within which a job of the queue should complete.
func (q Queue) Objective(j Job) time.Duration {
	return time.Duration(q.Stretch*float64(j.CriticalPath())) + q.Target
}

// Route maps a host name and a path prefix to a queue.
type Route struct {
	// Host is the host name of the request.
	Host string
	// Prefix is the prefix of the path of the request.
	Prefix string
	// Queue is the name of the queue.
	Queue string
}

// Policy is one version of the operator's configuration. Each version replaces the previous one as
// a whole.
type Policy struct {
	// Version increases with each change.
	Version uint64
	// Routes map requests to queues.
	Routes []Route
	// Queues holds the queues by name.
	Queues map[string]Queue
	// MaxBody is the maximum size of a request body, in bytes; 0 means no limit.
	MaxBody int64
}

// Match returns the route for a request: of the routes with the same host, the one with the longest
// prefix of the path.
func (p *Policy) Match(host, path string) (r Route, ok bool) {
	for _, candidate := range p.Routes {
		if candidate.Host == host && strings.HasPrefix(path, candidate.Prefix) && (!ok || len(candidate.Prefix) > len(r.Prefix)) {
			r, ok = candidate, true
		}
	}
	return r, ok
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the id in the form job.occurrence.step.index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID parses the form that String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, kqresult.Errorf(kqresult.BadRequest, "task %q: expected job.occurrence.step.index", s)
	}
	t := TaskID{Job: parts[0]}
	for i, n := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, kqresult.Errorf(kqresult.BadRequest, "task %q: %q is not a number of 0 or more", s, parts[i+1])
		}
		*n = v
	}
	return t, nil
}
