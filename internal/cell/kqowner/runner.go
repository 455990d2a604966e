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
	"github.com/kumquatswitch/kumquatswitch/internal/platform/kqtable"
)

const (
	// HeartbeatInterval is between two heartbeats of a worker.
	HeartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = 700 * time.Millisecond
	planInterval      = 200 * time.Millisecond
	inboxInterval     = 300 * time.Millisecond
	readTimeout       = 12 * time.Second
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
	Report func(now time.Time, full bool) kqcell.Heartbeat
	// Obey hands the owner's answer to the worker; sent is when it was asked.
	Obey func(now, sent time.Time, r kqcell.Reply)
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
	session  uint64
	sequence uint64
	taking   bool
}

// Start begins the heartbeats.
func Start(c Config) *Runner {
	r := &Runner{config: c, resolver: kqtable.Resolver{Table: c.Table, Wait: kqtable.Sleep}, needFull: true,
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
func (r *Runner) Owner() (row kqcell.Row, owning bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, _, _ = r.follower.Owner()
	return row, r.cell != nil
}

// Heartbeat answers a worker of the cell, if this process owns it.
func (r *Runner) Heartbeat(now time.Time, h kqcell.Heartbeat) (kqcell.Reply, *kqresult.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cell == nil {
		return kqcell.Reply{}, kqcell.Superseded(r.config.Cell)
	}
	return r.cell.Heartbeat(now, h), nil
}

// Waiting returns why a task waits, if this process owns its cell.
func (r *Runner) Waiting(id kqmodel.TaskID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cell == nil {
		return ""
	}
	return r.cell.Waiting(id)
}

func (r *Runner) loop() error {
	t := time.NewTicker(HeartbeatInterval)
	defer t.Stop()
	for {
		r.beat()
		r.follow()
		select {
		case <-r.tomb.Dying():
			return nil
		case <-t.C:
		}
	}
}

// beat sends one heartbeat to the owner, which may be this process.
func (r *Runner) beat() {
	r.mu.Lock()
	row, _, found := r.follower.Owner()
	local, full := r.cell != nil, r.needFull
	r.sequence++
	session, sequence := r.session, r.sequence
	r.mu.Unlock()
	if !found && !local {
		return
	}
	sent := r.config.Now()
	h := r.config.Report(sent, full)
	h.Session, h.Sequence = session, sequence
	reply, err := r.send(local, row.Address, sent, h)
	now := r.config.Now()
	if err != nil {
		return
	}
	r.mu.Lock()
	obey := r.follower.Heard(now, reply.Epoch, reply.Members, reply.StoreAge)
	if obey {
		r.needFull, r.session = reply.NeedFull, reply.Session
	}
	r.mu.Unlock()
	if obey && !reply.NeedFull {
		r.config.Obey(now, sent, reply)
	}
}

func (r *Runner) send(local bool, to netip.AddrPort, now time.Time, h kqcell.Heartbeat) (kqcell.Reply, error) {
	if local {
		reply, e := r.Heartbeat(now, h)
		if e != nil {
			return reply, e
		}
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), heartbeatTimeout)
	defer cancel()
	return r.config.Send(ctx, to, h)
}

// follow does what the follower decides.
func (r *Runner) follow() {
	act := r.next()
	if act == ActReadRow {
		r.readRow()
		act = r.next()
	}
	if act == ActTake {
		r.setTaking(true)
		r.tomb.Go((&candidacy{runner: r}).run)
	}
}

// next asks the follower, unless a candidacy is under way.
func (r *Runner) next() Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taking {
		return ActNone
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
	row, found, err := r.config.Table.Get(ctx, kqcell.RowKey(r.config.Cell))
	if err != nil {
		return
	}
	var owner kqcell.Row
	if found && kqtable.Decode(row, &owner) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.Row(r.config.Now(), owner, row.Version, found)
}
