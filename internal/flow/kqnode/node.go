// Package kqnode joins a process to the owner of its cell: it finds the owner,
// keeps one stream with it, and takes the ownership when the owner has gone.
package kqnode

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqelect"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// Config sets up a Node.
type Config struct {
	// Role is what the process is; only agents own cells.
	Role kqmessage.Role
	// Listen is where an agent takes streams.
	ListenAddress netip.AddrPort
	// Network is how streams are taken and made; nil means TCP.
	Network *Network
	// Control is what a Controller needs; its Name, Boot, Cell, Store, Now and
	// Events serve the node too.
	Control kqcontrol.Config
	// Linked is called when a stream with the owner stands.
	Connected func(epoch uint64, send func(kqmessage.ToOwner))
	// Unlinked is called when that stream has ended.
	Disconnected func()
	// Receive takes each message of the owner.
	Receive func(m kqmessage.FromOwner)
	// Digests is true if an entry wants to be told of the work that waits.
	WantsDigests bool
}

const (
	readTimeout    = 700 * time.Millisecond
	dialTimeout    = 500 * time.Millisecond
	welcomeTimeout = 700 * time.Millisecond
	lookInterval   = 150 * time.Millisecond
	takeTimeout    = 6 * time.Second
	suspectAge     = 700 * time.Millisecond
	watchInterval  = 250 * time.Millisecond
	// turnLook is the time between two looks at the store while a process waits for
	// its turn to take the cell.
	turnLook = 400 * time.Millisecond
)

// Network is how a process reaches others.
type Network struct {
	// Listen takes streams at an address.
	Listen func(at netip.AddrPort) (net.Listener, error)
	// Dial makes a stream to an address.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// tcp is the network of real processes.
var tcp = Network{
	Listen: func(at netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", at.String()) },
	Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		d := net.Dialer{Timeout: dialTimeout}
		return d.DialContext(ctx, "tcp", to.String())
	},
}

// Node is the tie of a process to its cell.
type Node struct {
	config   Config
	tomb     tomb.Tomb
	listener net.Listener
	observer *kqelect.Observer
	// seen is used by the goroutine that looks and takes.
	seen kqelect.EpochHistory

	mu         sync.Mutex
	controller *kqcontrol.Controller
	owner      kqcontrol.OwnerRow
	version    uint64
	confirmed  time.Time
	// peers is how many agents the owner had, by its own word.
	peers   int
	leaving bool
}

// Start listens, if the process is an agent, and begins to look for the owner.
func Start(c Config) (*Node, error) {
	if c.Network == nil {
		c.Network = &tcp
	}
	if c.Control.Timed == nil {
		c.Control.Timed = kqrows.NewTimed(c.Control.Store, c.Control.Now)
	}
	n := &Node{config: c, observer: kqelect.New(kqelect.Config{Name: c.Control.Name, Boot: c.Control.Boot, Candidate: c.Role == kqmessage.RoleAgent})}
	if c.Role == kqmessage.RoleAgent {
		l, err := c.Network.Listen(c.ListenAddress)
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s", c.ListenAddress)
		}
		n.listener = l
	}
	n.tomb.Go(n.run)
	return n, nil
}

func (n *Node) run() error {
	if n.listener != nil {
		n.tomb.Go((&acceptor{n}).loop)
	}
	n.loop()
	return nil
}

// Leave gives the ownership up, if it is held, and ends the node.
func (n *Node) Shutdown() {
	n.mu.Lock()
	n.leaving = true
	c := n.controller
	n.mu.Unlock()
	if c != nil {
		c.HandOver()
	}
	n.tomb.Kill(nil)
	if n.listener != nil {
		_ = n.listener.Close()
	}
}

// Kill ends the node as the death of its process would.
func (n *Node) Kill() {
	n.mu.Lock()
	n.leaving = true
	c := n.controller
	n.mu.Unlock()
	n.tomb.Kill(nil)
	if n.listener != nil {
		_ = n.listener.Close()
	}
	if c != nil {
		c.Abandon()
	}
	_ = n.tomb.Wait()
}

// Owning reports whether this process owns the cell.
func (n *Node) IsOwner() bool { return n.owned() != nil }

func (n *Node) owned() *kqcontrol.Controller {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.controller == nil {
		return nil
	}
	select {
	case <-n.controller.Done():
		return nil
	default:
		return n.controller
	}
}

// Pulse returns how far this process keeps up as the owner of its cell; ok is false
// if it owns none.
func (n *Node) OwnerStats() (p kqcontrol.Stats, ok bool) {
	c := n.owned()
	if c == nil {
		return p, false
	}
	return c.Stats(), true
}

// SetPolicy passes a new policy to the controller, if there is one.
func (n *Node) SetPolicy(p *kqflow.Policy) {
	if c := n.owned(); c != nil {
		c.SetPolicy(p)
	}
}

// SetZones passes the evacuated zones to the controller, if there is one.
func (n *Node) SetZones(z kqevacuate.Zones) {
	if c := n.owned(); c != nil {
		c.SetZones(z)
	}
}

// Left returns what is still in evacuated zones; nil if this process owns no cell.
func (n *Node) EvacuationStatus() []kqevacuate.ZoneStatus {
	if c := n.owned(); c != nil {
		return c.EvacuationStatus()
	}
	return nil
}

func (n *Node) loop() {
	ctx := n.tomb.Context(context.Background())
	for n.tomb.Alive() {
		if !n.look(ctx) {
			n.pause(lookInterval)
			continue
		}
		switch n.observer.Next(n.config.Control.Now()) {
		case kqelect.ActionAcquire:
			if n.awaitTurn(ctx, func() bool { return n.observer.Next(n.config.Control.Now()) == kqelect.ActionAcquire }) {
				n.take(ctx)
			}
		case kqelect.ActionDial:
			if !n.dial(ctx) {
				n.pause(lookInterval)
			}
		default:
			n.pause(lookInterval)
		}
	}
}

// turn returns how long to wait before taking a cell, so that the candidates do not
// all write at once; most find then that another has taken it.
func (n *Node) turn() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(rand.Int64N(int64(n.observer.JitterWindow(n.peers))))
}

// awaitTurn waits for this process's turn to take the cell and reports whether it
// still wants to. It looks meanwhile: turns are long while the store is slow, and who
// is not connected to the owner that has taken the cell loses its lease.
func (n *Node) awaitTurn(ctx context.Context, wants func() bool) bool {
	end := n.config.Control.Now().Add(n.turn())
	for n.tomb.Alive() {
		left := end.Sub(n.config.Control.Now())
		if left <= 0 {
			return n.look(ctx) && wants()
		}
		n.pause(min(left, turnLook))
		if left > turnLook && n.look(ctx) && !wants() {
			return false
		}
	}
	return false
}

func (n *Node) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.tomb.Dying():
	}
}

// look reads the ownership and the beat.
func (n *Node) look(ctx context.Context) bool {
	c := n.config.Control
	call, cancel := c.Timed.Bound(ctx, readTimeout)
	defer cancel()
	asked := c.Now()
	rows, _, err := c.Timed.Store.Read(call, kqcontrol.CellTable, c.Cell+".", c.Cell+"/")
	if err != nil {
		return false
	}
	var seen kqelect.Owner
	var owner kqcontrol.OwnerRow
	for _, r := range rows {
		switch r.Key {
		case kqcontrol.OwnerKey(c.Cell):
			if owner, err = kqcontrol.DecodeOwner(r); err != nil {
				c.Events.Emit(c.Now(), kqevent.RowUnreadable, kqevent.Process(c.Name), "ownership: %v", err)
			}
			seen.Name, seen.Boot, seen.Version = owner.Name, owner.Boot, r.Version
		case kqcontrol.HeartbeatKey(c.Cell):
			seen.HeartbeatVersion = r.Version
		}
	}
	n.observer.Observe(c.Now(), seen, c.Now().Sub(asked))
	n.seen = n.seen.Record(c.Now(), owner.Epoch)
	n.mu.Lock()
	n.owner, n.version = owner, seen.Version
	n.mu.Unlock()
	return true
}

// take tries to take the ownership.
func (n *Node) take(ctx context.Context) {
	n.mu.Lock()
	owner, version, leaving := n.owner, n.version, n.leaving
	n.mu.Unlock()
	if leaving {
		return
	}
	call, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	c, err := kqcontrol.Acquire(call, n.config.Control, owner, version, n.seen)
	if err != nil {
		return
	}
	c.Start()
	n.mu.Lock()
	n.controller = c
	n.mu.Unlock()
	// Zones that came while the cell was taken were passed to no controller.
	if f := n.config.Control.Evacuation.Zones; f != nil {
		c.SetZones(f())
	}
}

// dial connects to the owner and stays until the stream has ended; it returns
// false if the owner was not found there.
func (n *Node) dial(ctx context.Context) bool {
	n.mu.Lock()
	owner := n.owner
	n.mu.Unlock()
	conn, err := n.config.Network.Dial(ctx, owner.Address)
	if err != nil {
		n.observer.ConnectFailed()
		return false
	}
	l := &link{node: n, welcome: make(chan uint64, 1)}
	s := kqstream.New(conn, kqstream.Config{Receive: l.receive, Closed: func(*kqstream.Stream, error) {}})
	s.Send(kqmessage.ToOwner{Hello: &kqmessage.Hello{Role: n.config.Role, Name: n.config.Control.Name, Boot: n.config.Control.Boot, Epoch: owner.Epoch, WantsDigests: n.config.WantsDigests}})
	defer s.Close()
	return l.follow(ctx, s)
}

// setConfirmed notes when the store last confirmed the owner, and how many agents it
// has, by its own word.
func (n *Node) setConfirmed(at time.Time, peers int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmed, n.peers = at, max(peers, 1)
}

// state returns the owner as last read and when the store last confirmed the
// one that this process is connected to.
func (n *Node) state() (kqcontrol.OwnerRow, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner, n.confirmed
}
