package kqflowrig

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqnode"
)

var (
	errRefused        = errors.New("network: connection refused")
	errListenerClosed = errors.New("network: listener closed")
)

// dialDelay is the time that connecting takes.
const dialDelay = 2 * time.Millisecond

// Network connects processes by in-memory connections. Machines can be isolated from all others.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	isolated  map[string]bool
}

func newNetwork() *Network {
	return &Network{listeners: map[netip.AddrPort]*listener{}, isolated: map[string]bool{}}
}

// SetIsolated sets whether a machine is isolated from all others: nothing that is written between
// them arrives, although the writes succeed, and new connections fail.
func (n *Network) SetIsolated(name string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[name] = on
}

// ReconnectAll ends the isolation of all machines.
func (n *Network) ReconnectAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = map[string]bool{}
}

// blocked reports whether nothing arrives between two machines.
func (n *Network) blocked(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.isolated[a] || n.isolated[b])
}

// forMachine returns the network for the process of one machine.
func (n *Network) forMachine(name string) *kqnode.Network {
	m := machineNetwork{n, name}
	return &kqnode.Network{Listen: m.listen, Dial: m.dial}
}

// machineNetwork is the Network as the process of one machine uses it.
type machineNetwork struct {
	network *Network
	name    string
}

func (m machineNetwork) listen(address netip.AddrPort) (net.Listener, error) {
	l := &listener{network: m.network, address: address, incoming: make(chan net.Conn), done: make(chan struct{})}
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.network.listeners[address] = l
	return l, nil
}

func (m machineNetwork) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	remote := address.Addr().String()
	time.Sleep(dialDelay)
	if m.network.blocked(m.name, remote) {
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
		return nil, errRefused
	}
	m.network.mu.Lock()
	l := m.network.listeners[address]
	m.network.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	a, b := net.Pipe()
	dialerSide := &connection{Conn: a, network: m.network, from: m.name, to: remote}
	listenerSide := &connection{Conn: b, network: m.network, from: remote, to: m.name}
	select {
	case l.incoming <- listenerSide:
		return dialerSide, nil
	case <-l.done:
	case <-ctx.Done():
	}
	return nil, errRefused
}

// listener accepts the connections that are dialed to its address.
type listener struct {
	network  *Network
	address  netip.AddrPort
	incoming chan net.Conn
	done     chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.done:
		return nil, errListenerClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// connection is one side of a connection. Once it is written to while one of its machines is
// isolated, it discards that and all later writes without an error, also after the isolation ends.
type connection struct {
	net.Conn
	network  *Network
	from, to string

	mu       sync.Mutex
	discards bool
}

func (c *connection) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.discards = c.discards || c.network.blocked(c.from, c.to)
	discards := c.discards
	c.mu.Unlock()
	if discards {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
