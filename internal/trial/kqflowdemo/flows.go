package kqflowdemo

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
)

const (
	service  = "pool"
	urgent   = "urgent"
	nightly  = "nightly"
	standing = "standing"
	attempts = 4
	gigabyte = int64(1_000_000_000)
)

// queues is the classes of work of the demo.
func queues() []kqgate.QueueSpec {
	return []kqgate.QueueSpec{
		{Name: standing, Service: service, MaxAttempts: attempts, Stretch: 1, Target: kqmodel.Duration(time.Second)},
		{Name: urgent, Service: service, MaxAttempts: attempts, Stretch: 1.5, Target: kqmodel.Duration(250 * time.Millisecond)},
		{Name: nightly, Service: service, Priority: 2, MaxAttempts: attempts, Stretch: 3, Target: kqmodel.Duration(time.Second)},
	}
}

func size(milli int64) kqmodel.Resources {
	return kqmodel.Resources{MilliProcessors: milli, MemoryBytes: gigabyte}
}

// flows is a flow of each kind.
func flows() []kqgate.FlowSpec {
	second := kqmodel.Duration(time.Second)
	return []kqgate.FlowSpec{
		{ID: "front-desk", Queue: standing, Steps: []kqgate.StepSpec{
			{Count: 3, Resources: size(1000), LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1, Image: "desk", TailTarget: kqmodel.Duration(80 * time.Millisecond)}}},
		{ID: "ledger-close", Queue: urgent, Steps: []kqgate.StepSpec{
			{Count: 2, Resources: size(1000), Estimate: second / 2},
			{Count: 6, Resources: size(1000), Estimate: second, After: []int{0}, Speculative: true},
			{Count: 1, Resources: size(500), Estimate: second / 2, After: []int{1}}}},
		{ID: "nightly-report", Queue: nightly, Steps: []kqgate.StepSpec{
			{Count: 12, Resources: size(2000), Estimate: 2 * second, Checkpoints: true},
			{Count: 2, Resources: size(1000), Estimate: second, After: []int{0}}}},
		{ID: "index-rebuild", Queue: nightly, Steps: []kqgate.StepSpec{
			{Count: 6, Resources: size(2000), Estimate: 2 * second, Fills: true, Image: "index"}}},
	}
}
