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
	fleetLoadTime = flag.Duration("span", 4*time.Second, "how long jobs are submitted to the large fleet")
	// fleetSize is at most 250, since the address of each worker is in the same /24 network. The
	// load grows in proportion.
	fleetSize = flag.Int("fleet", siteWorkers, "number of workers of the large fleet, at most 250; the load grows in proportion")
)

// fleetLoad generates the jobs of a large fleet.
type fleetLoad struct {
	rig     *kqflowrig.Rig
	rng     *rand.Rand
	created int
}

func (s *fleetLoad) newID() string {
	s.created++
	return fmt.Sprintf("%016x", s.created)
}

// newStep returns a step of tasks that reserve the given thousandths of a processor and 1 GiB each.
func newStep(count int, milli int64, estimate time.Duration) kqflow.Step {
	return kqflow.Step{Count: count, Resources: kqmodel.Resources{MilliProcessors: milli, MemoryBytes: 1 << 30}, Estimate: estimate}
}

// submitLongRunning submits jobs of long-running tasks with a latency target.
func (s *fleetLoad) submitLongRunning(jobs int) {
	for n := range jobs {
		template := newStep(14, 6000, time.Hour)
		template.LongRunning, template.Image, template.TailTarget = true, fmt.Sprint("s", n%5), 100*time.Millisecond
		s.rig.Submit(kqflow.Job{ID: s.newID(), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{template}})
	}
}

// randomJob returns an urgent job of short tasks or, one time in six, a batch job of filling tasks.
func (s *fleetLoad) randomJob() kqflow.Job {
	job := kqflow.Job{ID: s.newID(), Queue: "urgent", Payload: "p"}
	template, steps := newStep(10, 1800, 800*time.Millisecond), 1+s.rng.IntN(2)
	if s.rng.IntN(6) == 0 {
		job.Queue = "batch"
		template, steps = newStep(20, 7000, 2700*time.Millisecond), 2
		template.Fills, template.Checkpoints, template.Image = true, true, fmt.Sprint("f", s.rng.IntN(8))
	}
	for n := range steps {
		if n > 0 {
			template.After = []int{n - 1}
		}
		job.Steps = append(job.Steps, template)
	}
	return job
}

const (
	// siteWorkers, siteLongRunningJobs and siteJobRate (in jobs per second) are the size and load of
	// the larger of the users' sites after their growth.
	siteWorkers         = 77
	siteLongRunningJobs = 40
	siteJobRate         = 17.3
	// completionTime is the time for jobs to complete after the last one is submitted.
	completionTime = 6 * time.Second
)

// Runs the owner and agents of a large fleet at the job rate of the users' larger site. Guards
// against an owner that cannot sustain that load: four of five jobs must complete, without
// breaches. With -cpuprofile it shows the processor time of an owner of that size.
func TestTheGrownFleetIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := &fleetLoad{rng: rand.New(rand.NewPCG(1, 1))}
		load.rig = kqflowrig.New(kqflowrig.Config{Seed: 1, Agents: *fleetSize, Capacity: kqmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 256 << 30}})
		time.Sleep(3 * time.Second)
		scale := float64(*fleetSize) / siteWorkers
		longRunningJobs := int(siteLongRunningJobs * scale)
		load.submitLongRunning(longRunningJobs)
		for end := time.Now().Add(*fleetLoadTime); time.Now().Before(end); {
			time.Sleep(time.Duration(load.rng.ExpFloat64() * float64(time.Second) / (siteJobRate * scale)))
			load.rig.Submit(load.randomJob())
		}
		time.Sleep(completionTime)
		completed := 0
		jobs := load.rig.Accepted()[longRunningJobs:]
		for _, id := range jobs {
			if load.rig.State(id) == kqflow.StateCompleted {
				completed++
			}
		}
		t.Logf("%d jobs accepted, %d completed, %d starts", len(jobs), completed, load.rig.Ledger.StartCount())
		breaches := load.rig.Ledger.Breaches()
		load.rig.Stop()
		if len(breaches) > 0 || completed*5 < 4*len(jobs) {
			t.Errorf("%d of %d jobs completed, %d breaches, first %v", completed, len(jobs), len(breaches), breaches[:min(3, len(breaches))])
		}
	})
}
