// Package kqworker makes the task runtime of a worker carry out the orders of the owner of its
// cell, under a lease.
package kqworker

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqladder"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
)

const (
	// renewInterval is the time between two renewals of an attempt's lease.
	renewInterval = 5 * time.Second
	// checkpointInterval is the time between two checkpoints of a running batch task.
	checkpointInterval = 5 * time.Minute
	// leaseEndLead is how long before the end of the lease a last checkpoint is taken.
	leaseEndLead = 30 * time.Second
	// evictTimeout is how long an eviction waits for its checkpoint. After that the attempt is
	// stopped and the last stored checkpoint is used.
	evictTimeout = 10 * time.Second
	// startRetryTime is how long a refused start is repeated.
	startRetryTime = 5 * time.Second
)

// ActionKind is the kind of a command for an attempt.
type ActionKind int

// Kinds of actions. A start also resumes a suspended attempt.
const (
	ActionStart ActionKind = iota
	ActionRenew
	ActionCheckpoint
	ActionSuspend
	ActionThrottle
	ActionStop
)

// Action is one command for the runtime.
type Action struct {
	// Kind is the kind of command.
	Kind ActionKind
	// Order is the order that the command carries out. For an orphan, an attempt without an
	// order, only ID and Token are set.
	Order kqruntime.Order
	// Until is the end of the lease for a start or a renewal.
	Until time.Time
	// Share is the share of its processors, from 0 to 1, for a throttle.
	Share float64
}

// attempt is the state that the reconciler keeps for an ordered attempt.
type attempt struct {
	renewedAt    time.Time
	checkpointAt time.Time
	evictSince   time.Time
	// refusedSince is the time of the first refused start since the last successful one, and
	// refusalReason the error of the last refused start.
	refusedSince   time.Time
	refusalReason  string
	isStarted      bool
	isStopped      bool
	processorShare float64
	lastCheckpoint string
}

// Reconciler compares the orders with the inventory of the runtime and plans the commands that
// carry out the orders. It is not safe for concurrent use.
type Reconciler struct {
	epoch   uint64
	version uint64
	// hasOrders is true once an owner has sent orders, even if there are none to carry out.
	hasOrders  bool
	orders     map[kqmodel.AttemptID]kqruntime.Order
	attempts   map[kqmodel.AttemptID]*attempt
	leaseUntil time.Time
}

// NewReconciler returns a Reconciler without orders.
func NewReconciler() *Reconciler {
	return &Reconciler{orders: map[kqmodel.AttemptID]kqruntime.Order{}, attempts: map[kqmodel.AttemptID]*attempt{}}
}

// ApplyOrders applies the orders and the lease of an owner. It ignores those of an owner with a
// lower epoch than the highest seen, and orders older than the present ones.
func (r *Reconciler) ApplyOrders(epoch, version uint64, changed bool, orders []kqruntime.Order, leaseUntil time.Time) {
	if epoch < r.epoch || version < r.version {
		return
	}
	if leaseUntil.After(r.leaseUntil) || epoch > r.epoch {
		r.leaseUntil = leaseUntil
	}
	r.epoch = epoch
	if !changed {
		return
	}
	r.version, r.hasOrders = version, true
	r.orders = make(map[kqmodel.AttemptID]kqruntime.Order, len(orders))
	for _, o := range orders {
		r.orders[o.ID] = o
		if r.attempts[o.ID] == nil {
			r.attempts[o.ID] = &attempt{processorShare: 1}
		}
	}
	for id := range r.attempts {
		if _, ok := r.orders[id]; !ok {
			delete(r.attempts, id)
		}
	}
}

// OrdersVersion returns the version of the present orders.
func (r *Reconciler) OrdersVersion() uint64 { return r.version }

// Reset drops the orders and sets their version to 0, so that the owner sends them again.
func (r *Reconciler) Reset() {
	r.version, r.hasOrders = 0, false
	r.orders = map[kqmodel.AttemptID]kqruntime.Order{}
	r.attempts = map[kqmodel.AttemptID]*attempt{}
}

// Plan returns the commands that carry out the orders, given the inventory of the runtime and
// the throttling settings. It returns none until an owner has sent orders, and none for
// orders that are for another boot of the host.
func (r *Reconciler) Plan(now time.Time, inventory kqruntime.Inventory, settings map[kqmodel.AttemptID]kqladder.Setting) []Action {
	if !r.hasOrders {
		return nil
	}
	held := make(map[kqmodel.AttemptID]kqruntime.Report, len(inventory.Tasks))
	var out []Action
	for _, t := range inventory.Tasks {
		held[t.ID] = t
		if _, ok := r.orders[t.ID]; !ok {
			out = append(out, r.stopOrphan(t))
		}
	}
	for id, o := range r.orders {
		if o.HostBoot != inventory.HostBoot {
			continue
		}
		t, ok := held[id]
		out = append(out, r.planAttempt(now, o, t, ok, settings[id])...)
	}
	return out
}

// stopOrphan returns the stop of an attempt without an order: the owner does not want it or has
// recorded its end.
func (r *Reconciler) stopOrphan(t kqruntime.Report) Action {
	token := uint64(t.ID.Attempt)<<32 | r.epoch
	return Action{Kind: ActionStop, Order: kqruntime.Order{ID: t.ID, Token: token}}
}

// planAttempt returns the commands for one order. t is the attempt in the runtime if isHeld is
// true.
func (r *Reconciler) planAttempt(now time.Time, o kqruntime.Order, t kqruntime.Report, isHeld bool, setting kqladder.Setting) []Action {
	switch o.Goal {
	case kqruntime.GoalStop:
		return r.planStop(o)
	case kqruntime.GoalEvict:
		return r.planEvict(now, o, t, isHeld)
	}
	return r.planRun(now, o, t, isHeld, setting)
}

// planStop stops the attempt, unless it has been stopped.
func (r *Reconciler) planStop(o kqruntime.Order) []Action {
	if r.attempts[o.ID].isStopped {
		return nil
	}
	return []Action{{Kind: ActionStop, Order: o}}
}

// planEvict suspends the attempt, stores a checkpoint and then stops the attempt. A task that is
// kept running (Watcher) is stopped without a checkpoint.
func (r *Reconciler) planEvict(now time.Time, o kqruntime.Order, t kqruntime.Report, isHeld bool) []Action {
	a := r.attempts[o.ID]
	if a.evictSince.IsZero() {
		a.evictSince = now
	}
	switch {
	case a.isStopped || (isHeld && t.Phase.Ended()):
		return nil
	case !isHeld || o.Watcher || a.checkpointAt.After(a.evictSince) || now.Sub(a.evictSince) > evictTimeout:
		return []Action{{Kind: ActionStop, Order: o}}
	}
	out := []Action{{Kind: ActionCheckpoint, Order: o}}
	if t.Phase == kqruntime.PhaseRunning {
		out = append([]Action{{Kind: ActionSuspend, Order: o}}, out...)
	}
	return out
}

// planRun starts, resumes or continues an attempt. It does not start an attempt a second time and
// starts none without a valid lease.
func (r *Reconciler) planRun(now time.Time, o kqruntime.Order, t kqruntime.Report, isHeld bool, setting kqladder.Setting) []Action {
	a := r.attempts[o.ID]
	isLeased := now.Before(r.leaseUntil)
	switch {
	case a.isStopped || (isHeld && t.Phase.Ended()):
		return nil
	case !isHeld && !a.refusedSince.IsZero() && now.Sub(a.refusedSince) > startRetryTime:
		// The attempt is reported as stopped, so that the owner can place the task
		// elsewhere. The stop prevents a delayed start from taking effect later.
		return []Action{{Kind: ActionStop, Order: o}}
	case !isHeld && (a.isStarted || !isLeased):
		return nil
	case !isHeld:
		return []Action{{Kind: ActionStart, Order: o, Until: r.leaseUntil}}
	case t.Phase == kqruntime.PhaseSuspended && setting.Suspended:
		return r.renew(now, o, a, isLeased)
	case t.Phase == kqruntime.PhaseSuspended && isLeased:
		return []Action{{Kind: ActionStart, Order: o, Until: r.leaseUntil}}
	}
	return r.planRunning(now, o, a, setting, isLeased)
}

// planRunning renews the lease of a running attempt, takes checkpoints and applies the
// throttling setting.
func (r *Reconciler) planRunning(now time.Time, o kqruntime.Order, a *attempt, setting kqladder.Setting, isLeased bool) []Action {
	out := r.renew(now, o, a, isLeased)
	if a.checkpointAt.IsZero() {
		a.checkpointAt = now
	}
	isLeaseEnding := r.leaseUntil.Sub(now) < leaseEndLead && r.leaseUntil.Sub(a.checkpointAt) > 2*leaseEndLead
	if !o.Watcher && (now.Sub(a.checkpointAt) >= checkpointInterval || isLeaseEnding) {
		out = append(out, Action{Kind: ActionCheckpoint, Order: o})
	}
	if o.Watcher || setting == (kqladder.Setting{}) {
		return out
	}
	if setting.Suspended {
		return append(out, Action{Kind: ActionCheckpoint, Order: o}, Action{Kind: ActionSuspend, Order: o})
	}
	if setting.Share != a.processorShare {
		out = append(out, Action{Kind: ActionThrottle, Order: o, Share: setting.Share})
	}
	return out
}

// renew renews the lease of an attempt after renewInterval, if the worker has a valid lease.
func (r *Reconciler) renew(now time.Time, o kqruntime.Order, a *attempt, isLeased bool) []Action {
	if !isLeased || now.Sub(a.renewedAt) < renewInterval {
		return nil
	}
	return []Action{{Kind: ActionRenew, Order: o, Until: r.leaseUntil}}
}

// IsCurrent reports whether an action may still be carried out: the lease of a start or a
// renewal may have expired since it was planned.
func (r *Reconciler) IsCurrent(now time.Time, a Action) bool {
	switch a.Kind {
	case ActionStart, ActionRenew:
		return now.Before(a.Until)
	}
	return true
}

// RecordResult records the result of an action.
func (r *Reconciler) RecordResult(now time.Time, a Action, checkpoint string, err error) {
	t := r.attempts[a.Order.ID]
	if t == nil {
		return
	}
	switch {
	case a.Kind == ActionStart && err != nil:
		t.recordRefusal(now, err)
	case err != nil:
		return
	case a.Kind == ActionStart:
		t.isStarted, t.renewedAt, t.refusedSince, t.refusalReason = true, now, time.Time{}, ""
	case a.Kind == ActionRenew:
		t.renewedAt = now
	case a.Kind == ActionCheckpoint:
		t.checkpointAt, t.lastCheckpoint = now, checkpoint
	case a.Kind == ActionStop:
		t.isStopped = true
	case a.Kind == ActionThrottle:
		t.processorShare = a.Share
	}
}

// recordRefusal records that the runtime refused to start the attempt.
func (t *attempt) recordRefusal(now time.Time, err error) {
	if t.refusedSince.IsZero() {
		t.refusedSince = now
	}
	t.refusalReason = err.Error()
}

// Reports returns the state of every ordered attempt and of every orphan.
func (r *Reconciler) Reports(inventory kqruntime.Inventory) []kqruntime.Report {
	out := make([]kqruntime.Report, 0, len(inventory.Tasks))
	held := make(map[kqmodel.AttemptID]bool, len(inventory.Tasks))
	for _, t := range inventory.Tasks {
		held[t.ID] = true
		out = append(out, t)
	}
	for id, o := range r.orders {
		if !held[id] {
			out = append(out, r.absentReport(id, o))
		}
	}
	return out
}

// absentReport returns the report of an ordered attempt that the runtime does not know.
func (r *Reconciler) absentReport(id kqmodel.AttemptID, o kqruntime.Order) kqruntime.Report {
	a := r.attempts[id]
	report := kqruntime.Report{ID: id, Phase: kqruntime.PhasePending, Checkpoint: a.lastCheckpoint, Reason: a.refusalReason}
	if report.Checkpoint == "" {
		report.Checkpoint = o.Checkpoint
	}
	if a.isStopped {
		report.Phase = kqruntime.PhaseStopped
	}
	return report
}

// BatchTasks returns the ordered attempts of batch tasks that have not ended. These may be
// throttled.
func (r *Reconciler) BatchTasks(inventory kqruntime.Inventory) []kqladder.Task {
	var out []kqladder.Task
	for _, t := range inventory.Tasks {
		o, ok := r.orders[t.ID]
		if ok && !o.Watcher && !t.Phase.Ended() {
			out = append(out, kqladder.Task{ID: t.ID, Interference: o.Interference,
				Processors: float64(o.Resources.MilliProcessors) / 1000})
		}
	}
	return out
}
