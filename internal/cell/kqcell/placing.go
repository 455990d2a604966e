package kqcell

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqplace"
	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqquota"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// room is what is known while tasks are placed.
type room struct {
	workers []kqplace.Worker
	index   map[string]int
	teams   map[string]kqmodel.Resources
	racks   map[string]map[string]int
	evicted map[kqmodel.TaskID]bool
	full    map[shape]string
	// saving is true once a worker is kept for a task that has waited for long.
	saving bool
}

// shape is what makes two tasks alike to the placement.
type shape struct {
	resources kqmodel.Resources
	family    string
	watcher   bool
	urgent    bool
}

// place gives workers to the queued tasks.
func (p *planner) place() {
	r := p.room()
	for _, id := range p.order {
		t := p.task(id)
		if t.State == stateQueued {
			p.placeOne(r, t)
		}
	}
	p.checkCapacity(r)
}

func (p *planner) room() *room {
	r := &room{index: map[string]int{}, teams: map[string]kqmodel.Resources{}, racks: map[string]map[string]int{},
		evicted: map[kqmodel.TaskID]bool{}, full: map[shape]string{}}
	for _, w := range p.cell.workers {
		if !w.registered {
			continue
		}
		r.workers = append(r.workers, kqplace.Worker{ID: w.id, Zone: w.info.Zone, Rack: w.info.Zone + "/" + w.info.Rack,
			Capacity: w.info.Capacity, MissesTarget: w.pressed, ServiceClasses: w.services,
			AcceptsTasks: !w.draining && w.health.AcceptsTasks(p.now) && p.now.Sub(w.heardAt) < memberSilence && p.settled(w)})
	}
	slices.SortFunc(r.workers, func(a, b kqplace.Worker) int { return cmp.Compare(a.ID, b.ID) })
	for i := range r.workers {
		r.index[r.workers[i].ID] = i
	}
	for _, id := range p.order {
		p.hold(r, p.task(id))
	}
	return r
}

// settled reports whether the worker may get new tasks: nothing that it holds
// is unknown to the owner.
func (p *planner) settled(w *worker) bool {
	for id, rep := range w.reports {
		t := p.cell.tasks[id.Task]
		stray := t == nil || t.Attempt != id.Attempt || t.Worker != w.id
		if stray && !rep.Phase.Ended() {
			return false
		}
	}
	return true
}

// hold counts what a task holds on its worker.
func (p *planner) hold(r *room, t kqmodel.Task) {
	if t.Worker == "" {
		return
	}
	j := p.cell.jobs[t.ID.Job]
	r.teams[j.Spec.Team] = r.teams[j.Spec.Team].Add(t.Reserved)
	i, ok := r.index[t.Worker]
	if !ok {
		return
	}
	w := &r.workers[i]
	w.Reserved = w.Reserved.Add(t.Reserved)
	if !j.Watcher {
		w.ServiceSlowdown += p.slowdown(w, j)
	}
	if r.racks[t.ID.Job] == nil {
		r.racks[t.ID.Job] = map[string]int{}
	}
	r.racks[t.ID.Job][w.Rack]++
}

// slowdown estimates what one task of a job adds to the services of a worker.
func (p *planner) slowdown(w *kqplace.Worker, j *job) float64 {
	sum := 0.0
	for _, c := range w.ServiceClasses {
		sum += p.interference(j)(c)
	}
	return sum
}

func (p *planner) interference(j *job) func(string) float64 {
	return func(class string) float64 {
		if !p.cell.config.Interference {
			return 0
		}
		per := p.cell.pairs.SlowdownPerProcessor(class, j.Spec.FamilyName())
		return per * float64(j.Spec.Resources.MilliProcessors) / 1000
	}
}

func (p *planner) placeOne(r *room, t kqmodel.Task) {
	j := p.cell.jobs[t.ID.Job]
	urgent := j.Spec.Urgency == kqmodel.UrgencyUrgent
	need := p.cell.sizes.Reservation(j.Spec.FamilyName(), j.Spec.Resources, p.largest(r))
	if !p.allowed(r, j, need) {
		p.wait(t, "the quota of team "+j.Spec.Team+" is used up")
		return
	}
	s := shape{need, j.Spec.FamilyName(), j.Watcher, urgent}
	if why, ok := r.full[s]; ok && !j.Watcher && len(t.FailedOn) == 0 {
		p.wait(t, why)
		return
	}
	c, ok, why := kqplace.Choose(r.workers, kqplace.Request{Resources: need, Watcher: j.Watcher, Urgent: urgent,
		TasksPerRack: r.racks[t.ID.Job], AvoidWorkers: p.avoid(r, t), Interference: p.interference(j)})
	if ok {
		p.assign(r, t, j, &r.workers[c.WorkerIndex], need, c.Reason)
		return
	}
	if urgent && p.preempt(r, need) {
		why += "; room is being made"
	} else if p.save(r, t, need) {
		why += "; a worker is kept for it"
	} else if len(t.FailedOn) == 0 {
		r.full[s] = why
	}
	p.wait(t, why)
}

// patience is how long a task may be overtaken by later ones that find room
// where it does not.
const patience = 10 * time.Second

// save keeps the freest worker that is large enough for a task that has waited
// for long, so that what comes free there adds up. One task at a time is helped:
// what is kept stands idle.
func (p *planner) save(r *room, t kqmodel.Task, need kqmodel.Resources) bool {
	if r.saving || p.now.Sub(t.ChangedAt) < patience {
		return false
	}
	avoid := p.avoid(r, t)
	var best *kqplace.Worker
	for i := range r.workers {
		w := &r.workers[i]
		if !w.AcceptsTasks || w.MissesTarget || !need.Fits(w.Capacity) || slices.Contains(avoid, w.ID) {
			continue
		}
		if best == nil || w.Free().MilliProcessors > best.Free().MilliProcessors {
			best = w
		}
	}
	if best == nil {
		return false
	}
	r.saving = true
	best.Reserved = best.Reserved.Add(need)
	return true
}

// avoidFor is how long a task stays away from the workers on which it failed.
const avoidFor = 30 * time.Second

// avoid returns where the task failed before, unless that is everywhere or
// long ago: the only room may be there.
func (p *planner) avoid(r *room, t kqmodel.Task) []string {
	if len(t.FailedOn) >= len(r.workers) || p.now.Sub(t.ChangedAt) > avoidFor {
		return nil
	}
	return t.FailedOn
}

// largest returns the most that any worker has of each resource.
func (p *planner) largest(r *room) kqmodel.Resources {
	var m kqmodel.Resources
	for i := range r.workers {
		c := r.workers[i].Capacity
		m.MilliProcessors = max(m.MilliProcessors, c.MilliProcessors)
		m.MemoryBytes = max(m.MemoryBytes, c.MemoryBytes)
		m.Accelerators = max(m.Accelerators, c.Accelerators)
	}
	return m
}

func (p *planner) wait(t kqmodel.Task, why string) {
	key := t.ID.String()
	if p.cell.waiting[key] != why {
		p.cell.waiting[key] = why
		p.cell.config.Events.Emit(p.now, kqevent.TaskWaiting, kqevent.Task(key), "%s", why)
	}
}

func (p *planner) assign(r *room, t kqmodel.Task, j *job, w *kqplace.Worker, need kqmodel.Resources, reason string) {
	resumed := t.Attempt > 0
	t, ok := p.step(t, eventAssign, reason)
	if !ok {
		return
	}
	known := p.cell.workers[w.ID]
	t.Attempt++
	t.Worker, t.HostBoot, t.Reserved = w.ID, known.hostBoot, need
	p.batch.tasks[t.ID] = t
	p.hold(r, t)
	number := kqevent.TaskPlaced
	if resumed {
		number = kqevent.TaskResumed
	}
	p.batch.note(number, kqevent.Task(t.ID.String()), "attempt %d on worker %s with %s: %s", t.Attempt, w.ID, need, reason)
	p.batch.done = append(p.batch.done, func() {
		known.health.RecordPlacement()
		delete(p.cell.waiting, t.ID.String())
	})
	if known.health.Quarantined() {
		w.AcceptsTasks = false
	}
	p.cell.config.Counter.Check(!j.Cancelled, kqinvariant.StartedAfterCancel, "task %s of a cancelled job was placed", t.ID)
}

// allowed reports whether the team's quota lets the cell hold more, and asks
// for a larger allotment where the present one is used up.
func (p *planner) allowed(r *room, j *job, need kqmodel.Resources) bool {
	team := j.Spec.Team
	quota, limited := p.cell.config.Quota(team)
	if !limited {
		return true
	}
	row, known := p.cell.allotments[team]
	if !known || p.cell.refresh[team] {
		p.cell.refresh[team] = true
		return false
	}
	a := row.Allotments
	if w, ok := p.batch.allotments[team]; ok {
		a = w.allotments
	}
	want := r.teams[team].Add(need)
	if want.Fits(a.Cells[p.cell.config.ID]) {
		return true
	}
	grown, ok := kqquota.Grow(a, p.cell.config.ID, want, quota)
	if !ok {
		p.cell.refresh[team] = true
		return false
	}
	p.cell.config.Counter.Check(grown.Sum().Fits(quota), kqinvariant.QuotaExceeded, "team %s: %s of %s", team, grown.Sum(), quota)
	p.writeAllotments(team, row.Version, grown)
	return true
}

func (p *planner) writeAllotments(team string, version uint64, a kqquota.Allotments) {
	a.WriteID = p.batch.row.WriteID
	p.batch.allotments[team] = allotmentWrite{version: version, allotments: a}
}

// spareTime is how long a cell keeps an allotment that it does not use.
const spareTime = 10 * time.Second

// giveBack returns allotments that the cell has not used for a while, if
// nothing of the team waits.
func (p *planner) giveBack() {
	used := map[string]kqmodel.Resources{}
	queued := map[string]bool{}
	for _, id := range p.order {
		t := p.task(id)
		team := p.cell.jobs[id.Job].Spec.Team
		used[team] = used[team].Add(t.Reserved)
		queued[team] = queued[team] || t.State == stateQueued
	}
	for team, row := range p.cell.allotments {
		a, less := kqquota.Shrink(row.Allotments, p.cell.config.ID, used[team])
		if _, busy := p.batch.allotments[team]; busy || !less || queued[team] || p.cell.refresh[team] {
			delete(p.cell.spareSince, team)
			continue
		}
		if since, ok := p.cell.spareSince[team]; !ok {
			p.cell.spareSince[team] = p.now
		} else if p.now.Sub(since) >= spareTime {
			p.writeAllotments(team, row.Version, a)
		}
	}
}

// preempt starts to evict normal batch work so that need fits on one worker,
// and reports whether that can be done.
func (p *planner) preempt(r *room, need kqmodel.Resources) bool {
	for i := range r.workers {
		w := &r.workers[i]
		if !w.AcceptsTasks {
			continue
		}
		victims, ok := p.victims(r, w, need)
		if !ok {
			continue
		}
		for _, t := range victims {
			r.evicted[t.ID] = true
			if chart.Can(t.State, eventEvict) {
				p.step(t, eventEvict, "its place is needed for urgent work")
			}
		}
		// The room made is spoken for, so that two urgent tasks do not count
		// on the same.
		w.Reserved = w.Reserved.Add(need)
		return true
	}
	return false
}

// victims returns the latest started batch tasks whose end makes enough room.
func (p *planner) victims(r *room, w *kqplace.Worker, need kqmodel.Resources) ([]kqmodel.Task, bool) {
	var all []kqmodel.Task
	for _, id := range p.order {
		t := p.task(id)
		j := p.cell.jobs[id.Job]
		leaving := t.State == stateEvicting || t.State == stateCancelling
		if t.Worker == w.ID && !r.evicted[id] && (leaving || rank(j) == 0) {
			all = append(all, t)
		}
	}
	slices.SortStableFunc(all, func(a, b kqmodel.Task) int { return b.ChangedAt.Compare(a.ChangedAt) })
	free := w.Free()
	var out []kqmodel.Task
	for _, t := range all {
		if need.Fits(free) {
			break
		}
		free = free.Add(t.Reserved)
		out = append(out, t)
	}
	return out, need.Fits(free)
}

// checkCapacity asserts that no worker is given more than it has.
func (p *planner) checkCapacity(r *room) {
	held := map[string]kqmodel.Resources{}
	for _, id := range p.order {
		t := p.task(id)
		held[t.Worker] = held[t.Worker].Add(t.Reserved)
	}
	for i := range r.workers {
		w := &r.workers[i]
		p.cell.config.Counter.Check(held[w.ID].Fits(w.Capacity), kqinvariant.CapacityExceeded,
			"worker %s: %s of %s held", w.ID, held[w.ID], w.Capacity)
	}
}
