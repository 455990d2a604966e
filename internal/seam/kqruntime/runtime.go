// Package kqruntime defines the interface to the task runtime of one worker.
package kqruntime

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// Phase is the state of an attempt in the runtime.
type Phase string

// Phases of an attempt.
const (
	PhasePending   Phase = "pending"
	PhaseRunning   Phase = "running"
	PhaseSuspended Phase = "suspended"
	PhaseFinished  Phase = "finished"
	PhaseFailed    Phase = "failed"
	PhaseStopped   Phase = "stopped"
)

// Ended reports whether the attempt has ended and no longer uses resources.
func (p Phase) Ended() bool {
	return p == PhaseFinished || p == PhaseFailed || p == PhaseStopped
}

// Goal is what the owner of a cell wants an attempt to do.
type Goal string

// Goals for an attempt.
const (
	// GoalRun means that the attempt is to run.
	GoalRun Goal = "run"
	// GoalEvict means that the attempt is to stop after a checkpoint has been stored.
	GoalEvict Goal = "evict"
	// GoalStop means that the attempt is to stop immediately.
	GoalStop Goal = "stop"
)

// Order is an attempt that the owner of a cell has assigned to a worker.
type Order struct {
	// ID names the attempt.
	ID kqmodel.AttemptID
	// Token is the fencing token: orders for the task with a lower token are refused.
	Token uint64
	// Resources is the amount reserved on the worker.
	Resources kqmodel.Resources
	// Declared is the amount that the job declared for the task.
	Declared kqmodel.Resources
	// RunTime is the declared run time.
	RunTime time.Duration
	// Family groups tasks with similar behaviour.
	Family string
	// Checkpoint names the object to resume from; empty starts from the beginning.
	Checkpoint string
	// Watcher is true for a task that is kept running, and false for a batch task.
	Watcher bool
	// Command is the command to run.
	Command string
	// HostBoot is the boot of the host that the order is for. The attempt is not started
	// after the host has restarted.
	HostBoot string
	// Goal is what the owner wants the attempt to do.
	Goal Goal
	// Interference is the slowdown that the task is expected to cause to the services on
	// its host; 0.1 means that they become 10 % slower.
	Interference float64
}

// Report is the state of an attempt as the runtime reports it.
type Report struct {
	// ID names the attempt.
	ID kqmodel.AttemptID
	// Phase is the state.
	Phase Phase
	// Checkpoint names the last stored checkpoint.
	Checkpoint string
	// Usage is the measured resource usage, which lags behind the actual usage.
	Usage kqmodel.Resources
	// RunTime is the time that the task has run so far, over all attempts.
	RunTime time.Duration
	// Throttle is the share of its processors that the attempt may use, from 0 to 1.
	Throttle float64
	// Reason is why the attempt ended.
	Reason string
}

// Inventory is the state of a runtime: its host and its attempts.
type Inventory struct {
	// HostBoot identifies the boot of the host; it changes when the host restarts.
	HostBoot string
	// Capacity is the resources of the host.
	Capacity kqmodel.Resources
	// Tasks lists the attempts that the runtime has known since the host booted.
	Tasks []Report
}

// Runtime holds the operations of a worker's task runtime.
type Runtime struct {
	// Start starts an attempt, or resumes a suspended one. Its lease ends at a time on the
	// host's clock.
	Start func(ctx context.Context, o Order, until time.Time) error
	// Renew extends the lease of an attempt to a time on the host's clock.
	Renew func(ctx context.Context, id kqmodel.AttemptID, token uint64, until time.Time) error
	// Checkpoint stores a checkpoint and returns its name.
	Checkpoint func(ctx context.Context, id kqmodel.AttemptID, token uint64) (string, error)
	// Suspend pauses an attempt in place.
	Suspend func(ctx context.Context, id kqmodel.AttemptID, token uint64) error
	// Throttle sets the share of its processors that an attempt may use, from 0 to 1.
	Throttle func(ctx context.Context, id kqmodel.AttemptID, token uint64, share float64) error
	// Stop ends an attempt. The runtime remembers an unknown attempt, so that a delayed start
	// of it has no effect.
	Stop func(ctx context.Context, id kqmodel.AttemptID, token uint64) error
	// Inventory returns the state of the runtime.
	Inventory func(ctx context.Context) (Inventory, error)
}

// Remote returns a Runtime that calls a runtime service.
func Remote(c kqwire.RuntimeServiceClient) Runtime {
	r := remote{c}
	return Runtime{Start: r.start, Renew: r.renew, Checkpoint: r.checkpoint, Suspend: r.suspend,
		Throttle: r.throttle, Stop: r.stop, Inventory: r.inventory}
}

type remote struct {
	client kqwire.RuntimeServiceClient
}

// taskMethod is a method of the runtime service that takes a command for one attempt.
type taskMethod func(context.Context, *connect.Request[kqwire.TaskCommand]) (*connect.Response[kqwire.TaskResult], error)

// call calls a method and returns its result; a result code other than 0 is an error.
func call(ctx context.Context, method taskMethod, q *kqwire.TaskCommand) (*kqwire.TaskResult, error) {
	a, err := method(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	if a.Msg.Code != 0 {
		return nil, &kqresult.Error{Code: kqresult.Code(a.Msg.Code), Reason: a.Msg.Reason}
	}
	return a.Msg, nil
}

func (r remote) start(ctx context.Context, o Order, until time.Time) error {
	a, err := r.client.Start(ctx, connect.NewRequest(&kqwire.StartTask{Order: OrderToWire(o), LeaseUntil: until.UnixNano()}))
	if err != nil {
		return err
	}
	if a.Msg.Code != 0 {
		return &kqresult.Error{Code: kqresult.Code(a.Msg.Code), Reason: a.Msg.Reason}
	}
	return nil
}

func (r remote) renew(ctx context.Context, id kqmodel.AttemptID, token uint64, until time.Time) error {
	_, err := call(ctx, r.client.Renew, &kqwire.TaskCommand{Key: KeyToWire(id), Token: token, LeaseUntil: until.UnixNano()})
	return err
}

func (r remote) checkpoint(ctx context.Context, id kqmodel.AttemptID, token uint64) (string, error) {
	a, err := call(ctx, r.client.Checkpoint, &kqwire.TaskCommand{Key: KeyToWire(id), Token: token})
	if err != nil {
		return "", err
	}
	return a.Report.GetCheckpoint(), nil
}

func (r remote) suspend(ctx context.Context, id kqmodel.AttemptID, token uint64) error {
	_, err := call(ctx, r.client.Suspend, &kqwire.TaskCommand{Key: KeyToWire(id), Token: token})
	return err
}

func (r remote) throttle(ctx context.Context, id kqmodel.AttemptID, token uint64, share float64) error {
	_, err := call(ctx, r.client.Throttle, &kqwire.TaskCommand{Key: KeyToWire(id), Token: token, Throttle: share})
	return err
}

func (r remote) stop(ctx context.Context, id kqmodel.AttemptID, token uint64) error {
	_, err := call(ctx, r.client.Stop, &kqwire.TaskCommand{Key: KeyToWire(id), Token: token})
	return err
}

func (r remote) inventory(ctx context.Context) (Inventory, error) {
	a, err := r.client.Inventory(ctx, connect.NewRequest(&kqwire.InventoryRequest{}))
	if err != nil {
		return Inventory{}, err
	}
	v := Inventory{HostBoot: a.Msg.HostBoot, Capacity: ResourcesFromWire(a.Msg.Capacity)}
	for _, t := range a.Msg.Tasks {
		v.Tasks = append(v.Tasks, ReportFromWire(t))
	}
	return v, nil
}
