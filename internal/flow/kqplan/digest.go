package kqplan

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

// levelKey identifies the queues of one service and priority.
type levelKey struct {
	service  string
	priority int
}

// waitingKey identifies waiting tasks that are summed up together. taskSize is an upper bound on the
// processors that one of them requests, in thousandths; minSlack is a lower bound on the time left
// until the deadlines of their jobs, and negative if those are late.
type waitingKey struct {
	levelKey
	taskSize int64
	minSlack time.Duration
}

// waitingSummary sums up the work of the tasks that are not done and have no run.
type waitingSummary struct {
	// capacity is the total capacity of the workers of each service.
	capacity map[string]kqmodel.Resources
	waiting  map[waitingKey]kqadmission.WaitingWork
}

// acceptsWork reports whether a host's worker accepts new work, now or as soon as its agent reports
// again. It does not once its agent is disconnected and its lease has ended.
func (h *host) acceptsWork(now time.Time) bool {
	return h.info.Worker != "" && !h.info.Draining && (h.connected || now.Before(h.leaseExpiresAt))
}

// newWaitingSummary sums up the waiting work. It is empty if the latest pass found capacity for all
// finite tasks that do not fill.
func (p *Planner) newWaitingSummary(now time.Time) *waitingSummary {
	s := &waitingSummary{capacity: map[string]kqmodel.Resources{}, waiting: map[waitingKey]kqadmission.WaitingWork{}}
	if !p.finiteTasksWait {
		return s
	}
	for _, h := range p.hosts.All() {
		if h.acceptsWork(now) {
			s.capacity[h.info.Service] = s.capacity[h.info.Service].Add(h.info.Capacity)
		}
	}
	for _, j := range p.jobs.All() {
		if !j.state.Final() && !j.fillingOnly && j.spec.HasObjective() && !j.queue.Approval.Required {
			s.addJob(now, j)
		}
	}
	return s
}

// addJob adds the waiting tasks of a job that are placed before those of a new job wherever the new
// ones would fit. Steps that are not ready yet count too: jobs that have started come before new
// ones, and the time that the tasks of a job wait for each other is part of its critical path.
func (s *waitingSummary) addJob(now time.Time, j *job) {
	phase := j.phase(now)
	if phase == phaseNoValue {
		return
	}
	k := waitingKey{levelKey: levelKey{j.queue.Service, j.queue.Priority}, minSlack: -1}
	if phase == phaseInTime {
		k.minSlack = kqadmission.SlackBound(j.deadline.Sub(now))
	}
	criticalPath := time.Duration(0)
	for _, t := range j.tasks {
		if t.done || len(t.runs) > 0 || !s.blocksNewJobs(t) {
			continue
		}
		if criticalPath == 0 {
			criticalPath = j.work().criticalPath
		}
		k.taskSize = kqadmission.TaskSizeBound(t.step.Resources.MilliProcessors)
		w := s.waiting[k]
		w.Work += float64(t.step.Resources.MilliProcessors) / milliPerProcessor * t.step.Estimate.Seconds()
		w.MaxRemainingPath = max(w.MaxRemainingPath, criticalPath)
		s.waiting[k] = w
	}
}

// blocksNewJobs reports whether a waiting task uses any processors that become free. A task that is
// limited by another resource or constraint may leave them to a job after it.
func (s *waitingSummary) blocksNewJobs(t *task) bool {
	step := t.step
	if step.Fills || step.LongRunning || step.Gang || step.Label != "" || step.MaxPerWorker > 0 || step.Resources.Accelerators > 0 {
		return false
	}
	c := s.capacity[t.job.queue.Service]
	return float64(step.Resources.MemoryBytes)*float64(c.MilliProcessors) <= float64(step.Resources.MilliProcessors)*float64(c.MemoryBytes)
}

// buildDigest builds a digest after a scheduling pass, if one is due. While nothing waits, the
// latest digest stays valid.
func (p *Planner) buildDigest(now time.Time) {
	a := &p.admission
	switch {
	case !a.digestsEnabled, now.Sub(a.builtAt) < kqadmission.MinDigestInterval, !p.finiteTasksWait && a.digest != nil && !a.digest.Saturated:
		return
	}
	s := p.newWaitingSummary(now)
	d := &kqadmission.Digest{Saturated: p.finiteTasksWait, RejectionsHeld: p.onHold || now.Before(a.rejectionsHeldUntil) || a.ledger.UnresolvedFull(), Queues: make(map[string]kqadmission.PerQueue, len(p.queues)), Returning: a.ledger.Returning(now)}
	index := map[levelKey]int{}
	for _, k := range p.levelKeys() {
		index[k] = len(d.Levels)
		d.Levels = append(d.Levels, p.priorityLevel(now, k, s))
	}
	for name, q := range p.queues {
		d.Queues[name] = p.queueDigest(q, d, index[levelKey{q.Service, q.Priority}])
	}
	p.markOverShare(now, d)
	a.digest, a.builtAt = d, now
}

// levelKeys returns each service and priority that some queue has, in order.
func (p *Planner) levelKeys() []levelKey {
	var out []levelKey
	for _, q := range p.queues {
		if k := (levelKey{q.Service, q.Priority}); !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b levelKey) int {
		return cmp.Or(strings.Compare(a.service, b.service), cmp.Compare(a.priority, b.priority))
	})
	return out
}

// priorityLevel returns the part of a digest about the queues of one service and priority.
func (p *Planner) priorityLevel(now time.Time, k levelKey, s *waitingSummary) kqadmission.Level {
	l := kqadmission.Level{Service: k.service, Priority: k.priority, Waiting: s.aheadOf(k)}
	releases := map[time.Duration]int64{}
	for _, h := range p.hosts.All() {
		if h.info.Service != k.service || !h.acceptsWork(now) {
			continue
		}
		l.MilliProcessors += max(0, h.info.Capacity.MilliProcessors-h.usage.longRunning)
		workerFree := h.maxFree(k.priority)
		l.FreeMilliProcessors += max(0, workerFree.MilliProcessors)
		if k.priority > 0 {
			workerFree.MilliProcessors -= h.info.Capacity.MilliProcessors * topPriorityReserve / fullPercent
		}
		l.MaxWorkerFree = kqmodel.Resources{MilliProcessors: max(l.MaxWorkerFree.MilliProcessors, workerFree.MilliProcessors),
			MemoryBytes: max(l.MaxWorkerFree.MemoryBytes, workerFree.MemoryBytes), Accelerators: max(l.MaxWorkerFree.Accelerators, workerFree.Accelerators)}
		if p.finiteTasksWait {
			h.addReleases(now, k.priority, releases)
		}
	}
	for after, n := range releases {
		l.Releases = append(l.Releases, kqadmission.Release{After: after, MilliProcessors: n})
	}
	slices.SortFunc(l.Releases, func(a, b kqadmission.Release) int { return cmp.Compare(a.After, b.After) })
	return l
}

// addReleases adds the processors of the runs that a queue of a priority cannot preempt, by the
// expected time until they end.
func (h *host) addReleases(now time.Time, priority int, releases map[time.Duration]int64) {
	for _, r := range h.runs.All() {
		s := r.task.step
		if s.Fills || s.LongRunning || r.stopping || r.countedPriority > priority {
			continue
		}
		remaining := min(r.task.remainingTime(), s.Estimate-now.Sub(r.startedAt))
		releases[kqadmission.ReleaseBound(remaining)] += s.Resources.MilliProcessors
	}
}

// aheadOf returns the waiting work that may be placed before a new job of a level.
func (s *waitingSummary) aheadOf(k levelKey) []kqadmission.WaitingWork {
	sums := map[waitingKey]kqadmission.WaitingWork{}
	for w, x := range s.waiting {
		samePriority := w.priority == k.priority
		if w.service != k.service || w.priority > k.priority || samePriority && w.minSlack < 0 {
			continue
		}
		to := waitingKey{levelKey: k, taskSize: w.taskSize, minSlack: -1}
		if samePriority {
			to.minSlack = w.minSlack
		}
		sum := sums[to]
		sums[to] = kqadmission.WaitingWork{TaskMilliProcessors: w.taskSize, SamePriority: samePriority, MinSlack: max(0, to.minSlack), Work: sum.Work + x.Work, MaxRemainingPath: max(sum.MaxRemainingPath, x.MaxRemainingPath)}
	}
	out := make([]kqadmission.WaitingWork, 0, len(sums))
	for _, w := range sums {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b kqadmission.WaitingWork) int {
		return cmp.Or(cmp.Compare(a.TaskMilliProcessors, b.TaskMilliProcessors), cmp.Compare(a.MinSlack, b.MinSlack), cmp.Compare(a.Work, b.Work))
	})
	return out
}

// queueDigest returns the part of a digest about one queue; level is the index of its level in the
// digest.
func (p *Planner) queueDigest(q kqflow.Queue, d *kqadmission.Digest, level int) kqadmission.PerQueue {
	out := kqadmission.PerQueue{Level: level}
	if stats := p.queueStats[q.Name]; stats != nil {
		out.Bounds, out.HasBounds = stats.classifier.Bounds()
		out.ExpectedWait = d.Levels[level].ExpectedWait(stats.usualTaskSize)
		out.ExpectedWaitLargest = max(out.ExpectedWait, d.Levels[level].ExpectedWait(stats.largeTaskSize))
	}
	return out
}

// markOverShare adds to a digest the segments of queues that request more than their fair share of
// a service.
func (p *Planner) markOverShare(now time.Time, d *kqadmission.Digest) {
	priorities, processors := map[string]map[string]int{}, map[string]int64{}
	for name, q := range p.queues {
		if priorities[q.Service] == nil {
			priorities[q.Service] = map[string]int{}
		}
		priorities[q.Service][name] = q.Priority
	}
	for _, l := range d.Levels {
		processors[l.Service] = l.MilliProcessors
	}
	for service, names := range priorities {
		for _, f := range p.admission.demand.OverShare(now, names, float64(processors[service])/milliPerProcessor) {
			perQueue := d.Queues[f.Queue]
			perQueue.OverShare = append(perQueue.OverShare, f.Segment)
			d.Queues[f.Queue] = perQueue
		}
	}
}

// taskSizeWeight is the weight of a new job in the moving averages of task sizes of its queue.
const taskSizeWeight = 0.1

// recordTaskSize adds the smallest first task of a job, in thousandths of a processor, to the
// moving average for the job's size band.
func (s *queueStats) recordTaskSize(b kqsize.Band, processors int64) {
	mean := &s.usualTaskSize
	if b == kqsize.BandLargest {
		mean = &s.largeTaskSize
	}
	if *mean == 0 {
		*mean = processors
		return
	}
	*mean += int64(taskSizeWeight * float64(processors-*mean))
}
