// Package kqinvariant checks invariants of the program at run time and counts their violations.
package kqinvariant

import (
	"fmt"
	"sync"
)

// Name identifies an invariant.
type Name string

// Names of the invariants; each name says what has happened if the invariant is violated.
const (
	SlotsExceeded        Name = "slots_exceeded"
	ConnectionsExceeded  Name = "connections_exceeded"
	DispatchedTwice      Name = "non_idempotent_dispatched_twice"
	NotRunAfterDispatch  Name = "not_run_after_dispatch"
	AnswerMismatch       Name = "answer_of_another_call"
	CallToLeaving        Name = "call_to_leaving_endpoint"
	CapacityExceeded     Name = "capacity_exceeded"
	TaskInTwoPlaces      Name = "task_in_two_places"
	ResumedTwice         Name = "evicted_task_resumed_twice"
	StartedAfterCancel   Name = "started_after_cancel"
	JobLost              Name = "job_lost"
	SequenceDecreased    Name = "configuration_sequence_went_back"
	QuotaExceeded        Name = "quota_exceeded"
	TransitionNotInChart Name = "transition_not_in_chart"
)

// Breach is a violation of an invariant.
type Breach struct {
	// Name is the violated invariant.
	Name Name
	// Detail describes the violation, with the observed values.
	Detail string
}

// Counter counts violations of invariants and keeps the first of them. Its zero value is ready
// for use, also by several goroutines.
type Counter struct {
	mu       sync.Mutex
	total    uint64
	breaches []Breach
}

const maxKeptBreaches = 100

// Check records a violation of n unless holds is true, and returns holds. A nil Counter
// records nothing.
func (c *Counter) Check(holds bool, n Name, format string, args ...any) bool {
	if holds || c == nil {
		return holds
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if len(c.breaches) < maxKeptBreaches {
		c.breaches = append(c.breaches, Breach{Name: n, Detail: fmt.Sprintf(format, args...)})
	}
	return false
}

// Total returns the number of recorded violations.
func (c *Counter) Total() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// Breaches returns the first recorded violations, at most 100.
func (c *Counter) Breaches() []Breach {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Breach(nil), c.breaches...)
}
