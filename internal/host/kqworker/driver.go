package kqworker

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqladder"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
)

const (
	// reconcileInterval is the longest time between two rounds of commands.
	reconcileInterval = 200 * time.Millisecond
	// commandTimeout bounds one round of commands.
	commandTimeout = 3 * time.Second
	// completeHeartbeatInterval is the time after which a heartbeat contains the complete
	// inventory even if no phase or checkpoint has changed, so that the owner gets the usage.
	completeHeartbeatInterval = 5 * time.Second
)

// Config sets up a Driver.
type Config struct {
	// Runtime is the host's task runtime.
	Runtime kqruntime.Runtime
	// Services returns the latencies of the latency-critical classes on the host.
	Services func(now time.Time) []kqladder.ServiceLatency
	// ServiceReports returns how much slower than usual the services on the host are and whether
	// they miss their targets.
	ServiceReports func(now time.Time) []kqcell.ServiceReport
	// Worker describes the host; its Capacity is filled in from the runtime.
	Worker kqmodel.Worker
	// AgentBoot identifies the agent process.
	AgentBoot string
	// Throttling is true if batch tasks are throttled to protect services.
	Throttling bool
	// NotifyPhaseChange is called when the phase or checkpoint of an attempt has changed, so
	// that the owner is notified immediately.
	NotifyPhaseChange func()
	// Now is the clock.
	Now func() time.Time
	// Events is the log of decisions; it may be nil.
	Events *kqevent.Log
}

// Driver makes the runtime of one worker carry out the orders of the owner.
type Driver struct {
	config Config
	tomb   tomb.Tomb

	mu           sync.Mutex
	reconciler   *Reconciler
	throttler    kqladder.Throttler
	inventory    kqruntime.Inventory
	hasInventory bool
	// reported and reportedAt are the states in the last complete heartbeat and its time.
	reported   []attemptState
	reportedAt time.Time
	draining   bool
	wake       chan struct{}
}

// attemptState is the part of a report whose change requires a complete heartbeat.
type attemptState struct {
	id         kqmodel.AttemptID
	phase      kqruntime.Phase
	checkpoint string
}

// Start returns a Driver that has begun to drive the runtime.
func Start(c Config) *Driver {
	d := &Driver{config: c, reconciler: NewReconciler(), wake: make(chan struct{}, 1)}
	d.tomb.Go(d.loop)
	return d
}

// Stop stops the driver. Running attempts continue until their leases expire.
func (d *Driver) Stop() {
	d.tomb.Kill(nil)
	_ = d.tomb.Wait()
}

// Drain marks the next heartbeats as draining, so that the owner moves every task to another
// worker.
func (d *Driver) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// Idle reports whether no attempt is in progress, so that a drain has nothing to wait for.
func (d *Driver) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.inventory.Tasks {
		if !t.Phase.Ended() {
			return false
		}
	}
	return true
}

// Ready reports whether the runtime has returned an inventory.
func (d *Driver) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasInventory
}

// Inventory returns the last inventory of the runtime.
func (d *Driver) Inventory() kqruntime.Inventory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inventory
}

// MakeHeartbeat returns the next heartbeat. It contains the reports of all attempts if complete
// is true, if a phase or checkpoint has changed since the last complete one, or after
// completeHeartbeatInterval.
func (d *Driver) MakeHeartbeat(now time.Time, complete bool) kqcell.Heartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.config.Worker
	w.Capacity = d.inventory.Capacity
	h := kqcell.Heartbeat{Worker: w, AgentBoot: d.config.AgentBoot, HostBoot: d.inventory.HostBoot, Draining: d.draining,
		OrdersVersion: d.reconciler.OrdersVersion()}
	h.ServiceReports = d.config.ServiceReports(now)
	for _, p := range h.ServiceReports {
		h.ServiceClasses = append(h.ServiceClasses, p.Class)
	}
	reports := d.reconciler.Reports(d.inventory)
	states := statesOf(reports)
	h.Complete = complete || now.Sub(d.reportedAt) >= completeHeartbeatInterval || !sameStates(states, d.reported)
	if h.Complete {
		h.Tasks, d.reported, d.reportedAt = reports, states, now
	}
	return h
}

// statesOf returns the states in some reports.
func statesOf(reports []kqruntime.Report) []attemptState {
	out := make([]attemptState, 0, len(reports))
	for _, r := range reports {
		out = append(out, attemptState{r.ID, r.Phase, r.Checkpoint})
	}
	return out
}

// sameStates reports whether two lists contain the same states in any order. Each attempt
// occurs once in a list.
func sameStates(a, b []attemptState) bool {
	if len(a) != len(b) {
		return false
	}
	seen := make(map[attemptState]bool, len(a))
	for _, p := range a {
		seen[p] = true
	}
	for _, p := range b {
		if !seen[p] {
			return false
		}
	}
	return true
}

// ApplyReply applies the owner's reply to a heartbeat. The lease counts from the time at which
// the heartbeat was sent, so that it expires on the worker no later than the owner assumes.
func (d *Driver) ApplyReply(_, sentAt time.Time, r kqcell.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reconciler.ApplyOrders(r.Epoch, r.OrdersVersion, r.OrdersChanged, r.Orders, sentAt.Add(r.LeaseDuration))
	if r.OrdersChanged {
		d.wakeUp()
	}
}

// wakeUp starts the next round of commands immediately.
func (d *Driver) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// loop runs rounds of commands until the driver is stopped.
func (d *Driver) loop() error {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		d.reconcile()
		select {
		case <-d.tomb.Dying():
			return nil
		case <-d.wake:
		case <-t.C:
		}
	}
}

// reconcile carries out one round of commands. The next round follows immediately if a command
// other than a renewal has succeeded.
func (d *Driver) reconcile() {
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), commandTimeout)
	defer cancel()
	inventory, err := d.config.Runtime.Inventory(ctx)
	if err != nil {
		return
	}
	now := d.config.Now()
	d.mu.Lock()
	if d.hasInventory && inventory.HostBoot != d.inventory.HostBoot {
		d.reconciler.Reset()
	}
	d.inventory, d.hasInventory = inventory, true
	actions := d.reconciler.Plan(now, inventory, d.settings(now, inventory))
	isChanged := !sameStates(statesOf(d.reconciler.Reports(d.inventory)), d.reported)
	d.mu.Unlock()
	for _, a := range actions {
		if d.execute(ctx, a) && a.Kind != ActionRenew {
			d.wakeUp()
		}
	}
	if isChanged {
		d.config.NotifyPhaseChange()
	}
}

// settings updates and returns the throttling settings of the batch tasks. It returns none if
// throttling is off.
func (d *Driver) settings(now time.Time, inventory kqruntime.Inventory) map[kqmodel.AttemptID]kqladder.Setting {
	if !d.config.Throttling {
		return nil
	}
	return d.throttler.Step(now, d.config.Services(now), d.reconciler.BatchTasks(inventory))
}

// execute sends one command to the runtime, if it is still current, and reports whether it
// succeeded.
func (d *Driver) execute(ctx context.Context, a Action) bool {
	now := d.config.Now()
	d.mu.Lock()
	isCurrent := d.reconciler.IsCurrent(now, a)
	d.mu.Unlock()
	if !isCurrent {
		return false
	}
	checkpoint, err := d.command(ctx, a)
	now = d.config.Now()
	d.mu.Lock()
	d.reconciler.RecordResult(now, a, checkpoint, err)
	d.mu.Unlock()
	d.logAction(now, a, err)
	return err == nil
}

// command sends one command to the runtime. checkpoint is the name of the new checkpoint, if the
// command is to store one.
func (d *Driver) command(ctx context.Context, a Action) (checkpoint string, err error) {
	rt, o := d.config.Runtime, a.Order
	switch a.Kind {
	case ActionStart:
		return "", rt.Start(ctx, o, a.Until)
	case ActionRenew:
		return "", rt.Renew(ctx, o.ID, o.Token, a.Until)
	case ActionCheckpoint:
		return rt.Checkpoint(ctx, o.ID, o.Token)
	case ActionSuspend:
		return "", rt.Suspend(ctx, o.ID, o.Token)
	case ActionThrottle:
		return "", rt.Throttle(ctx, o.ID, o.Token, a.Share)
	}
	return "", rt.Stop(ctx, o.ID, o.Token)
}

// logAction emits the event of an action, if it has one.
func (d *Driver) logAction(now time.Time, a Action, err error) {
	task := kqevent.Task(a.Order.ID.Task.String())
	switch {
	case a.Kind == ActionCheckpoint && err != nil:
		d.config.Events.Emit(now, kqevent.CheckpointFailed, task, "%v", err)
	case a.Kind == ActionThrottle && err == nil:
		d.config.Events.Emit(now, kqevent.TaskThrottled, task, "attempt %d may use %.0f%% of its processors, to protect services on the host", a.Order.ID.Attempt, a.Share*100)
	case a.Kind == ActionStop && err == nil:
		d.config.Events.Emit(now, kqevent.TaskStopped, task, "attempt %d was stopped on request of the owner", a.Order.ID.Attempt)
	}
}
