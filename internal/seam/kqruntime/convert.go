package kqruntime

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// ResourcesToWire converts resources to the wire message.
func ResourcesToWire(r kqmodel.Resources) *kqwire.Resources {
	return &kqwire.Resources{MilliProcessors: r.MilliProcessors, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

// ResourcesFromWire converts the wire message to resources.
func ResourcesFromWire(r *kqwire.Resources) kqmodel.Resources {
	return kqmodel.Resources{MilliProcessors: r.GetMilliProcessors(), MemoryBytes: r.GetMemoryBytes(), Accelerators: r.GetAccelerators()}
}

// KeyToWire converts the id of an attempt to the wire message.
func KeyToWire(id kqmodel.AttemptID) *kqwire.TaskKey {
	return &kqwire.TaskKey{JobId: id.Task.Job, Index: id.Task.Index, Attempt: id.Attempt}
}

// KeyFromWire converts the wire message to the id of an attempt.
func KeyFromWire(k *kqwire.TaskKey) kqmodel.AttemptID {
	return kqmodel.AttemptID{Task: kqmodel.TaskID{Job: k.GetJobId(), Index: k.GetIndex()}, Attempt: k.GetAttempt()}
}

// OrderToWire converts an order to the wire message.
func OrderToWire(o Order) *kqwire.TaskOrder {
	return &kqwire.TaskOrder{Key: KeyToWire(o.ID), Token: o.Token, Resources: ResourcesToWire(o.Resources),
		RunTime: int64(o.RunTime), Family: o.Family, Checkpoint: o.Checkpoint, Watcher: o.Watcher,
		Command: o.Command, Goal: string(o.Goal), Interference: o.Interference, HostBoot: o.HostBoot, Declared: ResourcesToWire(o.Declared)}
}

// OrderFromWire converts the wire message to an order.
func OrderFromWire(o *kqwire.TaskOrder) Order {
	return Order{ID: KeyFromWire(o.GetKey()), Token: o.GetToken(), Resources: ResourcesFromWire(o.GetResources()),
		RunTime: time.Duration(o.GetRunTime()), Family: o.GetFamily(), Checkpoint: o.GetCheckpoint(),
		Watcher: o.GetWatcher(), Command: o.GetCommand(), Goal: Goal(o.GetGoal()), Interference: o.GetInterference(), HostBoot: o.GetHostBoot(), Declared: ResourcesFromWire(o.GetDeclared())}
}

// ReportToWire converts a report to the wire message.
func ReportToWire(r Report) *kqwire.TaskReport {
	return &kqwire.TaskReport{Key: KeyToWire(r.ID), Phase: string(r.Phase), Checkpoint: r.Checkpoint,
		Usage: ResourcesToWire(r.Usage), Reason: r.Reason, Ran: int64(r.RunTime), Throttle: r.Throttle}
}

// ReportFromWire converts the wire message to a report.
func ReportFromWire(r *kqwire.TaskReport) Report {
	return Report{ID: KeyFromWire(r.GetKey()), Phase: Phase(r.GetPhase()), Checkpoint: r.GetCheckpoint(),
		Usage: ResourcesFromWire(r.GetUsage()), Reason: r.GetReason(), RunTime: time.Duration(r.GetRan()),
		Throttle: r.GetThrottle()}
}
