package kqnode

import (
	"context"
	"encoding/json"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
)

// link is a stream with the owner.
type link struct {
	node    *Node
	welcome chan uint64
	open    bool
	epoch   uint64
}

// receive takes a message; it is called by one goroutine.
func (l *link) receive(s *kqstream.Stream, body []byte) {
	var m kqmessage.FromOwner
	if err := json.Unmarshal(body, &m); err != nil || m.NotOwner {
		s.Close()
		return
	}
	if m.Welcome != 0 && !l.open {
		l.open = true
		l.node.config.Connected(m.Welcome, func(t kqmessage.ToOwner) { s.Send(t) })
		l.welcome <- m.Welcome
		return
	}
	if m.HandedOver {
		s.Close()
		return
	}
	if m.Grant != nil {
		l.node.setConfirmed(l.node.config.Control.Now().Add(-m.Grant.ConfirmationAge), m.Grant.Agents)
	}
	l.node.config.Receive(m)
}

// follow waits for the end of the stream. Meanwhile an owner that the store
// does not confirm any more is watched, and replaced if this process can.
func (l *link) follow(ctx context.Context, s *kqstream.Stream) bool {
	n := l.node
	t := time.NewTimer(welcomeTimeout)
	defer t.Stop()
	select {
	case l.epoch = <-l.welcome:
	case <-t.C:
		n.observer.ConnectFailed()
		return false
	case <-s.Done():
		n.observer.ConnectFailed()
		return false
	case <-n.tomb.Dying():
		return true
	}
	n.observer.Connected()
	n.mu.Lock()
	n.confirmed = n.config.Control.Now()
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
		if n.config.Role == kqmessage.RoleAgent && !n.IsOwner() && l.replace(ctx, s) {
			return true
		}
	}
}

// replace watches an owner that the store does not confirm any more: it returns
// true if this process leaves it, for its successor or to become that.
func (l *link) replace(ctx context.Context, s *kqstream.Stream) bool {
	n := l.node
	if _, confirmed := n.state(); n.config.Control.Now().Sub(confirmed) < suspectAge || !n.look(ctx) {
		return false
	}
	if l.isReplaced() {
		return true
	}
	if !l.isUnconfirmed() {
		return false
	}
	if n.awaitTurn(ctx, func() bool { return l.isUnconfirmed() && !l.isReplaced() && !isDone(s) }) {
		n.take(ctx)
		return true
	}
	return l.isReplaced()
}

// isReplaced reports whether another owner was read than the one of the stream.
func (l *link) isReplaced() bool {
	owner, _ := l.node.state()
	return owner.Epoch > l.epoch
}

// isUnconfirmed reports whether the owner of the stream may be replaced.
func (l *link) isUnconfirmed() bool {
	_, confirmed := l.node.state()
	return l.node.observer.ShouldReplace(l.node.config.Control.Now(), confirmed)
}

func isDone(s *kqstream.Stream) bool {
	select {
	case <-s.Done():
		return true
	default:
		return false
	}
}
