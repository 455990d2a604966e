// Package kqnode connects a process to the owner of its cell: it finds the owner, keeps one
// stream to it, and acquires the ownership when the owner has failed.
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

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqelect"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// Config holds the settings and dependencies of a Node.
type Config struct {
	// Role is the role of the process; only agents can own cells.
	Role kqmessage.Role
	// ListenAddress is the address at which an agent accepts streams.
	ListenAddress netip.AddrPort
	// Network accepts and creates connections; nil means TCP.
	Network *Network
	// Control is the configuration of the Controller; the node itself also uses its Name,
	// Boot, Cell, Store, Now and Events.
	Control kqcontrol.Config
	// Connected is called when a stream to the owner is established.
	Connected func(epoch uint64, send func(kqmessage.ToOwner))
	// Disconnected is called when that stream has ended.
	Disconnected func()
	// Receive is called with each message of the owner.
	Receive func(m kqmessage.FromOwner)
	// WantsDigests is true if an entry wants digests of the waiting work.
	WantsDigests bool
}

const (
	readTimeout    = 700 * time.Millisecond
	dialTimeout    = 500 * time.Millisecond
	welcomeTimeout = 700 * time.Millisecond
	pollInterval   = 150 * time.Millisecond
	acquireTimeout = 6 * time.Second
	// suspectAge is the time since the latest confirmation of the owner after which a
	// connected agent checks whether to replace it.
	suspectAge    = 800 * time.Millisecond
	watchInterval = 250 * time.Millisecond
	// sizeErrorDelay is the delay before the next connection after a message was too large: the next one
	// may bring the same message.
	sizeErrorDelay = time.Second
	// delayReadInterval is the time between two reads of the ownership during the random
	// delay before a process acquires the cell.
	delayReadInterval = 400 * time.Millisecond
)

// Network creates the connections between processes.
type Network struct {
	// Listen starts to accept connections at an address.
	Listen func(at netip.AddrPort) (net.Listener, error)
	// Dial connects to an address.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// tcp is the Network that uses TCP.
var tcp = Network{
	Listen: func(at netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", at.String()) },
	Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		d := net.Dialer{Timeout: dialTimeout}
		return d.DialContext(ctx, "tcp", to.String())
	},
}

// Node connects a process to its cell, and runs the Controller while the process owns it.
type Node struct {
	config   Config
	tomb     tomb.Tomb
	listener net.Listener
	observer *kqelect.Observer
	// epochs and loggedVersion are used only by the goroutine of loop. loggedVersion is the version of
	// the ownership row that was last logged as unreadable.
	epochs        kqelect.EpochHistory
	loggedVersion uint64

	mu         sync.Mutex
	controller *kqcontrol.Controller
	owner      kqcontrol.OwnerRow
	version    uint64
	// report is what the owner that this process is connected to last reported.
	report kqelect.OwnerReport
	// agentCount is the number of connected agents that the owner last reported.
	agentCount int
	// stopController stops a controller that is still acquiring the cell when the node is
	// stopped; nil while the node is running.
	stopController func(*kqcontrol.Controller)
	// waiting holds, by host, the latest peer that waits until this process has acquired the
	// cell.
	waiting map[string]*peer
	// acquired is closed when the acquisition in progress has ended; nil if there is none.
	acquired chan struct{}
}

// Start starts a node that searches for the owner of its cell. An agent also listens for
// peers; the error says why it could not.
func Start(c Config) (*Node, error) {
	if c.Network == nil {
		c.Network = &tcp
	}
	if c.Control.TimedStore == nil {
		c.Control.TimedStore = kqrows.NewTimedStore(c.Control.Store, c.Control.Now)
	}
	if c.Control.Operator == nil {
		c.Control.Operator = &kqcontrol.OperatorState{}
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

// Shutdown hands the cell over, if this process owns it, and stops the node.
func (n *Node) Shutdown() {
	n.mu.Lock()
	n.stopController = (*kqcontrol.Controller).HandOver
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

// Kill stops the node without handing the cell over, as the death of its process would.
func (n *Node) Kill() {
	n.mu.Lock()
	n.stopController = (*kqcontrol.Controller).Abandon
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

// IsOwner reports whether this process owns the cell.
func (n *Node) IsOwner() bool { return n.activeController() != nil }

// activeController returns the controller of the cell; nil if this process does not own it.
func (n *Node) activeController() *kqcontrol.Controller {
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

// OwnerStats returns the latest statistics of the controller. Ok is false if this process
// does not own the cell.
func (n *Node) OwnerStats() (stats kqcontrol.Stats, ok bool) {
	c := n.activeController()
	if c == nil {
		return stats, false
	}
	return c.Stats(), true
}

// SetPolicy sets the policy for this and later ownerships of the cell, unless it is older than the
// present one.
func (n *Node) SetPolicy(p *kqflow.Policy) {
	n.config.Control.Operator.SetPolicy(p)
	n.operatorStateChanged()
}

// SetZones sets the evacuated zones for this and later ownerships of the cell, unless they are older than
// the present ones.
func (n *Node) SetZones(z kqevacuate.Zones) {
	n.config.Control.Operator.SetZones(n.config.Control.Now(), z)
	n.operatorStateChanged()
}

// operatorStateChanged tells the controller, if there is one, of a newer policy or newer zones.
func (n *Node) operatorStateChanged() {
	if c := n.activeController(); c != nil {
		c.OperatorStateChanged()
	}
}

// EvacuationStatus returns what is still in the evacuated zones; nil if this process does not
// own the cell.
func (n *Node) EvacuationStatus() []kqevacuate.ZoneStatus {
	if c := n.activeController(); c != nil {
		return c.EvacuationStatus()
	}
	return nil
}

// loop reads the ownership and connects to the owner or acquires the cell, until the node is
// stopped.
func (n *Node) loop() {
	ctx := n.tomb.Context(context.Background())
	for n.tomb.Alive() {
		if !n.readOwnership(ctx) {
			n.sleep(pollInterval)
			continue
		}
		switch n.observer.Next(n.config.Control.Now()) {
		case kqelect.ActionAcquire:
			if n.awaitAcquireDelay(ctx, func() bool { return n.observer.Next(n.config.Control.Now()) == kqelect.ActionAcquire }) {
				n.replace(ctx)
			}
		case kqelect.ActionDial:
			if !n.dial(ctx) {
				n.sleep(pollInterval)
			}
		default:
			n.sleep(pollInterval)
		}
	}
}

// acquireDelay returns a random delay before acquiring the cell, so that the candidates do not
// all write at once. Most of them find after the delay that another process has acquired it.
func (n *Node) acquireDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(rand.Int64N(int64(n.observer.JitterWindow(n.agentCount))))
}

// awaitAcquireDelay waits for a random delay and reports whether this process should still
// acquire the cell, according to stillDue. It reads the ownership meanwhile: delays are long
// while the store is slow, and an agent that does not connect to a new owner in time loses
// its lease.
func (n *Node) awaitAcquireDelay(ctx context.Context, stillDue func() bool) bool {
	end := n.config.Control.Now().Add(n.acquireDelay())
	for n.tomb.Alive() {
		remaining := end.Sub(n.config.Control.Now())
		if remaining <= 0 {
			return n.readOwnership(ctx) && stillDue()
		}
		n.sleep(min(remaining, delayReadInterval))
		if remaining > delayReadInterval && n.readOwnership(ctx) && !stillDue() {
			return false
		}
	}
	return false
}

// sleep waits for a duration or until the node is stopped.
func (n *Node) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.tomb.Dying():
	}
}

// readOwnership reads the ownership and heartbeat rows and reports whether that succeeded.
func (n *Node) readOwnership(ctx context.Context) bool {
	c := n.config.Control
	call, cancel := c.TimedStore.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := c.Now()
	rows, _, err := c.TimedStore.Store.Read(call, kqcontrol.CellTable, c.Cell+".", c.Cell+"/")
	if err != nil {
		return false
	}
	var observed kqelect.Owner
	var owner kqcontrol.OwnerRow
	heartbeatEpoch := uint64(0)
	for _, r := range rows {
		switch r.Key {
		case kqcontrol.OwnerKey(c.Cell):
			if owner, err = kqcontrol.DecodeOwner(r); err != nil {
				n.logUnreadable(r.Version, err)
			}
			observed.Name, observed.Boot, observed.Version = owner.Name, owner.Boot, r.Version
		case kqcontrol.HeartbeatKey(c.Cell):
			observed.HeartbeatVersion, heartbeatEpoch = r.Version, kqcontrol.DecodeHeartbeatEpoch(r)
		}
	}
	owner = n.withKnownEpoch(owner, heartbeatEpoch)
	n.observer.Observe(c.Now(), observed, c.Now().Sub(sent))
	n.epochs = n.epochs.Record(c.Now(), owner.Epoch)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owner, n.version = owner, observed.Version
	if c := n.controller; c != nil && owner.Epoch > c.Epoch() {
		// A controller that hangs does not learn that it was replaced. As long as it counts as the
		// owner, this process would never replace another one.
		n.controller = nil
		c.Superseded()
	}
	return true
}

// dial connects to the owner and returns when the stream has ended. It returns false if the
// owner could not be reached at its address.
func (n *Node) dial(ctx context.Context) bool {
	n.mu.Lock()
	owner := n.owner
	n.mu.Unlock()
	conn, err := n.connect(ctx, owner)
	if err != nil {
		n.observer.ConnectFailed()
		return false
	}
	o := &ownerConnection{node: n, welcome: make(chan uint64, 1), epoch: owner.Epoch}
	s := kqstream.New(conn, kqstream.Config{OnMessage: o.receive, OnClose: o.closed})
	s.Send(kqmessage.ToOwner{Hello: &kqmessage.Hello{Role: n.config.Role, Name: n.config.Control.Name, Boot: n.config.Control.Boot, Epoch: owner.Epoch, WantsDigests: n.config.WantsDigests, JoinsParts: true}})
	defer s.Close()
	isWelcomed := o.monitor(ctx, s)
	if kqstream.IsSizeError(s.Err()) {
		n.sleep(sizeErrorDelay)
	}
	return isWelcomed
}

// setReport records what the owner reports and how many agents are connected to it.
func (n *Node) setReport(r kqelect.OwnerReport, agents int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.report, n.agentCount = r, max(agents, 1)
}

// ownerState returns the owner as last read, and the latest report of the owner that this
// process is connected to.
func (n *Node) ownerState() (kqcontrol.OwnerRow, kqelect.OwnerReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner, n.report
}
