// Package kqruntime is the seam to the task runtime of one worker.
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

// Ended reports whether the attempt uses nothing any more.
func (p Phase) Ended() bool {
	return p == PhaseFinished || p == PhaseFailed || p == PhaseStopped
}

// Goal is what the owner of a cell wants of an attempt.
type Goal string

// Goals for an attempt.
const (
	// GoalRun lets the attempt run.
	GoalRun Goal = "run"
	// GoalEvict stops the attempt once a checkpoint is stored.
	GoalEvict Goal = "evict"
	// GoalStop stops the attempt at once.
	GoalStop Goal = "stop"
)

// Order is an attempt that the owner of a cell wants on a worker.
type Order struct {
	// ID names the attempt.
	ID kqmodel.AttemptID
	// Token fences older orders for the task.
	Token uint64
	// Resources is the reservation.
	Resources kqmodel.Resources
	// Declared is what the job declared for the task.
	Declared kqmodel.Resources
	// RunTime is the declared run time.
	RunTime time.Duration
	// Family groups tasks that behave alike.
	Family string
	// Checkpoint names the object to resume from; empty means from the start.
	Checkpoint string
	// Watcher is true if the task is kept running.
	Watcher bool
	// Command is what to run.
	Command string
	// HostBoot is the boot of the host that the order is for; no other boot
	// starts it.
	HostBoot string
	// Goal is what the owner wants of the attempt.
	Goal Goal
	// Interference is the slowdown that the task is expected to cause to the
	// services of its host: 0.1 is a tenth.
	Interference float64
}

// Report is what the runtime says of an attempt.
type Report struct {
	// ID names the attempt.
	ID kqmodel.AttemptID
	// Phase is the state.
	Phase Phase
	// Checkpoint names the last stored checkpoint.
	Checkpoint string
	// Usage is the measured use, which lags behind.
	Usage kqmodel.Resources
	// Ran is the time run so far over all attempts.
	RunTime time.Duration
	// Throttle is the share of processors granted, from 0 to 1.
	Throttle float64
	// Reason says why the attempt ended.
	Reason string
}

// Inventory is everything that a runtime holds.
type Inventory struct {
	// HostBoot changes when the host restarts.
	HostBoot string
	// Capacity is what the host has.
	Capacity kqmodel.Resources
	// Tasks is the attempts known since the host booted.
	Tasks []Report
}

// Runtime is the operations of a worker's task runtime.
type Runtime struct {
	// Start starts an attempt, or lets a suspended one go on, until a time by
	// the clock of the host.
	Start func(ctx context.Context, o Order, until time.Time) error
	// Renew extends the lease of an attempt to a time by the host's clock.
	Renew func(ctx context.Context, id kqmodel.AttemptID, token uint64, until time.Time) error
	// Checkpoint stores a checkpoint and returns its name.
	Checkpoint func(ctx context.Context, id kqmodel.AttemptID, token uint64) (string, error)
	// Suspend pauses an attempt in place.
	Suspend func(ctx context.Context, id kqmodel.AttemptID, token uint64) error
	// Throttle sets the share of processors granted, from 0 to 1.
	Throttle func(ctx context.Context, id kqmodel.AttemptID, token uint64, share float64) error
	// Stop ends an attempt; an unknown attempt is remembered and never starts.
	Stop func(ctx context.Context, id kqmodel.AttemptID, token uint64) error
	// Inventory returns everything held.
	Inventory func(ctx context.Context) (Inventory, error)
}

// Remote returns a Runtime that speaks to a runtime service.
func Remote(c kqwire.RuntimeServiceClient) Runtime {
	r := remote{c}
	return Runtime{Start: r.start, Renew: r.renew, Checkpoint: r.checkpoint, Suspend: r.suspend,
		Throttle: r.throttle, Stop: r.stop, Inventory: r.inventory}
}

type remote struct {
	client kqwire.RuntimeServiceClient
}

type command func(context.Context, *connect.Request[kqwire.TaskCommand]) (*connect.Response[kqwire.TaskResult], error)

func call(ctx context.Context, f command, q *kqwire.TaskCommand) (*kqwire.TaskResult, error) {
	a, err := f(ctx, connect.NewRequest(q))
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
