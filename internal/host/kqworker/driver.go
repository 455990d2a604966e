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
	driveInterval  = 200 * time.Millisecond
	commandTimeout = 3 * time.Second
	// usageInterval is between two full reports that nothing else calls for.
	usageInterval = 5 * time.Second
)

// Config sets up a Driver.
type Config struct {
	// Runtime is the host's task runtime.
	Runtime kqruntime.Runtime
	// Services measures the latency-critical classes on the host.
	Services func(now time.Time) []kqladder.ServiceLatency
	// Pressures measures how far services are slowed.
	ServiceReports func(now time.Time) []kqcell.ServiceReport
	// Worker describes the host; its Capacity is filled in from the runtime.
	Worker kqmodel.Worker
	// AgentBoot names the agent process.
	AgentBoot string
	// Throttling switches the ladder off if false.
	Throttling bool
	// Changed is told when a phase has changed, so that the owner hears of it
	// at once.
	NotifyPhaseChange func()
	// Now is the clock.
	Now func() time.Time
	// Events remembers what was decided; may be nil.
	Events *kqevent.Log
}

// Driver drives the runtime of one worker.
type Driver struct {
	config Config
	tomb   tomb.Tomb

	mu         sync.Mutex
	reconciler *Reconciler
	ladder     kqladder.Throttler
	inventory  kqruntime.Inventory
	haveInv    bool
	reported   []phase
	reportedAt time.Time
	draining   bool
	wake       chan struct{}
}

// phase is the part of a report whose change calls for a full report.
type phase struct {
	id         kqmodel.AttemptID
	phase      kqruntime.Phase
	checkpoint string
}

// Start begins to drive the runtime.
func Start(c Config) *Driver {
	d := &Driver{config: c, reconciler: NewReconciler(), wake: make(chan struct{}, 1)}
	d.tomb.Go(d.loop)
	return d
}

// Stop ends the driving; what runs goes on under its lease.
func (d *Driver) Stop() {
	d.tomb.Kill(nil)
	_ = d.tomb.Wait()
}

// Drain asks the owner to take every task away.
func (d *Driver) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// Idle reports whether nothing runs that would have to be handed over.
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

// Ready reports whether the runtime has answered.
func (d *Driver) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.haveInv
}

// Inventory returns the last inventory.
func (d *Driver) Inventory() kqruntime.Inventory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inventory
}

// Report makes the next heartbeat. The inventory is left out where no phase or
// checkpoint has changed since the last one.
func (d *Driver) MakeHeartbeat(now time.Time, full bool) kqcell.Heartbeat {
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
	phases := phasesOf(reports)
	h.Complete = full || now.Sub(d.reportedAt) >= usageInterval || !equal(phases, d.reported)
	if h.Complete {
		h.Tasks, d.reported, d.reportedAt = reports, phases, now
	}
	return h
}

func phasesOf(rs []kqruntime.Report) []phase {
	out := make([]phase, 0, len(rs))
	for _, r := range rs {
		out = append(out, phase{r.ID, r.Phase, r.Checkpoint})
	}
	return out
}

// equal compares two lists as sets; each attempt stands once in a list.
func equal(a, b []phase) bool {
	if len(a) != len(b) {
		return false
	}
	seen := make(map[phase]bool, len(a))
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

// Obey takes over the answer of the owner. The lease counts from before the
// owner was asked.
func (d *Driver) ApplyReply(_, sent time.Time, r kqcell.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reconciler.ApplyOrders(r.Epoch, r.OrdersVersion, r.OrdersChanged, r.Orders, sent.Add(r.LeaseDuration))
	if r.OrdersChanged {
		d.rouse()
	}
}

// rouse makes the next round come at once.
func (d *Driver) rouse() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Driver) loop() error {
	t := time.NewTicker(driveInterval)
	defer t.Stop()
	for {
		d.drive()
		select {
		case <-d.tomb.Dying():
			return nil
		case <-d.wake:
		case <-t.C:
		}
	}
}

// drive carries out one round of commands; the next one follows at once where
// there were any.
func (d *Driver) drive() {
	ctx, cancel := context.WithTimeout(d.tomb.Context(context.Background()), commandTimeout)
	defer cancel()
	inv, err := d.config.Runtime.Inventory(ctx)
	if err != nil {
		return
	}
	now := d.config.Now()
	d.mu.Lock()
	if d.haveInv && inv.HostBoot != d.inventory.HostBoot {
		d.reconciler.Reset()
	}
	d.inventory, d.haveInv = inv, true
	actions := d.reconciler.Plan(now, inv, d.settings(now, inv))
	news := !equal(phasesOf(d.reconciler.Reports(d.inventory)), d.reported)
	d.mu.Unlock()
	for _, a := range actions {
		if d.carryOut(ctx, a) && a.Kind != ActionRenew {
			d.rouse()
		}
	}
	if news {
		d.config.NotifyPhaseChange()
	}
}

// settings steps the ladder for the batch tasks that run.
func (d *Driver) settings(now time.Time, inv kqruntime.Inventory) map[kqmodel.AttemptID]kqladder.Setting {
	if !d.config.Throttling {
		return nil
	}
	return d.ladder.Step(now, d.config.Services(now), d.reconciler.BatchTasks(inv))
}

// carryOut gives one command to the runtime and reports whether it was taken.
func (d *Driver) carryOut(ctx context.Context, a Action) bool {
	now := d.config.Now()
	d.mu.Lock()
	valid := d.reconciler.IsCurrent(now, a)
	d.mu.Unlock()
	if !valid {
		return false
	}
	checkpoint, err := d.command(ctx, a)
	now = d.config.Now()
	d.mu.Lock()
	d.reconciler.RecordResult(now, a, checkpoint, err)
	d.mu.Unlock()
	d.tell(now, a, err)
	return err == nil
}

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

func (d *Driver) tell(now time.Time, a Action, err error) {
	task := kqevent.Task(a.Order.ID.Task.String())
	switch {
	case a.Kind == ActionCheckpoint && err != nil:
		d.config.Events.Emit(now, kqevent.CheckpointFailed, task, "%v", err)
	case a.Kind == ActionThrottle && err == nil:
		d.config.Events.Emit(now, kqevent.TaskThrottled, task, "attempt %d gets %.0f%% of its processors for a service's sake", a.Order.ID.Attempt, a.Share*100)
	case a.Kind == ActionStop && err == nil:
		d.config.Events.Emit(now, kqevent.TaskStopped, task, "attempt %d was stopped by order", a.Order.ID.Attempt)
	}
}
