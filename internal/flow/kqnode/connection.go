package kqnode

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqelect"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
)

// ownerConnection is a connection of this process to the owner.
type ownerConnection struct {
	node *Node
	// welcome passes the epoch of the owner's first message from receive to monitor.
	welcome    chan uint64
	isWelcomed bool
	// epoch is the owner's epoch: as read from the store, then as in the owner's welcome.
	epoch uint64
	// parts joins the parts of the owner's messages.
	parts kqmessage.Joiner
}

// receive handles a message of the owner. It is called by one goroutine. It closes the stream
// if the message cannot be decoded or the peer does not own the cell any more.
func (o *ownerConnection) receive(s *kqstream.Stream, body []byte) {
	m, omissions, err := kqmessage.DecodeFromOwner(body)
	o.node.logOmissions(omissions, err)
	if err != nil || m.NotOwner {
		s.Close()
		return
	}
	if m.Welcome != 0 && !o.isWelcomed {
		o.isWelcomed = true
		joins := m.JoinsParts
		o.node.config.Connected(m.Welcome, func(t kqmessage.ToOwner) {
			s.SendParts(kqmessage.Messages(t.Split(joins))...)
		})
		o.welcome <- m.Welcome
		return
	}
	if m.HandedOver {
		s.Close()
		return
	}
	if m.Grant != nil {
		o.node.setReport(kqelect.OwnerReport{At: o.node.config.Control.Now(), ConfirmationAge: m.Grant.ConfirmationAge}, m.Grant.Agents)
	}
	o.node.config.Receive(o.parts.FromOwner(m))
}

// closed logs that the stream has ended over the size of a message.
func (o *ownerConnection) closed(_ *kqstream.Stream, err error) {
	if kqstream.IsSizeError(err) {
		c := o.node.config.Control
		c.Events.Emit(c.Now(), kqevent.MessageTooLarge, kqevent.Process("owner"), "the connection to the owner has ended: %v", err)
	}
}

// monitor waits until the stream or the node ends, and returns false if the owner sent no
// welcome. Meanwhile an agent watches whether the store still confirms the owner, and tries
// to replace an owner that it does not confirm.
func (o *ownerConnection) monitor(ctx context.Context, s *kqstream.Stream) bool {
	n := o.node
	if !o.awaitWelcome(ctx, s) {
		return false
	}
	n.observer.Connected()
	n.mu.Lock()
	n.report = kqelect.OwnerReport{At: n.config.Control.Now()}
	n.mu.Unlock()
	defer n.config.Disconnected()
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.Done():
			return true
		case <-n.tomb.Dying():
			return true
		case <-tick.C:
		}
		if n.config.Role == kqmessage.RoleAgent && o.replaceOwner(ctx, s) {
			return true
		}
	}
}

// awaitWelcome waits for the owner's welcome, and returns false if there will be none. An owner that
// has accepted the connection but has not sent its welcome is loading the cell or short of processor
// time. It is alive as long as its heartbeat is.
func (o *ownerConnection) awaitWelcome(ctx context.Context, s *kqstream.Stream) bool {
	n := o.node
	t := time.NewTicker(welcomeTimeout)
	defer t.Stop()
	for {
		select {
		case o.epoch = <-o.welcome:
			return true
		case <-s.Done():
			n.observer.ConnectFailed()
			return false
		case <-n.tomb.Dying():
			return false
		case <-t.C:
		}
		if n.readOwnership(ctx) && (o.isSuperseded() || n.observer.Next(n.config.Control.Now()) == kqelect.ActionAcquire) {
			return false
		}
	}
}

// replaceOwner replaces an owner that the store has not confirmed for suspectAge, if it
// should be replaced. It returns true if this process should end the connection, because
// another process owns the cell or this one has tried to acquire it. A process that is the owner
// itself only checks whether it was replaced: its controller does not learn of that while it hangs.
func (o *ownerConnection) replaceOwner(ctx context.Context, s *kqstream.Stream) bool {
	n := o.node
	if _, report := n.ownerState(); n.config.Control.Now().Sub(report.ConfirmedAt()) < suspectAge || !n.readOwnership(ctx) {
		return false
	}
	if o.isSuperseded() {
		return true
	}
	if n.IsOwner() || !o.shouldReplace() {
		return false
	}
	if n.awaitAcquireDelay(ctx, func() bool { return o.shouldReplace() && !o.isSuperseded() && !isDone(s) }) {
		n.replace(ctx)
		return true
	}
	return o.isSuperseded()
}

// isSuperseded reports whether the store has an owner with a later epoch than the one this
// connection leads to.
func (o *ownerConnection) isSuperseded() bool {
	owner, _ := o.node.ownerState()
	return owner.Epoch > o.epoch
}

// shouldReplace reports whether the owner of this connection should be replaced.
func (o *ownerConnection) shouldReplace() bool {
	_, report := o.node.ownerState()
	return o.node.observer.ShouldReplace(o.node.config.Control.Now(), report)
}

// isDone reports whether a stream has ended.
func isDone(s *kqstream.Stream) bool {
	select {
	case <-s.Done():
		return true
	default:
		return false
	}
}
