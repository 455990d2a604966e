// Package kqflow holds the plain types of jobs that are made of steps: what a
// caller declares, what an operator sets for a queue, and what is stored.
package kqflow

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// Step is a number of like tasks of a job.
type Step struct {
	// Count is how many tasks the step has.
	Count int `json:"count"`
	// Size is what each task takes of a worker.
	Resources kqmodel.Resources `json:"size"`
	// Estimate is roughly how long a task runs.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the earlier steps that must have ended first.
	After []int `json:"after,omitempty"`
	// Checkpoints is true if the tasks can resume from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is true if the tasks work only together.
	Gang bool `json:"gang,omitempty"`
	// SameRack is true if a gang is slower over more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is what the worker must have, if not empty.
	Label string `json:"label,omitempty"`
	// Rack is where the data is, if not empty.
	Rack string `json:"rack,omitempty"`
	// PerWorker bounds the tasks of the step on one worker; 0 sets no bound.
	MaxPerWorker int `json:"per_worker,omitempty"`
	// Speculative is true if a second copy of a task may run.
	Speculative bool `json:"speculative,omitempty"`
	// Standing is true if the tasks run until the job is cancelled.
	LongRunning bool `json:"standing,omitempty"`
	// MayMiss is how many tasks of a standing step the system may take away at
	// the same time.
	MaxUnavailable int `json:"may_miss,omitempty"`
	// Image names what the tasks run; tasks of an image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the tail latency below which a standing task must stay.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// Fills is true if the tasks use processors that others leave unused.
	Fills bool `json:"fills,omitempty"`
}

// Reserved returns what a task of the step takes of a worker's capacity.
func (s Step) Reserved() kqmodel.Resources {
	r := s.Resources
	if s.Fills {
		r.MilliProcessors = 0
	}
	return r
}

// Job is what a caller hands in.
type Job struct {
	// ID is the caller's name for the job; a second submission is the same job.
	ID string `json:"id"`
	// Queue names the class of work that the job belongs to.
	Queue string `json:"queue"`
	// Payload is passed to each task.
	Payload string `json:"payload,omitempty"`
	// Steps is the steps in order.
	Steps []Step `json:"steps"`
	// Repeat is how many occurrences the job has; 0 means one, at once.
	Repeat int `json:"repeat,omitempty"`
	// FirstAt is when the first occurrence is due.
	FirstAt time.Time `json:"first_at,omitzero"`
	// Every is the time between two occurrences.
	Every time.Duration `json:"every,omitempty"`
	// SubmittedAt is when the job was accepted.
	SubmittedAt time.Time `json:"submitted_at"`
	// Zone is the availability zone of the entry that accepted the job, if it decides on admission.
	Zone string `json:"zone,omitempty"`
}

// Bounds of a job.
const (
	MaxSteps   = 64
	MaxTasks   = 2400
	MaxPayload = 4000
	// MaxTime bounds every time of a job, and from its first occurrence to its last.
	MaxTime = 365 * 24 * time.Hour
	// lastYear is the last year that a stored time can have.
	lastYear = 9999
)

// MaxSize bounds what one task takes.
var MaxSize = kqmodel.Resources{MilliProcessors: 1_000_000_000, MemoryBytes: 1 << 50, Accelerators: 1_000_000}

// Occurrences returns how many times the steps run.
func (j Job) Occurrences() int { return max(1, j.Repeat) }

// DueAt returns when an occurrence may start.
func (j Job) DueAt(occurrence int) time.Time {
	if j.Repeat == 0 {
		return j.SubmittedAt
	}
	return j.FirstAt.Add(time.Duration(occurrence) * j.Every)
}

// Check returns why a job cannot be accepted.
func (j Job) Validate() *kqresult.Error {
	switch {
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return kqresult.Errorf(kqresult.BadRequest, "steps: expected 1 to %d, got %d", MaxSteps, len(j.Steps))
	case len(j.Payload) > MaxPayload:
		return kqresult.Errorf(kqresult.BadRequest, "payload: at most %d bytes, got %d", MaxPayload, len(j.Payload))
	case j.Repeat < 0 || j.Repeat > MaxTasks || j.Every < 0 || (j.Repeat > 1 && j.Every == 0):
		return kqresult.Errorf(kqresult.BadRequest, "repeat: %d occurrences each %s, at most %d", j.Repeat, j.Every, MaxTasks)
	case j.Every > MaxTime/time.Duration(j.Occurrences()):
		return kqresult.Errorf(kqresult.BadRequest, "repeat: %d occurrences each %s take over %s", j.Repeat, j.Every, MaxTime)
	case j.FirstAt.Year() < 0 || j.FirstAt.Year() > lastYear:
		return kqresult.Errorf(kqresult.BadRequest, "first_at: the year is not between 0 and %d", lastYear)
	}
	total := 0
	for n, s := range j.Steps {
		if err := s.check(n); err != nil {
			return err
		}
		total += s.Count * j.Occurrences()
	}
	if total > MaxTasks {
		return kqresult.Errorf(kqresult.BadRequest, "steps: at most %d tasks, got %d", MaxTasks, total)
	}
	return nil
}

func (s Step) check(n int) *kqresult.Error {
	if s.Count < 1 {
		return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: count: expected 1 or more, got %d", n, s.Count)
	}
	if s.Count > MaxTasks {
		return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: count: at most %d tasks, got %d", n, MaxTasks, s.Count)
	}
	if s.Resources.Negative() || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: a size or bound is below 0", n)
	}
	if s.Resources.MilliProcessors > MaxSize.MilliProcessors || s.Resources.MemoryBytes > MaxSize.MemoryBytes || s.Resources.Accelerators > MaxSize.Accelerators {
		return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: size: at most %s, got %s", n, MaxSize, s.Resources)
	}
	if s.Estimate > MaxTime || s.TailTarget > MaxTime || s.TailTarget < 0 {
		return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: a time is below 0 or over %s", n, MaxTime)
	}
	for _, a := range s.After {
		if a < 0 || a >= n {
			return kqresult.Errorf(kqresult.BadRequest, "steps[%d]: after: %d is not an earlier step", n, a)
		}
	}
	return nil
}

// Summary describes the steps for logs.
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
			fmt.Fprintf(&b, ", tail below %s, may miss %d", s.TailTarget, s.MaxUnavailable)
		}
		if s.MaxPerWorker > 0 {
			fmt.Fprintf(&b, ", %d a worker", s.MaxPerWorker)
		}
		if len(s.After) > 0 {
			fmt.Fprintf(&b, ", after %v", s.After)
		}
	}
	return b.String()
}

// Chain returns the longest chain of estimates over the steps.
func (j Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for n, s := range j.Steps {
		begin := time.Duration(0)
		for _, a := range s.After {
			begin = max(begin, ends[a])
		}
		ends[n] = begin + s.Estimate
		longest = max(longest, ends[n])
	}
	return longest
}

// HasObjective reports whether the job is to end within some time of being
// accepted. The job must have passed Check.
func (j Job) HasObjective() bool { return j.Repeat == 0 && !j.Steps[0].LongRunning }

// Work returns the core-seconds of one occurrence, by its estimates.
func (j Job) Work() float64 {
	return j.coreSeconds(func(s Step) kqmodel.Resources { return s.Resources })
}

// ReservedWork returns the part of Work that its tasks reserve.
func (j Job) ReservedWork() float64 { return j.coreSeconds(Step.Reserved) }

func (j Job) coreSeconds(size func(Step) kqmodel.Resources) float64 {
	sum := 0.0
	for _, s := range j.Steps {
		sum += float64(s.Count) * float64(size(s).MilliProcessors) / 1000 * s.Estimate.Seconds()
	}
	return sum
}

// Queue is a class of work as an operator sets it.
type Queue struct {
	// Name names the queue.
	Name string `json:"name"`
	// Service names the pool of workers that runs its tasks.
	Service string `json:"service"`
	// Priority orders the queues: 0 comes first and may take room of others.
	Priority int `json:"priority"`
	// Attempts is how many runs of a task may fail.
	MaxAttempts int `json:"attempts"`
	// Stretch is the target's factor on the longest chain of a job.
	Stretch float64 `json:"stretch"`
	// Target is the part of the target that does not depend on the job.
	Target time.Duration `json:"target"`
	// Approval is set if a policy service says which workers may run a step.
	Approval Approval `json:"approval,omitzero"`
}

// Approval is how the policy service of a queue answers.
type Approval struct {
	// Needed is true if workers have to be approved.
	Required bool `json:"needed,omitempty"`
	// Decide and Each are how long an answer takes, and how much longer for each
	// worker that is asked about.
	DecisionTime          time.Duration `json:"decide,omitempty"`
	DecisionTimePerWorker time.Duration `json:"each,omitempty"`
	// Valid is how long an approval stands.
	ValidFor time.Duration `json:"valid,omitempty"`
}

// Objective returns how long a job may take to meet the target.
func (q Queue) Objective(j Job) time.Duration {
	return time.Duration(q.Stretch*float64(j.CriticalPath())) + q.Target
}

// Route leads callers to a queue.
type Route struct {
	// Host is the host name that the caller asks for.
	Host string
	// Prefix is what the path begins with.
	Prefix string
	// Queue names the queue.
	Queue string
}

// Policy is the operator's configuration: each version replaces the last.
type Policy struct {
	// Version rises with each change.
	Version uint64
	// Routes lead to queues.
	Routes []Route
	// Queues is every queue by name.
	Queues map[string]Queue
	// MaxBody bounds a request body, in bytes; 0 sets no bound.
	MaxBody int64
}

// Match returns the queue of the longest prefix that a path begins with.
func (p *Policy) Match(host, path string) (r Route, ok bool) {
	for _, c := range p.Routes {
		if c.Host == host && strings.HasPrefix(path, c.Prefix) && (!ok || len(c.Prefix) > len(r.Prefix)) {
			r, ok = c, true
		}
	}
	return r, ok
}

// TaskID names one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the id as job.occurrence.step.index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID reads what String wrote.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, kqresult.Errorf(kqresult.BadRequest, "task %q: expected job.occurrence.step.index", s)
	}
	t := TaskID{Job: parts[0]}
	for i, n := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, kqresult.Errorf(kqresult.BadRequest, "task %q: %q is no number", s, parts[i+1])
		}
		*n = v
	}
	return t, nil
}
