package kqrig

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
)

// Fault is one kind of fault that can be injected.
type Fault struct {
	// Name is the name in snake case.
	Name string
	// Begin injects the fault and returns the function that ends it.
	Begin func(r *Rig) (end func())
}

// pickNode returns a random node. The owner is more likely than the others: it is picked
// outright in one of three cases.
func (r *Rig) pickNode() *Node {
	if o := r.Owner(); o != nil && r.rng.IntN(3) == 0 {
		return o
	}
	return r.Nodes[r.rng.IntN(len(r.Nodes))]
}

// Faults lists all faults that a Rig can inject.
var Faults = []Fault{
	{"agent_killed", func(r *Rig) func() {
		n := r.pickNode()
		n.KillAgent()
		return func() {
			if n.hostUp && !n.agentUp {
				n.StartAgent()
			}
		}
	}},
	{"host_killed", func(r *Rig) func() {
		n := r.pickNode()
		if n.hostUp {
			n.KillHost()
		}
		return func() {
			if !n.hostUp {
				n.BootHost()
			}
		}
	}},
	{"rack_killed", func(r *Rig) func() {
		rack := r.pickNode().rack()
		for _, n := range r.Nodes {
			if n.rack() == rack && n.hostUp {
				n.KillHost()
			}
		}
		return func() {
			for _, n := range r.Nodes {
				if !n.hostUp {
					n.BootHost()
				}
			}
		}
	}},
	{"process_paused", func(r *Rig) func() {
		r.pickNode().Pause(time.Duration(1+r.rng.IntN(40)) * time.Second)
		return func() {}
	}},
	{"network_cut", func(r *Rig) func() {
		n := r.pickNode()
		r.Network.SetCut(n, true)
		return func() { r.Network.SetCut(n, false) }
	}},
	{"zone_cut_off_with_store", func(r *Rig) func() {
		half := r.Nodes[:len(r.Nodes)/2]
		for _, n := range half {
			r.Network.SetCut(n, true)
		}
		return func() {
			for _, n := range half {
				r.Network.SetCut(n, false)
			}
		}
	}},
	{"store_cut_from_one", func(r *Rig) func() {
		n := r.pickNode()
		n.SetStoreCut(true)
		return func() { n.SetStoreCut(false) }
	}},
	{"store_down", func(r *Rig) func() {
		r.Store.Down = true
		return func() { r.Store.Down = false }
	}},
	{"store_slow", func(r *Rig) func() {
		r.Store.ExtraDelay = 5 * time.Second
		return func() { r.Store.ExtraDelay = 0 }
	}},
	{"answers_lost", func(r *Rig) func() {
		r.Store.AnswerLossRate = 0.3
		return func() { r.Store.AnswerLossRate = 0 }
	}},
	{"messages_late", func(r *Rig) func() {
		r.Network.LossRate, r.Network.LateRate, r.Network.MaxLateDelay = 0.1, 0.3, 5*time.Second
		return func() { r.Network.LossRate, r.Network.LateRate = 0, 0 }
	}},
	{"checkpoints_fail", func(r *Rig) func() {
		r.ObjectFaults.Set(kqfault.State{Down: true})
		return func() { r.ObjectFaults.Set(kqfault.State{}) }
	}},
	{"worker_fails_everything", func(r *Rig) func() {
		n := r.pickNode()
		n.Faults.Set(kqfault.State{FailTasks: 1})
		return func() { n.Faults.Set(kqfault.State{}) }
	}},
	{"worker_drained", func(r *Rig) func() {
		n := r.pickNode()
		n.Drain()
		return func() { n.draining = false }
	}},
}

// FindFault returns the fault with the given name. It panics if there is none.
func FindFault(name string) Fault {
	for _, f := range Faults {
		if f.Name == name {
			return f
		}
	}
	panic("no fault " + name)
}

// Chaos runs a Rig with random faults and random jobs.
type Chaos struct {
	// Rig is the cell that the faults are injected into.
	Rig *Rig
	// MeanInterval is the mean time between the beginnings of two faults.
	MeanInterval time.Duration
	// MeanDuration is the mean duration of a fault.
	MeanDuration time.Duration

	jobCount int
}

// Drive injects faults and submits and cancels jobs for the virtual time d, and then ends all
// faults.
func (c *Chaos) Drive(d time.Duration) {
	r := c.Rig
	var stops []func()
	for end := r.now.Add(d); r.now.Before(end); {
		r.Run(time.Duration(r.rng.ExpFloat64() * float64(c.MeanInterval)))
		stop := Faults[r.rng.IntN(len(Faults))].Begin(r)
		stops = append(stops, stop)
		r.after(time.Duration(r.rng.ExpFloat64()*float64(c.MeanDuration)), stop)
		c.submitJob()
	}
	for _, stop := range stops {
		stop()
	}
}

// submitJob submits a random job, and in one of four cases cancels a job submitted so far.
func (c *Chaos) submitJob() {
	r := c.Rig
	c.jobCount++
	s := kqmodel.JobSpec{ID: fmt.Sprintf("job-%03d", c.jobCount), Team: fmt.Sprintf("team-%d", r.rng.IntN(3)), Class: "batch",
		Family: fmt.Sprintf("family-%d", r.rng.IntN(4)), Tasks: uint32(1 + r.rng.IntN(8)), Urgency: kqmodel.UrgencyNormal,
		RunTime:   kqmodel.Duration(time.Duration(1+r.rng.IntN(60)) * time.Second),
		Resources: kqmodel.Resources{MilliProcessors: int64(500 * (1 + r.rng.IntN(12))), MemoryBytes: int64(1+r.rng.IntN(8)) << 30}}
	if r.rng.IntN(6) == 0 {
		s.Urgency = kqmodel.UrgencyUrgent
	}
	watcher := r.rng.IntN(10) == 0
	if watcher {
		// Watchers never end, so they are small enough to leave capacity and quota for the
		// other jobs.
		s.Team, s.Tasks, s.Resources = "team-0", 2, kqmodel.Resources{MilliProcessors: 250, MemoryBytes: 1 << 28}
	}
	r.Submit(s, watcher)
	if r.rng.IntN(4) == 0 {
		r.Cancel(fmt.Sprintf("job-%03d", 1+r.rng.IntN(c.jobCount)))
	}
}

// RunToEnd runs until all jobs but watchers have ended, for the timeout at most. It returns
// the breaches, the jobs that have not ended, and those whose outcome does not account for
// each of their tasks; an empty result means that the run passed.
func (r *Rig) RunToEnd(timeout time.Duration) []string {
	ended := r.RunUntil(timeout, r.AllEnded)
	out := r.Breaches()
	if !ended {
		for id, j := range r.checks.accepted {
			if !j.Watcher && r.Summary(id) == nil {
				out = append(out, fmt.Sprintf("job %s has not ended %s after the last fault: %s", id, timeout, r.describeJob(id)))
			}
		}
	}
	for id, j := range r.checks.accepted {
		if s := r.Summary(id); s != nil && s.Finished+s.Failed+s.Cancelled != int(j.Spec.Tasks) {
			out = append(out, fmt.Sprintf("job %s has %d tasks, but its summary is %+v", id, j.Spec.Tasks, *s))
		}
	}
	return out
}

// describeJob returns the state and the wait reason of each unfinished task of a job.
func (r *Rig) describeJob(job string) string {
	j := r.checks.accepted[job]
	text := ""
	for i := range j.Spec.Tasks {
		id := kqmodel.TaskID{Job: job, Index: i}
		if t, ok := r.Task(id); ok && t.State != "finished" {
			text += fmt.Sprintf("%s %s on %s (%s); ", id, t.State, t.Worker, t.Reason)
		}
		if o := r.Owner(); o != nil && o.cell.WaitReason(id) != "" {
			text += o.cell.WaitReason(id) + "; "
		}
	}
	return text
}
