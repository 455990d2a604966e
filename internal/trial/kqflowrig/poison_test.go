package kqflowrig_test

import (
	"cmp"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

const (
	// crashDelay is how long after its start a poison task crashes its worker.
	crashDelay = 10 * time.Millisecond
	// giveUpTime bounds the time until a job with a poison task is failed: five runs, each of which is
	// known to have crashed its worker after at most 5 s.
	giveUpTime = 25 * time.Second
)

// crashRun is a rig under a load of innocent jobs, in which workers crash.
type crashRun struct{ rig *kqflowrig.Rig }

func newCrashRun(config kqflowrig.Config) *crashRun {
	config.Agents, config.Capacity = 6, kqmodel.Resources{MilliProcessors: 16000, MemoryBytes: 64 << 30}
	x := &crashRun{rig: kqflowrig.New(config)}
	time.Sleep(3 * time.Second)
	return x
}

// load submits innocent jobs of four tasks.
func (x *crashRun) load(d time.Duration) {
	x.rig.SubmitLoad(d, kqflow.Step{Count: 4, Estimate: 800 * time.Millisecond, Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}})
}

// check waits until the innocent jobs have ended, and expects that all of them have completed and that
// no rule was broken.
func (x *crashRun) check(t *testing.T) {
	t.Helper()
	time.Sleep(10 * time.Second)
	for _, id := range x.rig.Accepted() {
		if s := x.rig.State(id); id != kqflowrig.PoisonJobID && s != kqflow.StateCompleted {
			t.Errorf("innocent job %s is %s", id, s)
		}
	}
	for _, b := range x.rig.Ledger.Breaches() {
		t.Error(b)
	}
	for _, b := range x.rig.Counter.Breaches() {
		t.Error(b)
	}
}

// smallStep returns a step of small tasks.
func smallStep(count int) kqflow.Step {
	return kqflow.Step{Count: count, Estimate: 800 * time.Millisecond, Resources: kqmodel.Resources{MilliProcessors: 500, MemoryBytes: 1 << 30}}
}

// A task crashes each worker that starts it. Guards against a scheduler that starts it again without
// limit, and against one that loses count of the crashes in another fault.
func TestATaskThatCrashesEachWorkerIsStartedWithoutLimit(t *testing.T) {
	gang, copies, filling, longRunning := smallStep(4), smallStep(4), smallStep(4), smallStep(3)
	gang.Gang = true
	copies.Speculative = true
	filling.Fills = true
	longRunning.LongRunning, longRunning.Estimate = true, time.Hour
	for name, c := range map[string]struct {
		config  kqflowrig.Config
		step    kqflow.Step
		repeat  int
		after   time.Duration
		indices []int
		// fault happens while the task is being tried.
		fault func(x *crashRun)
		// maxCrashes bounds how many workers crash.
		maxCrashes int
		// state is the state in which the job ends; "failed" if empty.
		state kqflow.State
	}{
		"one of a step":                   {step: smallStep(6), indices: []int{0}},
		"with workers that keep their id": {step: smallStep(6), indices: []int{2}, config: kqflowrig.Config{SendsBirthTime: true}},
		"a second after its start":        {step: smallStep(1), after: 700 * time.Millisecond},
		"all of a step":                   {step: smallStep(6), maxCrashes: 11},
		"a member of a gang":              {step: gang, indices: []int{1}},
		"with copies":                     {step: copies, indices: []int{0}},
		"that fills":                      {step: filling, indices: []int{3}},
		"long-running":                    {step: longRunning, indices: []int{1}},
		"by time":                         {step: smallStep(2), indices: []int{1}, repeat: 3},
		"cancelled": {step: smallStep(2), state: kqflow.StateCancelled, fault: func(x *crashRun) {
			x.rig.Cancel(kqflowrig.PoisonJobID)
			x.rig.Ledger.ForbidStarts(kqflowrig.PoisonJobID)
		}},
		"the owner is killed twice": {step: smallStep(6), indices: []int{0}, fault: func(x *crashRun) {
			for range 2 {
				x.rig.RestartAgents(func(i int) bool { return x.rig.Agents[i].IsOwner() })
				time.Sleep(4 * time.Second)
			}
		}},
		"agents restart in turn": {step: smallStep(6), indices: []int{0}, fault: func(x *crashRun) {
			for n := range 20 {
				x.rig.RestartAgents(func(i int) bool { return i == n%len(x.rig.Agents) })
				time.Sleep(300 * time.Millisecond)
			}
		}},
		"each agent restarts after the crash": {step: smallStep(6), indices: []int{0}, fault: func(x *crashRun) {
			for range 60 {
				x.rig.RestartAgents(func(i int) bool { return !x.rig.Agents[i].Host.IsUp() })
				time.Sleep(100 * time.Millisecond)
			}
		}},
		"all agents restart": {step: smallStep(6), indices: []int{0}, fault: func(x *crashRun) { x.rig.RestartAgents(func(int) bool { return true }) }},
		"the store refuses all calls": {step: smallStep(6), indices: []int{0}, fault: func(x *crashRun) {
			x.rig.Store.SetFaults("", kqrowstore.Faults{Refuse: true})
			time.Sleep(4 * time.Second)
			x.rig.Store.ClearFaults()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					c.config.Seed = seed
					x := newCrashRun(c.config)
					defer x.rig.Stop()
					if c.after == 0 {
						c.after = crashDelay
					}
					go x.load(20 * time.Second)
					time.Sleep(2 * time.Second)
					x.rig.SubmitPoison(c.step, c.repeat, c.after, c.indices...)
					submittedAt := time.Now()
					time.Sleep(2500 * time.Millisecond)
					if c.fault != nil {
						c.fault(x)
					}
					want := cmp.Or(c.state, kqflow.StateFailed)
					for x.rig.State(kqflowrig.PoisonJobID) != want && time.Since(submittedAt) < giveUpTime {
						time.Sleep(100 * time.Millisecond)
					}
					if s := x.rig.State(kqflowrig.PoisonJobID); s != want {
						t.Errorf("seed %d: the job is %q after %s", seed, s, giveUpTime)
					}
					t.Logf("seed %d: %s after %s, %d crashes", seed, x.rig.State(kqflowrig.PoisonJobID), time.Since(submittedAt).Round(100*time.Millisecond), len(x.rig.Ledger.CrashTimes()))
					time.Sleep(max(0, 20*time.Second-time.Since(submittedAt)))
					x.check(t)
					if n := len(x.rig.Ledger.CrashTimes()); c.maxCrashes > 0 && n > c.maxCrashes {
						t.Errorf("seed %d: %d workers have crashed, at most %d may", seed, n, c.maxCrashes)
					}
				})
			}
		})
	}
}

// killStarter kills the process of the agent that starts the next run, and restarts it.
func (x *crashRun) killStarter() {
	used := func(i int) int64 { return x.rig.Agents[i].Host.Used().MilliProcessors }
	before := map[int]int64{}
	for i := 0; ; i = (i + 1) % len(x.rig.Agents) {
		n, ok := before[i], len(before) == len(x.rig.Agents)
		if before[i] = used(i); ok && before[i] > n {
			x.rig.RestartAgents(func(k int) bool { return k == i })
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// A tenth of the jobs have a task that crashes its worker, and the agents that start runs are killed.
// Guards against innocent jobs that are given up or lost where several suspects are on trial at once, and
// against poison tasks that are started without limit because nobody reports their crashes.
func TestInnocentJobsAreGivenUpAmongPoisonJobs(t *testing.T) {
	const poisonJobs = 4
	for name, c := range map[string]struct {
		config kqflowrig.Config
		// fault happens after each poison job.
		fault func(x *crashRun)
	}{
		"no further fault":            {},
		"the last starter is killed":  {fault: (*crashRun).killStarter},
		"workers keep their id":       {config: kqflowrig.Config{SendsBirthTime: true}, fault: (*crashRun).killStarter},
		"starters are killed in turn": {fault: func(x *crashRun) { x.killStarter(); x.killStarter(); x.killStarter() }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					c.config.Seed = seed
					x := newCrashRun(c.config)
					defer x.rig.Stop()
					go x.load(20 * time.Second)
					var poison []string
					for n := range poisonJobs {
						time.Sleep(2 * time.Second)
						j := kqflow.Job{ID: fmt.Sprintf("%016x", 0xdead0000+n), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{smallStep(6)}}
						x.rig.SetPoison(kqflow.TaskID{Job: j.ID, Index: n}.String(), crashDelay)
						x.rig.SubmitUntracked(j)
						poison = append(poison, j.ID)
						if c.fault != nil {
							c.fault(x)
						}
					}
					time.Sleep(giveUpTime)
					for _, id := range poison {
						if s := x.rig.State(id); s != kqflow.StateFailed {
							t.Errorf("seed %d: poison job %s is %q after %s", seed, id, s, giveUpTime)
						}
					}
					t.Logf("seed %d: %d crashes", seed, len(x.rig.Ledger.CrashTimes()))
					x.check(t)
				})
			}
		})
	}
}

// Workers crash by themselves, or are replaced, again and again. Guards against innocent jobs that are
// given up with the workers that they were on, and against suspects that wait for long.
func TestInnocentJobsAreGivenUpForTheCrashesOfTheirWorkers(t *testing.T) {
	const crashes = 8
	for name, crash := range map[string]func(x *crashRun, n int){
		"one after another": func(x *crashRun, n int) {
			x.rig.Agents[n%len(x.rig.Agents)].Host.Crash(2 * time.Second)
			time.Sleep(2200 * time.Millisecond)
		},
		"half of them at once": func(x *crashRun, n int) {
			for i, a := range x.rig.Agents {
				if (i+n)%2 == 0 {
					a.Host.Crash(2 * time.Second)
				}
			}
			time.Sleep(3500 * time.Millisecond)
		},
		"the same one as soon as it is back": func(x *crashRun, _ int) {
			x.rig.Agents[0].Host.Crash(2 * time.Second)
			time.Sleep(2700 * time.Millisecond)
		},
		"one that takes longer than its lease": func(x *crashRun, n int) {
			x.rig.Agents[n%2].Host.Crash(9 * time.Second)
			time.Sleep(5 * time.Second)
		},
		"with their agents": func(x *crashRun, n int) {
			m := x.rig.Agents[n%len(x.rig.Agents)]
			m.Host.Crash(2 * time.Second)
			m.Kill()
			time.Sleep(time.Second)
			restart(m)()
			time.Sleep(1500 * time.Millisecond)
		},
		"they leave": func(x *crashRun, n int) {
			x.rig.Agents[n%len(x.rig.Agents)].ReplaceWorker(1500 * time.Millisecond)
			time.Sleep(700 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					x := newCrashRun(kqflowrig.Config{Seed: seed, SendsBirthTime: seed == 2})
					defer x.rig.Stop()
					go x.load(24 * time.Second)
					time.Sleep(time.Second)
					for n := range crashes {
						crash(x, n)
					}
					x.check(t)
				})
			}
		})
	}
}
