package kqentry

import (
	"context"
	"encoding/json"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	maxJobBody = 64 << 10
	maxRunTime = 30 * 24 * time.Hour
	// maxCancelAttempts limits the attempts to cancel a job while other writes of the same
	// job conflict.
	maxCancelAttempts = 5
	jobListLimit      = 500
)

// JobView is the state of a job and its tasks as callers see it.
type JobView struct {
	// Job is the submitted job.
	Job kqmodel.Job `json:"job"`
	// State is queued, running, finished, failed or cancelled.
	State string `json:"state"`
	// Counts is the number of tasks in each state of the task state machine.
	Counts map[string]int `json:"counts"`
	// Evictions is how often tasks of the job were evicted from workers.
	Evictions int `json:"evictions"`
	// Tasks lists the tasks that have a stored row; it is empty once the job has ended and
	// in lists of jobs.
	Tasks []kqmodel.Task `json:"tasks,omitempty"`
}

// postJob serves POST /v1/jobs.
func (e *Entry) postJob(w http.ResponseWriter, q bunrouter.Request) error {
	var spec kqmodel.JobSpec
	d := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxJobBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&spec); err != nil {
		return kqresult.WriteHTTP(w, kqresult.Errorf(kqresult.BadRequest, "the request body is not a valid job: %v", err))
	}
	now := e.config.Now()
	job, err := e.validateJob(now, spec)
	if err != nil {
		return kqresult.WriteHTTP(w, err)
	}
	view, err := e.acceptJob(q.Context(), now, job)
	if err != nil {
		return kqresult.WriteHTTP(w, err)
	}
	return writeJSON(w, http.StatusAccepted, view)
}

// validateJob checks a job specification against the limits, its class, the largest
// worker and the quota of its team, and returns the job to be stored.
func (e *Entry) validateJob(now time.Time, s kqmodel.JobSpec) (kqmodel.Job, *kqresult.Error) {
	badRequest := func(format string, args ...any) (kqmodel.Job, *kqresult.Error) {
		return kqmodel.Job{}, kqresult.Errorf(kqresult.BadRequest, format, args...)
	}
	class, ok := e.configHolder.Class(s.Class)
	switch {
	case !kqconfig.ValidName(s.ID):
		return badRequest("id: %q is not a valid name: use up to 63 letters, digits, dots, dashes and underscores", s.ID)
	case !kqconfig.ValidName(s.Team):
		return badRequest("team: %q is not a valid name: use up to 63 letters, digits, dots, dashes and underscores", s.Team)
	case s.Family != "" && !kqconfig.ValidName(s.Family):
		return badRequest("family: %q is not a valid name", s.Family)
	case !ok:
		return badRequest("class: %q is not configured", s.Class)
	case class.Kind == kqmodel.KindLatencyCritical:
		return badRequest("class: %q is latency-critical and serves calls; a job needs a class of kind batch or watcher", s.Class)
	case s.Tasks < 1 || s.Tasks > kqmodel.MaxTasks:
		return badRequest("tasks: %d is out of range: from 1 to %d", s.Tasks, kqmodel.MaxTasks)
	case s.Resources.IsNegative() || s.Resources.MilliProcessors == 0 || s.Resources.MemoryBytes == 0:
		return badRequest("resources: each task needs processors and memory above 0 and accelerators of 0 or more")
	case class.Kind == kqmodel.KindBatch && (s.RunTime <= 0 || s.RunTime.Std() > maxRunTime):
		return badRequest("run_time: %s is out of range: above 0 and at most %s", s.RunTime, maxRunTime)
	case s.Urgency != "" && s.Urgency != kqmodel.UrgencyNormal && s.Urgency != kqmodel.UrgencyUrgent:
		return badRequest("urgency: %q is neither normal nor urgent", s.Urgency)
	}
	if maxCapacity, known := e.roster.MaxCapacity(now); known && !s.Resources.FitsIn(maxCapacity) {
		return kqmodel.Job{}, kqresult.Errorf(kqresult.NeverFits, "a task needs %s; the largest worker has %s", s.Resources, maxCapacity)
	}
	if quota, limited := e.configHolder.Quota(s.Team); limited && !s.Resources.FitsIn(quota) {
		return kqmodel.Job{}, kqresult.Errorf(kqresult.NeverFits, "a task needs %s; the quota of team %s is %s", s.Resources, s.Team, quota)
	}
	if s.Urgency == "" {
		s.Urgency = kqmodel.UrgencyNormal
	}
	return kqmodel.Job{Spec: s, Cell: e.homeCell(now, s), Watcher: class.Kind == kqmodel.KindWatcher, SubmittedAt: now.UTC()}, nil
}

// homeCell returns the cell of a job. An urgent job goes to another cell if its home cell
// has no live owner and some other cell has one.
func (e *Entry) homeCell(now time.Time, s kqmodel.JobSpec) string {
	home := kqcell.HomeCell(s.ID, e.config.Cells)
	if s.Urgency != kqmodel.UrgencyUrgent || e.config.Cells == 1 {
		return home
	}
	ownedCells := e.roster.OwnedCells(now)
	if len(ownedCells) == 0 || slices.Contains(ownedCells, home) {
		return home
	}
	return ownedCells[len(s.ID)%len(ownedCells)]
}

// acceptJob stores a job durably. Submitting a job again with the same content returns
// the stored job.
func (e *Entry) acceptJob(ctx context.Context, now time.Time, j kqmodel.Job) (JobView, *kqresult.Error) {
	writeID := kqtable.NewWriteID()
	key := kqcell.JobKey(j.Spec.ID)
	t := kqtable.Transaction{Conditions: []kqtable.Condition{{Key: key}}, Writes: []kqtable.Write{
		{Key: key, Value: kqtable.Encode(kqcell.JobRow{Job: j, WriteID: writeID})},
		{Key: kqcell.ActiveKey(j.Cell, j.Spec.ID), Value: kqtable.Encode(j)},
		{Key: kqcell.InboxKey(j.Cell, j.Spec.ID, writeID)}}}
	o, err := e.configStore.Resolver.Commit(ctx, t, key)
	if err != nil {
		return JobView{}, storeError(err, "the job")
	}
	if !o.Committed {
		return e.existingJob(ctx, j)
	}
	e.config.Events.Emit(now, kqevent.JobAccepted, kqevent.Task(j.Spec.ID), "%d tasks of %s each in %s", j.Spec.Tasks, j.Spec.Resources, j.Cell)
	return JobView{Job: j, State: "queued", Counts: map[string]int{"queued": int(j.Spec.Tasks)}}, nil
}

func storeError(err error, what string) *kqresult.Error {
	if err == kqtable.ErrUnknown {
		return kqresult.Errorf(kqresult.StoreOutcomeUnknown, "the table did not answer; %s may have been accepted", what).WithRetryAfter(time.Second)
	}
	return kqresult.Errorf(kqresult.StoreUnavailable, "the table is unavailable; nothing was changed").WithRetryAfter(time.Second)
}

func (e *Entry) existingJob(ctx context.Context, j kqmodel.Job) (JobView, *kqresult.Error) {
	row, _, err := e.readJob(ctx, j.Spec.ID)
	if err != nil {
		return JobView{}, err
	}
	if !reflect.DeepEqual(row.Job.Spec, j.Spec) {
		return JobView{}, kqresult.Errorf(kqresult.JobConflict, "job %q already exists with different content", j.Spec.ID)
	}
	return e.viewJob(ctx, row)
}

func (e *Entry) readJob(ctx context.Context, id string) (kqcell.JobRow, kqtable.Row, *kqresult.Error) {
	var j kqcell.JobRow
	row, found, err := e.config.Table.Get(ctx, kqcell.JobKey(id))
	switch {
	case err != nil:
		return j, row, storeError(err, "nothing")
	case !found:
		return j, row, kqresult.Errorf(kqresult.NotFound, "job %q does not exist", id)
	}
	if err := kqtable.Decode(row, &j); err != nil {
		return j, row, toResultError(err)
	}
	return j, row, nil
}

// viewJob builds the view of a job: from its summary if it has ended, otherwise from the
// stored rows of its tasks. A task whose row cannot be decoded is not counted.
func (e *Entry) viewJob(ctx context.Context, r kqcell.JobRow) (JobView, *kqresult.Error) {
	v := JobView{Job: r.Job, Counts: map[string]int{}}
	if s := r.Summary; s != nil {
		v.Counts = map[string]int{"finished": s.Finished, "failed": s.Failed, "cancelled": s.Cancelled}
		v.Evictions = s.Evictions
		v.State = finalState(*s)
		return v, nil
	}
	rows, err := e.config.Table.ScanAll(ctx, kqcell.JobTasksPrefix(r.Job.Cell, r.Job.Spec.ID))
	if err != nil {
		return v, storeError(err, "nothing")
	}
	v.State = "queued"
	for _, row := range rows {
		var t kqmodel.Task
		if err := kqtable.Decode(row, &t); err != nil {
			kqtable.LogUnreadable(e.config.Events, e.config.Now)(row, err)
			continue
		}
		v.Tasks = append(v.Tasks, t)
		v.Counts[t.State]++
		v.Evictions += int(t.Evictions)
		if t.Attempt > 0 {
			v.State = "running"
		}
	}
	if unstored := int(r.Job.Spec.Tasks) - len(rows); unstored > 0 {
		v.Counts["queued"] += unstored
	}
	return v, nil
}

func finalState(s kqcell.Summary) string {
	switch {
	case s.Cancelled > 0:
		return "cancelled"
	case s.Failed > 0:
		return "failed"
	}
	return "finished"
}

// getJob serves GET /v1/jobs/:id.
func (e *Entry) getJob(w http.ResponseWriter, q bunrouter.Request) error {
	row, _, err := e.readJob(q.Context(), q.Param("id"))
	if err != nil {
		return kqresult.WriteHTTP(w, err)
	}
	v, err := e.viewJob(q.Context(), row)
	if err != nil {
		return kqresult.WriteHTTP(w, err)
	}
	return writeJSON(w, http.StatusOK, v)
}

// listJobs serves GET /v1/jobs. The parameter team selects the jobs of one team; after
// continues behind a key of an earlier page. A job whose row cannot be decoded is left out.
func (e *Entry) listJobs(w http.ResponseWriter, q bunrouter.Request) error {
	rows, err := e.config.Table.Scan(q.Context(), kqcell.JobPrefix, q.URL.Query().Get("after"), jobListLimit)
	if err != nil {
		return kqresult.WriteHTTP(w, storeError(err, "nothing"))
	}
	team := q.URL.Query().Get("team")
	out := []JobView{}
	for _, r := range rows {
		var j kqcell.JobRow
		if err := kqtable.Decode(r, &j); err != nil {
			kqtable.LogUnreadable(e.config.Events, e.config.Now)(r, err)
			continue
		}
		if team != "" && j.Job.Spec.Team != team {
			continue
		}
		v, verr := e.viewJob(q.Context(), j)
		if verr != nil {
			return kqresult.WriteHTTP(w, verr)
		}
		v.Tasks = nil
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b JobView) int { return strings.Compare(a.Job.Spec.ID, b.Job.Spec.ID) })
	return writeJSON(w, http.StatusOK, out)
}

// cancelJob serves DELETE /v1/jobs/:id. The request is idempotent.
func (e *Entry) cancelJob(w http.ResponseWriter, q bunrouter.Request) error {
	for range maxCancelAttempts {
		row, done, err := e.tryCancel(q.Context(), q.Param("id"))
		if err != nil {
			return kqresult.WriteHTTP(w, err)
		}
		if !done {
			continue
		}
		v, err := e.viewJob(q.Context(), row)
		if err != nil {
			return kqresult.WriteHTTP(w, err)
		}
		return writeJSON(w, http.StatusAccepted, v)
	}
	return kqresult.WriteHTTP(w, kqresult.Errorf(kqresult.VersionConflict, "all %d attempts conflicted with concurrent changes; nothing was changed", maxCancelAttempts).WithRetryAfter(time.Second))
}

// tryCancel makes one attempt to cancel a job. It returns false if a concurrent write of the
// job came first.
func (e *Entry) tryCancel(ctx context.Context, id string) (kqcell.JobRow, bool, *kqresult.Error) {
	j, row, rerr := e.readJob(ctx, id)
	if rerr != nil {
		return j, false, rerr
	}
	if j.Summary != nil || j.Job.Cancelled {
		return j, true, nil
	}
	j.Job.Cancelled, j.WriteID = true, kqtable.NewWriteID()
	t := kqtable.Transaction{Conditions: []kqtable.Condition{{Key: row.Key, Version: row.Version}}, Writes: []kqtable.Write{
		{Key: row.Key, Value: kqtable.Encode(j)},
		{Key: kqcell.ActiveKey(j.Job.Cell, id), Value: kqtable.Encode(j.Job)},
		{Key: kqcell.InboxKey(j.Job.Cell, id, j.WriteID)}}}
	o, err := e.configStore.Resolver.Commit(ctx, t, row.Key)
	if err != nil {
		return j, false, storeError(err, "the cancellation")
	}
	if o.Committed {
		e.config.Events.Emit(e.config.Now(), kqevent.JobCancelled, kqevent.Task(id), "cancelled on request")
	}
	return j, o.Committed, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}
