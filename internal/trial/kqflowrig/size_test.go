package kqflowrig_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

var (
	span = flag.Duration("span", 4*time.Second, "how long the grown fleet gets jobs")
	// fleet is up to 250: each has an address of one network.
	fleet = flag.Int("fleet", grownFleet, "how many workers the grown fleet has, with as many more jobs")
)

// sized submits jobs at a rate to a rig of a size.
type sized struct {
	rig  *kqflowrig.Rig
	rng  *rand.Rand
	jobs int
}

func (s *sized) id() string {
	s.jobs++
	return fmt.Sprintf("%016x", s.jobs)
}

func step(count int, milli int64, estimate time.Duration) kqflow.Step {
	return kqflow.Step{Count: count, Resources: kqmodel.Resources{MilliProcessors: milli, MemoryBytes: 1 << 30}, Estimate: estimate}
}

// serve submits standing jobs.
func (s *sized) serve(jobs int) {
	for n := range jobs {
		x := step(14, 6000, time.Hour)
		x.LongRunning, x.Image, x.TailTarget = true, fmt.Sprint("s", n%5), 100*time.Millisecond
		s.rig.Submit(kqflow.Job{ID: s.id(), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{x}})
	}
}

// job draws an urgent job of quick tasks, or a batch job of filling ones.
func (s *sized) job() kqflow.Job {
	j := kqflow.Job{ID: s.id(), Queue: "urgent", Payload: "p"}
	x, steps := step(10, 1800, 800*time.Millisecond), 1+s.rng.IntN(2)
	if s.rng.IntN(6) == 0 {
		j.Queue = "batch"
		x, steps = step(20, 7000, 2700*time.Millisecond), 2
		x.Fills, x.Checkpoints, x.Image = true, true, fmt.Sprint("f", s.rng.IntN(8))
	}
	for n := range steps {
		if n > 0 {
			x.After = []int{n - 1}
		}
		j.Steps = append(j.Steps, x)
	}
	return j
}

const (
	// grownFleet, grownStanding and grownRate are the workers, standing jobs and jobs
	// a second of the larger of the users' grown sites.
	grownFleet    = 77
	grownStanding = 40
	grownRate     = 17.3
	// settle is how long jobs may take after the last one.
	settle = 6 * time.Second
)

// TestTheGrownFleetIsServed runs the agents of a fleet and their owner at the rates
// of the grown site. With -cpuprofile it shows what an owner of that size costs.
func TestTheGrownFleetIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sized{rng: rand.New(rand.NewPCG(1, 1))}
		s.rig = kqflowrig.New(kqflowrig.Config{Seed: 1, Agents: *fleet, Capacity: kqmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 256 << 30}})
		time.Sleep(3 * time.Second)
		growth := float64(*fleet) / grownFleet
		standingJobs := int(grownStanding * growth)
		s.serve(standingJobs)
		for end := time.Now().Add(*span); time.Now().Before(end); {
			time.Sleep(time.Duration(s.rng.ExpFloat64() * float64(time.Second) / (grownRate * growth)))
			s.rig.Submit(s.job())
		}
		time.Sleep(settle)
		done := 0
		jobs := s.rig.Accepted()[standingJobs:]
		for _, id := range jobs {
			if s.rig.State(id) == kqflow.StateCompleted {
				done++
			}
		}
		t.Logf("%d jobs accepted, %d completed, %d starts", len(jobs), done, s.rig.Ledger.StartCount())
		bad := s.rig.Ledger.Breaches()
		s.rig.Stop()
		if len(bad) > 0 || done*5 < 4*len(jobs) {
			t.Errorf("%d of %d jobs completed, %d breaches, first %v", done, len(jobs), len(bad), bad[:min(3, len(bad))])
		}
	})
}
