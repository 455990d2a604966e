// Package kqmodel defines the data types that the other packages share: classes and their
// targets, jobs and tasks, resources, workers and endpoints.
package kqmodel

import "time"

// Kind is the kind of work in a class.
type Kind string

const (
	// KindLatencyCritical is a service that answers calls within a latency target.
	KindLatencyCritical Kind = "latency_critical"
	// KindBatch is work that runs to completion.
	KindBatch Kind = "batch"
	// KindWatcher is long-running work that is kept running.
	KindWatcher Kind = "watcher"
)

// ClassSpec holds the targets of a class of work, as an operator declares them.
type ClassSpec struct {
	// Name is the unique name of the class.
	Name string `json:"name" yaml:"name"`
	// Kind is the kind of work in the class.
	Kind Kind `json:"kind" yaml:"kind"`
	// Latency is the latency target: calls should be answered within this time.
	Latency Duration `json:"latency,omitempty" yaml:"latency,omitempty"`
	// Percentile is the percentage of calls that Latency applies to.
	Percentile float64 `json:"percentile,omitempty" yaml:"percentile,omitempty"`
	// FinishWithin is the target for the time from submission to the end of a batch job.
	FinishWithin Duration `json:"finish_within,omitempty" yaml:"finish_within,omitempty"`
	// KeepRunning is the percentage of time that each watcher should be running.
	KeepRunning float64 `json:"keep_running,omitempty" yaml:"keep_running,omitempty"`
}

// Class is an accepted version of a class.
type Class struct {
	// Spec holds the targets of this version.
	Spec ClassSpec `json:"spec"`
	// Version is the number of this version of the class; the first is 1.
	Version uint64 `json:"version"`
	// Sequence is the configuration sequence that accepted this version.
	Sequence uint64 `json:"sequence"`
	// Author is the operator who made the change.
	Author string `json:"author"`
	// AcceptedAt is when the change was accepted.
	AcceptedAt time.Time `json:"accepted_at"`
}

// Quota limits the resources that a team may hold at the same time.
type Quota struct {
	// Team is the team whose jobs are limited.
	Team string `json:"team" yaml:"team"`
	// Resources is the limit over all cells together.
	Resources Resources `json:"resources" yaml:"resources"`
}
