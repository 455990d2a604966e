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
	maxTasks   = 1000
	maxRunTime = 30 * 24 * time.Hour
	// cancelTries bounds how often a cancellation is tried against other
	// writes of the same job.
	cancelTries  = 5
	jobListLimit = 500
)

// JobView is a job with its tasks, for callers.
type JobView struct {
	// Job is the job.
	Job kqmodel.Job `json:"job"`
	// State is queued, running, finished, failed or cancelled.
	State string `json:"state"`
	// Counts is how many tasks are in each state of the task chart.
	Counts map[string]int `json:"counts"`
	// Evictions counts how often tasks were taken off workers.
	Evictions int `json:"evictions"`
	// Tasks lists the tasks that were started; empty once the job has ended.
	Tasks []kqmodel.Task `json:"tasks,omitempty"`
}

// postJob serves POST /v1/jobs.
func (e *Entry) postJob(w http.ResponseWriter, q bunrouter.Request) error {
	var spec kqmodel.JobSpec
	d := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxJobBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&spec); err != nil {
		return kqresult.WriteHTTP(w, kqresult.Errorf(kqresult.BadRequest, "the body is no job: %v", err))
	}
	now := e.config.Now()
	job, err := e.checkJob(now, spec)
	if err != nil {
		return kqresult.WriteHTTP(w, err)
	}
	view, err := e.acceptJob(q.Context(), now, job)
	if err != nil {
		return kqresult.WriteHTTP(w, err)
	}
	return writeJSON(w, http.StatusAccepted, view)
}

// checkJob checks what a caller declares.
func (e *Entry) checkJob(now time.Time, s kqmodel.JobSpec) (kqmodel.Job, *kqresult.Error) {
	bad := func(format string, args ...any) (kqmodel.Job, *kqresult.Error) {
		return kqmodel.Job{}, kqresult.Errorf(kqresult.BadRequest, format, args...)
	}
	class, ok := e.holder.Class(s.Class)
	switch {
	case !kqconfig.ValidName(s.ID):
		return bad("id: %q is no name: use up to 63 letters, digits, dots, dashes and underscores", s.ID)
	case !kqconfig.ValidName(s.Team):
		return bad("team: %q is no name: use up to 63 letters, digits, dots, dashes and underscores", s.Team)
	case s.Family != "" && !kqconfig.ValidName(s.Family):
		return bad("family: %q is no name", s.Family)
	case !ok:
		return bad("class: no class %q is in force", s.Class)
	case class.Kind == kqmodel.KindLatencyCritical:
		return bad("class: %q answers calls; a job needs a class of kind batch or watcher", s.Class)
	case s.Tasks < 1 || s.Tasks > maxTasks:
		return bad("tasks: %d is out of range: from 1 to %d", s.Tasks, maxTasks)
	case s.Resources.Negative() || s.Resources.MilliProcessors == 0 || s.Resources.MemoryBytes == 0:
		return bad("resources: each task needs processors and memory above 0 and accelerators of 0 or more")
	case class.Kind == kqmodel.KindBatch && (s.RunTime <= 0 || s.RunTime.Std() > maxRunTime):
		return bad("run_time: %s is out of range: above 0 and at most %s", s.RunTime, maxRunTime)
	case s.Urgency != "" && s.Urgency != kqmodel.UrgencyNormal && s.Urgency != kqmodel.UrgencyUrgent:
		return bad("urgency: %q is neither normal nor urgent", s.Urgency)
	}
	if most, known := e.roster.MaxCapacity(now); known && !s.Resources.Fits(most) {
		return kqmodel.Job{}, kqresult.Errorf(kqresult.NeverFits, "a task needs %s; the largest worker has %s", s.Resources, most)
	}
	if quota, limited := e.holder.Quota(s.Team); limited && !s.Resources.Fits(quota) {
		return kqmodel.Job{}, kqresult.Errorf(kqresult.NeverFits, "a task needs %s; the quota of team %s is %s", s.Resources, s.Team, quota)
	}
	if s.Urgency == "" {
		s.Urgency = kqmodel.UrgencyNormal
	}
	return kqmodel.Job{Spec: s, Cell: e.homeCell(now, s), Watcher: class.Kind == kqmodel.KindWatcher, SubmittedAt: now.UTC()}, nil
}

// homeCell returns the cell of a job. Urgent work goes to another cell while
// its own has no owner that is heard.
func (e *Entry) homeCell(now time.Time, s kqmodel.JobSpec) string {
	home := kqcell.HomeCell(s.ID, e.config.Cells)
	if s.Urgency != kqmodel.UrgencyUrgent || e.config.Cells == 1 {
		return home
	}
	owned := e.roster.OwnedCells(now)
	if len(owned) == 0 || slices.Contains(owned, home) {
		return home
	}
	return owned[len(s.ID)%len(owned)]
}

// acceptJob makes a job durable. A second submission of the same content is
// the same job.
func (e *Entry) acceptJob(ctx context.Context, now time.Time, j kqmodel.Job) (JobView, *kqresult.Error) {
	writeID := kqtable.NewWriteID()
	key := kqcell.JobKey(j.Spec.ID)
	t := kqtable.Transaction{Conditions: []kqtable.Condition{{Key: key}}, Writes: []kqtable.Write{
		{Key: key, Value: kqtable.Encode(kqcell.JobRow{Job: j, WriteID: writeID})},
		{Key: kqcell.ActiveKey(j.Cell, j.Spec.ID), Value: kqtable.Encode(j)},
		{Key: kqcell.InboxKey(j.Cell, j.Spec.ID, writeID)}}}
	o, err := e.store.Resolver.Commit(ctx, t, key)
	if err != nil {
		return JobView{}, storeError(err, "the job")
	}
	if !o.Committed {
		return e.sameJob(ctx, j)
	}
	e.config.Events.Emit(now, kqevent.JobAccepted, kqevent.Task(j.Spec.ID), "%d tasks of %s in %s", j.Spec.Tasks, j.Spec.Resources, j.Cell)
	return JobView{Job: j, State: "queued", Counts: map[string]int{"queued": int(j.Spec.Tasks)}}, nil
}

func storeError(err error, what string) *kqresult.Error {
	if err == kqtable.ErrUnknown {
		return kqresult.Errorf(kqresult.StoreOutcomeUnknown, "the table did not answer; %s may have been accepted", what).After(time.Second)
	}
	return kqresult.Errorf(kqresult.StoreUnavailable, "the table is out; nothing changed").After(time.Second)
}

func (e *Entry) sameJob(ctx context.Context, j kqmodel.Job) (JobView, *kqresult.Error) {
	row, _, err := e.readJob(ctx, j.Spec.ID)
	if err != nil {
		return JobView{}, err
	}
	if !reflect.DeepEqual(row.Job.Spec, j.Spec) {
		return JobView{}, kqresult.Errorf(kqresult.JobDiffers, "job %q exists with another content", j.Spec.ID)
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
		return j, row, kqresult.Errorf(kqresult.NotFound, "there is no job %q", id)
	}
	if err := kqtable.Decode(row, &j); err != nil {
		return j, row, failure(err)
	}
	return j, row, nil
}

// viewJob reads the tasks of a job that has not ended.
func (e *Entry) viewJob(ctx context.Context, r kqcell.JobRow) (JobView, *kqresult.Error) {
	v := JobView{Job: r.Job, Counts: map[string]int{}}
	if s := r.Summary; s != nil {
		v.Counts = map[string]int{"finished": s.Finished, "failed": s.Failed, "cancelled": s.Cancelled}
		v.Evictions = s.Evictions
		v.State = endState(*s)
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
			return v, failure(err)
		}
		v.Tasks = append(v.Tasks, t)
		v.Counts[t.State]++
		v.Evictions += int(t.Evictions)
		if t.Attempt > 0 {
			v.State = "running"
		}
	}
	if rest := int(r.Job.Spec.Tasks) - len(rows); rest > 0 {
		v.Counts["queued"] += rest
	}
	return v, nil
}

func endState(s kqcell.Summary) string {
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

// listJobs serves GET /v1/jobs with an optional team.
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
			return kqresult.WriteHTTP(w, failure(err))
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

// cancelJob serves DELETE /v1/jobs/:id. It may be sent again.
func (e *Entry) cancelJob(w http.ResponseWriter, q bunrouter.Request) error {
	for range cancelTries {
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
	return kqresult.WriteHTTP(w, kqresult.Errorf(kqresult.VersionConflict, "other changes went first %d times; nothing changed", cancelTries).After(time.Second))
}

// tryCancel makes one attempt; done is false if another write went first.
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
	o, err := e.store.Resolver.Commit(ctx, t, row.Key)
	if err != nil {
		return j, false, storeError(err, "the cancellation")
	}
	if o.Committed {
		e.config.Events.Emit(e.config.Now(), kqevent.JobCancelled, kqevent.Task(id), "by its owner")
	}
	return j, o.Committed, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}
