package kqowner

import (
	"context"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// loadSnapshot reads the jobs of a cell that have not ended, and their tasks. It leaves out each job
// that has a row which cannot be decoded or belongs to another job, and calls onUnreadable with that
// row. A task that seems not to be stored would be started anew.
func loadSnapshot(ctx context.Context, table kqtable.Table, cell string, onUnreadable func(r kqtable.Row, err error)) (kqcell.Snapshot, error) {
	var s kqcell.Snapshot
	jobs, err := table.ScanAll(ctx, kqcell.ActivePrefix(cell))
	if err != nil {
		return s, err
	}
	for _, row := range jobs {
		j, err := decodeAs(row, func(j kqmodel.Job) string { return kqcell.ActiveKey(cell, j.Spec.ID) })
		if err == nil {
			err = checkJob(j)
		}
		if err != nil {
			onUnreadable(row, err)
			continue
		}
		s.Jobs = append(s.Jobs, j)
	}
	tasks, err := table.ScanAll(ctx, kqcell.CellTasksPrefix(cell))
	if err != nil {
		return s, err
	}
	for _, row := range tasks {
		t, err := decodeAs(row, func(t kqmodel.Task) string { return kqcell.TaskKey(cell, t.ID) })
		if err != nil {
			onUnreadable(row, err)
			s.Jobs = slices.DeleteFunc(s.Jobs, func(j kqmodel.Job) bool { return strings.HasPrefix(row.Key, kqcell.JobTasksPrefix(cell, j.Spec.ID)) })
			continue
		}
		s.Tasks = append(s.Tasks, t)
	}
	return s, nil
}

// readJob decodes the row of a job.
func readJob(row kqtable.Row) (kqcell.JobRow, error) {
	j, err := decodeAs(row, func(j kqcell.JobRow) string { return kqcell.JobKey(j.Job.Spec.ID) })
	if err == nil {
		err = checkJob(j.Job)
	}
	return j, err
}

// checkJob returns an error if a job has more tasks than an entry accepts.
func checkJob(j kqmodel.Job) error {
	if j.Spec.Tasks > kqmodel.MaxTasks {
		return eris.Errorf("job %s: %d tasks are out of range: expected at most %d", j.Spec.ID, j.Spec.Tasks, kqmodel.MaxTasks)
	}
	return nil
}

// decodeAs decodes a row whose key is that of its value.
func decodeAs[T any](row kqtable.Row, key func(v T) string) (v T, err error) {
	if err = kqtable.Decode(row, &v); err == nil && key(v) != row.Key {
		err = eris.Errorf("row %s holds the value of %s", row.Key, key(v))
	}
	return v, err
}
