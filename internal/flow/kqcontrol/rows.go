// Package kqcontrol runs the owner of a cell. It acquires the ownership and keeps it
// confirmed, follows the jobs that callers submit, stores the decisions of the scheduler,
// and sends decisions to agents and entries once they are stored.
package kqcontrol

import (
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// Tables of the store.
const (
	// CellTable holds the ownership rows and the heartbeats of cells.
	CellTable = "cells"
	// LearnedTable holds the interference between images that owners have learned.
	LearnedTable = "learned"
	// LeaseTable holds the hosts to which owners have granted leases.
	LeaseTable = "leases"
	// SubmissionTable holds submitted jobs and their cancellations; entries write it.
	SubmissionTable = "submissions"
	// ProgressTable holds the progress of jobs; the owner writes it.
	ProgressTable = "progress"
	// DepartureTable holds the incarnations of workers that have left; agents write it.
	DepartureTable = "departures"
)

// PartitionedTables lists the tables whose rows are spread over several partitions of the
// store. Their rows are written one at a time, and the writes should not wait for each
// other.
var PartitionedTables = []string{SubmissionTable}

// OwnerRow is the ownership row of a cell.
type OwnerRow struct {
	// Name is the name of the owner's host; empty if the cell was handed over.
	Name string `json:"name"`
	// Boot identifies the owner's process.
	Boot string `json:"boot"`
	// Address is the address at which the owner accepts agents and entries.
	Address netip.AddrPort `json:"address,omitzero"`
	// Epoch numbers the owners of the cell from 1.
	Epoch uint64 `json:"epoch"`
	// LeasesRecorded is true if the owner grants leases only to hosts that are in its
	// LeasesRow.
	LeasesRecorded bool `json:"recorded,omitempty"`
}

// OwnerKey returns the key of a cell's ownership row.
func OwnerKey(cell string) kqrows.Key { return kqrows.Key{Table: CellTable, Name: cell + ".owner"} }

// HeartbeatKey returns the key of the heartbeat row of a cell's owner.
func HeartbeatKey(cell string) kqrows.Key { return kqrows.Key{Table: CellTable, Name: cell + ".beat"} }

// LearnedKey returns the key of the interference that the owners of a cell have learned.
// The row is written without a condition on its version: losing it costs learning time, not
// safety.
func LearnedKey(cell string) kqrows.Key { return kqrows.Key{Table: LearnedTable, Name: cell} }

// LeasesKey returns the key of a cell's LeasesRow.
func LeasesKey(cell string) kqrows.Key { return kqrows.Key{Table: LeaseTable, Name: cell} }

// SubmissionKey returns the key of a submitted job.
func SubmissionKey(job string) kqrows.Key { return kqrows.Key{Table: SubmissionTable, Name: job} }

// ProgressKey returns the key of a job's progress.
func ProgressKey(job string) kqrows.Key { return kqrows.Key{Table: ProgressTable, Name: job} }

// DepartureKey returns the key of the departure of an incarnation of a worker.
func DepartureKey(worker kqexecution.Incarnation) kqrows.Key {
	return kqrows.Key{Table: DepartureTable, Name: string(worker)}
}

// claimSuffix distinguishes the key of a claimed departure from that of a departure.
const claimSuffix = "?"

// DepartureClaimKey returns the key of a departure that a leave message claims for an incarnation or, if worker
// has no birth time, for one with its id.
func DepartureClaimKey(worker kqexecution.Incarnation) kqrows.Key {
	return kqrows.Key{Table: DepartureTable, Name: string(worker) + claimSuffix}
}

// RangeEnd returns the exclusive end of a range read of the single row with a name. No other
// row's name sorts between the two.
func RangeEnd(name string) string { return name + "!" }

// DecodeSubmission decodes a row of the SubmissionTable. It returns an error if the row is not
// readable or holds a job with another ID: the progress of a job is found by the name of the row.
func DecodeSubmission(r kqrows.Row) (s kqflow.Submission, err error) {
	if err = json.Unmarshal(r.Value, &s); err == nil && s.Job.ID != r.Name {
		err = eris.Errorf("submission %s holds a job with the ID %q", r.Name, s.Job.ID)
	}
	return s, err
}
