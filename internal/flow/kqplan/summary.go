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
type waitKey struct {
	levelKey
	size   int64
	inTime time.Duration
}

// summary gathers the work that jobs have left and that no worker runs.
type summary struct {
	// capacity is what the workers of each service have.
	capacity map[string]kqmodel.Resources
	waiting  map[waitKey]kqadmission.Waiting
}

// serves reports whether a worker takes new work, now or as soon as its agent is heard again. One whose lease has ended
// counts no more.
func (h *host) serves(now time.Time) bool {
	return h.info.Worker != "" && !h.info.Draining && (h.linked || now.Before(h.grantedTill))
}

// newSummary returns what waits. While the latest pass found room for all that reserves what it takes, nothing does.
func (p *Planner) newSummary(now time.Time) *summary {
	s := &summary{capacity: map[string]kqmodel.Resources{}, waiting: map[waitKey]kqadmission.Waiting{}}
	if !p.short {
		return s
	}
	for _, h := range p.hosts.All() {
		if h.serves(now) {
			s.capacity[h.info.Service] = s.capacity[h.info.Service].Add(h.info.Capacity)
		}
	}
	for _, j := range p.jobs.All() {
		if !j.state.Final() && !j.fills && j.spec.HasObjective() && !j.queue.Approval.Needed {
			s.add(now, j)
		}
	}
	return s
}

// add counts the tasks of a job that come before others wherever those would fit. Later steps count too: jobs that have begun
// go before new ones, and what the tasks of one job wait for each other is within its chain.
func (s *summary) add(now time.Time, j *job) {
	phase := j.phase(now)
	if phase == phaseWorthless {
		return
	}
	k := waitKey{levelKey: levelKey{j.queue.Service, j.queue.Priority}, inTime: -1}
	if phase == phaseInTime {
		k.inTime = kqadmission.TimeBound(j.deadline.Sub(now))
	}
	chain := time.Duration(0)
	for _, t := range j.tasks {
		if t.done || len(t.runs) > 0 || !s.blocks(t) {
			continue
		}
		if chain == 0 {
			chain = j.load().chain
		}
		k.size = kqadmission.SizeBound(t.step.Size.MilliProcessors)
		w := s.waiting[k]
		w.Work += float64(t.step.Size.MilliProcessors) / milli * t.step.Estimate.Seconds()
		w.Longest = max(w.Longest, chain)
		s.waiting[k] = w
	}
}

// blocks reports whether a task that waits takes any processors that come free: one that needs something else may leave them
// to a job behind it.
func (s *summary) blocks(t *task) bool {
	x := t.step
	if x.Fills || x.Standing || x.Gang || x.Label != "" || x.PerWorker > 0 || x.Size.Accelerators > 0 {
		return false
	}
	c := s.capacity[t.job.queue.Service]
	return float64(x.Size.MemoryBytes)*float64(c.MilliProcessors) <= float64(x.Size.MilliProcessors)*float64(c.MemoryBytes)
}

// summarise makes the digest after a pass, if one is due. While nothing waits, the latest one stands.
func (p *Planner) summarise(now time.Time) {
	a := &p.admission
	switch {
	case !a.on, now.Sub(a.builtAt) < kqadmission.DigestInterval, !p.short && a.digest != nil && !a.digest.Crowded:
		return
	}
	s := p.newSummary(now)
	d := &kqadmission.Digest{Crowded: p.short, Held: p.hold || now.Before(a.heldTill) || a.ledger.Full(), Queues: make(map[string]kqadmission.Class, len(p.queues)), Returning: a.ledger.Returning(now)}
	index := map[levelKey]int{}
	for _, k := range p.levels() {
		index[k] = len(d.Levels)
		d.Levels = append(d.Levels, p.level(now, k, s))
	}
	for name, q := range p.queues {
		d.Queues[name] = p.class(q, d, index[levelKey{q.Service, q.Priority}])
	}
	p.markOver(now, d)
	a.digest, a.builtAt = d, now
}

// levels lists the priorities of each service.
func (p *Planner) levels() []levelKey {
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
func (p *Planner) level(now time.Time, k levelKey, s *summary) kqadmission.Level {
	l := kqadmission.Level{Service: k.service, Priority: k.priority, Waiting: s.before(k)}
	ends := map[time.Duration]int64{}
	for _, h := range p.hosts.All() {
		if h.info.Service != k.service || !h.serves(now) {
			continue
		}
		l.Processors += max(0, h.info.Capacity.MilliProcessors-h.tally.standing)
		most := h.mostRoom(k.priority)
		l.Free += max(0, most.MilliProcessors)
		if k.priority > 0 {
			most.MilliProcessors -= h.info.Capacity.MilliProcessors * headroom / fullPercent
		}
		l.Room = kqmodel.Resources{MilliProcessors: max(l.Room.MilliProcessors, most.MilliProcessors),
			MemoryBytes: max(l.Room.MemoryBytes, most.MemoryBytes), Accelerators: max(l.Room.Accelerators, most.Accelerators)}
		if p.short {
			h.countEnds(now, k.priority, ends)
		}
	}
	for after, n := range ends {
		l.Ends = append(l.Ends, kqadmission.End{After: after, Processors: n})
	}
	slices.SortFunc(l.Ends, func(a, b kqadmission.End) int { return cmp.Compare(a.After, b.After) })
	return l
}

// countEnds counts the processors of runs that a queue of a priority cannot take the room of, by when they end.
func (h *host) countEnds(now time.Time, priority int, ends map[time.Duration]int64) {
	for _, r := range h.runs.All() {
		s := r.task.step
		if s.Fills || s.Standing || r.stopping || r.counted > priority {
			continue
		}
		left := min(r.task.rest(), s.Estimate-now.Sub(r.startedAt))
		ends[kqadmission.EndBound(left)] += s.Size.MilliProcessors
	}
}

// before lists the work that may come before a new job of a level.
func (s *summary) before(k levelKey) []kqadmission.Waiting {
	sums := map[waitKey]kqadmission.Waiting{}
	for w, x := range s.waiting {
		peer := w.priority == k.priority
		if w.service != k.service || w.priority > k.priority || peer && w.inTime < 0 {
			continue
		}
		to := waitKey{levelKey: k, size: w.size, inTime: -1}
		if peer {
			to.inTime = w.inTime
		}
		sum := sums[to]
		sums[to] = kqadmission.Waiting{Size: w.size, Peer: peer, InTime: max(0, to.inTime), Work: sum.Work + x.Work, Longest: max(sum.Longest, x.Longest)}
	}
	out := make([]kqadmission.Waiting, 0, len(sums))
	for _, w := range sums {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b kqadmission.Waiting) int {
		return cmp.Or(cmp.Compare(a.Size, b.Size), cmp.Compare(a.InTime, b.InTime), cmp.Compare(a.Work, b.Work))
	})
	return out
}

// class sums up what concerns one queue.
func (p *Planner) class(q kqflow.Queue, d *kqadmission.Digest, level int) kqadmission.Class {
	c := kqadmission.Class{Level: level}
	if l := p.loads[q.Name]; l != nil {
		c.Bounds, c.Sized = l.scale.Bounds()
		c.Usual = d.Levels[level].ExpectedWait(l.usual)
		c.Large = max(c.Usual, d.Levels[level].ExpectedWait(l.large))
	}
	return c
}

// markOver notes which parts of which queues ask for more than their share of a service.
func (p *Planner) markOver(now time.Time, d *kqadmission.Digest) {
	priorities, processors := map[string]map[string]int{}, map[string]int64{}
	for name, q := range p.queues {
		if priorities[q.Service] == nil {
			priorities[q.Service] = map[string]int{}
		}
		priorities[q.Service][name] = q.Priority
	}
	for _, l := range d.Levels {
		processors[l.Service] = l.Processors
	}
	for service, names := range priorities {
		for _, f := range p.admission.shares.Over(now, names, float64(processors[service])/milli) {
			c := d.Queues[f.Queue]
			c.Over = append(c.Over, f.Part)
			d.Queues[f.Queue] = c
		}
	}
}

// sizeShare is the weight of a new job in the mean size of the tasks of its queue.
const sizeShare = 0.1

// sized takes over the smallest first task of a job of some size.
func (l *queueLoad) sized(b kqsize.Band, processors int64) {
	to := &l.usual
	if b == kqsize.BandLargest {
		to = &l.large
	}
	if *to == 0 {
		*to = processors
		return
	}
	*to += int64(sizeShare * float64(processors-*to))
}
