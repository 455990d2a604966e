package kqowner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	// HoldTime is how long an answer without news is held back; it sets how
	// often a quiet worker sends a heartbeat.
	MaxPollWait      = 400 * time.Millisecond
	heartbeatTimeout = 700 * time.Millisecond
	planInterval     = 50 * time.Millisecond
	inboxInterval    = 300 * time.Millisecond
	readTimeout      = 12 * time.Second
)

// Config sets up a Runner.
type Config struct {
	// Cell names the cell of the worker.
	Cell string
	// Self names the worker.
	Self string
	// Boot names the agent process.
	Boot string
	// Address is where the agent listens.
	Address netip.AddrPort
	// Table is the platform's table.
	Table kqtable.Table
	// Send carries a heartbeat to the owner at an address.
	Send func(ctx context.Context, to netip.AddrPort, h kqcell.Heartbeat) (kqcell.Reply, error)
	// Report makes the next heartbeat; full asks for the whole inventory.
	MakeHeartbeat func(now time.Time, full bool) kqcell.Heartbeat
	// Obey hands the owner's answer to the worker; sent is when it was asked.
	ApplyReply func(now, sent time.Time, r kqcell.Reply)
	// Quota returns the quota of a team.
	Quota func(team string) (kqmodel.Resources, bool)
	// Interference switches placement by learned interference off if false.
	Interference bool
	// Now is the clock.
	Now func() time.Time
	// Events remembers what was decided; may be nil.
	Events *kqevent.Log
	// Counter receives breaches; nil counts none.
	Counter *kqinvariant.Counter
}

// Runner sends the heartbeats of a worker and owns its cell when it has to.
type Runner struct {
	config   Config
	tomb     tomb.Tomb
	resolver kqtable.Resolver

	mu       sync.Mutex
	follower *Follower
	cell     *kqcell.Cell
	needFull bool
	beats    int
	poke     chan struct{}
	again    chan struct{}
	changed  chan struct{}
	session  uint64
	sequence uint64
	taking   bool
}

// Start begins the heartbeats.
func Start(c Config) *Runner {
	r := &Runner{config: c, resolver: kqtable.Resolver{Table: c.Table, Wait: kqtable.Sleep}, needFull: true,
		poke: make(chan struct{}, 1), again: make(chan struct{}, 1), changed: make(chan struct{}),
		follower: NewFollower(c.Now(), FollowerConfig{Cell: c.Cell, Self: c.Self, Boot: c.Boot, Counter: c.Counter})}
	r.tomb.Go(r.loop)
	return r
}

// Stop ends the heartbeats and the ownership, if it is held.
func (r *Runner) Stop() {
	r.tomb.Kill(nil)
	_ = r.tomb.Wait()
}

// Owner returns the ownership as this worker knows it.
func (r *Runner) Owner() (row kqcell.OwnershipRow, owning bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, _, _ = r.follower.Owner()
	return row, r.cell != nil
}

// Heartbeat answers a worker of the cell, if this process owns it. Without
// news the answer is held back for a while, so that orders reach the worker as
// soon as they are committed.
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
		waiting = r.wait(ctx, hold.C)
	}
	if r.cell != cell {
		return kqcell.Reply{}, kqcell.NotOwnerError(r.config.Cell)
	}
	return cell.AnswerHeld(r.config.Now(), h), nil
}

// wait gives the lock up until the cell has changed, and reports whether it is
// worth to wait on.
func (r *Runner) wait(ctx context.Context, held <-chan time.Time) bool {
	changed := r.changed
	r.mu.Unlock()
	defer r.mu.Lock()
	select {
	case <-changed:
		return true
	case <-held:
	case <-ctx.Done():
	case <-r.tomb.Dying():
	}
	return false
}

// wake answers the heartbeats held back; mu is held.
func (r *Runner) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Waiting returns why a task waits, if this process owns its cell.
func (r *Runner) WaitReason(id kqmodel.TaskID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cell == nil {
		return ""
	}
	return r.cell.WaitReason(id)
}

// tick is between two looks at what is due.
const tick = 100 * time.Millisecond

func (r *Runner) loop() error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		r.startBeat(false)
		r.follow()
		select {
		case <-r.tomb.Dying():
			return nil
		case <-r.poke:
			r.startBeat(true)
		case <-r.again:
		case <-t.C:
		}
	}
}

// Poke makes the next heartbeat come at once.
func (r *Runner) HeartbeatNow() { signal(r.poke) }

// signal makes a loop look again, if it does not have to already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// maxBeats bounds the heartbeats under way: one that the owner holds back and
// one that brings news.
const maxBeats = 2

// startBeat sends a heartbeat if one is due: while none is under way, or
// beside it when there is news.
func (r *Runner) startBeat(news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, _, found := r.follower.Owner()
	local := r.cell != nil
	due := r.beats == 0 || (news && r.beats < maxBeats)
	if !due || (!found && !local) {
		return
	}
	r.beats++
	r.sequence++
	r.tomb.Go((&beat{runner: r, to: row.Address, local: local, full: r.needFull, session: r.session, sequence: r.sequence, members: r.follower.MembersVersion()}).run)
}

// beat is one heartbeat under way.
type beat struct {
	runner   *Runner
	to       netip.AddrPort
	local    bool
	full     bool
	session  uint64
	sequence uint64
	members  uint64
}

func (b *beat) run() error {
	r := b.runner
	sent := r.config.Now()
	h := r.config.MakeHeartbeat(sent, b.full)
	h.Session, h.Sequence, h.MembersVersion = b.session, b.sequence, b.members
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), heartbeatTimeout)
	defer cancel()
	reply, err := r.send(ctx, b.local, b.to, h)
	now := r.config.Now()
	r.mu.Lock()
	r.beats--
	obey := err == nil && r.follower.ApplyReply(now, reply)
	if obey {
		r.needFull, r.session = reply.NeedComplete, reply.Session
	}
	r.mu.Unlock()
	if !obey {
		return nil
	}
	signal(r.again)
	if !reply.NeedComplete {
		r.config.ApplyReply(now, sent, reply)
	}
	return nil
}

func (r *Runner) send(ctx context.Context, local bool, to netip.AddrPort, h kqcell.Heartbeat) (kqcell.Reply, error) {
	if !local {
		return r.config.Send(ctx, to, h)
	}
	reply, refused := r.Heartbeat(ctx, h)
	if refused != nil {
		return reply, refused
	}
	return reply, nil
}

// follow does what the follower decides.
func (r *Runner) follow() {
	act := r.next()
	if act == ActionReadRow {
		r.readRow()
		act = r.next()
	}
	if act == ActionAcquire {
		r.setTaking(true)
		r.tomb.Go((&candidacy{runner: r}).run)
	}
}

// next asks the follower, unless a candidacy is under way.
func (r *Runner) next() Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taking {
		return ActionNone
	}
	return r.follower.Next(r.config.Now())
}

func (r *Runner) setTaking(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taking = on
}

func (r *Runner) readRow() {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), readTimeout)
	defer cancel()
	row, found, err := r.config.Table.Get(ctx, kqcell.OwnershipKey(r.config.Cell))
	if err != nil {
		return
	}
	var owner kqcell.OwnershipRow
	if found && kqtable.Decode(row, &owner) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.ApplyRow(r.config.Now(), owner, row.Version, found)
}
