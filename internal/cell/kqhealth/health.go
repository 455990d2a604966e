// Package kqhealth detects workers on which tasks fail, quarantines them, and restores them by
// single probe tasks. It does no I/O.
package kqhealth

import "time"

const (
	// minFailures is how many attempts must fail on a worker, without a success between
	// them, before it is quarantined.
	minFailures = 4
	// firstQuarantine is the time before the first probe. It doubles with each failed probe
	// and with each quarantine, up to maxQuarantine.
	firstQuarantine = 10 * time.Second
	maxQuarantine   = 10 * time.Minute
	// minFailedJobs is how many different jobs must fail on a worker before the failures
	// are attributed to the worker rather than to a job.
	minFailedJobs = 2
	// minFailedWorkers is on how many workers a job must fail before the failures are
	// attributed to the job rather than to the workers.
	minFailedWorkers = 3
)

// Worker is the health of one worker. The zero value is healthy.
type Worker struct {
	failures    int
	failedJobs  map[string]bool
	quarantines int
	probeAt     time.Time
	quarantined bool
	probing     bool
}

// RecordFailure counts a failed attempt and reports whether it quarantines the worker. With
// jobFailsEverywhere the failure is attributed to the job and not counted. A failed probe
// extends the quarantine.
func (w *Worker) RecordFailure(now time.Time, job string, jobFailsEverywhere bool) bool {
	if w.quarantined {
		if w.probing {
			w.probing = false
			w.extendQuarantine(now)
		}
		return false
	}
	if jobFailsEverywhere {
		return false
	}
	if w.failedJobs == nil {
		w.failedJobs = map[string]bool{}
	}
	w.failures++
	w.failedJobs[job] = true
	if w.failures < minFailures || len(w.failedJobs) < minFailedJobs {
		return false
	}
	w.quarantined = true
	w.extendQuarantine(now)
	return true
}

// extendQuarantine sets the time of the next probe.
func (w *Worker) extendQuarantine(now time.Time) {
	w.probeAt = now.Add(min(firstQuarantine<<min(w.quarantines, 10), maxQuarantine))
	w.quarantines++
}

// RecordSuccess counts an attempt that succeeded and reports whether it ends a quarantine. It
// clears the failures and lowers the number of quarantines by one.
func (w *Worker) RecordSuccess() bool {
	wasQuarantined := w.quarantined
	*w = Worker{quarantines: max(0, w.quarantines-1)}
	return wasQuarantined
}

// AcceptsTasks reports whether the worker accepts new tasks. A quarantined worker accepts a
// single probe once its quarantine time has passed.
func (w *Worker) AcceptsTasks(now time.Time) bool {
	return !w.quarantined || (!w.probing && !now.Before(w.probeAt))
}

// RecordPlacement records that a task was placed on the worker; on a quarantined worker it is a
// probe.
func (w *Worker) RecordPlacement() {
	if w.quarantined {
		w.probing = true
	}
}

// Quarantined reports whether the worker accepts only probes.
func (w *Worker) Quarantined() bool { return w.quarantined }

// JobFailures holds the workers on which attempts of one job failed.
type JobFailures struct {
	workers map[string]bool
}

// RecordFailure records a failed attempt on a worker.
func (j *JobFailures) RecordFailure(worker string) {
	if j.workers == nil {
		j.workers = map[string]bool{}
	}
	j.workers[worker] = true
}

// FailsEverywhere reports whether the job failed on so many workers that the failures are
// attributed to the job.
func (j *JobFailures) FailsEverywhere() bool { return len(j.workers) >= minFailedWorkers }
