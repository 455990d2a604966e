// Package kqdemo runs a fleet with the workloads of the present users on loopback and reports what
// really happened to their calls and tasks.
package kqdemo

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures holds the results of one user, or of all users.
type Figures struct {
	// CallsSent is the number of calls sent by callers.
	CallsSent uint64 `json:"calls_sent"`
	// CallsAnswered is the number of calls whose complete answer arrived.
	CallsAnswered uint64 `json:"calls_answered"`
	// CallsRefusedNotRun is the number of calls refused with the guarantee that they did not run.
	CallsRefusedNotRun uint64 `json:"calls_refused_not_run"`
	// CallsOutcomeUnknown is the number of calls that may or may not have run.
	CallsOutcomeUnknown uint64 `json:"calls_outcome_unknown"`
	// CallsRunTwice is the number of non-idempotent calls that endpoints started twice.
	CallsRunTwice uint64 `json:"calls_run_twice"`
	// LatencyP50 is the median latency of answered calls, in seconds.
	LatencyP50 float64 `json:"call_latency_p50_seconds"`
	// LatencyP99 is the 99th percentile, in seconds.
	LatencyP99 float64 `json:"call_latency_p99_seconds"`
	// LatencyP999 is the 99.9th percentile, in seconds.
	LatencyP999 float64 `json:"call_latency_p999_seconds"`
	// TasksSubmitted is the number of tasks of accepted batch and watcher jobs.
	TasksSubmitted uint64 `json:"tasks_submitted"`
	// TasksFinished is the number of batch tasks that hosts finished.
	TasksFinished uint64 `json:"tasks_finished"`
	// TasksLost is the number of accepted batch tasks that no host finished.
	TasksLost uint64 `json:"tasks_lost"`
	// TasksRunTwice is the number of tasks that ran on two hosts at once or were started after their
	// end was acknowledged.
	TasksRunTwice uint64 `json:"tasks_run_twice"`
	// Evictions is the number of evictions of tasks from workers.
	Evictions uint64 `json:"evictions"`
	// CapacityExceeded is the number of starts that exceeded the capacity of a host.
	CapacityExceeded uint64 `json:"capacity_exceeded"`
	// MaxConfigPropagation is the longest time until a configuration change was in force in all
	// processes, in seconds.
	MaxConfigPropagation float64 `json:"config_in_force_max_seconds"`
	// Violations is the number of invariant violations.
	Violations uint64 `json:"invariant_violations"`
}

// Report holds the results of a demo.
type Report struct {
	// Users holds the figures of each user by name.
	Users map[string]Figures `json:"users"`
	// Total holds the figures of all users together.
	Total Figures `json:"total"`
	// DurationSeconds is how long calls were sent.
	DurationSeconds float64 `json:"duration_seconds"`
	// FaultsInjected is true if faults were injected.
	FaultsInjected bool `json:"faults"`
	// Breaches describes the first invariant violations.
	Breaches []string `json:"breaches,omitempty"`
}

// HasFailures reports whether an invariant was violated, a task was lost, a call or task ran twice or
// the capacity of a host was exceeded.
func (r Report) HasFailures() bool {
	t := r.Total
	return t.Violations+t.CallsRunTwice+t.TasksLost+t.TasksRunTwice+t.CapacityExceeded > 0
}

// tableRow is one line of the summary table.
type tableRow struct {
	name  string
	value func(Figures) string
}

func formatCount(f func(Figures) uint64) func(Figures) string {
	return func(x Figures) string { return fmt.Sprint(f(x)) }
}

func formatSeconds(f func(Figures) float64) func(Figures) string {
	return func(x Figures) string {
		return time.Duration(f(x) * float64(time.Second)).Round(10 * time.Microsecond).String()
	}
}

var tableRows = []tableRow{
	{"calls sent", formatCount(func(f Figures) uint64 { return f.CallsSent })},
	{"calls answered", formatCount(func(f Figures) uint64 { return f.CallsAnswered })},
	{"calls refused, not run", formatCount(func(f Figures) uint64 { return f.CallsRefusedNotRun })},
	{"calls with unknown outcome", formatCount(func(f Figures) uint64 { return f.CallsOutcomeUnknown })},
	{"calls run twice", formatCount(func(f Figures) uint64 { return f.CallsRunTwice })},
	{"call latency p50", formatSeconds(func(f Figures) float64 { return f.LatencyP50 })},
	{"call latency p99", formatSeconds(func(f Figures) float64 { return f.LatencyP99 })},
	{"call latency p99.9", formatSeconds(func(f Figures) float64 { return f.LatencyP999 })},
	{"tasks submitted", formatCount(func(f Figures) uint64 { return f.TasksSubmitted })},
	{"tasks finished", formatCount(func(f Figures) uint64 { return f.TasksFinished })},
	{"tasks lost", formatCount(func(f Figures) uint64 { return f.TasksLost })},
	{"tasks run twice", formatCount(func(f Figures) uint64 { return f.TasksRunTwice })},
	{"evictions", formatCount(func(f Figures) uint64 { return f.Evictions })},
	{"capacity exceeded", formatCount(func(f Figures) uint64 { return f.CapacityExceeded })},
	{"config in force, longest", formatSeconds(func(f Figures) float64 { return f.MaxConfigPropagation })},
	{"invariant violations", formatCount(func(f Figures) uint64 { return f.Violations })},
}

// WriteTable writes the summary table, with a column for each user in the order given, and the
// breaches.
func (r Report) WriteTable(w io.Writer, users []string) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "\t")
	for _, u := range users {
		fmt.Fprintf(t, "%s\t", u)
	}
	fmt.Fprintln(t, "total\t")
	for _, x := range tableRows {
		fmt.Fprintf(t, "%s\t", x.name)
		for _, u := range users {
			fmt.Fprintf(t, "%s\t", x.value(r.Users[u]))
		}
		fmt.Fprintf(t, "%s\t\n", x.value(r.Total))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, b := range r.Breaches {
		fmt.Fprintln(w, "breach:", b)
	}
	return nil
}

// Range, in microseconds, and precision of the latency histogram; longer latencies count as the
// maximum.
const (
	minLatencyMicros  = int64(10)
	maxLatencyMicros  = int64(600_000_000)
	significantDigits = 3
)

// callStats counts the calls of one user, as seen by the callers. It is safe for concurrent use.
type callStats struct {
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	figures   Figures
}

func newCallStats() *callStats {
	return &callStats{latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

// snapshot returns the counts and latency percentiles so far.
func (s *callStats) snapshot() Figures {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.figures
	secondsAt := func(p float64) float64 { return float64(s.latencies.ValueAtQuantile(p)) / 1e6 }
	f.LatencyP50, f.LatencyP99, f.LatencyP999 = secondsAt(50), secondsAt(99), secondsAt(99.9)
	return f
}

func (s *callStats) update(f func(*Figures)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.figures)
}

func (s *callStats) countAnswer(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.CallsAnswered++
	_ = s.latencies.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
}

// plus returns the sums of the counts that are kept for each user; latencies and the figures of the
// whole fleet are those of f.
func (f Figures) plus(o Figures) Figures {
	f.CallsSent += o.CallsSent
	f.CallsAnswered += o.CallsAnswered
	f.CallsRefusedNotRun += o.CallsRefusedNotRun
	f.CallsOutcomeUnknown += o.CallsOutcomeUnknown
	f.CallsRunTwice += o.CallsRunTwice
	f.TasksSubmitted += o.TasksSubmitted
	f.TasksFinished += o.TasksFinished
	f.TasksLost += o.TasksLost
	f.TasksRunTwice += o.TasksRunTwice
	f.Evictions += o.Evictions
	f.Violations += o.Violations
	return f
}
