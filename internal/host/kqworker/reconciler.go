// Package kqworker makes the task runtime of a worker follow the orders of the
// owner of its cell, under a lease.
package kqworker

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqladder"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
)

const (
	// renewEvery is between two renewals of an attempt's lease.
	renewEvery = 5 * time.Second
	// checkpointEvery is between two checkpoints of a running batch task.
	checkpointEvery = 5 * time.Minute
	// lapseWarning is how long before the end of the lease a last checkpoint
	// is tried.
	lapseWarning = 30 * time.Second
	// evictPatience is how long an eviction waits for its checkpoint; after it
	// the last stored one stands.
	evictPatience = 10 * time.Second
	// startPatience is how long a refused start is tried again.
	startPatience = 5 * time.Second
)

// ActionKind is what to do with an attempt.
type ActionKind int

// Kinds of actions.
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
	// Kind is the command.
	Kind ActionKind
	// Order is the order that it serves; for a stray only ID and Token are set.
	Order kqruntime.Order
	// Until is the end of the lease, for a start or a renewal.
	Until time.Time
	// Share is the processor share, for a throttle.
	Share float64
}

// attempt is what the reconciler remembers of an ordered attempt.
type attempt struct {
	renewedAt      time.Time
	checkpointAt   time.Time
	evictSince     time.Time
	refusedSince   time.Time
	refusal        string
	started        bool
	stopped        bool
	share          float64
	lastCheckpoint string
}

// Reconciler compares the orders with the inventory. It is not safe for
// concurrent use.
type Reconciler struct {
	epoch      uint64
	version    uint64
	known      bool
	orders     map[kqmodel.AttemptID]kqruntime.Order
	attempts   map[kqmodel.AttemptID]*attempt
	leaseUntil time.Time
}

// New returns a Reconciler that has no orders yet.
func NewReconciler() *Reconciler {
	return &Reconciler{orders: map[kqmodel.AttemptID]kqruntime.Order{}, attempts: map[kqmodel.AttemptID]*attempt{}}
}

// Obey takes over the orders of an owner whose epoch is the highest seen.
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
	r.version, r.known = version, true
	r.orders = make(map[kqmodel.AttemptID]kqruntime.Order, len(orders))
	for _, o := range orders {
		r.orders[o.ID] = o
		if r.attempts[o.ID] == nil {
			r.attempts[o.ID] = &attempt{share: 1}
		}
	}
	for id := range r.attempts {
		if _, ok := r.orders[id]; !ok {
			delete(r.attempts, id)
		}
	}
}

// Version returns the version of the orders followed.
func (r *Reconciler) OrdersVersion() uint64 { return r.version }

// Reset forgets the orders, so that the owner sends them again.
func (r *Reconciler) Reset() {
	r.version, r.known = 0, false
	r.orders = map[kqmodel.AttemptID]kqruntime.Order{}
	r.attempts = map[kqmodel.AttemptID]*attempt{}
}

// Plan returns the commands that bring the inventory to the orders.
func (r *Reconciler) Plan(now time.Time, inv kqruntime.Inventory, settings map[kqmodel.AttemptID]kqladder.Setting) []Action {
	if !r.known {
		return nil
	}
	held := make(map[kqmodel.AttemptID]kqruntime.Report, len(inv.Tasks))
	var out []Action
	for _, t := range inv.Tasks {
		held[t.ID] = t
		if _, ok := r.orders[t.ID]; !ok {
			out = append(out, r.stray(t))
		}
	}
	for id, o := range r.orders {
		if o.HostBoot != inv.HostBoot {
			continue
		}
		t, ok := held[id]
		out = append(out, r.plan(now, o, t, ok, settings[id])...)
	}
	return out
}

// stray stops an attempt that the owner does not want, or has recorded the end
// of.
func (r *Reconciler) stray(t kqruntime.Report) Action {
	token := uint64(t.ID.Attempt)<<32 | r.epoch
	return Action{Kind: ActionStop, Order: kqruntime.Order{ID: t.ID, Token: token}}
}

func (r *Reconciler) plan(now time.Time, o kqruntime.Order, t kqruntime.Report, held bool, s kqladder.Setting) []Action {
	switch o.Goal {
	case kqruntime.GoalStop:
		return r.planStop(o)
	case kqruntime.GoalEvict:
		return r.planEvict(now, o, t, held)
	}
	return r.planRun(now, o, t, held, s)
}

func (r *Reconciler) planStop(o kqruntime.Order) []Action {
	if r.attempts[o.ID].stopped {
		return nil
	}
	return []Action{{Kind: ActionStop, Order: o}}
}

// planEvict pauses the attempt, stores a checkpoint and then stops it.
func (r *Reconciler) planEvict(now time.Time, o kqruntime.Order, t kqruntime.Report, held bool) []Action {
	a := r.attempts[o.ID]
	if a.evictSince.IsZero() {
		a.evictSince = now
	}
	switch {
	case a.stopped || (held && t.Phase.Ended()):
		return nil
	case !held || o.Watcher || a.checkpointAt.After(a.evictSince) || now.Sub(a.evictSince) > evictPatience:
		return []Action{{Kind: ActionStop, Order: o}}
	}
	out := []Action{{Kind: ActionCheckpoint, Order: o}}
	if t.Phase == kqruntime.PhaseRunning {
		out = append([]Action{{Kind: ActionSuspend, Order: o}}, out...)
	}
	return out
}

func (r *Reconciler) planRun(now time.Time, o kqruntime.Order, t kqruntime.Report, held bool, s kqladder.Setting) []Action {
	a := r.attempts[o.ID]
	leased := now.Before(r.leaseUntil)
	switch {
	case a.stopped || (held && t.Phase.Ended()):
		return nil
	case !held && !a.refusedSince.IsZero() && now.Sub(a.refusedSince) > startPatience:
		// The attempt is given back; the stop keeps a delayed start from
		// taking effect after that.
		return []Action{{Kind: ActionStop, Order: o}}
	case !held && (a.started || !leased):
		return nil
	case !held:
		return []Action{{Kind: ActionStart, Order: o, Until: r.leaseUntil}}
	case t.Phase == kqruntime.PhaseSuspended && s.Suspended:
		return r.renew(now, o, a, leased)
	case t.Phase == kqruntime.PhaseSuspended && leased:
		return []Action{{Kind: ActionStart, Order: o, Until: r.leaseUntil}}
	}
	return r.tend(now, o, a, s, leased)
}

// tend keeps a running attempt going and sets its share.
func (r *Reconciler) tend(now time.Time, o kqruntime.Order, a *attempt, s kqladder.Setting, leased bool) []Action {
	out := r.renew(now, o, a, leased)
	if a.checkpointAt.IsZero() {
		a.checkpointAt = now
	}
	ending := r.leaseUntil.Sub(now) < lapseWarning && r.leaseUntil.Sub(a.checkpointAt) > 2*lapseWarning
	if !o.Watcher && (now.Sub(a.checkpointAt) >= checkpointEvery || ending) {
		out = append(out, Action{Kind: ActionCheckpoint, Order: o})
	}
	if o.Watcher || s == (kqladder.Setting{}) {
		return out
	}
	if s.Suspended {
		return append(out, Action{Kind: ActionCheckpoint, Order: o}, Action{Kind: ActionSuspend, Order: o})
	}
	if s.Share != a.share {
		out = append(out, Action{Kind: ActionThrottle, Order: o, Share: s.Share})
	}
	return out
}

func (r *Reconciler) renew(now time.Time, o kqruntime.Order, a *attempt, leased bool) []Action {
	if !leased || now.Sub(a.renewedAt) < renewEvery {
		return nil
	}
	return []Action{{Kind: ActionRenew, Order: o, Until: r.leaseUntil}}
}

// Valid reports whether an action may still be carried out: time may have
// passed since it was planned.
func (r *Reconciler) IsCurrent(now time.Time, a Action) bool {
	switch a.Kind {
	case ActionStart, ActionRenew:
		return now.Before(a.Until)
	}
	return true
}

// Done notes the end of an action.
func (r *Reconciler) RecordResult(now time.Time, a Action, checkpoint string, err error) {
	t := r.attempts[a.Order.ID]
	if t == nil {
		return
	}
	switch {
	case a.Kind == ActionStart && err != nil:
		t.refuse(now, err)
	case err != nil:
		return
	case a.Kind == ActionStart:
		t.started, t.renewedAt, t.refusedSince, t.refusal = true, now, time.Time{}, ""
	case a.Kind == ActionRenew:
		t.renewedAt = now
	case a.Kind == ActionCheckpoint:
		t.checkpointAt, t.lastCheckpoint = now, checkpoint
	case a.Kind == ActionStop:
		t.stopped = true
	case a.Kind == ActionThrottle:
		t.share = a.Share
	}
}

func (t *attempt) refuse(now time.Time, err error) {
	if t.refusedSince.IsZero() {
		t.refusedSince = now
	}
	t.refusal = err.Error()
}

// Reports returns the state of every ordered attempt and of the strays.
func (r *Reconciler) Reports(inv kqruntime.Inventory) []kqruntime.Report {
	out := make([]kqruntime.Report, 0, len(inv.Tasks))
	held := make(map[kqmodel.AttemptID]bool, len(inv.Tasks))
	for _, t := range inv.Tasks {
		held[t.ID] = true
		out = append(out, t)
	}
	for id, o := range r.orders {
		if !held[id] {
			out = append(out, r.absent(id, o))
		}
	}
	return out
}

// absent reports an attempt that the runtime does not hold.
func (r *Reconciler) absent(id kqmodel.AttemptID, o kqruntime.Order) kqruntime.Report {
	a := r.attempts[id]
	rep := kqruntime.Report{ID: id, Phase: kqruntime.PhasePending, Checkpoint: a.lastCheckpoint, Reason: a.refusal}
	if rep.Checkpoint == "" {
		rep.Checkpoint = o.Checkpoint
	}
	if a.stopped {
		rep.Phase = kqruntime.PhaseStopped
	}
	return rep
}

// BatchTasks lists the live attempts that a ladder may throttle.
func (r *Reconciler) BatchTasks(inv kqruntime.Inventory) []kqladder.Task {
	var out []kqladder.Task
	for _, t := range inv.Tasks {
		o, ok := r.orders[t.ID]
		if ok && !o.Watcher && !t.Phase.Ended() {
			out = append(out, kqladder.Task{ID: t.ID, Interference: o.Interference,
				Processors: float64(o.Resources.MilliProcessors) / 1000})
		}
	}
	return out
}
