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

// levelKey names the queues of one service and priority.
type levelKey struct {
	service  string
	priority int
}

// waitKey names tasks that wait and are counted together; inTime is below 0 for late ones.
type waitingKey struct {
	levelKey
	size   int64
	inTime time.Duration
}

// summary gathers the work that jobs have left and that no worker runs.
type waitingSummary struct {
	// capacity is what the workers of each service have.
	capacity map[string]kqmodel.Resources
	waiting  map[waitingKey]kqadmission.WaitingWork
}

// serves reports whether a worker takes new work, now or as soon as its agent is heard again. One whose lease has ended
// counts no more.
func (h *host) isAvailable(now time.Time) bool {
	return h.info.Worker != "" && !h.info.Draining && (h.connected || now.Before(h.leaseExpiresAt))
}

// newSummary returns what waits. While the latest pass found room for all that reserves what it takes, nothing does.
func (p *Planner) newWaitingSummary(now time.Time) *waitingSummary {
	s := &waitingSummary{capacity: map[string]kqmodel.Resources{}, waiting: map[waitingKey]kqadmission.WaitingWork{}}
	if !p.finiteTasksWait {
		return s
	}
	for _, h := range p.hosts.All() {
		if h.isAvailable(now) {
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

// add counts the tasks of a job that come before others wherever those would fit. Later steps count too: jobs that have begun
// go before new ones, and what the tasks of one job wait for each other is within its chain.
func (s *waitingSummary) addJob(now time.Time, j *job) {
	phase := j.phase(now)
	if phase == phaseNoValue {
		return
	}
	k := waitingKey{levelKey: levelKey{j.queue.Service, j.queue.Priority}, inTime: -1}
	if phase == phaseInTime {
		k.inTime = kqadmission.SlackBound(j.deadline.Sub(now))
	}
	chain := time.Duration(0)
	for _, t := range j.tasks {
		if t.done || len(t.runs) > 0 || !s.blocksNewJobs(t) {
			continue
		}
		if chain == 0 {
			chain = j.work().criticalPath
		}
		k.size = kqadmission.TaskSizeBound(t.step.Resources.MilliProcessors)
		w := s.waiting[k]
		w.Work += float64(t.step.Resources.MilliProcessors) / milliPerProcessor * t.step.Estimate.Seconds()
		w.MaxRemainingPath = max(w.MaxRemainingPath, chain)
		s.waiting[k] = w
	}
}

// blocks reports whether a task that waits takes any processors that come free: one that needs something else may leave them
// to a job behind it.
func (s *waitingSummary) blocksNewJobs(t *task) bool {
	x := t.step
	if x.Fills || x.LongRunning || x.Gang || x.Label != "" || x.MaxPerWorker > 0 || x.Resources.Accelerators > 0 {
		return false
	}
	c := s.capacity[t.job.queue.Service]
	return float64(x.Resources.MemoryBytes)*float64(c.MilliProcessors) <= float64(x.Resources.MilliProcessors)*float64(c.MemoryBytes)
}

// summarise makes the digest after a pass, if one is due. While nothing waits, the latest one stands.
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

// levels lists the priorities of each service.
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

// level sums up what the queues of one service and priority share.
func (p *Planner) priorityLevel(now time.Time, k levelKey, s *waitingSummary) kqadmission.Level {
	l := kqadmission.Level{Service: k.service, Priority: k.priority, Waiting: s.aheadOf(k)}
	ends := map[time.Duration]int64{}
	for _, h := range p.hosts.All() {
		if h.info.Service != k.service || !h.isAvailable(now) {
			continue
		}
		l.MilliProcessors += max(0, h.info.Capacity.MilliProcessors-h.usage.longRunning)
		most := h.maxFree(k.priority)
		l.FreeMilliProcessors += max(0, most.MilliProcessors)
		if k.priority > 0 {
			most.MilliProcessors -= h.info.Capacity.MilliProcessors * topPriorityReserve / fullPercent
		}
		l.MaxWorkerFree = kqmodel.Resources{MilliProcessors: max(l.MaxWorkerFree.MilliProcessors, most.MilliProcessors),
			MemoryBytes: max(l.MaxWorkerFree.MemoryBytes, most.MemoryBytes), Accelerators: max(l.MaxWorkerFree.Accelerators, most.Accelerators)}
		if p.finiteTasksWait {
			h.addReleases(now, k.priority, ends)
		}
	}
	for after, n := range ends {
		l.Releases = append(l.Releases, kqadmission.Release{After: after, MilliProcessors: n})
	}
	slices.SortFunc(l.Releases, func(a, b kqadmission.Release) int { return cmp.Compare(a.After, b.After) })
	return l
}

// countEnds counts the processors of runs that a queue of a priority cannot take the room of, by when they end.
func (h *host) addReleases(now time.Time, priority int, ends map[time.Duration]int64) {
	for _, r := range h.runs.All() {
		s := r.task.step
		if s.Fills || s.LongRunning || r.stopping || r.countedPriority > priority {
			continue
		}
		left := min(r.task.remainingTime(), s.Estimate-now.Sub(r.startedAt))
		ends[kqadmission.ReleaseBound(left)] += s.Resources.MilliProcessors
	}
}

// before lists the work that may come before a new job of a level.
func (s *waitingSummary) aheadOf(k levelKey) []kqadmission.WaitingWork {
	sums := map[waitingKey]kqadmission.WaitingWork{}
	for w, x := range s.waiting {
		peer := w.priority == k.priority
		if w.service != k.service || w.priority > k.priority || peer && w.inTime < 0 {
			continue
		}
		to := waitingKey{levelKey: k, size: w.size, inTime: -1}
		if peer {
			to.inTime = w.inTime
		}
		sum := sums[to]
		sums[to] = kqadmission.WaitingWork{TaskMilliProcessors: w.size, SamePriority: peer, MinSlack: max(0, to.inTime), Work: sum.Work + x.Work, MaxRemainingPath: max(sum.MaxRemainingPath, x.MaxRemainingPath)}
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

// class sums up what concerns one queue.
func (p *Planner) queueDigest(q kqflow.Queue, d *kqadmission.Digest, level int) kqadmission.PerQueue {
	c := kqadmission.PerQueue{Level: level}
	if l := p.queueStats[q.Name]; l != nil {
		c.Bounds, c.HasBounds = l.scale.Bounds()
		c.ExpectedWait = d.Levels[level].ExpectedWait(l.usualTaskSize)
		c.ExpectedWaitLargest = max(c.ExpectedWait, d.Levels[level].ExpectedWait(l.largeTaskSize))
	}
	return c
}

// markOver notes which parts of which queues ask for more than their share of a service.
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
			c := d.Queues[f.Queue]
			c.OverShare = append(c.OverShare, f.Segment)
			d.Queues[f.Queue] = c
		}
	}
}

// sizeShare is the weight of a new job in the mean size of the tasks of its queue.
const taskSizeWeight = 0.1

// sized takes over the smallest first task of a job of some size.
func (l *queueStats) recordTaskSize(b kqsize.Band, processors int64) {
	to := &l.usualTaskSize
	if b == kqsize.BandLargest {
		to = &l.largeTaskSize
	}
	if *to == 0 {
		*to = processors
		return
	}
	*to += int64(taskSizeWeight * float64(processors-*to))
}
