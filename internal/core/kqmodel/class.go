// Package kqmodel holds the plain types that every other package speaks:
// classes and their targets, jobs and tasks, resources, workers and endpoints.
package kqmodel

import "time"

// Kind is the sort of work that a class holds.
type Kind string

// Kinds of work.
const (
	// KindLatencyCritical is a service that answers calls within a target.
	KindLatencyCritical Kind = "latency_critical"
	// KindBatch is work that runs to an end.
	KindBatch Kind = "batch"
	// KindWatcher is work that is kept running.
	KindWatcher Kind = "watcher"
)

// ClassSpec is what an operator states of a class of work: its targets.
type ClassSpec struct {
	// Name identifies the class.
	Name string `json:"name" yaml:"name"`
	// Kind is the sort of work.
	Kind Kind `json:"kind" yaml:"kind"`
	// Latency is the time within which calls are to be answered.
	Latency Duration `json:"latency,omitempty" yaml:"latency,omitempty"`
	// Percentile is the share of calls, in percent, that Latency speaks of.
	Percentile float64 `json:"percentile,omitempty" yaml:"percentile,omitempty"`
	// FinishWithin is the time from submission to the end of a batch job.
	FinishWithin Duration `json:"finish_within,omitempty" yaml:"finish_within,omitempty"`
	// KeepRunning is the share of time, in percent, that each watcher is up.
	KeepRunning float64 `json:"keep_running,omitempty" yaml:"keep_running,omitempty"`
}

// Class is an accepted class with its place in the history.
type Class struct {
	// Spec is the targets in force.
	Spec ClassSpec `json:"spec"`
	// Version counts the changes of this class from 1.
	Version uint64 `json:"version"`
	// Sequence is the configuration sequence that accepted this version.
	Sequence uint64 `json:"sequence"`
	// Author is the operator who made the change.
	Author string `json:"author"`
	// AcceptedAt is when the change was accepted.
	AcceptedAt time.Time `json:"accepted_at"`
}

// Quota is the most that one team may hold at one time.
type Quota struct {
	// Team is the owner of the jobs.
	Team string `json:"team" yaml:"team"`
	// Resources is the upper bound over all cells.
	Resources Resources `json:"resources" yaml:"resources"`
}
