// Package kqdemo runs the whole path on loopback with the users of today, and
// reports what really happened.
package kqdemo

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures is what happened to one user, or in total.
type Figures struct {
	// CallsSent is calls sent by callers.
	CallsSent uint64 `json:"calls_sent"`
	// CallsAnswered is calls whose whole answer came.
	CallsAnswered uint64 `json:"calls_answered"`
	// CallsRefusedNotRun is calls refused with the promise that they did not run.
	CallsRefusedNotRun uint64 `json:"calls_refused_not_run"`
	// CallsOutcomeUnknown is calls that may or may not have run.
	CallsOutcomeUnknown uint64 `json:"calls_outcome_unknown"`
	// CallsRunTwice is non-idempotent calls that endpoints began twice.
	CallsRunTwice uint64 `json:"calls_run_twice"`
	// LatencyP50 is the median latency of answered calls, in seconds.
	LatencyP50 float64 `json:"call_latency_p50_seconds"`
	// LatencyP99 is the 99th percentile, in seconds.
	LatencyP99 float64 `json:"call_latency_p99_seconds"`
	// LatencyP999 is the 99.9th percentile, in seconds.
	LatencyP999 float64 `json:"call_latency_p999_seconds"`
	// TasksSubmitted is tasks of accepted batch jobs and watchers.
	TasksSubmitted uint64 `json:"tasks_submitted"`
	// TasksFinished is batch tasks that hosts finished.
	TasksFinished uint64 `json:"tasks_finished"`
	// TasksLost is accepted tasks that ended nowhere and are known nowhere.
	TasksLost uint64 `json:"tasks_lost"`
	// TasksRunTwice is tasks that ran in two places or finished twice.
	TasksRunTwice uint64 `json:"tasks_run_twice"`
	// Evictions counts tasks taken off a worker before their end.
	Evictions uint64 `json:"evictions"`
	// CapacityExceeded is starts over the capacity of a host.
	CapacityExceeded uint64 `json:"capacity_exceeded"`
	// ConfigInForceMax is the longest time that a change took to be in force
	// everywhere, in seconds.
	ConfigInForceMax float64 `json:"config_in_force_max_seconds"`
	// Violations is breaches of invariants.
	Violations uint64 `json:"invariant_violations"`
}

// Report is the outcome of a demo.
type Report struct {
	// Users is the figures of each user.
	Users map[string]Figures `json:"users"`
	// Total is the figures of all users.
	Total Figures `json:"total"`
	// DurationSeconds is how long calls were sent.
	DurationSeconds float64 `json:"duration_seconds"`
	// Faults is true if faults were switched on.
	Faults bool `json:"faults"`
	// Breaches describes the first breaches.
	Breaches []string `json:"breaches,omitempty"`
}

// Broken reports whether an invariant was broken.
func (r Report) HasFailures() bool {
	t := r.Total
	return t.Violations+t.CallsRunTwice+t.TasksLost+t.TasksRunTwice+t.CapacityExceeded > 0
}

// row is one line of the summary table.
type row struct {
	name  string
	value func(Figures) string
}

func count(f func(Figures) uint64) func(Figures) string {
	return func(x Figures) string { return fmt.Sprint(f(x)) }
}

func seconds(f func(Figures) float64) func(Figures) string {
	return func(x Figures) string {
		return time.Duration(f(x) * float64(time.Second)).Round(10 * time.Microsecond).String()
	}
}

var rows = []row{
	{"calls sent", count(func(f Figures) uint64 { return f.CallsSent })},
	{"calls answered", count(func(f Figures) uint64 { return f.CallsAnswered })},
	{"calls refused, not run", count(func(f Figures) uint64 { return f.CallsRefusedNotRun })},
	{"calls with unknown outcome", count(func(f Figures) uint64 { return f.CallsOutcomeUnknown })},
	{"calls run twice", count(func(f Figures) uint64 { return f.CallsRunTwice })},
	{"call latency p50", seconds(func(f Figures) float64 { return f.LatencyP50 })},
	{"call latency p99", seconds(func(f Figures) float64 { return f.LatencyP99 })},
	{"call latency p99.9", seconds(func(f Figures) float64 { return f.LatencyP999 })},
	{"tasks submitted", count(func(f Figures) uint64 { return f.TasksSubmitted })},
	{"tasks finished", count(func(f Figures) uint64 { return f.TasksFinished })},
	{"tasks lost", count(func(f Figures) uint64 { return f.TasksLost })},
	{"tasks run twice", count(func(f Figures) uint64 { return f.TasksRunTwice })},
	{"evictions", count(func(f Figures) uint64 { return f.Evictions })},
	{"capacity exceeded", count(func(f Figures) uint64 { return f.CapacityExceeded })},
	{"config in force, longest", seconds(func(f Figures) float64 { return f.ConfigInForceMax })},
	{"invariant violations", count(func(f Figures) uint64 { return f.Violations })},
}

// Write prints the summary table.
func (r Report) WriteTable(w io.Writer, users []string) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "\t")
	for _, u := range users {
		fmt.Fprintf(t, "%s\t", u)
	}
	fmt.Fprintln(t, "total\t")
	for _, x := range rows {
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

const (
	lowestMicros  = int64(10)
	highestMicros = int64(600_000_000)
	digits        = 3
)

// callTally counts the calls of one user as its callers saw them.
type callTally struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	figures Figures
}

func newCallTally() *callTally {
	return &callTally{latency: hdrhistogram.New(lowestMicros, highestMicros, digits)}
}

// read returns the counts and percentiles so far.
func (t *callTally) read() Figures {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.figures
	at := func(p float64) float64 { return float64(t.latency.ValueAtQuantile(p)) / 1e6 }
	f.LatencyP50, f.LatencyP99, f.LatencyP999 = at(50), at(99), at(99.9)
	return f
}

func (t *callTally) update(f func(*Figures)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.figures)
}

func (t *callTally) answered(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.figures.CallsAnswered++
	_ = t.latency.RecordValue(min(d.Microseconds(), highestMicros))
}

// add sums the counts of two users.
func (f Figures) add(o Figures) Figures {
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
