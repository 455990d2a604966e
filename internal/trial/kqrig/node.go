package kqrig

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqowner"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqladder"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqworker"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqhost"
)

const (
	reconcileInterval = 200 * time.Millisecond
	planInterval      = 50 * time.Millisecond
	tickInterval      = 100 * time.Millisecond
	// heartbeatTimeout is the time after which a heartbeat without a reply no longer counts as
	// in flight.
	heartbeatTimeout = 700 * time.Millisecond
	inboxInterval    = 300 * time.Millisecond
	// usageLag is the age of the usage that hosts report.
	usageLag = 2 * time.Second
)

// Node is one worker: a host and the agent process on it, which may also be the owner of the
// cell.
type Node struct {
	// Host is the stand-in of the worker's task runtime.
	Host *kqhost.Host
	// Faults injects faults into the task runtime.
	Faults *kqfault.Switches
	// ServiceLatencies returns the latencies of the services on the host, by which the
	// throttler throttles the batch tasks; may be nil.
	ServiceLatencies func(now time.Time) []kqladder.ServiceLatency
	// ServiceReports returns the service reports that heartbeats send to the owner: the latency
	// of each class of service against its target. May be nil.
	ServiceReports func(now time.Time) []kqcell.ServiceReport
	// ThrottleSettings replaces the throttler if it is not nil: it returns the settings of the
	// batch tasks.
	ThrottleSettings func(now time.Time, tasks []kqladder.Task) map[kqmodel.AttemptID]kqladder.Setting

	rig         *Rig
	id          string
	index       int
	agentUp     bool
	hostUp      bool
	agentStarts int
	pausedUntil time.Time
	storeCut    bool
	draining    bool

	bootID     string
	follower   *kqowner.Follower
	reconciler *kqworker.Reconciler
	throttler  kqladder.Throttler
	inventory  kqruntime.Inventory
	inFlight   int
	held       []*heldHeartbeat
	lastPhases string
	session    uint64
	sequence   uint64
	cell       *kqcell.Cell
	acquiring  bool
	committing bool
}

func newNode(r *Rig, i int) *Node {
	n := &Node{rig: r, id: fmt.Sprintf("worker-%02d", i+1), index: i, hostUp: true, Faults: kqfault.New(r.config.Seed + uint64(i))}
	n.Host = kqhost.New(kqhost.Config{ID: n.id, Capacity: r.config.Capacity, Behaviours: r.config.Behaviours,
		Objects: r.Objects.Client(), Ledger: r.Ledger, Faults: n.Faults, UsageLag: usageLag})
	n.StartAgent()
	return n
}

// ID returns the id of the worker.
func (n *Node) ID() string { return n.id }

// guard returns a function that runs do in the current agent process. It does nothing once
// that process has ended, and waits for the end of a pause.
func (n *Node) guard(do func()) func() {
	starts := n.agentStarts
	var run func()
	run = func() {
		switch {
		case !n.agentUp || n.agentStarts != starts:
		case n.rig.now.Before(n.pausedUntil):
			n.rig.after(n.pausedUntil.Sub(n.rig.now), run)
		default:
			do()
		}
	}
	return run
}

// repeat calls do at the interval d, first after a random part of it, until the current agent
// process ends.
func (n *Node) repeat(d time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		n.rig.after(d, n.guard(tick))
	}
	n.rig.after(time.Duration(n.rig.rng.Int64N(int64(d))), n.guard(tick))
}

// StartAgent starts a new agent process, which has no state of the one before it.
func (n *Node) StartAgent() {
	n.agentStarts++
	n.agentUp, n.draining = true, false
	n.bootID = fmt.Sprintf("%s-agent-%d", n.id, n.agentStarts)
	n.follower = kqowner.NewFollower(n.rig.now, kqowner.FollowerConfig{Cell: Cell, Self: n.id, Boot: n.bootID, Counter: n.rig.Counter})
	n.reconciler, n.throttler, n.cell = kqworker.NewReconciler(), kqladder.Throttler{}, nil
	n.acquiring, n.committing, n.session, n.sequence = false, false, 0, 0
	n.inventory = kqruntime.Inventory{}
	n.inFlight = 0
	n.held = nil
	n.repeat(tickInterval, n.tick)
	n.repeat(reconcileInterval, n.reconcile)
	n.repeat(planInterval, n.plan)
	n.repeat(inboxInterval, n.readInbox)
}

// KillAgent kills the agent process; the tasks on the host continue.
func (n *Node) KillAgent() { n.agentUp, n.cell = false, nil }

// KillHost kills the host with the agent process and all tasks on it.
func (n *Node) KillHost() {
	n.KillAgent()
	n.hostUp = false
	n.Host.Reboot(n.rig.now)
}

// BootHost starts a killed host again, with a new boot id.
func (n *Node) BootHost() {
	n.hostUp = true
	n.StartAgent()
}

// Pause suspends the agent process for the time d, as a stopped process or virtual machine:
// it keeps its state and does not notice the pause.
func (n *Node) Pause(d time.Duration) { n.pausedUntil = n.rig.now.Add(d) }

// SetStoreCut disconnects the agent from the table, or connects it again.
func (n *Node) SetStoreCut(on bool) { n.storeCut = on }

// Drain requests the owner to evict all tasks of the worker.
func (n *Node) Drain() { n.draining = true }

// AgentUp reports whether the agent process is running.
func (n *Node) AgentUp() bool { return n.agentUp }

// HostUp reports whether the host is running.
func (n *Node) HostUp() bool { return n.hostUp }

func (n *Node) rack() string { return fmt.Sprintf("rack-%d", n.index/n.rig.config.WorkersPerRack+1) }

func (n *Node) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+n.index))
}

// makeHeartbeat returns the next heartbeat, which is always complete.
func (n *Node) makeHeartbeat() kqcell.Heartbeat {
	h := kqcell.Heartbeat{Worker: kqmodel.Worker{ID: n.id, Zone: "zone-1", Rack: n.rack(), Address: n.address(), Capacity: n.inventory.Capacity},
		AgentBoot: n.bootID, HostBoot: n.inventory.HostBoot, Draining: n.draining, Complete: true, OrdersVersion: n.reconciler.OrdersVersion(),
		Tasks: n.reconciler.Reports(n.inventory), Session: n.session, Sequence: n.sequence, MembersVersion: n.follower.MembersVersion()}
	if n.ServiceReports != nil {
		h.ServiceReports = n.ServiceReports(n.rig.now)
		for _, r := range h.ServiceReports {
			h.ServiceClasses = append(h.ServiceClasses, r.Class)
		}
	}
	return h
}

// runFollower carries out the next action of the follower: it reads the ownership row or tries
// to acquire the ownership. It does nothing while an acquisition is in progress.
func (n *Node) runFollower() {
	if n.acquiring {
		return
	}
	act := n.follower.Next(n.rig.now)
	switch act {
	case kqowner.ActionReadRow:
		n.rig.Store.get(n, kqcell.OwnershipKey(Cell), func(row kqtable.Row, found bool, err error) {
			var o kqcell.OwnershipRow
			if err != nil || (found && kqtable.Decode(row, &o) != nil) {
				return
			}
			n.follower.ApplyRow(n.rig.now, o, row.Version, found)
			if !n.acquiring && n.follower.Next(n.rig.now) == kqowner.ActionAcquire {
				n.acquire()
			}
		})
	case kqowner.ActionAcquire:
		n.acquire()
	}
}

// reconcile reads the inventory of the host and plans the actions. They are executed one
// millisecond later, so that a pause can occur between the decision and its execution.
func (n *Node) reconcile() {
	if !n.hostUp {
		return
	}
	inv := n.Host.Inventory(n.rig.now)
	if n.inventory.HostBoot != "" && inv.HostBoot != n.inventory.HostBoot {
		n.reconciler.Reset()
	}
	n.inventory = inv
	actions := n.reconciler.Plan(n.rig.now, inv, n.throttleSettings(inv))
	for _, a := range actions {
		n.rig.after(time.Millisecond, n.guard(func() { n.execute(a) }))
	}
	if p := phaseSummary(n.reconciler.Reports(inv)); p != n.lastPhases {
		n.lastPhases = p
		n.sendHeartbeat(true)
	}
}

// throttleSettings returns the throttling settings of the batch tasks on the host; nil if no
// source of them is configured.
func (n *Node) throttleSettings(inv kqruntime.Inventory) map[kqmodel.AttemptID]kqladder.Setting {
	if n.ServiceLatencies == nil && n.ThrottleSettings == nil {
		return nil
	}
	tasks := n.reconciler.BatchTasks(inv)
	if n.ThrottleSettings != nil {
		return n.ThrottleSettings(n.rig.now, tasks)
	}
	return n.throttler.Step(n.rig.now, n.ServiceLatencies(n.rig.now), tasks)
}

// execute carries out an action that is still current and records its result.
func (n *Node) execute(a kqworker.Action) {
	if !n.reconciler.IsCurrent(n.rig.now, a) {
		return
	}
	checkpoint, err := n.callHost(a)
	n.reconciler.RecordResult(n.rig.now, a, checkpoint, err)
	if err == nil && a.Kind != kqworker.ActionRenew {
		n.rig.after(time.Millisecond, n.guard(n.reconcile))
	}
}

// callHost makes the runtime call of an action. It returns the checkpoint if it stored one.
func (n *Node) callHost(a kqworker.Action) (string, error) {
	h, o, now, ctx := n.Host, a.Order, n.rig.now, context.Background()
	switch a.Kind {
	case kqworker.ActionStart:
		return "", h.Start(ctx, now, o, a.Until)
	case kqworker.ActionRenew:
		return "", h.Renew(now, o.ID, o.Token, a.Until)
	case kqworker.ActionCheckpoint:
		return h.Checkpoint(ctx, now, o.ID, o.Token)
	case kqworker.ActionSuspend:
		return "", h.Suspend(now, o.ID, o.Token)
	case kqworker.ActionThrottle:
		return "", h.Throttle(now, o.ID, o.Token, a.Share)
	}
	return "", h.Stop(now, o.ID, o.Token)
}

// IsOwner reports whether the agent process acts as the owner of the cell. Several nodes may
// do so until the earlier owners notice that they have been replaced.
func (n *Node) IsOwner() bool { return n.agentUp && n.cell != nil }
