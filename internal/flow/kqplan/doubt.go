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
// to those that have. What they claim is unused until then, so finite jobs keep their whole share. A worker whose agent is away for a moment, or which does not answer for one, is
// back before claimLead. A new owner waits until the agents have connected.
func (p *Planner) claimForDoubtful(now time.Time, ps *pass) {
	if now.Sub(p.config.AcquiredAt) < zoneCheckDelay {
		return
	}
	for _, x := range p.doubtfulRuns(now) {
		p.claimHost(now, x.run.task, ps, demandMargin)
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
