package kqplan

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// A poison task crashes each worker that starts it, and every run on that worker is lost with it. Most
// of these are innocent, and workers crash for other reasons too. A crash is blamed on the tasks that
// had just started on the worker: on those that are suspected of several crashes or were on trial there,
// if there are any, otherwise on all of them. The next run of a suspect is a trial on a host where
// nothing else starts meanwhile (see trial), and a task is given up only on crashes that nothing else
// explains.
const (
	// maxIsolatedCrashes is the number of crashes in isolation after which a task is given up, and
	// maxQuickCrashes that of those within quickCrashTime of the start of its run. A worker that crashes
	// by itself while a suspect is tried must not cost an innocent job, and the shorter the run was, the
	// less likely that is.
	maxIsolatedCrashes = 3
	maxQuickCrashes    = 2
	quickCrashTime     = 50 * time.Millisecond
	// maxCrashes is the number of crashes after which a task is given up even if none was in isolation,
	// provided that they followed the start of its runs after the same time, give or take runTimeSpread.
	// A task that crashes its workers must not start three times after its third crash.
	maxCrashes    = 5
	runTimeSpread = 250 * time.Millisecond
	// trialTime is how long a run has to be at work for the start of the run to be an unlikely cause of
	// a crash of its worker.
	trialTime = 300 * time.Millisecond
	// clearTime is how long a run has to be at work for the crashes under its task to be forgotten.
	// Crashes after that do not count.
	clearTime = 5 * time.Second
	// simultaneousCrashes is the time within which the crashes of several workers count as one failure,
	// for example of a rack. It covers the time in which agents notice a broken connection. A longer one
	// would take the crashes by several such tasks for one failure.
	simultaneousCrashes = 50 * time.Millisecond
	// crashRetention is how long crashes are kept to be compared with others: a worker may be reported
	// as crashed only once it is back.
	crashRetention = 30 * time.Second
)

// workerCrash is a recent crash of a worker.
type workerCrash struct {
	host string
	at   time.Time
	// recentJobs holds the jobs of the runs that had just started on the worker.
	recentJobs map[string]bool
	// trial is the trial that the host had, which explains the crash, or nil.
	trial *trial
}

// crashedRun is a run that was at work on a worker when it crashed.
type crashedRun struct {
	task *task
	StartedRun
}

// hadJustStarted reports whether the start of a run may have caused the crash of its worker.
func (r crashedRun) hadJustStarted() bool { return r.RunTime < trialTime }

// workerCrashed records the crash of a worker under the tasks of the runs that were at work there.
func (p *Planner) workerCrashed(now time.Time, h *host, e WorkerEnd) {
	c := workerCrash{host: h.name, at: now.Add(-e.SilentFor), recentJobs: map[string]bool{}, trial: h.trial}
	var runs []crashedRun
	for _, x := range e.Runs {
		t := p.findTask(x.Run.Task)
		if t == nil || x.Run.Number > t.lastRun {
			continue
		}
		r := crashedRun{t, x}
		runs = append(runs, r)
		if r.hadJustStarted() {
			c.recentJobs[t.job.spec.ID] = true
		}
	}
	p.config.Events.EmitFields(now, kqevent.WorkerCrashed, kqevent.Worker(string(e.Worker)), []kqevent.Field{kqevent.Millis("silent_ms", e.SilentFor), kqevent.Value("runs", len(runs)), kqevent.Value("recent_jobs", len(c.recentJobs))},
		"host %s: ended without leaving, silent for %s; %d runs were at work, of which %d jobs had started some in the last %s", h.name, e.SilentFor.Round(time.Millisecond), len(runs), len(c.recentJobs), trialTime)
	if h.trial != nil {
		h.trial.release(now)
	}
	p.crashes = slices.DeleteFunc(p.crashes, func(x workerCrash) bool { return now.Sub(x.at) > crashRetention })
	p.crashes = append(p.crashes, c)
	p.countCrashes(now, c, e, runs)
}

// countCrashes counts the crash of a worker under the tasks of the runs that were at work there, and
// requires trials for those that are suspected. An inferred crash counts under all of them, since it is
// unknown which had just started.
func (p *Planner) countCrashes(now time.Time, c workerCrash, e WorkerEnd, runs []crashedRun) {
	hasPrimeSuspects := !e.inferred && slices.ContainsFunc(runs, c.isPrimeSuspect)
	isolated := c.onlyRecentJob()
	sharedByJob := map[*job]bool{}
	isShared := func(j *job) bool {
		if _, ok := sharedByJob[j]; !ok {
			sharedByJob[j] = p.isShared(c, j)
		}
		return sharedByJob[j]
	}
	var suspects []crashedRun
	for _, r := range runs {
		t := r.task
		isKnown := slices.ContainsFunc(t.crashes, func(x kqflow.CrashRecord) bool { return x.Worker == e.Worker })
		isExplained := hasPrimeSuspects && !c.isPrimeSuspect(r)
		if t.done || t.job.state.Final() || isKnown || isExplained || r.RunTime >= clearTime {
			continue
		}
		x := kqflow.CrashRecord{Worker: e.Worker, Host: c.host, RunTime: r.RunTime}
		x.Suspected = !e.inferred && r.hadJustStarted() && !isShared(t.job)
		x.Isolated = x.Suspected && isolated == t.job.spec.ID
		p.countCrash(now, r, x)
		if x.Suspected && !t.job.state.Final() {
			suspects = append(suspects, r)
		}
	}
	p.requireTrials(now, suspects)
}

// isPrimeSuspect reports whether a run had just started whose task is suspected of several crashes, or was
// on trial on the host.
func (c workerCrash) isPrimeSuspect(r crashedRun) bool {
	return r.hadJustStarted() && (r.task.suspectedCrashes() > 1 || c.trial != nil && c.trial.includes(r.task))
}

// onlyRecentJob returns the only job that had just started runs on the worker, or "" if there were none
// or several.
func (c workerCrash) onlyRecentJob() string {
	if len(c.recentJobs) != 1 {
		return ""
	}
	for id := range c.recentJobs {
		return id
	}
	return ""
}

// countCrash adds a crash to those under a task, and fails its job if the task is given up. Only the
// latest maxCrashes are kept.
func (p *Planner) countCrash(now time.Time, r crashedRun, x kqflow.CrashRecord) {
	t := r.task
	t.crashes = append(t.crashes, x)
	if n := len(t.crashes); n > maxCrashes {
		t.crashes = slices.Clone(t.crashes[n-maxCrashes:])
	}
	p.markDirty(t.job)
	if !x.Suspected && !t.isPoison() {
		return
	}
	p.config.Events.EmitFields(now, kqevent.FlowSuspected, kqevent.Task(t.name), []kqevent.Field{kqevent.Run(r.Run.Number), kqevent.Value("crashes", len(t.crashes))},
		"worker %s crashed %s after run %d had started: crash %d under this task, suspected in %d, in isolation %t", x.Worker, x.RunTime.Round(time.Millisecond), r.Run.Number, len(t.crashes), t.suspectedCrashes(), x.Isolated)
	if t.isPoison() {
		p.failPoison(now, t)
	}
}

// suspectedCrashes returns the number of crashes that a task may have caused by its start.
func (t *task) suspectedCrashes() int {
	n := 0
	for _, x := range t.crashes {
		if x.Suspected {
			n++
		}
	}
	return n
}

// isPoison reports whether a task is given up for the crashes under it.
func (t *task) isPoison() bool {
	isolated, quick := 0, 0
	shortest, longest := clearTime, time.Duration(0)
	for _, x := range t.crashes {
		if x.Isolated {
			isolated++
		}
		if x.Isolated && x.RunTime <= quickCrashTime {
			quick++
		}
		shortest, longest = min(shortest, x.RunTime), max(longest, x.RunTime)
	}
	return isolated >= maxIsolatedCrashes || quick >= maxQuickCrashes || len(t.crashes) >= maxCrashes && longest-shortest <= runTimeSpread
}

// failPoison fails the job of a task that is given up.
func (p *Planner) failPoison(now time.Time, t *task) {
	workers := make([]string, len(t.crashes))
	for i, x := range t.crashes {
		workers[i] = string(x.Worker)
		if x.Isolated {
			workers[i] += " (in isolation)"
		}
	}
	p.config.Events.Emit(now, kqevent.FlowFailed, kqevent.Job(t.job.spec.ID), "%d workers have crashed under task %s: %s", len(workers), t.id, strings.Join(workers, ", "))
	p.recordOutcome(t.job, OutcomeFailed)
	p.finish(t.job, kqflow.StateFailed)
}

// isShared reports whether another worker failed at the same time, where no run of the job had just
// started and no trial explains it. Such crashes have a common cause, for example a rack that fails.
func (p *Planner) isShared(c workerCrash, j *job) bool {
	for _, x := range p.crashes {
		if x.host != c.host && x.trial == nil && !x.recentJobs[j.spec.ID] && isSimultaneous(x.at, c.at) {
			return true
		}
	}
	for _, h := range p.hosts.All() {
		if h.name != c.host && h.info.Unresponsive && h.trial == nil && isSimultaneous(h.silentSince, c.at) && !h.hasUnprovenRun(j) {
			return true
		}
	}
	return false
}

func isSimultaneous(a, b time.Time) bool { return a.Sub(b).Abs() <= simultaneousCrashes }

// hasUnprovenRun reports whether a run of a job on the host has not been at work for trialTime yet.
func (h *host) hasUnprovenRun(j *job) bool {
	for _, r := range h.runs.All() {
		if r.task.job == j && !r.isProven() {
			return true
		}
	}
	return false
}

// isProven reports whether a report shows that a run has been at work for trialTime.
func (r *run) isProven() bool {
	return r.ordered && r.reported && r.lastReportAt.Sub(r.startedAt) >= trialTime
}

// clearSuspect forgets the crashes under a task once a run of it has been at work for clearTime.
func (p *Planner) clearSuspect(now time.Time, r *run) {
	if t := r.task; len(t.crashes) > 0 && now.Sub(r.firstReportAt) >= clearTime {
		t.crashes = nil
		p.markDirty(t.job)
	}
}

// sortByRunTime sorts runs by how long they were at work, the shortest first.
func sortByRunTime(runs []crashedRun) {
	slices.SortFunc(runs, func(a, b crashedRun) int {
		return cmp.Or(cmp.Compare(a.RunTime, b.RunTime), strings.Compare(a.task.name, b.task.name))
	})
}
