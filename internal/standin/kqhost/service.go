package kqhost

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// Service serves the operations of a Host over Connect RPC.
type Service struct {
	// Host carries the operations out.
	Host *Host
	// Now returns the present time.
	Now func() time.Time
}

// reply converts the result of an operation to its message: a kqresult.Error is part of the
// response, any other error is a Connect error.
func (s Service) reply(err error) (*connect.Response[kqwire.TaskResult], error) {
	var e *kqresult.Error
	switch {
	case err == nil:
		return connect.NewResponse(&kqwire.TaskResult{}), nil
	case eris.As(err, &e):
		return connect.NewResponse(&kqwire.TaskResult{Code: uint32(e.Code), Reason: e.Reason}), nil
	default:
		return nil, kqfault.ConnectError(err)
	}
}

// execute applies the faults that precede an operation, runs f and converts its result.
func (s Service) execute(ctx context.Context, f func() error) (*connect.Response[kqwire.TaskResult], error) {
	if err := s.Host.config.Faults.BeforeRequest(ctx); err != nil {
		return nil, kqfault.ConnectError(err)
	}
	return s.reply(f())
}

// Start serves the start of an attempt.
func (s Service) Start(ctx context.Context, q *connect.Request[kqwire.StartTask]) (*connect.Response[kqwire.TaskResult], error) {
	return s.execute(ctx, func() error {
		return s.Host.Start(ctx, s.Now(), kqruntime.OrderFromWire(q.Msg.Order), time.Unix(0, q.Msg.LeaseUntil))
	})
}

// Renew serves the renewal of an attempt's lease.
func (s Service) Renew(ctx context.Context, q *connect.Request[kqwire.TaskCommand]) (*connect.Response[kqwire.TaskResult], error) {
	return s.execute(ctx, func() error {
		return s.Host.Renew(s.Now(), kqruntime.KeyFromWire(q.Msg.Key), q.Msg.Token, time.Unix(0, q.Msg.LeaseUntil))
	})
}

// Checkpoint serves a checkpoint of an attempt and returns the object's key.
func (s Service) Checkpoint(ctx context.Context, q *connect.Request[kqwire.TaskCommand]) (*connect.Response[kqwire.TaskResult], error) {
	var key string
	a, err := s.execute(ctx, func() (err error) {
		key, err = s.Host.Checkpoint(ctx, s.Now(), kqruntime.KeyFromWire(q.Msg.Key), q.Msg.Token)
		return err
	})
	if err == nil {
		a.Msg.Report = &kqwire.TaskReport{Key: q.Msg.Key, Checkpoint: key}
	}
	return a, err
}

// Suspend serves the suspension of an attempt.
func (s Service) Suspend(ctx context.Context, q *connect.Request[kqwire.TaskCommand]) (*connect.Response[kqwire.TaskResult], error) {
	return s.execute(ctx, func() error {
		return s.Host.Suspend(s.Now(), kqruntime.KeyFromWire(q.Msg.Key), q.Msg.Token)
	})
}

// Throttle serves a change of an attempt's processor share.
func (s Service) Throttle(ctx context.Context, q *connect.Request[kqwire.TaskCommand]) (*connect.Response[kqwire.TaskResult], error) {
	return s.execute(ctx, func() error {
		return s.Host.Throttle(s.Now(), kqruntime.KeyFromWire(q.Msg.Key), q.Msg.Token, q.Msg.Throttle)
	})
}

// Stop serves the stop of an attempt.
func (s Service) Stop(ctx context.Context, q *connect.Request[kqwire.TaskCommand]) (*connect.Response[kqwire.TaskResult], error) {
	return s.execute(ctx, func() error {
		return s.Host.Stop(s.Now(), kqruntime.KeyFromWire(q.Msg.Key), q.Msg.Token)
	})
}

// Inventory serves the host's inventory.
func (s Service) Inventory(ctx context.Context, _ *connect.Request[kqwire.InventoryRequest]) (*connect.Response[kqwire.InventoryReply], error) {
	if err := s.Host.config.Faults.BeforeRequest(ctx); err != nil {
		return nil, kqfault.ConnectError(err)
	}
	v := s.Host.Inventory(s.Now())
	out := &kqwire.InventoryReply{HostBoot: v.HostBoot, Capacity: kqruntime.ResourcesToWire(v.Capacity)}
	for _, r := range v.Tasks {
		out.Tasks = append(out.Tasks, kqruntime.ReportToWire(r))
	}
	return connect.NewResponse(out), nil
}
