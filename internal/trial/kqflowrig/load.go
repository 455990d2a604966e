package kqflowrig

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

const (
	// PoisonJobID is the id of the job that SubmitPoison submits.
	PoisonJobID = "00000000deadface"
	// loadInterval is the time between two jobs of SubmitLoad.
	loadInterval = 200 * time.Millisecond
	// restartTime is how long RestartAgents takes to start the processes that it has killed.
	restartTime = 500 * time.Millisecond
)

// SubmitLoad submits jobs of one step, five a second, for a time.
func (r *Rig) SubmitLoad(d time.Duration, s kqflow.Step) {
	for n := 1; n <= int(d/loadInterval); n++ {
		time.Sleep(loadInterval)
		go r.Submit(kqflow.Job{ID: fmt.Sprintf("%016x", n), Queue: urgentQueue, Payload: "p", Steps: []kqflow.Step{s}})
	}
}

// SubmitPoison submits a job in which the listed tasks of its only step crash each worker a time after
// they start, all of them if none is listed. The job is repeated every 4 s if repeat is above 0.
func (r *Rig) SubmitPoison(s kqflow.Step, repeat int, after time.Duration, indices ...int) {
	if len(indices) == 0 {
		for i := range s.Count {
			indices = append(indices, i)
		}
	}
	for _, i := range indices {
		r.SetPoison(kqflow.TaskID{Job: PoisonJobID, Index: i}.String(), after)
	}
	j := kqflow.Job{ID: PoisonJobID, Queue: urgentQueue, Payload: "p", Steps: []kqflow.Step{s}}
	if repeat > 0 {
		j.Repeat, j.FirstAt, j.Every = repeat, time.Now().Add(500*time.Millisecond), 4*time.Second
	}
	r.Submit(j)
}

// RestartAgents kills the processes of the agents for which kill is true, and starts all agents that do
// not run.
func (r *Rig) RestartAgents(kill func(agent int) bool) {
	for i, a := range r.Agents {
		if kill(i) {
			a.Kill()
		}
	}
	time.Sleep(restartTime)
	for _, a := range r.Agents {
		if a.IsRunning() {
			continue
		}
		if err := a.Start(); err != nil {
			panic(err)
		}
	}
}

// UsedProcessors returns the processors, in thousandths, that the runs on all workers use.
func (r *Rig) UsedProcessors() int64 {
	sum := int64(0)
	for _, a := range r.Agents {
		sum += a.Host.Used().MilliProcessors
	}
	return sum
}
