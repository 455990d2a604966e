package kqowner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	// MaxPollWait is how long the reply to a heartbeat is held back while there are no new
	// orders. It sets how often a worker without changes sends a heartbeat.
	MaxPollWait = 400 * time.Millisecond
	// heartbeatCallTimeout limits the time of one heartbeat call, including the hold time.
	heartbeatCallTimeout = 700 * time.Millisecond
	// planInterval is the time between two calls of Plan by the owner.
	planInterval = 50 * time.Millisecond
	// inboxInterval is the time between two reads of the inbox by the owner.
	inboxInterval = 300 * time.Millisecond
	// readTimeout is the deadline of reads from the table.
	readTimeout = 12 * time.Second
)

// Config sets up a Runner.
type Config struct {
	// Cell names the cell of the worker.
	Cell string
	// Self names the worker.
	Self string
	// Boot identifies the agent process.
	Boot string
	// Address is where the agent listens.
	Address netip.AddrPort
	// Table stores the ownership, the jobs and the tasks.
	Table kqtable.Table
	// Send sends a heartbeat to the owner at an address and returns the reply.
	Send func(ctx context.Context, to netip.AddrPort, h kqcell.Heartbeat) (kqcell.Reply, error)
	// MakeHeartbeat returns the next heartbeat; complete requests a complete inventory.
	MakeHeartbeat func(now time.Time, complete bool) kqcell.Heartbeat
	// ApplyReply applies the owner's reply to the worker; sent is when the heartbeat was
	// sent.
	ApplyReply func(now, sent time.Time, r kqcell.Reply)
	// Quota returns the quota of a team; the second result is false if the team has none.
	Quota func(team string) (kqmodel.Resources, bool)
	// Interference enables placement by learned interference.
	Interference bool
	// Now returns the current time.
	Now func() time.Time
	// Events records the decisions; may be nil.
	Events *kqevent.Log
	// Counter counts violated invariants; may be nil.
	Counter *kqinvariant.Counter
}

// Runner sends the heartbeats of a worker, and acquires and exercises the ownership of its
// cell when the owner must be replaced.
type Runner struct {
	config   Config
	tomb     tomb.Tomb
	resolver kqtable.Resolver

	mu                 sync.Mutex
	follower           *Follower
	cell               *kqcell.Cell
	needComplete       bool
	heartbeatsInFlight int
	heartbeatNow       chan struct{}
	recheck            chan struct{}
	cellChanged        chan struct{}
	session            uint64
	sequence           uint64
	acquiring          bool
}

// Start starts the heartbeats in goroutines that Stop ends.
func Start(c Config) *Runner {
	r := &Runner{config: c, resolver: kqtable.Resolver{Table: c.Table, Wait: kqtable.Sleep}, needComplete: true,
		heartbeatNow: make(chan struct{}, 1), recheck: make(chan struct{}, 1), cellChanged: make(chan struct{}),
		follower: NewFollower(c.Now(), FollowerConfig{Cell: c.Cell, Self: c.Self, Boot: c.Boot, Counter: c.Counter})}
	r.tomb.Go(r.loop)
	return r
}

// Stop ends the heartbeats, and the work as the owner if the cell is owned, and waits until
// the goroutines have ended. The ownership row is left as it is.
func (r *Runner) Stop() {
	r.tomb.Kill(nil)
	_ = r.tomb.Wait()
}

// Owner returns the ownership row as last read, and whether this process owns the cell.
func (r *Runner) Owner() (row kqcell.OwnershipRow, owning bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, _, _ = r.follower.Owner()
	return row, r.cell != nil
}

// Heartbeat answers a heartbeat of a worker of the cell, or returns an error if this process
// does not own the cell. Without new orders the reply is held back for up to MaxPollWait, so
// that orders reach the worker as soon as they are committed.
func (r *Runner) Heartbeat(ctx context.Context, h kqcell.Heartbeat) (kqcell.Reply, *kqresult.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cell := r.cell
	if cell == nil {
		return kqcell.Reply{}, kqcell.NotOwnerError(r.config.Cell)
	}
	reply := cell.Heartbeat(r.config.Now(), h)
	if reply.OrdersChanged || reply.NeedComplete {
		return reply, nil
	}
	hold := time.NewTimer(MaxPollWait)
	defer hold.Stop()
	for waiting := true; waiting && r.cell == cell && !cell.HasNewOrders(h); {
		waiting = r.waitForChange(ctx, hold.C)
	}
	if r.cell != cell {
		return kqcell.Reply{}, kqcell.NotOwnerError(r.config.Cell)
	}
	return cell.AnswerHeld(r.config.Now(), h), nil
}

// waitForChange releases mu until the cell has changed, and reports whether it has. It returns
// false once the hold time, the context or the runner has ended.
func (r *Runner) waitForChange(ctx context.Context, holdExpired <-chan time.Time) bool {
	changed := r.cellChanged
	r.mu.Unlock()
	defer r.mu.Lock()
	select {
	case <-changed:
		return true
	case <-holdExpired:
	case <-ctx.Done():
	case <-r.tomb.Dying():
	}
	return false
}

// wakeHeld wakes the heartbeats whose replies are held back. mu must be held.
func (r *Runner) wakeHeld() {
	close(r.cellChanged)
	r.cellChanged = make(chan struct{})
}

// WaitReason returns why a task waits, or an empty text if this process does not own its cell.
func (r *Runner) WaitReason(id kqmodel.TaskID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cell == nil {
		return ""
	}
	return r.cell.WaitReason(id)
}

// loopInterval is the longest time between two checks of whether a heartbeat or a step of the
// follower is due.
const loopInterval = 100 * time.Millisecond

func (r *Runner) loop() error {
	t := time.NewTicker(loopInterval)
	defer t.Stop()
	for {
		r.startHeartbeat(false)
		r.followOwner()
		select {
		case <-r.tomb.Dying():
			return nil
		case <-r.heartbeatNow:
			r.startHeartbeat(true)
		case <-r.recheck:
		case <-t.C:
		}
	}
}

// HeartbeatNow makes the runner send a heartbeat at once.
func (r *Runner) HeartbeatNow() { signal(r.heartbeatNow) }

// signal wakes the loop that reads c. It does nothing if a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// maxHeartbeatsInFlight is the maximum number of heartbeats in flight: one whose reply the
// owner holds back, and one that reports a change.
const maxHeartbeatsInFlight = 2

// startHeartbeat sends a heartbeat if none is in flight. With immediate it also sends one
// while fewer than maxHeartbeatsInFlight are in flight.
func (r *Runner) startHeartbeat(immediate bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, _, found := r.follower.Owner()
	local := r.cell != nil
	due := r.heartbeatsInFlight == 0 || (immediate && r.heartbeatsInFlight < maxHeartbeatsInFlight)
	if !due || (!found && !local) {
		return
	}
	r.heartbeatsInFlight++
	r.sequence++
	r.tomb.Go((&heartbeat{runner: r, to: row.Address, local: local, complete: r.needComplete, session: r.session, sequence: r.sequence, membersVersion: r.follower.MembersVersion()}).run)
}

// heartbeat is one heartbeat in flight.
type heartbeat struct {
	runner         *Runner
	to             netip.AddrPort
	local          bool
	complete       bool
	session        uint64
	sequence       uint64
	membersVersion uint64
}

func (hb *heartbeat) run() error {
	r := hb.runner
	sent := r.config.Now()
	h := r.config.MakeHeartbeat(sent, hb.complete)
	h.Session, h.Sequence, h.MembersVersion = hb.session, hb.sequence, hb.membersVersion
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), heartbeatCallTimeout)
	defer cancel()
	reply, err := r.send(ctx, hb.local, hb.to, h)
	now := r.config.Now()
	r.mu.Lock()
	r.heartbeatsInFlight--
	accepted := err == nil && r.follower.ApplyReply(now, reply)
	if accepted {
		r.needComplete, r.session = reply.NeedComplete, reply.Session
	}
	r.mu.Unlock()
	if !accepted {
		return nil
	}
	signal(r.recheck)
	if !reply.NeedComplete {
		r.config.ApplyReply(now, sent, reply)
	}
	return nil
}

func (r *Runner) send(ctx context.Context, local bool, to netip.AddrPort, h kqcell.Heartbeat) (kqcell.Reply, error) {
	if !local {
		return r.config.Send(ctx, to, h)
	}
	reply, notOwner := r.Heartbeat(ctx, h)
	if notOwner != nil {
		return reply, notOwner
	}
	return reply, nil
}

// followOwner carries out the next step of the follower.
func (r *Runner) followOwner() {
	action := r.nextAction()
	if action == ActionReadRow {
		r.readRow()
		action = r.nextAction()
	}
	if action == ActionAcquire {
		r.setAcquiring(true)
		r.tomb.Go((&acquisition{runner: r}).run)
	}
}

// nextAction returns the next step of the follower, or ActionNone while an acquisition is in
// progress.
func (r *Runner) nextAction() Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acquiring {
		return ActionNone
	}
	return r.follower.Next(r.config.Now())
}

func (r *Runner) setAcquiring(acquiring bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acquiring = acquiring
}

// maxEpoch limits an epoch. A cell that changes its owner once a second reaches it after 30,000 years.
const maxEpoch = 1_000_000_000_000

func (r *Runner) readRow() {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), readTimeout)
	defer cancel()
	row, found, err := r.config.Table.Get(ctx, kqcell.OwnershipKey(r.config.Cell))
	if err != nil {
		return
	}
	var owner kqcell.OwnershipRow
	if found {
		if err = kqtable.Decode(row, &owner); err == nil && owner.Epoch > maxEpoch {
			err = eris.Errorf("row %s: epoch %d is out of range", row.Key, owner.Epoch)
		}
		if err != nil {
			// Its owner has lost the cell, and nobody would acquire it. The next epoch is above
			// the highest one of a reply.
			kqtable.LogUnreadable(r.config.Events, r.config.Now)(row, err)
			owner = kqcell.OwnershipRow{}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.ApplyRow(r.config.Now(), owner, row.Version, found)
}
