package kqrig

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
)

// Fault is one thing that can go wrong, with its end.
type Fault struct {
	// Name is the snake case name.
	Name string
	// Begin brings the fault about and returns what ends it.
	Begin func(r *Rig) (end func())
}

// pick returns one of the nodes, the owner more often than another.
func (r *Rig) pick() *Node {
	if o := r.Owner(); o != nil && r.rng.IntN(3) == 0 {
		return o
	}
	return r.Nodes[r.rng.IntN(len(r.Nodes))]
}

// Faults lists every fault of the rig.
var Faults = []Fault{
	{"agent_killed", func(r *Rig) func() {
		n := r.pick()
		n.KillAgent()
		return func() {
			if n.hostUp && !n.up {
				n.StartAgent()
			}
		}
	}},
	{"host_killed", func(r *Rig) func() {
		n := r.pick()
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
		rack := r.pick().rack()
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
		r.pick().Pause(time.Duration(1+r.rng.IntN(40)) * time.Second)
		return func() {}
	}},
	{"network_cut", func(r *Rig) func() {
		n := r.pick()
		r.Network.Cut(n, true)
		return func() { r.Network.Cut(n, false) }
	}},
	{"zone_cut_off_with_store", func(r *Rig) func() {
		half := r.Nodes[:len(r.Nodes)/2]
		for _, n := range half {
			r.Network.Cut(n, true)
		}
		return func() {
			for _, n := range half {
				r.Network.Cut(n, false)
			}
		}
	}},
	{"store_cut_from_one", func(r *Rig) func() {
		n := r.pick()
		n.CutStore(true)
		return func() { n.CutStore(false) }
	}},
	{"store_down", func(r *Rig) func() {
		r.Store.Down = true
		return func() { r.Store.Down = false }
	}},
	{"store_slow", func(r *Rig) func() {
		r.Store.Delay = 5 * time.Second
		return func() { r.Store.Delay = 0 }
	}},
	{"answers_lost", func(r *Rig) func() {
		r.Store.LoseAnswers = 0.3
		return func() { r.Store.LoseAnswers = 0 }
	}},
	{"messages_late", func(r *Rig) func() {
		r.Network.Loss, r.Network.Late, r.Network.LateBy = 0.1, 0.3, 5*time.Second
		return func() { r.Network.Loss, r.Network.Late = 0, 0 }
	}},
	{"checkpoints_fail", func(r *Rig) func() {
		r.ObjectFaults.Set(kqfault.State{Down: true})
		return func() { r.ObjectFaults.Set(kqfault.State{}) }
	}},
	{"worker_fails_everything", func(r *Rig) func() {
		n := r.pick()
		n.Faults.Set(kqfault.State{FailTasks: 1})
		return func() { n.Faults.Set(kqfault.State{}) }
	}},
	{"worker_drained", func(r *Rig) func() {
		n := r.pick()
		n.Drain()
		return func() { n.draining = false }
	}},
}

// FindFault returns the fault of a name.
func FindFault(name string) Fault {
	for _, f := range Faults {
		if f.Name == name {
			return f
		}
	}
	panic("no fault " + name)
}

// Chaos is a run in which faults come and go.
type Chaos struct {
	// Rig is the rig.
	Rig *Rig
	// Between is the mean time between two faults.
	Between time.Duration
	// Lasting is the mean time of a fault.
	Lasting time.Duration

	jobs int
}

// Drive lets faults come and go and jobs come and be cancelled for a time, and
// then ends every fault.
func (c *Chaos) Drive(d time.Duration) {
	r := c.Rig
	var open []func()
	for end := r.now.Add(d); r.now.Before(end); {
		r.Run(time.Duration(r.rng.ExpFloat64() * float64(c.Between)))
		stop := Faults[r.rng.IntN(len(Faults))].Begin(r)
		open = append(open, stop)
		r.after(time.Duration(r.rng.ExpFloat64()*float64(c.Lasting)), stop)
		c.work()
	}
	for _, stop := range open {
		stop()
	}
}

// work submits a job and now and then cancels one.
func (c *Chaos) work() {
	r := c.Rig
	c.jobs++
	s := kqmodel.JobSpec{ID: fmt.Sprintf("job-%03d", c.jobs), Team: fmt.Sprintf("team-%d", r.rng.IntN(3)), Class: "batch",
		Family: fmt.Sprintf("family-%d", r.rng.IntN(4)), Tasks: uint32(1 + r.rng.IntN(8)), Urgency: kqmodel.UrgencyNormal,
		RunTime:   kqmodel.Duration(time.Duration(1+r.rng.IntN(60)) * time.Second),
		Resources: kqmodel.Resources{MilliProcessors: int64(500 * (1 + r.rng.IntN(12))), MemoryBytes: int64(1+r.rng.IntN(8)) << 30}}
	if r.rng.IntN(6) == 0 {
		s.Urgency = kqmodel.UrgencyUrgent
	}
	watcher := r.rng.IntN(10) == 0
	if watcher {
		// Watchers never end: they must leave room and quota for the rest.
		s.Team, s.Tasks, s.Resources = "team-0", 2, kqmodel.Resources{MilliProcessors: 250, MemoryBytes: 1 << 28}
	}
	r.Submit(s, watcher)
	if r.rng.IntN(4) == 0 {
		r.Cancel(fmt.Sprintf("job-%03d", 1+r.rng.IntN(c.jobs)))
	}
}

// Verdict says what was broken after a chaos run has been given time to end.
func (r *Rig) Verdict(bound time.Duration) []string {
	ended := r.RunUntil(bound, r.AllEnded)
	out := r.Breaches()
	if !ended {
		for id, j := range r.checks.accepted {
			if !j.Watcher && r.Summary(id) == nil {
				out = append(out, fmt.Sprintf("job %s has not ended %s after the last fault: %s", id, bound, r.describe(id)))
			}
		}
	}
	for id, j := range r.checks.accepted {
		if s := r.Summary(id); s != nil && s.Finished+s.Failed+s.Cancelled != int(j.Spec.Tasks) {
			out = append(out, fmt.Sprintf("job %s: %d tasks, ended as %+v", id, j.Spec.Tasks, *s))
		}
	}
	return out
}

func (r *Rig) describe(job string) string {
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
