package kqcell

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqhealth"
	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqlearn"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
)

// ServiceReport is the latency of one class of service on a worker against its target.
type ServiceReport struct {
	// Class names the class of service.
	Class string
	// Slowdown is the measured relative increase of its call latency: 0.2 is a fifth.
	Slowdown float64
	// MissesTarget is true if the service misses its latency target.
	MissesTarget bool
	// Calls is the number of calls measured.
	Calls int
}

// Heartbeat is the report of an agent to the owner of its cell.
type Heartbeat struct {
	// Worker describes the agent's host; only its ID is set unless Complete.
	Worker kqmodel.Worker
	// AgentBoot identifies the agent process.
	AgentBoot string
	// HostBoot identifies the boot of the host.
	HostBoot string
	// Draining is true if the worker accepts no new tasks.
	Draining bool
	// Complete is true if Tasks is the complete inventory; otherwise the inventory has not
	// changed since the last complete heartbeat.
	Complete bool
	// Tasks reports the attempts on the worker.
	Tasks []kqruntime.Report
	// ServiceReports reports the latency of the services on the worker.
	ServiceReports []ServiceReport
	// ServiceClasses lists the classes of service on the worker, if Complete.
	ServiceClasses []string
	// MembersVersion is the version of the member list that the agent has.
	MembersVersion uint64
	// OrdersVersion is the version of the orders that the agent has applied.
	OrdersVersion uint64
	// Session is the session that the owner last offered the agent.
	Session uint64
	// Sequence numbers the heartbeats of the agent process.
	Sequence uint64
}

// Reply is the owner's answer to a Heartbeat.
type Reply struct {
	// Epoch is the epoch of the owner.
	Epoch uint64
	// OrdersVersion is the version of the orders.
	OrdersVersion uint64
	// OrdersChanged is true if Orders is set: the agent has an older version.
	OrdersChanged bool
	// Orders lists every attempt that the owner wants on the worker.
	Orders []kqruntime.Order
	// MembersVersion is the version of the member list.
	MembersVersion uint64
	// Members lists the workers that reported within memberTimeout, if the agent has an
	// older version.
	Members []Member
	// LeaseDuration is how long the worker's leases last, from the time at which the agent
	// sent the heartbeat.
	LeaseDuration time.Duration
	// NeedComplete requests a complete inventory.
	NeedComplete bool
	// Session must be sent with the next heartbeat.
	Session uint64
	// StoreResponseAge is the time since the table last answered the owner.
	StoreResponseAge time.Duration
}

// Member is a worker of the cell.
type Member struct {
	// ID names the worker.
	ID string
	// Address is where its agent listens.
	Address netip.AddrPort
}

// worker is the owner's state of a worker. A worker that is not registered holds tasks but
// has not reported to this owner yet.
type worker struct {
	id             string
	info           kqmodel.Worker
	hostBoot       string
	session        uint64
	offeredSession uint64
	sequence       uint64
	registered     bool
	draining       bool
	lastReportAt   time.Time
	leaseExpiresAt time.Time
	reports        map[kqmodel.AttemptID]kqruntime.Report
	serviceClasses []string
	missesTarget   bool
	ordersVersion  uint64
	health         kqhealth.Worker
}

const (
	// memberTimeout is the time without a heartbeat after which a worker is not a member
	// and gets no new tasks.
	memberTimeout = 5 * time.Second
	// memberListInterval is the shortest time between two updates of the member list.
	memberListInterval = 500 * time.Millisecond
	// versionEpochShift is the position of the epoch in versions and sessions.
	versionEpochShift = 32
)

// Heartbeat applies an agent's heartbeat and returns the owner's reply. The reply grants a
// lease that ends MaxLeaseDuration after the ownership was last confirmed. A reply that
// offers a new session grants no lease.
func (k *Cell) Heartbeat(now time.Time, h Heartbeat) Reply {
	w := k.workers[h.Worker.ID]
	if w == nil {
		w = &worker{id: h.Worker.ID}
		k.workers[h.Worker.ID] = w
	}
	// The high bits of the version are the epoch, so that an agent that applied the orders
	// of an earlier owner never mistakes them for those of this owner.
	w.ordersVersion = max(w.ordersVersion, k.ownership.Epoch<<versionEpochShift)
	newSession := w.session == 0 || h.Session != w.session
	if newSession && (h.Session != w.offeredSession || w.offeredSession == 0 || !h.Complete) {
		return k.offerSession(now, w)
	}
	if newSession || h.Sequence > w.sequence {
		k.applyHeartbeat(now, w, h)
	}
	if newSession {
		w.ordersVersion++
		k.config.Events.Emit(now, kqevent.WorkerRegistered, kqevent.Worker(w.id), "host boot %s with %d attempts", w.hostBoot, len(w.reports))
	}
	return k.answer(now, w, h)
}

// answer grants a lease, and sends the orders and the members of which the agent has an older
// version.
func (k *Cell) answer(now time.Time, w *worker, h Heartbeat) Reply {
	lease := max(0, MaxLeaseDuration-now.Sub(k.confirmedAt))
	w.leaseExpiresAt = now.Add(lease)
	r := Reply{Epoch: k.ownership.Epoch, Session: w.session, OrdersVersion: w.ordersVersion, LeaseDuration: lease, StoreResponseAge: now.Sub(k.storeRespondedAt)}
	k.updateMembers(now)
	if r.MembersVersion = k.membersVersion; h.MembersVersion != k.membersVersion {
		r.Members = k.memberList
	}
	if h.OrdersVersion != w.ordersVersion {
		r.OrdersChanged, r.Orders = true, k.orders(w)
	}
	return r
}

// AnswerHeld answers a heartbeat whose reply was held back. If the worker has joined another
// session since, the reply requests a complete heartbeat and grants no lease.
func (k *Cell) AnswerHeld(now time.Time, h Heartbeat) Reply {
	w := k.workers[h.Worker.ID]
	if w == nil || w.session != h.Session {
		return Reply{Epoch: k.ownership.Epoch, NeedComplete: true, Session: h.Session, StoreResponseAge: now.Sub(k.storeRespondedAt)}
	}
	return k.answer(now, w, h)
}

// HasNewOrders reports whether the sender of a held heartbeat must be answered: it has an
// older version of the orders, or its session has been replaced.
func (k *Cell) HasNewOrders(h Heartbeat) bool {
	w := k.workers[h.Worker.ID]
	return w == nil || w.session != h.Session || w.ordersVersion != h.OrdersVersion
}

// offerSession offers a new session to a worker. An agent process joins it by sending its
// number with a complete inventory, which a delayed heartbeat of an earlier process or boot
// cannot do. The current session stays valid until then.
func (k *Cell) offerSession(now time.Time, w *worker) Reply {
	k.sessionCount++
	w.offeredSession = k.ownership.Epoch<<versionEpochShift | k.sessionCount
	return Reply{Epoch: k.ownership.Epoch, NeedComplete: true, Session: w.offeredSession, StoreResponseAge: now.Sub(k.storeRespondedAt)}
}

// applyHeartbeat updates a worker, and the size and interference estimates, from a
// heartbeat.
func (k *Cell) applyHeartbeat(now time.Time, w *worker, h Heartbeat) {
	w.hostBoot = h.HostBoot
	w.session, w.sequence = h.Session, h.Sequence
	w.registered, w.draining, w.lastReportAt = true, h.Draining, now
	if h.Complete {
		w.info, w.serviceClasses = h.Worker, h.ServiceClasses
		w.reports = make(map[kqmodel.AttemptID]kqruntime.Report, len(h.Tasks))
		for _, r := range h.Tasks {
			w.reports[r.ID] = r
		}
		k.recordUsage(w)
	}
	w.missesTarget = false
	for _, p := range h.ServiceReports {
		w.missesTarget = w.missesTarget || p.MissesTarget
		k.learnInterference(w, p)
	}
}

// recordUsage updates the size estimates from the usage of running attempts. Throttled
// attempts are skipped, since their usage is limited.
func (k *Cell) recordUsage(w *worker) {
	for id, r := range w.reports {
		j := k.jobs[id.Task.Job]
		if j != nil && r.Phase == kqruntime.PhaseRunning && r.Throttle == 1 {
			k.sizes.RecordUsage(j.Spec.FamilyName(), j.Spec.Resources, r.Usage)
		}
	}
}

// learnInterference attributes the slowdown of a service to the tasks on its host.
func (k *Cell) learnInterference(w *worker, p ServiceReport) {
	if p.Calls == 0 {
		return
	}
	k.interference.Learn(p.Class, p.Slowdown, k.runningFamilies(w))
}

// runningFamilies lists the running tasks of a worker by family, with the processors granted to
// each.
func (k *Cell) runningFamilies(w *worker) []kqlearn.RunningFamily {
	var out []kqlearn.RunningFamily
	for id, r := range w.reports {
		j := k.jobs[id.Task.Job]
		if j == nil || r.Phase != kqruntime.PhaseRunning {
			continue
		}
		out = append(out, kqlearn.RunningFamily{Family: j.Spec.FamilyName(),
			Processors: float64(j.Spec.Resources.MilliProcessors) / 1000 * r.Throttle})
	}
	return out
}

// updateMembers updates the member list, at most once per memberListInterval, and raises its
// version if it changed.
func (k *Cell) updateMembers(now time.Time) {
	if now.Sub(k.membersListedAt) < memberListInterval && k.membersVersion > 0 {
		return
	}
	k.membersListedAt = now
	list := k.liveMembers(now)
	if k.membersVersion == 0 || !slices.Equal(list, k.memberList) {
		k.memberList = list
		k.membersVersion = max(k.membersVersion, k.ownership.Epoch<<versionEpochShift) + 1
	}
}

func (k *Cell) liveMembers(now time.Time) []Member {
	var out []Member
	for _, w := range k.workers {
		if w.registered && now.Sub(w.lastReportAt) < memberTimeout {
			out = append(out, Member{ID: w.id, Address: w.info.Address})
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// goals maps the state of a task to the goal of its current attempt.
var goals = map[string]kqruntime.Goal{
	stateAssigned:   kqruntime.GoalRun,
	stateRunning:    kqruntime.GoalRun,
	stateSuspended:  kqruntime.GoalRun,
	stateEvicting:   kqruntime.GoalEvict,
	stateCancelling: kqruntime.GoalStop,
}

// orders returns the orders for every committed attempt on a worker, sorted by attempt.
func (k *Cell) orders(w *worker) []kqruntime.Order {
	var out []kqruntime.Order
	var sum kqmodel.Resources
	for _, t := range k.tasks {
		goal, ok := goals[t.State]
		if !ok || t.Worker != w.id || t.HostBoot != w.hostBoot {
			continue
		}
		out = append(out, k.orderFor(t, goal, w))
		sum = sum.Add(t.Reserved)
	}
	k.config.Counter.Check(sum.FitsIn(w.info.Capacity), kqinvariant.CapacityExceeded,
		"worker %s: orders reserve %s of %s", w.id, sum, w.info.Capacity)
	slices.SortFunc(out, func(a, b kqruntime.Order) int { return strings.Compare(a.ID.String(), b.ID.String()) })
	return out
}

func (k *Cell) orderFor(t *kqmodel.Task, goal kqruntime.Goal, w *worker) kqruntime.Order {
	o := kqruntime.Order{ID: t.AttemptID(), Token: k.token(t), Resources: t.Reserved, Checkpoint: t.Checkpoint, Goal: goal, HostBoot: t.HostBoot}
	j := k.jobs[t.ID.Job]
	if j == nil {
		return o
	}
	o.Declared = j.Spec.Resources
	o.RunTime, o.Family, o.Watcher, o.Command = j.Spec.RunTime.Std(), j.Spec.FamilyName(), j.Watcher, j.Spec.Command
	for _, c := range w.serviceClasses {
		o.Interference += k.interference.SlowdownPerProcessor(c, o.Family) * float64(j.Spec.Resources.MilliProcessors) / 1000
	}
	return o
}

const tokenAttemptShift = 32

// token returns the fencing token of a task's orders. It grows with the attempt, then with the
// epoch.
func (k *Cell) token(t *kqmodel.Task) uint64 {
	return uint64(t.Attempt)<<tokenAttemptShift | k.ownership.Epoch
}

// NotOwnerError returns the error of a process that does not own the cell.
func NotOwnerError(cell string) *kqresult.Error {
	return kqresult.Errorf(kqresult.NotOwner, "this process does not own %s", cell)
}
