// Package kqinvariant counts breaches of the conditions that the program
// asserts about itself while it runs.
package kqinvariant

import (
	"fmt"
	"sync"
)

// Name identifies one asserted condition.
type Name string

// Conditions asserted inside the program.
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

// Breach is one observed breach.
type Breach struct {
	// Name is the condition that did not hold.
	Name Name
	// Detail says what was seen.
	Detail string
}

// Counter collects breaches; its zero value is ready for use.
type Counter struct {
	mu       sync.Mutex
	total    uint64
	breaches []Breach
}

const maxKeptBreaches = 100

// Check records a breach of n unless holds is true, and returns holds. A nil
// Counter only returns holds.
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

// Total returns how many breaches were recorded.
func (c *Counter) Total() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// Breaches returns the first breaches recorded, at most 100.
func (c *Counter) Breaches() []Breach {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Breach(nil), c.breaches...)
}
