// Package kqcell holds the state of one cell and makes the decisions of its owner: which
// tasks run on which workers, which are evicted, and which workers are lost. It does no I/O;
// the current time is an argument of each decision.
package kqcell

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqquota"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// OwnershipRow is the stored ownership of a cell.
type OwnershipRow struct {
	// Owner names the worker whose agent owns the cell.
	Owner string `json:"owner"`
	// Boot identifies the agent process that owns the cell.
	Boot string `json:"boot"`
	// Address is where the owner listens.
	Address netip.AddrPort `json:"address"`
	// Epoch numbers the owners of the cell from 1.
	Epoch uint64 `json:"epoch"`
	// Commits counts the commits of this owner.
	Commits uint64 `json:"beat"`
	// WriteID identifies the write of this row.
	WriteID string `json:"write_id"`
}

// Summary counts the tasks of a job that has ended, by outcome. It replaces the task rows.
type Summary struct {
	// Finished counts the tasks that succeeded.
	Finished int `json:"finished"`
	// Failed counts the tasks that failed.
	Failed int `json:"failed"`
	// Cancelled counts the tasks that were cancelled.
	Cancelled int `json:"cancelled"`
	// Evictions counts how often tasks were evicted from workers or lost with them.
	Evictions int `json:"evictions"`
	// EndedAt is when the last task ended.
	EndedAt time.Time `json:"ended_at"`
}

// JobRow is the stored form of a job.
type JobRow struct {
	// Job holds the specification and the state of the job.
	Job kqmodel.Job `json:"job"`
	// Summary is set once the job has ended.
	Summary *Summary `json:"summary,omitempty"`
	// WriteID identifies the write of this row.
	WriteID string `json:"write_id"`
}

// OwnershipKey returns the key of a cell's ownership row.
func OwnershipKey(cell string) string { return "cell/" + cell }

// JobPrefix is the key prefix of all jobs.
const JobPrefix = "job/"

// JobKey returns the key of a job.
func JobKey(job string) string { return JobPrefix + job }

// ActivePrefix returns the key prefix of the jobs of a cell that have not ended.
func ActivePrefix(cell string) string { return "active/" + cell + "/" }

// ActiveKey returns the key that marks a job as not ended.
func ActiveKey(cell, job string) string { return ActivePrefix(cell) + job }

// InboxPrefix returns the key prefix of the changes of jobs that entries leave for the owner
// of a cell.
func InboxPrefix(cell string) string { return "inbox/" + cell + "/" }

// InboxKey returns the key of one change of a job.
func InboxKey(cell, job, writeID string) string { return InboxPrefix(cell) + job + "/" + writeID }

// JobFromInboxKey returns the job that an inbox key refers to.
func JobFromInboxKey(cell, key string) string {
	rest := strings.TrimPrefix(key, InboxPrefix(cell))
	return rest[:max(0, strings.LastIndexByte(rest, '/'))]
}

// CellTasksPrefix returns the key prefix of the tasks of a cell whose jobs have not ended.
func CellTasksPrefix(cell string) string { return "live/" + cell + "/" }

// JobTasksPrefix returns the key prefix of the tasks of a job.
func JobTasksPrefix(cell, job string) string { return CellTasksPrefix(cell) + job + "/" }

// TaskKey returns the key of a task whose job has not ended.
func TaskKey(cell string, t kqmodel.TaskID) string {
	return fmt.Sprintf("%s%06d", JobTasksPrefix(cell, t.Job), t.Index)
}

// AllotmentKey returns the key of the allotments of a team.
func AllotmentKey(team string) string { return "allotment/" + team }

// AllotmentRow holds the allotments of a team as read from the table.
type AllotmentRow struct {
	// Allotments holds what each cell may reserve.
	Allotments kqquota.Allotments
	// Version is the version of the row; 0 if there is no row.
	Version uint64
}

// CellOfRack returns the cell of a rack when there are count cells.
func CellOfRack(zone, rack string, count int) string {
	return fmt.Sprintf("cell-%d", xxhash.Sum64String(zone+"/"+rack)%uint64(max(1, count)))
}

// HomeCell returns the cell that a job belongs to when there are count cells.
func HomeCell(job string, count int) string {
	return fmt.Sprintf("cell-%d", xxhash.Sum64String(job)%uint64(max(1, count)))
}
