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

// placement is the working state of one scheduling pass.
type placement struct {
	workers      []kqplace.Worker
	workerIndex  map[string]int
	teamUsage    map[string]kqmodel.Resources
	tasksPerRack map[string]map[string]int
	evicted      map[kqmodel.TaskID]bool
	unplaceable  map[taskShape]string
	// workerReserved is true once a worker is reserved for a task that has waited for
	// reservationDelay.
	workerReserved bool
}

// taskShape identifies tasks with the same requirements. If a task cannot be placed, later
// tasks of the same shape are not tried in the same pass.
type taskShape struct {
	resources kqmodel.Resources
	family    string
	watcher   bool
	urgent    bool
}

// placeTasks assigns workers to the queued tasks, in their order.
func (p *planner) placeTasks() {
	pl := p.newPlacement()
	for _, id := range p.taskIDs {
		t := p.task(id)
		if t.State == stateQueued {
			p.placeTask(pl, t)
		}
	}
	p.checkCapacity(pl)
}

func (p *planner) newPlacement() *placement {
	pl := &placement{workerIndex: map[string]int{}, teamUsage: map[string]kqmodel.Resources{}, tasksPerRack: map[string]map[string]int{},
		evicted: map[kqmodel.TaskID]bool{}, unplaceable: map[taskShape]string{}}
	for _, w := range p.cell.workers {
		if !w.registered {
			continue
		}
		pl.workers = append(pl.workers, kqplace.Worker{ID: w.id, Zone: w.info.Zone, Rack: w.info.Zone + "/" + w.info.Rack,
			Capacity: w.info.Capacity, MissesTarget: w.missesTarget, ServiceClasses: w.serviceClasses,
			AcceptsTasks: !w.draining && w.health.AcceptsTasks(p.now) && p.now.Sub(w.lastReportAt) < memberTimeout && p.hasNoOrphans(w)})
	}
	slices.SortFunc(pl.workers, func(a, b kqplace.Worker) int { return cmp.Compare(a.ID, b.ID) })
	for i := range pl.workers {
		pl.workerIndex[pl.workers[i].ID] = i
	}
	for _, id := range p.taskIDs {
		p.countReserved(pl, p.task(id))
	}
	return pl
}

// hasNoOrphans reports whether every attempt on the worker that has not ended is the
// current attempt of a task. A worker with orphans gets no new tasks, since they use
// capacity that the owner does not account for.
func (p *planner) hasNoOrphans(w *worker) bool {
	for id, report := range w.reports {
		t := p.cell.tasks[id.Task]
		orphan := t == nil || t.Attempt != id.Attempt || t.Worker != w.id
		if orphan && !report.Phase.Ended() {
			return false
		}
	}
	return true
}

// countReserved adds the reservation of a task to the usage of its worker, team and rack.
func (p *planner) countReserved(pl *placement, t kqmodel.Task) {
	if t.Worker == "" {
		return
	}
	j := p.cell.jobs[t.ID.Job]
	pl.teamUsage[j.Spec.Team] = pl.teamUsage[j.Spec.Team].Add(t.Reserved)
	i, ok := pl.workerIndex[t.Worker]
	if !ok {
		return
	}
	w := &pl.workers[i]
	w.Reserved = w.Reserved.Add(t.Reserved)
	if !j.Watcher {
		w.ServiceSlowdown += p.addedSlowdown(w, j)
	}
	if pl.tasksPerRack[t.ID.Job] == nil {
		pl.tasksPerRack[t.ID.Job] = map[string]int{}
	}
	pl.tasksPerRack[t.ID.Job][w.Rack]++
}

// addedSlowdown estimates the slowdown that one task of a job adds to the services of a
// worker, summed over their classes.
func (p *planner) addedSlowdown(w *kqplace.Worker, j *job) float64 {
	sum := 0.0
	for _, c := range w.ServiceClasses {
		sum += p.interference(j)(c)
	}
	return sum
}

// interference returns a function that estimates the slowdown which one task of a job adds
// to a class of service.
func (p *planner) interference(j *job) func(string) float64 {
	return func(class string) float64 {
		if !p.cell.config.Interference {
			return 0
		}
		perProcessor := p.cell.interference.SlowdownPerProcessor(class, j.Spec.FamilyName())
		return perProcessor * float64(j.Spec.Resources.MilliProcessors) / 1000
	}
}

func (p *planner) placeTask(pl *placement, t kqmodel.Task) {
	j := p.cell.jobs[t.ID.Job]
	urgent := j.Spec.Urgency == kqmodel.UrgencyUrgent
	need := p.cell.sizes.Reservation(j.Spec.FamilyName(), j.Spec.Resources, p.largestCapacity(pl))
	if !p.withinQuota(pl, j, need) {
		p.recordWait(t, "the quota of team "+j.Spec.Team+" is exhausted")
		return
	}
	s := taskShape{need, j.Spec.FamilyName(), j.Watcher, urgent}
	if reason, ok := pl.unplaceable[s]; ok && !j.Watcher && len(t.FailedOn) == 0 {
		p.recordWait(t, reason)
		return
	}
	c, ok, reason := kqplace.Choose(pl.workers, kqplace.Request{Resources: need, Watcher: j.Watcher, Urgent: urgent,
		TasksPerRack: pl.tasksPerRack[t.ID.Job], AvoidWorkers: p.workersToAvoid(pl, t), Interference: p.interference(j)})
	if ok {
		p.assign(pl, t, j, &pl.workers[c.WorkerIndex], need, c.Reason)
		return
	}
	if urgent && p.preempt(pl, need) {
		reason += "; tasks are preempted to free capacity"
	} else if p.reserveWorker(pl, t, need) {
		reason += "; a worker is reserved for it"
	} else if len(t.FailedOn) == 0 {
		pl.unplaceable[s] = reason
	}
	p.recordWait(t, reason)
}

// reservationDelay is how long later tasks that fit may start before a waiting task that
// does not fit.
const reservationDelay = 10 * time.Second

// reserveWorker reserves a worker for a task that has waited for reservationDelay, so that
// capacity which becomes free there accumulates. It takes the worker with the most free
// processors among those whose capacity is large enough. Only one task per pass gets a
// worker, because the reserved capacity stays idle.
func (p *planner) reserveWorker(pl *placement, t kqmodel.Task, need kqmodel.Resources) bool {
	if pl.workerReserved || p.now.Sub(t.ChangedAt) < reservationDelay {
		return false
	}
	avoid := p.workersToAvoid(pl, t)
	var best *kqplace.Worker
	for i := range pl.workers {
		w := &pl.workers[i]
		if !w.AcceptsTasks || w.MissesTarget || !need.FitsIn(w.Capacity) || slices.Contains(avoid, w.ID) {
			continue
		}
		if best == nil || w.Free().MilliProcessors > best.Free().MilliProcessors {
			best = w
		}
	}
	if best == nil {
		return false
	}
	pl.workerReserved = true
	best.Reserved = best.Reserved.Add(need)
	return true
}

// avoidDuration is how long a task is not placed on the workers on which it failed.
const avoidDuration = 30 * time.Second

// workersToAvoid returns the workers on which the task failed before. It returns none if
// the task failed on as many workers as there are, or has waited for longer than
// avoidDuration: the only free capacity may be there.
func (p *planner) workersToAvoid(pl *placement, t kqmodel.Task) []string {
	if len(t.FailedOn) >= len(pl.workers) || p.now.Sub(t.ChangedAt) > avoidDuration {
		return nil
	}
	return t.FailedOn
}

// largestCapacity returns, for each resource, the largest capacity of any worker.
func (p *planner) largestCapacity(pl *placement) kqmodel.Resources {
	var m kqmodel.Resources
	for i := range pl.workers {
		c := pl.workers[i].Capacity
		m.MilliProcessors = max(m.MilliProcessors, c.MilliProcessors)
		m.MemoryBytes = max(m.MemoryBytes, c.MemoryBytes)
		m.Accelerators = max(m.Accelerators, c.Accelerators)
	}
	return m
}

func (p *planner) recordWait(t kqmodel.Task, reason string) {
	key := t.ID.String()
	if p.cell.waitReasons[key] != reason {
		p.cell.waitReasons[key] = reason
		p.cell.config.Events.Emit(p.now, kqevent.TaskWaiting, kqevent.Task(key), "%s", reason)
	}
}

func (p *planner) assign(pl *placement, t kqmodel.Task, j *job, w *kqplace.Worker, need kqmodel.Resources, reason string) {
	resumed := t.Attempt > 0
	t, ok := p.transition(t, eventAssign, reason)
	if !ok {
		return
	}
	target := p.cell.workers[w.ID]
	t.Attempt++
	t.Worker, t.HostBoot, t.Reserved = w.ID, target.hostBoot, need
	p.batch.tasks[t.ID] = t
	p.countReserved(pl, t)
	number := kqevent.TaskPlaced
	if resumed {
		number = kqevent.TaskResumed
	}
	p.batch.addEvent(number, kqevent.Task(t.ID.String()), "attempt %d on worker %s with %s: %s", t.Attempt, w.ID, need, reason)
	p.batch.onCommit = append(p.batch.onCommit, func() {
		target.health.RecordPlacement()
		delete(p.cell.waitReasons, t.ID.String())
	})
	if target.health.Quarantined() {
		w.AcceptsTasks = false
	}
	p.cell.config.Counter.Check(!j.Cancelled, kqinvariant.StartedAfterCancel, "task %s of a cancelled job was placed", t.ID)
}

// withinQuota reports whether the team's quota allows the cell to reserve need. If the
// current allotment of the cell is too small, it adds a larger one to the batch.
func (p *planner) withinQuota(pl *placement, j *job, need kqmodel.Resources) bool {
	team := j.Spec.Team
	quota, limited := p.cell.config.Quota(team)
	if !limited {
		return true
	}
	row, known := p.cell.allotments[team]
	if !known || p.cell.staleAllotments[team] {
		p.cell.staleAllotments[team] = true
		return false
	}
	a := row.Allotments
	if w, ok := p.batch.allotments[team]; ok {
		a = w.allotments
	}
	want := pl.teamUsage[team].Add(need)
	if want.FitsIn(a.Cells[p.cell.config.ID]) {
		return true
	}
	grown, ok := kqquota.Grow(a, p.cell.config.ID, want, quota)
	if !ok {
		p.cell.staleAllotments[team] = true
		return false
	}
	p.cell.config.Counter.Check(grown.Sum().FitsIn(quota), kqinvariant.QuotaExceeded, "team %s: allotments %s of quota %s", team, grown.Sum(), quota)
	p.writeAllotments(team, row.Version, grown)
	return true
}

func (p *planner) writeAllotments(team string, version uint64, a kqquota.Allotments) {
	a.WriteID = p.batch.ownership.WriteID
	p.batch.allotments[team] = allotmentWrite{version: version, allotments: a}
}

// unusedAllotmentTime is how long a cell keeps an allotment that it does not use.
const unusedAllotmentTime = 10 * time.Second

// returnAllotments shrinks the allotments of teams that the cell has not fully used for
// unusedAllotmentTime, unless tasks of the team are queued.
func (p *planner) returnAllotments() {
	used := map[string]kqmodel.Resources{}
	queued := map[string]bool{}
	for _, id := range p.taskIDs {
		t := p.task(id)
		team := p.cell.jobs[id.Job].Spec.Team
		used[team] = used[team].Add(t.Reserved)
		queued[team] = queued[team] || t.State == stateQueued
	}
	for team, row := range p.cell.allotments {
		a, shrunk := kqquota.Shrink(row.Allotments, p.cell.config.ID, used[team])
		if _, changed := p.batch.allotments[team]; changed || !shrunk || queued[team] || p.cell.staleAllotments[team] {
			delete(p.cell.unusedSince, team)
			continue
		}
		if since, ok := p.cell.unusedSince[team]; !ok {
			p.cell.unusedSince[team] = p.now
		} else if p.now.Sub(since) >= unusedAllotmentTime {
			p.writeAllotments(team, row.Version, a)
		}
	}
}

// preempt starts to evict batch tasks of normal urgency so that need fits on one worker,
// and reports whether there is such a worker.
func (p *planner) preempt(pl *placement, need kqmodel.Resources) bool {
	for i := range pl.workers {
		w := &pl.workers[i]
		if !w.AcceptsTasks {
			continue
		}
		victims, ok := p.victims(pl, w, need)
		if !ok {
			continue
		}
		for _, t := range victims {
			pl.evicted[t.ID] = true
			if chart.Allows(t.State, eventEvict) {
				p.transition(t, eventEvict, "preempted by an urgent task")
			}
		}
		// The capacity being freed is reserved, so that two urgent tasks do not rely on
		// the same capacity.
		w.Reserved = w.Reserved.Add(need)
		return true
	}
	return false
}

// victims returns the tasks of a worker whose end makes need fit, and whether that is
// possible: tasks already being evicted or cancelled, and batch tasks. The tasks that changed
// state last come first.
func (p *planner) victims(pl *placement, w *kqplace.Worker, need kqmodel.Resources) ([]kqmodel.Task, bool) {
	var candidates []kqmodel.Task
	for _, id := range p.taskIDs {
		t := p.task(id)
		j := p.cell.jobs[id.Job]
		ending := t.State == stateEvicting || t.State == stateCancelling
		if t.Worker == w.ID && !pl.evicted[id] && (ending || queuePriority(j) == 0) {
			candidates = append(candidates, t)
		}
	}
	slices.SortStableFunc(candidates, func(a, b kqmodel.Task) int { return b.ChangedAt.Compare(a.ChangedAt) })
	free := w.Free()
	var out []kqmodel.Task
	for _, t := range candidates {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(t.Reserved)
		out = append(out, t)
	}
	return out, need.FitsIn(free)
}

// checkCapacity checks the invariant that the reservations on a worker do not exceed its
// capacity.
func (p *planner) checkCapacity(pl *placement) {
	held := map[string]kqmodel.Resources{}
	for _, id := range p.taskIDs {
		t := p.task(id)
		held[t.Worker] = held[t.Worker].Add(t.Reserved)
	}
	for i := range pl.workers {
		w := &pl.workers[i]
		p.cell.config.Counter.Check(held[w.ID].FitsIn(w.Capacity), kqinvariant.CapacityExceeded,
			"worker %s: %s of %s reserved", w.ID, held[w.ID], w.Capacity)
	}
}
