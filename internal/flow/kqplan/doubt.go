package kqplan

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// claimLead is how long before its run is expected to be lost a long-running task claims a host. It is as
// long as a restart may wait while there is capacity: a finite run that starts earlier and is shorter than
// twice the lead ends in time. A longer lead would leave more capacity unused.
const claimLead = 3 * time.Second

// claimForDoubtful lets the long-running tasks that will probably lose their run claim hosts, in addition
// to those that have. A worker whose agent is away for a moment, or which does not answer for one, is
// back before claimLead. A new owner waits until the agents have connected.
func (p *Planner) claimForDoubtful(now time.Time, ps *pass) {
	if now.Sub(p.config.AcquiredAt) < zoneCheckDelay {
		return
	}
	for _, x := range p.doubtfulRuns(now) {
		if t := x.run.task; p.leavesUsableShare(now, t) {
			p.claimHost(now, t, ps)
		}
	}
}

// doubtfulRun is a run that will probably be lost, and when.
type doubtfulRun struct {
	run *run
	at  time.Time
}

// doubtfulRuns returns the long-running runs that will probably be lost within claimLead, those that
// will be lost first and large ones first.
func (p *Planner) doubtfulRuns(now time.Time) []doubtfulRun {
	var out []doubtfulRun
	for _, h := range p.hosts.All() {
		at, ok := h.lossExpectedAt(now)
		if !ok || at.Sub(now) > claimLead {
			continue
		}
		for _, r := range h.runs.All() {
			if s := r.task.step; s.LongRunning && !s.Gang && !s.Fills && !r.stopping && len(r.task.runs) == 1 && !r.task.job.state.Final() {
				out = append(out, doubtfulRun{r, at})
			}
		}
	}
	slices.SortFunc(out, func(a, b doubtfulRun) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(b.run.task.step.Resources.MilliProcessors, a.run.task.step.Resources.MilliProcessors), strings.Compare(a.run.task.name, b.run.task.name))
	})
	return out
}

// lossExpectedAt returns when the runs of a host are expected to be lost: when its draining worker leaves,
// or when the lease of a worker expires that does not get another. ok is false if the worker gets leases
// and does not drain.
func (h *host) lossExpectedAt(now time.Time) (at time.Time, ok bool) {
	getsLeases := h.connected && !h.info.Unresponsive && now.Sub(h.lastReportAt) < reportTimeout
	if h.info.Draining && (getsLeases || h.leavesAt.Before(h.leaseExpiresAt)) {
		return h.leavesAt, true
	}
	return h.leaseExpiresAt, !getsLeases
}

// updateLeavesAt updates leavesAt with the latest description of the worker.
func (h *host) updateLeavesAt(now time.Time, w WorkerInfo) {
	at := now.Add(w.Remaining)
	if isKnown := h.info.Draining && h.info.Worker == w.Worker; !isKnown || at.Before(h.leavesAt) {
		h.leavesAt = at
	}
}

// leavesUsableShare reports whether the usable workers of a service keep the share for finite jobs free
// if a long-running task is placed there besides those that run there or have claimed a host. So what is
// kept for tasks that may be lost does not stop finite jobs, however many workers are in doubt.
func (p *Planner) leavesUsableShare(now time.Time, t *task) bool {
	q := t.job.queue
	longRunning, capacity := t.step.Resources.MilliProcessors, int64(0)
	for _, h := range p.hosts.All() {
		if h.info.Service == q.Service && !p.inEvacuatedZone(h) && h.usable(now) {
			longRunning += h.usage.longRunning + h.longRunningClaims.MilliProcessors
			capacity += h.info.Capacity.MilliProcessors
		}
	}
	return float64(longRunning) <= (1-p.finiteJobShare(now, q, capacity))*float64(capacity)
}
