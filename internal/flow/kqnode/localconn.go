package kqnode

import (
	"context"
	"net"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
)

// connect returns a connection to the owner. If this process is the owner, the connection does not
// go through the network: otherwise, while the process is short of processor time, its own agent's
// messages would wait twice as long as those of others.
func (n *Node) connect(ctx context.Context, owner kqcontrol.OwnerRow) (net.Conn, error) {
	if c := n.activeController(); c == nil || c.Epoch() != owner.Epoch {
		return n.config.Network.Dial(ctx, owner.Address)
	}
	near, far := net.Pipe()
	n.accept(localConn{far})
	return localConn{near}, nil
}

// accept serves a peer on a connection.
func (n *Node) accept(conn net.Conn) {
	p := &peer{node: n}
	kqstream.New(conn, kqstream.Config{OnMessage: p.receive, OnClose: p.closed})
}

// localConn is one end of a pipe in this process. Its writes have no deadline: the pipe has no
// buffer, so they wait while the peer handles a message.
type localConn struct{ net.Conn }

// SetWriteDeadline sets no deadline.
func (localConn) SetWriteDeadline(time.Time) error { return nil }
