package kqflowrig_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

// The owner is killed, and a queue is added while its successor loads, or the policy before the newest one
// arrives again. Guards against an owner that does not apply the newest policy: jobs of the new queue are
// accepted and never start.
func TestAPolicyThatArrivesWhileAnOwnerLoadsIsLost(t *testing.T) {
	for name, x := range map[string]struct {
		// addAfter holds the times after the end of the owner at which the queue is added or changed;
		// only the last change gives it a service that has workers. The successor loads from about the
		// second to the fifth second.
		addAfter []time.Duration
		// earlierAfter is when the policy before the newest one is passed again, 0 if it is not.
		earlierAfter time.Duration
	}{
		"one":                        {addAfter: []time.Duration{3 * time.Second}},
		"two":                        {addAfter: []time.Duration{3 * time.Second, 3500 * time.Millisecond}},
		"an earlier one follows":     {addAfter: []time.Duration{3 * time.Second, 3500 * time.Millisecond}, earlierAfter: 4 * time.Second},
		"an earlier one comes later": {addAfter: []time.Duration{3 * time.Second, 7 * time.Second}, earlierAfter: 7500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTakeoverRunOf(kqflowrig.Config{Seed: 1, LoadTime: 3 * time.Second})
				defer r.rig.Stop()
				earlier := r.rig.Policy()
				service := earlier.Queues["urgent"].Service
				r.killOwner()
				killedAt := time.Now()
				queue := kqflow.Queue{Name: "added", Service: "without-workers", MaxAttempts: 2, Stretch: 1.5, Target: time.Second}
				for n, after := range x.addAfter {
					time.Sleep(time.Until(killedAt.Add(after)))
					if n == len(x.addAfter)-1 {
						queue.Service = service
					}
					earlier = r.rig.Policy()
					r.rig.AddQueue(queue)
				}
				if x.earlierAfter > 0 {
					time.Sleep(time.Until(killedAt.Add(x.earlierAfter)))
					r.rig.PassPolicy(earlier)
				}
				time.Sleep(time.Until(killedAt.Add(8 * time.Second)))
				const id = "00000000000000bb"
				r.rig.Submit(kqflow.Job{ID: id, Queue: queue.Name, Payload: "p", Steps: []kqflow.Step{{Count: 1, Estimate: 300 * time.Millisecond, Resources: kqmodel.Resources{MilliProcessors: 500, MemoryBytes: 1 << 20}}}})
				time.Sleep(5 * time.Second)
				if s := r.rig.State(id); s != kqflow.StateCompleted {
					t.Errorf("state of a job of the added queue, 5 s after it was accepted: %q", s)
				}
			})
		})
	}
}
