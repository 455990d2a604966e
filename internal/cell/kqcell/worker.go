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

// Pressure is how a service on a worker does against its target.
type ServiceReport struct {
	// Class is the class of service.
	Class string
	// Slowdown is the measured stretch of its calls: 0.2 is a fifth.
	Slowdown float64
	// Pressed is true if the service misses its target.
	MissesTarget bool
	// Calls is how many calls were measured.
	Calls int
}

// Heartbeat is what an agent tells the owner of its cell.
type Heartbeat struct {
	// Worker is the agent's host; only its ID is given unless Full.
	Worker kqmodel.Worker
	// AgentBoot names the agent process.
	AgentBoot string
	// HostBoot names the boot of the host.
	HostBoot string
	// Draining is true if the worker takes no new tasks.
	Draining bool
	// Full is true if Tasks is the whole inventory; otherwise it is unchanged.
	Complete bool
	// Tasks is the attempts on the worker.
	Tasks []kqruntime.Report
	// Pressures is how the services on the worker do.
	ServiceReports []ServiceReport
	// Services is the classes of service on the worker, if Full.
	ServiceClasses []string
	// MembersSeen is the version of the members that the agent knows.
	MembersVersion uint64
	// OrdersSeen is the version of the orders that the agent follows.
	OrdersVersion uint64
	// Session is the session that the owner offered last.
	Session uint64
	// Sequence counts the heartbeats of the agent process.
	Sequence uint64
}

// Reply is the owner's answer to a Heartbeat.
type Reply struct {
	// Epoch is the owner's epoch.
	Epoch uint64
	// Version is the version of the orders.
	OrdersVersion uint64
	// Changed is true if Orders is given.
	OrdersChanged bool
	// Orders is every attempt that the owner wants on the worker.
	Orders []kqruntime.Order
	// MembersVersion is the version of the members.
	MembersVersion uint64
	// Members is the workers heard of late, if the agent knows older ones.
	Members []Member
	// LeaseLeft is how long the leases last from when the agent asked.
	LeaseDuration time.Duration
	// NeedFull asks for the whole inventory.
	NeedComplete bool
	// Session is to be sent with the next heartbeat.
	Session uint64
	// StoreAge is how long the owner has not heard from the table.
	StoreResponseAge time.Duration
}

// Member is a worker of the cell.
type Member struct {
	// ID names the worker.
	ID string
	// Address is where its agent listens.
	Address netip.AddrPort
}

// worker is what the owner knows of a worker.
type worker struct {
	id          string
	info        kqmodel.Worker
	hostBoot    string
	session     uint64
	offered     uint64
	sequence    uint64
	registered  bool
	draining    bool
	heardAt     time.Time
	grantedTill time.Time
	reports     map[kqmodel.AttemptID]kqruntime.Report
	services    []string
	pressed     bool
	version     uint64
	health      kqhealth.Worker
}

const (
	memberSilence     = 5 * time.Second
	memberInterval    = 500 * time.Millisecond
	versionEpochShift = 32
)

// Heartbeat takes over what an agent says and returns what the owner wants of
// it. A lease is granted from now on, as far as the ownership is confirmed.
func (k *Cell) Heartbeat(now time.Time, h Heartbeat) Reply {
	w := k.workers[h.Worker.ID]
	if w == nil {
		w = &worker{id: h.Worker.ID}
		k.workers[h.Worker.ID] = w
	}
	// The version begins with the epoch, so that an agent that followed an
	// earlier owner never takes its orders for the present ones.
	w.version = max(w.version, k.row.Epoch<<versionEpochShift)
	fresh := w.session == 0 || h.Session != w.session
	if fresh && (h.Session != w.offered || w.offered == 0 || !h.Complete) {
		return k.offer(now, w)
	}
	if fresh || h.Sequence > w.sequence {
		k.take(now, w, h)
	}
	if fresh {
		w.version++
		k.config.Events.Emit(now, kqevent.WorkerRegistered, kqevent.Worker(w.id), "host boot %s with %d attempts", w.hostBoot, len(w.reports))
	}
	return k.answer(now, w, h)
}

// answer grants a lease and gives the orders, if the agent has older ones.
func (k *Cell) answer(now time.Time, w *worker, h Heartbeat) Reply {
	left := max(0, MaxLeaseDuration-now.Sub(k.confirmedAt))
	w.grantedTill = now.Add(left)
	r := Reply{Epoch: k.row.Epoch, Session: w.session, OrdersVersion: w.version, LeaseDuration: left, StoreResponseAge: now.Sub(k.storeAt)}
	k.listMembers(now)
	if r.MembersVersion = k.membersVersion; h.MembersVersion != k.membersVersion {
		r.Members = k.memberList
	}
	if h.OrdersVersion != w.version {
		r.OrdersChanged, r.Orders = true, k.orders(w)
	}
	return r
}

// Later answers a heartbeat that was held back. Where the worker has begun
// another session since, it is told to ask again.
func (k *Cell) AnswerHeld(now time.Time, h Heartbeat) Reply {
	w := k.workers[h.Worker.ID]
	if w == nil || w.session != h.Session {
		return Reply{Epoch: k.row.Epoch, NeedComplete: true, Session: h.Session, StoreResponseAge: now.Sub(k.storeAt)}
	}
	return k.answer(now, w, h)
}

// Pending reports whether there are orders that the sender of a held heartbeat
// does not have.
func (k *Cell) HasNewOrders(h Heartbeat) bool {
	w := k.workers[h.Worker.ID]
	return w == nil || w.session != h.Session || w.version != h.OrdersVersion
}

// offer begins a new session with a worker. A process joins it by sending it
// back with its whole inventory, which a delayed heartbeat of an earlier
// process or boot cannot do; the present session goes on until then.
func (k *Cell) offer(now time.Time, w *worker) Reply {
	k.sessions++
	w.offered = k.row.Epoch<<versionEpochShift | k.sessions
	return Reply{Epoch: k.row.Epoch, NeedComplete: true, Session: w.offered, StoreResponseAge: now.Sub(k.storeAt)}
}

func (k *Cell) take(now time.Time, w *worker, h Heartbeat) {
	w.hostBoot = h.HostBoot
	w.session, w.sequence = h.Session, h.Sequence
	w.registered, w.draining, w.heardAt = true, h.Draining, now
	if h.Complete {
		w.info, w.services = h.Worker, h.ServiceClasses
		w.reports = make(map[kqmodel.AttemptID]kqruntime.Report, len(h.Tasks))
		for _, r := range h.Tasks {
			w.reports[r.ID] = r
		}
		k.measure(w)
	}
	w.pressed = false
	for _, p := range h.ServiceReports {
		w.pressed = w.pressed || p.MissesTarget
		k.learn(w, p)
	}
}

// measure learns sizes from the usage in the reports.
func (k *Cell) measure(w *worker) {
	for id, r := range w.reports {
		j := k.jobs[id.Task.Job]
		if j != nil && r.Phase == kqruntime.PhaseRunning && r.Throttle == 1 {
			k.sizes.RecordUsage(j.Spec.FamilyName(), j.Spec.Resources, r.Usage)
		}
	}
}

// learn attributes a service's slowdown to the work on its host.
func (k *Cell) learn(w *worker, p ServiceReport) {
	if p.Calls == 0 {
		return
	}
	k.pairs.Learn(p.Class, p.Slowdown, k.present(w))
}

// present lists the families at work on a worker.
func (k *Cell) present(w *worker) []kqlearn.RunningFamily {
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

// listMembers brings the list of members to the present time.
func (k *Cell) listMembers(now time.Time) {
	if now.Sub(k.membersAt) < memberInterval && k.membersVersion > 0 {
		return
	}
	k.membersAt = now
	list := k.members(now)
	if k.membersVersion == 0 || !slices.Equal(list, k.memberList) {
		k.memberList = list
		k.membersVersion = max(k.membersVersion, k.row.Epoch<<versionEpochShift) + 1
	}
}

func (k *Cell) members(now time.Time) []Member {
	var out []Member
	for _, w := range k.workers {
		if w.registered && now.Sub(w.heardAt) < memberSilence {
			out = append(out, Member{ID: w.id, Address: w.info.Address})
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// goals says what the owner wants of an attempt in each state of the chart.
var goals = map[string]kqruntime.Goal{
	stateAssigned:   kqruntime.GoalRun,
	stateRunning:    kqruntime.GoalRun,
	stateSuspended:  kqruntime.GoalRun,
	stateEvicting:   kqruntime.GoalEvict,
	stateCancelling: kqruntime.GoalStop,
}

// orders lists every committed attempt on a worker.
func (k *Cell) orders(w *worker) []kqruntime.Order {
	var out []kqruntime.Order
	var sum kqmodel.Resources
	for _, t := range k.tasks {
		goal, ok := goals[t.State]
		if !ok || t.Worker != w.id || t.HostBoot != w.hostBoot {
			continue
		}
		out = append(out, k.order(t, goal, w))
		sum = sum.Add(t.Reserved)
	}
	k.config.Counter.Check(sum.Fits(w.info.Capacity), kqinvariant.CapacityExceeded,
		"worker %s: %s of %s ordered", w.id, sum, w.info.Capacity)
	slices.SortFunc(out, func(a, b kqruntime.Order) int { return strings.Compare(a.ID.String(), b.ID.String()) })
	return out
}

func (k *Cell) order(t *kqmodel.Task, goal kqruntime.Goal, w *worker) kqruntime.Order {
	o := kqruntime.Order{ID: t.AttemptID(), Token: k.token(t), Resources: t.Reserved, Checkpoint: t.Checkpoint, Goal: goal, HostBoot: t.HostBoot}
	j := k.jobs[t.ID.Job]
	if j == nil {
		return o
	}
	o.Declared = j.Spec.Resources
	o.RunTime, o.Family, o.Watcher, o.Command = j.Spec.RunTime.Std(), j.Spec.FamilyName(), j.Watcher, j.Spec.Command
	for _, c := range w.services {
		o.Interference += k.pairs.SlowdownPerProcessor(c, o.Family) * float64(j.Spec.Resources.MilliProcessors) / 1000
	}
	return o
}

const tokenAttemptShift = 32

// token orders the orders for a task: by attempt, then by epoch.
func (k *Cell) token(t *kqmodel.Task) uint64 {
	return uint64(t.Attempt)<<tokenAttemptShift | k.row.Epoch
}

// Superseded is the answer of a process that does not own the cell.
func NotOwnerError(cell string) *kqresult.Error {
	return kqresult.Errorf(kqresult.NotOwner, "this process does not own %s", cell)
}
