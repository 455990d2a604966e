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
	driveInterval = 200 * time.Millisecond
	planInterval  = 50 * time.Millisecond
	beatTick      = 100 * time.Millisecond
	beatTimeout   = 700 * time.Millisecond
	inboxInterval = 300 * time.Millisecond
	usageLag      = 2 * time.Second
)

// Node is one worker: its host and the agent process on it.
type Node struct {
	// Host is the worker's task runtime.
	Host *kqhost.Host
	// Faults is the switches of the runtime.
	Faults *kqfault.Switches
	// Services measures the services on the host; may be nil.
	Services func(now time.Time) []kqladder.ServiceLatency
	// Pressures measures how far services are slowed; may be nil.
	Pressures func(now time.Time) []kqcell.ServiceReport
	// Steer replaces the ladder's settings; may be nil.
	Steer func(now time.Time, tasks []kqladder.Task) map[kqmodel.AttemptID]kqladder.Setting

	rig      *Rig
	id       string
	index    int
	up       bool
	hostUp   bool
	life     int
	paused   time.Time
	storeCut bool
	draining bool

	boot       string
	follower   *kqowner.Follower
	reconciler *kqworker.Reconciler
	ladder     kqladder.Throttler
	inventory  kqruntime.Inventory
	beats      int
	held       []*heldBeat
	phases     string
	session    uint64
	sequence   uint64
	cell       *kqcell.Cell
	taking     bool
	committing bool
}

func newNode(r *Rig, i int) *Node {
	n := &Node{rig: r, id: fmt.Sprintf("worker-%02d", i+1), index: i, hostUp: true, Faults: kqfault.New(r.config.Seed + uint64(i))}
	n.Host = kqhost.New(kqhost.Config{ID: n.id, Capacity: r.config.Capacity, Behaviours: r.config.Behaviours,
		Objects: r.Objects.Client(), Ledger: r.Ledger, Faults: n.Faults, UsageLag: usageLag})
	n.StartAgent()
	return n
}

// ID names the worker.
func (n *Node) ID() string { return n.id }

// guard wraps what happens to the present agent process: it is dropped if the
// process has died, and put off while it is paused.
func (n *Node) guard(do func()) func() {
	life := n.life
	var run func()
	run = func() {
		switch {
		case !n.up || n.life != life:
		case n.rig.now.Before(n.paused):
			n.rig.after(n.paused.Sub(n.rig.now), run)
		default:
			do()
		}
	}
	return run
}

// every repeats something for as long as the present process lives.
func (n *Node) every(d time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		n.rig.after(d, n.guard(tick))
	}
	n.rig.after(time.Duration(n.rig.rng.Int64N(int64(d))), n.guard(tick))
}

// StartAgent starts a new agent process.
func (n *Node) StartAgent() {
	n.life++
	n.up, n.draining = true, false
	n.boot = fmt.Sprintf("%s-agent-%d", n.id, n.life)
	n.follower = kqowner.NewFollower(n.rig.now, kqowner.FollowerConfig{Cell: Cell, Self: n.id, Boot: n.boot, Counter: n.rig.Counter})
	n.reconciler, n.ladder, n.cell = kqworker.NewReconciler(), kqladder.Throttler{}, nil
	n.taking, n.committing, n.session, n.sequence = false, false, 0, 0
	n.inventory = kqruntime.Inventory{}
	n.beats = 0
	n.held = nil
	n.every(beatTick, n.beat)
	n.every(driveInterval, n.drive)
	n.every(planInterval, n.plan)
	n.every(inboxInterval, n.readInbox)
}

// KillAgent ends the agent process; the tasks go on.
func (n *Node) KillAgent() { n.up, n.cell = false, nil }

// KillHost ends the host with everything on it.
func (n *Node) KillHost() {
	n.KillAgent()
	n.hostUp = false
	n.Host.Reboot(n.rig.now)
}

// BootHost brings a host back with a new boot.
func (n *Node) BootHost() {
	n.hostUp = true
	n.StartAgent()
}

// Pause stops the agent process for a time without its knowing.
func (n *Node) Pause(d time.Duration) { n.paused = n.rig.now.Add(d) }

// CutStore cuts the agent off from the table, or lets it back.
func (n *Node) CutStore(on bool) { n.storeCut = on }

// Drain asks the owner to take every task away.
func (n *Node) Drain() { n.draining = true }

// Up reports whether the agent process lives.
func (n *Node) Up() bool { return n.up }

// HostUp reports whether the host lives.
func (n *Node) HostUp() bool { return n.hostUp }

func (n *Node) rack() string { return fmt.Sprintf("rack-%d", n.index/n.rig.config.WorkersPerRack+1) }

func (n *Node) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+n.index))
}

// heartbeat makes the next heartbeat.
func (n *Node) heartbeat() kqcell.Heartbeat {
	h := kqcell.Heartbeat{Worker: kqmodel.Worker{ID: n.id, Zone: "zone-1", Rack: n.rack(), Address: n.address(), Capacity: n.inventory.Capacity},
		AgentBoot: n.boot, HostBoot: n.inventory.HostBoot, Draining: n.draining, Complete: true, OrdersVersion: n.reconciler.OrdersVersion(),
		Tasks: n.reconciler.Reports(n.inventory), Session: n.session, Sequence: n.sequence, MembersVersion: n.follower.MembersVersion()}
	if n.Pressures != nil {
		h.ServiceReports = n.Pressures(n.rig.now)
		for _, p := range h.ServiceReports {
			h.ServiceClasses = append(h.ServiceClasses, p.Class)
		}
	}
	return h
}

func (n *Node) follow() {
	if n.taking {
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
			if !n.taking && n.follower.Next(n.rig.now) == kqowner.ActionAcquire {
				n.take()
			}
		})
	case kqowner.ActionAcquire:
		n.take()
	}
}

// drive looks at the host and carries out what follows a moment later, so that
// a pause may fall between the two.
func (n *Node) drive() {
	if !n.hostUp {
		return
	}
	inv := n.Host.Inventory(n.rig.now)
	if n.inventory.HostBoot != "" && inv.HostBoot != n.inventory.HostBoot {
		n.reconciler.Reset()
	}
	n.inventory = inv
	actions := n.reconciler.Plan(n.rig.now, inv, n.settings(inv))
	for _, a := range actions {
		n.rig.after(time.Millisecond, n.guard(func() { n.carryOut(a) }))
	}
	if p := phases(n.reconciler.Reports(inv)); p != n.phases {
		n.phases = p
		n.sendBeat(true)
	}
}

func (n *Node) settings(inv kqruntime.Inventory) map[kqmodel.AttemptID]kqladder.Setting {
	if n.Services == nil && n.Steer == nil {
		return nil
	}
	tasks := n.reconciler.BatchTasks(inv)
	if n.Steer != nil {
		return n.Steer(n.rig.now, tasks)
	}
	return n.ladder.Step(n.rig.now, n.Services(n.rig.now), tasks)
}

func (n *Node) carryOut(a kqworker.Action) {
	if !n.reconciler.IsCurrent(n.rig.now, a) {
		return
	}
	checkpoint, err := n.command(a)
	n.reconciler.RecordResult(n.rig.now, a, checkpoint, err)
	if err == nil && a.Kind != kqworker.ActionRenew {
		n.rig.after(time.Millisecond, n.guard(n.drive))
	}
}

func (n *Node) command(a kqworker.Action) (string, error) {
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

// Owning reports whether the node acts as the owner of the cell.
func (n *Node) Owning() bool { return n.up && n.cell != nil }
