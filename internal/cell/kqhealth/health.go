// Package kqhealth decides which workers fail what they start and lets them
// back by single probes. It does no I/O.
package kqhealth

import "time"

const (
	quarantineFailures = 4
	firstQuarantine    = 10 * time.Second
	longestQuarantine  = 10 * time.Minute
	// blamedJobs is how many different jobs must fail before the worker is
	// blamed rather than the job.
	blamedJobs = 2
	// spreadWorkers is on how many workers a job must fail before the job is
	// blamed rather than the workers.
	spreadWorkers = 3
)

// Worker is the health of one worker; its zero value is healthy.
type Worker struct {
	failures int
	jobs     map[string]bool
	times    int
	until    time.Time
	out      bool
	probing  bool
}

// Failed counts an attempt that failed soon and reports whether the worker is
// quarantined by it. jobBlamed is true if the job fails on other workers too.
func (w *Worker) RecordFailure(now time.Time, job string, jobBlamed bool) bool {
	if w.out {
		if w.probing {
			w.probing = false
			w.lengthen(now)
		}
		return false
	}
	if jobBlamed {
		return false
	}
	if w.jobs == nil {
		w.jobs = map[string]bool{}
	}
	w.failures++
	w.jobs[job] = true
	if w.failures < quarantineFailures || len(w.jobs) < blamedJobs {
		return false
	}
	w.out = true
	w.lengthen(now)
	return true
}

func (w *Worker) lengthen(now time.Time) {
	w.until = now.Add(min(firstQuarantine<<min(w.times, 10), longestQuarantine))
	w.times++
}

// Succeeded counts an attempt that ended well and reports whether the worker
// is let back by it.
func (w *Worker) RecordSuccess() bool {
	was := w.out
	*w = Worker{times: max(0, w.times-1)}
	return was
}

// Open reports whether the worker takes new tasks; a quarantined one takes a
// single probe when its time is up.
func (w *Worker) AcceptsTasks(now time.Time) bool {
	return !w.out || (!w.probing && !now.Before(w.until))
}

// Placed counts a task given to the worker.
func (w *Worker) RecordPlacement() {
	if w.out {
		w.probing = true
	}
}

// Quarantined reports whether the worker takes only probes.
func (w *Worker) Quarantined() bool { return w.out }

// Job is where the attempts of one job failed.
type JobFailures struct {
	workers map[string]bool
}

// Failed counts a failure on a worker.
func (j *JobFailures) RecordFailure(worker string) {
	if j.workers == nil {
		j.workers = map[string]bool{}
	}
	j.workers[worker] = true
}

// Blamed reports whether the job fails wherever it runs.
func (j *JobFailures) FailsEverywhere() bool { return len(j.workers) >= spreadWorkers }
