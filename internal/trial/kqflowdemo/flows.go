package kqflowdemo

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
)

const (
	service          = "pool"
	urgentQueue      = "urgent"
	nightlyQueue     = "nightly"
	longRunningQueue = "standing"
	maxAttempts      = 4
	gigabyte         = int64(1_000_000_000)
)

// queues returns the queues of the demo.
func queues() []kqgate.QueueSpec {
	return []kqgate.QueueSpec{
		{Name: longRunningQueue, Service: service, MaxAttempts: maxAttempts, Stretch: 1, Target: kqmodel.Duration(time.Second)},
		{Name: urgentQueue, Service: service, MaxAttempts: maxAttempts, Stretch: 1.5, Target: kqmodel.Duration(250 * time.Millisecond)},
		{Name: nightlyQueue, Service: service, Priority: 2, MaxAttempts: maxAttempts, Stretch: 3, Target: kqmodel.Duration(time.Second)},
	}
}

func taskResources(milli int64) kqmodel.Resources {
	return kqmodel.Resources{MilliProcessors: milli, MemoryBytes: gigabyte}
}

// flows returns the flows of the demo: a long-running one, two with dependent steps and a
// filling one.
func flows() []kqgate.FlowSpec {
	second := kqmodel.Duration(time.Second)
	return []kqgate.FlowSpec{
		{ID: "front-desk", Queue: longRunningQueue, Steps: []kqgate.StepSpec{
			{Count: 3, Resources: taskResources(1000), LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1, Image: "desk", TailTarget: kqmodel.Duration(80 * time.Millisecond)}}},
		{ID: "ledger-close", Queue: urgentQueue, Steps: []kqgate.StepSpec{
			{Count: 2, Resources: taskResources(1000), Estimate: second / 2},
			{Count: 6, Resources: taskResources(1000), Estimate: second, After: []int{0}, Speculative: true},
			{Count: 1, Resources: taskResources(500), Estimate: second / 2, After: []int{1}}}},
		{ID: "nightly-report", Queue: nightlyQueue, Steps: []kqgate.StepSpec{
			{Count: 12, Resources: taskResources(2000), Estimate: 2 * second, Checkpoints: true},
			{Count: 2, Resources: taskResources(1000), Estimate: second, After: []int{0}}}},
		{ID: "index-rebuild", Queue: nightlyQueue, Steps: []kqgate.StepSpec{
			{Count: 6, Resources: taskResources(2000), Estimate: 2 * second, Fills: true, Image: "index"}}},
	}
}
