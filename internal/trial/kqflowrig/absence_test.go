package kqflowrig_test

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqtaskhost"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqmachine"
)

var (
	absenceSeeds = flag.Uint64("absence_seeds", 2, "number of seeds of the test of long-running tasks under random faults, counted from first_seed")
	nearMiss     = flag.Duration("near_miss", 0, "absence of a long-running task, counted while no fault is active, from which on its events are logged; 0 logs none")
)

const (
	absenceAgents = 7
	// absenceTime is the time of the random faults, closingTime that after the fault that ends all
	// processes.
	absenceTime    = 75 * time.Second
	closingTime    = 25 * time.Second
	sampleInterval = 100 * time.Millisecond
	// calmTime is the time without a fault, and capacityTime that with free capacity, before a
	// breach.
	calmTime     = 7 * time.Second
	capacityTime = 3 * time.Second
	shortLease   = 5760 * time.Millisecond
)

// absence is a time without a run of a long-running task.
type absence struct {
	task     string
	from, to time.Time
	// calm and free are the times at its end without a fault, and with twice the capacity that the
	// task needs free on a worker.
	calm, free time.Duration
	breach     bool
	// workers is what runs on each worker at the first breach.
	workers string
}

func (a absence) length() time.Duration { return a.to.Sub(a.from) }

// inCalm returns the part of the absence at its end in which no fault was active and capacity was
// free.
func (a absence) inCalm() time.Duration { return min(a.length(), a.calm, a.free) }

func (a absence) String() string {
	return fmt.Sprintf("%s absent for %s from %s, calm for %s, capacity free for %s", a.task, a.length(), a.from.Format("04:05.0"), a.calm, a.free)
}

// watchedTask is what the watcher knows of a long-running task.
type watchedTask struct {
	step *kqflow.Step
	// lastRunAt is the latest time at which the task was running; zero if it never was.
	lastRunAt time.Time
	// freeSince is the time since which a worker has had twice the capacity that the task needs.
	freeSince time.Time
	absent    bool
}

// absenceRun is a cell with long-running tasks under random faults.
type absenceRun struct {
	*chaosRun
	events *kqevent.Log
	load   *rand.Rand
	tasks  map[string]*watchedTask
	lost   []*kqmachine.Machine

	mu           sync.Mutex
	activeFaults int
	calmSince    time.Time
	absences     []absence
	done         bool
}

func newAbsenceRun(seed uint64) *absenceRun {
	x := &absenceRun{events: kqevent.New(kqevent.Config{MaxEvents: keptEvents}), load: rand.New(rand.NewPCG(seed, 29)), tasks: map[string]*watchedTask{}}
	lease := defaultLease
	if seed%2 == 1 {
		lease = shortLease
	}
	rig := kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: absenceAgents, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}, Lease: lease,
		SendsBirthTime: seed%4 >= 2, Partitions: submissionPartitions, Events: x.events})
	x.chaosRun = &chaosRun{rig: rig, faults: append(slices.Clone(workerRestartFaults), absenceFaults...), rng: rand.New(rand.NewPCG(seed, 17)), cancelledAt: map[string]time.Time{}, cancelRequested: map[string]bool{}}
	x.calmSince = time.Now()
	time.Sleep(2 * time.Second)
	x.submitLongRunning()
	go x.watch()
	time.Sleep(4 * time.Second)
	return x
}

// submitLongRunning submits long-running jobs that take 50 to 80 % of the processors.
func (x *absenceRun) submitLongRunning() {
	left := int64(absenceAgents * 16_000 * (50 + x.load.IntN(31)) / 100)
	for n := 0; left > 0; n++ {
		s := kqflow.Step{Count: 1, LongRunning: true, Estimate: time.Hour, MaxUnavailable: 1, Resources: kqmodel.Resources{MilliProcessors: int64(1000 + x.load.IntN(6000)), MemoryBytes: 1 << 30}}
		switch x.load.IntN(4) {
		case 0:
			s.Count, s.MaxPerWorker, s.Resources.MilliProcessors = 2+x.load.IntN(3), 1, int64(1000+x.load.IntN(2500))
		case 1:
			s.Count, s.TailTarget, s.Image = 1+x.load.IntN(3), 200*time.Millisecond, string(rune('a'+x.load.IntN(3)))
		}
		j := kqflow.Job{ID: fmt.Sprintf("%016x", 0xabc000+n), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{s}}
		if x.load.IntN(5) == 0 {
			j.Queue = "batch"
		}
		for i := range s.Count {
			x.tasks[kqflow.TaskID{Job: j.ID, Index: i}.String()] = &watchedTask{step: &j.Steps[0]}
		}
		left -= int64(s.Count) * s.Resources.MilliProcessors
		x.rig.SubmitUntracked(j)
	}
}

// submitFinite submits random finite jobs and filling tasks for d, and cancels some of them.
func (x *absenceRun) submitFinite(d time.Duration) {
	spread := 300 + x.load.IntN(2500)
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(100+x.load.IntN(spread)) * time.Millisecond)
		j := x.rig.RandomJob()
		switch x.load.IntN(6) {
		case 0:
			for n := range j.Steps {
				j.Steps[n].Estimate *= 10
			}
		case 1, 2:
			for n := range j.Steps {
				s := &j.Steps[n]
				s.Fills, s.Gang, s.Image, s.Estimate = true, false, string(rune('x'+x.load.IntN(3))), s.Estimate*3
			}
		}
		go x.rig.Submit(j)
		if ids := x.rig.Accepted(); len(ids) > 0 && x.load.IntN(8) == 0 {
			id := ids[x.load.IntN(len(ids))]
			go x.rig.Cancel(id)
		}
	}
}

// watch samples which long-running tasks run until the run is done.
func (x *absenceRun) watch() {
	for {
		time.Sleep(sampleInterval)
		x.mu.Lock()
		if x.done {
			x.mu.Unlock()
			return
		}
		x.sample(time.Now())
		x.mu.Unlock()
	}
}

// sample updates the watched tasks; mu is held.
func (x *absenceRun) sample(now time.Time) {
	running := x.rig.Ledger.Running()
	used := map[kqexecution.Incarnation]int64{}
	for task, workers := range running {
		for _, w := range workers {
			used[w] += x.rig.Reserved(task).MilliProcessors
		}
	}
	calm := time.Duration(0)
	if x.activeFaults == 0 {
		calm = now.Sub(x.calmSince)
	}
	for name, t := range x.tasks {
		if !x.hasTwice(name, t, running, used) {
			t.freeSince = time.Time{}
		} else if t.freeSince.IsZero() {
			t.freeSince = now
		}
		runs := len(running[name]) > 0
		switch {
		case t.lastRunAt.IsZero() && !runs:
			continue
		case !runs:
			t.absent = true
		}
		if t.absent {
			free := time.Duration(0)
			if !t.freeSince.IsZero() {
				free = now.Sub(t.freeSince)
			}
			a := absence{task: name, from: t.lastRunAt, to: now, calm: calm, free: free}
			a.breach = a.length() > maxAbsence && calm >= calmTime && free >= capacityTime
			i := slices.IndexFunc(x.absences, func(b absence) bool { return b.task == name && b.from.Equal(a.from) })
			if i < 0 {
				i = len(x.absences)
				x.absences = append(x.absences, a)
			}
			if a.breach && !x.absences[i].breach {
				a.workers = x.describe(running, used)
			} else {
				a.breach, a.workers = x.absences[i].breach, x.absences[i].workers
			}
			x.absences[i] = a
		}
		if runs {
			t.lastRunAt, t.absent = now, false
		}
	}
}

// describe returns what runs on each worker, with estimates.
func (x *absenceRun) describe(running map[string][]kqexecution.Incarnation, used map[kqexecution.Incarnation]int64) string {
	var b strings.Builder
	for _, a := range x.rig.Agents {
		w := a.Host.Incarnation()
		fmt.Fprintf(&b, "  %s uses %d, lost %t:", w, used[w], slices.Contains(x.lost, a))
		for _, task := range slices.Sorted(maps.Keys(running)) {
			if slices.Contains(running[task], w) {
				fmt.Fprintf(&b, " %s (%d for %s)", task, x.rig.Reserved(task).MilliProcessors, x.rig.Estimate(task))
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}

// hasTwice reports whether a sound worker that may run the task has twice its processors free.
func (x *absenceRun) hasTwice(name string, t *watchedTask, running map[string][]kqexecution.Incarnation, used map[kqexecution.Incarnation]int64) bool {
	job, _, _ := strings.Cut(name, ".")
	for _, a := range x.rig.Agents {
		w := a.Host.Incarnation()
		if slices.Contains(x.lost, a) || 16_000-used[w] < 2*t.step.Resources.MilliProcessors {
			continue
		}
		if t.step.MaxPerWorker > 0 && slices.Contains(x.rig.Ledger.Workers(job), w) {
			continue
		}
		return true
	}
	return false
}

// strike carries out a fault for a time.
func (x *absenceRun) strike(f fault, d time.Duration) {
	x.mu.Lock()
	x.activeFaults++
	x.faultLog = append(x.faultLog, fmt.Sprintf("%s at %s for %s", f.name, time.Now().Format("04:05.000"), d))
	x.mu.Unlock()
	end := f.begin(x.chaosRun)
	if !strings.HasPrefix(f.name, "worker restart") && f.name != "store history dropped" || strings.Contains(f.name, "late") || strings.Contains(f.name, "isolated") || strings.Contains(f.name, "killed") {
		time.Sleep(d)
	}
	end()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.activeFaults--
	x.calmSince = time.Now()
}

// loseHost ends a machine for good, with its worker; at most two are lost.
func (x *absenceRun) loseHost() {
	x.mu.Lock()
	defer x.mu.Unlock()
	a := x.rig.Agents[x.rng.IntN(len(x.rig.Agents))]
	if len(x.lost) > 1 || !a.IsRunning() {
		return
	}
	x.faultLog = append(x.faultLog, fmt.Sprintf("%s lost for good at %s", a.Name(), time.Now().Format("04:05.000")))
	a.Kill()
	a.Host.Restart(a.Name())
	a.Host.SetFaults(kqtaskhost.Faults{Down: true})
	x.lost = append(x.lost, a)
	x.calmSince = time.Now()
}

func (x *absenceRun) runUnderFaults(loseHosts bool) {
	loadDone := make(chan struct{})
	go func() { x.submitFinite(absenceTime + closingTime); close(loadDone) }()
	for end := time.Now().Add(absenceTime); time.Now().Before(end); {
		var wg sync.WaitGroup
		for range 1 + x.rng.IntN(4) {
			f := x.faults[x.rng.IntN(len(x.faults))]
			d := time.Duration(500+x.rng.IntN(6000)) * time.Millisecond
			if x.rng.IntN(3) > 0 {
				x.strike(f, d)
				time.Sleep(time.Duration(x.rng.IntN(1500)) * time.Millisecond)
				continue
			}
			wg.Go(func() { x.strike(f, d) })
			time.Sleep(time.Duration(x.rng.IntN(1500)) * time.Millisecond)
		}
		if loseHosts && x.rng.IntN(3) == 0 {
			x.loseHost()
		}
		wg.Wait()
		x.startAll()
		time.Sleep(time.Duration(6000+x.rng.IntN(14000)) * time.Millisecond)
	}
	x.strike(closingFaults[x.rng.IntN(len(closingFaults))], time.Duration(200+x.rng.IntN(4000))*time.Millisecond)
	x.startAll()
	time.Sleep(closingTime)
	<-loadDone
	x.mu.Lock()
	x.done = true
	x.mu.Unlock()
	time.Sleep(sampleInterval)
}

// startAll ends what faults that overlapped may have left: faults of workers and of the store, and
// processes that do not run.
func (x *absenceRun) startAll() {
	x.rig.Store.ClearFaults()
	x.rig.Network.ReconnectAll()
	for _, a := range x.rig.Agents {
		if !slices.Contains(x.lost, a) {
			a.Host.SetFaults(kqtaskhost.Faults{})
			restart(a)()
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.calmSince = time.Now()
}

// closingFaults end all processes, as at the end of a day.
var closingFaults = []fault{
	{"all agents killed", func(r *chaosRun) func() { return r.killAll(false) }},
	{"all machines without power", func(r *chaosRun) func() { return r.killAll(true) }},
}

// killAll kills all agents, and the workers too if power is true.
func (r *chaosRun) killAll(power bool) func() {
	for _, a := range r.rig.Agents {
		kill(a)
		if power {
			a.Host.Restart(a.Name())
		}
	}
	return noop
}

// absenceFaults are faults in addition to the ones of the other tests with random faults.
var absenceFaults = []fault{
	{"store outage", func(r *chaosRun) func() {
		r.rig.Store.SetFaults("", kqrowstore.Faults{Silent: r.rng.IntN(2) == 0, Refuse: true})
		time.Sleep(time.Duration(4000+r.rng.IntN(5000)) * time.Millisecond)
		r.rig.Store.SetFaults("", kqrowstore.Faults{})
		return noop
	}},
	{"owner killed twice", func(r *chaosRun) func() {
		a := r.ownerOrAny()
		kill(a)
		time.Sleep(time.Duration(1000+r.rng.IntN(4000)) * time.Millisecond)
		b := r.ownerOrAny()
		kill(b)
		return func() { restart(a)(); restart(b)() }
	}},
	{"agent killed and isolated", func(r *chaosRun) func() {
		a := r.anyAgent()
		r.rig.Network.SetIsolated(a.Name(), true)
		kill(a)
		time.Sleep(time.Duration(r.rng.IntN(3000)) * time.Millisecond)
		restart(a)()
		return func() { r.rig.Network.SetIsolated(a.Name(), false) }
	}},
	{"machine without power", func(r *chaosRun) func() {
		a := r.anyAgent()
		kill(a)
		a.Host.Restart(a.Name())
		return restart(a)
	}},
	{"orders of all workers late", func(r *chaosRun) func() {
		for _, a := range r.rig.Agents {
			a.Host.SetFaults(kqtaskhost.Faults{LateOrders: 0.4})
		}
		return func() {
			for _, a := range r.rig.Agents {
				a.Host.SetFaults(kqtaskhost.Faults{})
			}
		}
	}},
	{"worker fails runs", workerFault(kqtaskhost.Faults{FailRuns: true})},
	{"workers fail runs", func(r *chaosRun) func() {
		var failing []*kqmachine.Machine
		for range 3 {
			a := r.anyAgent()
			a.Host.SetFaults(kqtaskhost.Faults{FailRuns: true})
			failing = append(failing, a)
		}
		return func() {
			for _, a := range failing {
				a.Host.SetFaults(kqtaskhost.Faults{})
			}
		}
	}},
	{"workers hang", func(r *chaosRun) func() {
		var hanging []*kqmachine.Machine
		for range 3 {
			a := r.anyAgent()
			a.Host.SetFaults(kqtaskhost.Faults{HangRuns: true})
			hanging = append(hanging, a)
		}
		return func() {
			for _, a := range hanging {
				a.Host.SetFaults(kqtaskhost.Faults{})
			}
		}
	}},
	{"two agents isolated", func(r *chaosRun) func() {
		a, b := r.anyAgent(), r.ownerOrAny()
		r.rig.Network.SetIsolated(a.Name(), true)
		r.rig.Network.SetIsolated(b.Name(), true)
		return func() {
			r.rig.Network.SetIsolated(a.Name(), false)
			r.rig.Network.SetIsolated(b.Name(), false)
		}
	}},
}

// trace returns the events of a task and of the processes between two times.
func (x *absenceRun) trace(task string, from, to time.Time) string {
	events := x.events.BySubject(kqevent.Task(task))
	for _, a := range x.rig.Agents {
		events = append(events, x.events.BySubject(kqevent.Process(a.Name()))...)
		events = append(events, x.events.BySubject(kqevent.Worker(string(a.Host.Incarnation())))...)
	}
	slices.SortStableFunc(events, func(a, b kqevent.Event) int { return a.At.Compare(b.At) })
	var b strings.Builder
	for _, e := range events {
		if !e.At.Before(from) && !e.At.After(to) && !strings.Contains(e.Number.String(), "paced") {
			fmt.Fprintf(&b, "  %s %s %s %s\n", e.At.Format("04:05.000"), e.Number, e.Subject.ID, e.Text[:min(len(e.Text), 240)])
		}
	}
	return b.String()
}

// Long-running tasks run beside finite and filling tasks, faults come close together and then none
// for a while. Guards against a long-running task that does not run for 9 s although the last 7 s were
// without a fault and twice the capacity that it needs was free.
func TestLongRunningTasksStayAwayUnderRandomFaults(t *testing.T) {
	var all []absence
	for seed := *firstSeed; seed < *firstSeed+*absenceSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { all = append(all, runAbsenceSeed(t, seed)...) })
		})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].inCalm() > all[j].inCalm() })
	for _, a := range all[:min(len(all), 10)] {
		t.Log(a)
	}
}

// runAbsenceSeed runs one seed and returns its absences.
func runAbsenceSeed(t *testing.T, seed uint64) []absence {
	x := newAbsenceRun(seed)
	x.runUnderFaults(seed%3 == 0)
	for _, a := range x.absences {
		if a.breach || *nearMiss > 0 && (a.inCalm() >= *nearMiss || a.length() > maxAbsence && a.calm > calmTime) {
			t.Logf("seed %d: %s\nfaults: %s\n%s", seed, a, strings.Join(x.faultLog, "; "), a.workers+x.trace(a.task, a.from.Add(-9*time.Second), a.to.Add(time.Second)))
		}
		if a.breach {
			t.Errorf("seed %d: %s", seed, a)
		}
	}
	longest := slices.MaxFunc(append(x.absences, absence{}), func(a, b absence) int { return cmp.Compare(a.inCalm(), b.inCalm()) })
	t.Logf("seed %d: %d absences, %d orders refused, longest in calm %s (%s)", seed, len(x.absences), x.events.Counts()["order_refused"], longest.inCalm(), longest)
	x.rig.Stop()
	if breaches := x.rig.Ledger.Breaches(); len(breaches) > 0 {
		task, _, _ := strings.Cut(breaches[0][strings.Index(breaches[0], ": ")+2:], " ")
		t.Errorf("seed %d: %d breaches of the ledger, first %s\nfaults: %s\n%s", seed, len(breaches), breaches[0], strings.Join(x.faultLog, "; "), x.trace(task, time.Time{}, time.Now()))
	}
	if n := len(x.tasks); n < 8 {
		t.Errorf("seed %d: only %d long-running tasks", seed, n)
	}
	return x.absences
}
