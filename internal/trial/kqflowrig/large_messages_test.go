package kqflowrig_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

// The largest jobs that are accepted run on one worker, and its agent, which is the owner, is killed while they do.
// Guards against orders, and a list of all orders after a takeover, that together exceed the largest message: the
// worker's agent lost its stream for them, again and again, and no later job began there either.
func TestTheLargestJobsMakeMessagesThatAreTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := kqflowrig.New(kqflowrig.Config{Seed: 1, Agents: 1, Capacity: kqmodel.Resources{MilliProcessors: 200_000, MemoryBytes: 1 << 40}})
		defer r.Stop()
		time.Sleep(5 * time.Second)
		large := kqflow.Step{Count: kqflow.MaxTasks, Estimate: 6 * time.Second, Checkpoints: true, Resources: kqmodel.Resources{MilliProcessors: 20, MemoryBytes: 1 << 20}}
		var ids []string
		submit := func(payload string, s kqflow.Step) {
			id := fmt.Sprintf("%016x", len(ids)+1)
			ids = append(ids, id)
			if !r.Submit(kqflow.Job{ID: id, Queue: "urgent", Payload: payload, Steps: []kqflow.Step{s}}) {
				t.Fatalf("job %s is not stored", id)
			}
		}
		for range 3 {
			submit(strings.Repeat("x", kqflow.MaxPayload), large)
		}
		time.Sleep(2 * time.Second)
		r.RestartAgents(func(i int) bool { return r.Agents[i].IsOwner() })
		submit("p", kqflow.Step{Count: 4, Estimate: 300 * time.Millisecond, Resources: kqmodel.Resources{MilliProcessors: 500, MemoryBytes: 1 << 20}})
		time.Sleep(40 * time.Second)
		for _, id := range ids {
			if s := r.State(id); s != kqflow.StateCompleted {
				t.Errorf("state of job %s: %q", id, s)
			}
		}
		for _, b := range r.Ledger.Breaches() {
			t.Error(b)
		}
		for _, b := range r.Counter.Breaches() {
			t.Error(b)
		}
	})
}
