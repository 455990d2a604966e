// Package kqcontrol carries out what the owner of a cell decides: it keeps the
// ownership confirmed, follows what callers hand in, stores decisions and tells
// agents and entries of them once they are stored.
package kqcontrol

import (
	"encoding/json"
	"net/netip"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// Tables of the store.
const (
	// CellTable holds the ownership of cells and its beats.
	CellTable = "cells"
	// LearnedTable holds what owners have learned of images.
	LearnedTable = "learned"
	// LeaseTable holds which hosts owners have granted leases.
	LeaseTable = "leases"
	// SubmissionTable holds what callers handed in; entries write it.
	SubmissionTable = "submissions"
	// ProgressTable holds the progress of jobs; the owner writes it.
	ProgressTable = "progress"
)

// SpreadTables are the tables whose rows are written one by one and should not
// wait for each other.
var PartitionedTables = []string{SubmissionTable}

// OwnerRow is the stored ownership of a cell.
type OwnerRow struct {
	// Name names the owner's host; empty if the cell was handed over.
	Name string `json:"name"`
	// Boot names the owner's process.
	Boot string `json:"boot"`
	// Address is where the owner listens.
	Address netip.AddrPort `json:"address,omitzero"`
	// Epoch counts the owners from 1.
	Epoch uint64 `json:"epoch"`
	// Recorded says that the owner grants leases to no host but those in its
	// LeasesRow.
	LeasesRecorded bool `json:"recorded,omitempty"`
}

// OwnerKey returns the key of a cell's ownership.
func OwnerKey(cell string) kqrows.Key { return kqrows.Key{Table: CellTable, Name: cell + ".owner"} }

// BeatKey returns the key of the beats of a cell's owner.
func HeartbeatKey(cell string) kqrows.Key { return kqrows.Key{Table: CellTable, Name: cell + ".beat"} }

// LearnedKey returns the key of what the owners of a cell have learned. It is
// written without conditions: losing it costs time, not safety.
func LearnedKey(cell string) kqrows.Key { return kqrows.Key{Table: LearnedTable, Name: cell} }

// LeasesKey returns the key of a cell's LeasesRow.
func LeasesKey(cell string) kqrows.Key { return kqrows.Key{Table: LeaseTable, Name: cell} }

// SubmissionKey returns the key of what a caller handed in.
func SubmissionKey(job string) kqrows.Key { return kqrows.Key{Table: SubmissionTable, Name: job} }

// ProgressKey returns the key of a job's progress.
func ProgressKey(job string) kqrows.Key { return kqrows.Key{Table: ProgressTable, Name: job} }

// After returns a bound for reads of one row: no name of ours lies between.
func RangeEnd(name string) string { return name + "!" }

// DecodeSubmission reads a stored submission.
func DecodeSubmission(r kqrows.Row) (s kqflow.Submission, err error) {
	err = json.Unmarshal(r.Value, &s)
	return s, err
}

// DecodeOwner reads a stored ownership.
func DecodeOwner(r kqrows.Row) (o OwnerRow, err error) {
	err = json.Unmarshal(r.Value, &o)
	return o, err
}
