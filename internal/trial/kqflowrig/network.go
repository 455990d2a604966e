package kqflowrig

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqnode"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

var (
	errRefused        = errors.New("network: connection refused")
	errListenerClosed = errors.New("network: listener closed")
)

// dialDelay is the time that connecting takes.
const dialDelay = 2 * time.Millisecond

// Network connects processes by in-memory connections. Machines can be isolated from all others.
type Network struct {
	mu         sync.Mutex
	listeners  map[netip.AddrPort]*listener
	isolated   map[string]bool
	processors map[string]*processor
}

func newNetwork() *Network {
	return &Network{listeners: map[netip.AddrPort]*listener{}, isolated: map[string]bool{}, processors: map[string]*processor{}}
}

// heartbeatBytes is the size of a heartbeat of a stream, which takes no time to handle.
const heartbeatBytes = 4

// processor models the processor of a machine, which handles one message or answer of the store at
// a time.
type processor struct {
	idle chan struct{}
	// calls are the calls that occupy the processor or wait for it.
	calls sync.WaitGroup
	// timePerCall is how long one of them takes, in nanoseconds.
	timePerCall atomic.Int64
}

// use occupies the processor for one call.
func (p *processor) use() {
	if p.timePerCall.Load() == 0 {
		return
	}
	p.calls.Add(1)
	defer p.calls.Done()
	<-p.idle
	time.Sleep(time.Duration(p.timePerCall.Load()))
	p.idle <- struct{}{}
}

// processor returns the processor of a machine.
func (n *Network) processor(name string) *processor {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.processors[name]
	if p == nil {
		p = &processor{idle: make(chan struct{}, 1)}
		p.idle <- struct{}{}
		n.processors[name] = p
	}
	return p
}

// waitIdle waits until no call occupies a processor.
func (n *Network) waitIdle() {
	n.mu.Lock()
	processors := slices.Collect(maps.Values(n.processors))
	n.mu.Unlock()
	for _, p := range processors {
		p.calls.Wait()
	}
}

// SetTimePerCall sets how long the processor of a machine takes for each read of a connection,
// except for heartbeats, and each call of the store; 0 is no time.
func (n *Network) SetTimePerCall(name string, d time.Duration) {
	n.processor(name).timePerCall.Store(int64(d))
}

// limitStore returns a store whose calls occupy the processor of a machine when they are answered.
func (n *Network) limitStore(name string, s kqrows.Store) kqrows.Store {
	p := n.processor(name)
	return kqrows.Store{
		Transact: func(ctx context.Context, t kqrows.Tx) (kqrows.Outcome, error) {
			o, err := s.Transact(ctx, t)
			p.use()
			return o, err
		},
		Read: func(ctx context.Context, table, from, to string) ([]kqrows.Row, uint64, error) {
			rows, at, err := s.Read(ctx, table, from, to)
			p.use()
			return rows, at, err
		},
		Follow: func(ctx context.Context, table string, after uint64, wait time.Duration) ([]kqrows.Row, uint64, error) {
			rows, at, err := s.Follow(ctx, table, after, wait)
			p.use()
			return rows, at, err
		},
	}
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
	dialerSide := &connection{Conn: a, network: m.network, processor: m.network.processor(m.name), from: m.name, to: remote}
	listenerSide := &connection{Conn: b, network: m.network, processor: m.network.processor(remote), from: remote, to: m.name}
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
	network   *Network
	processor *processor
	from, to  string

	mu       sync.Mutex
	discards bool
}

func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil && n > heartbeatBytes {
		c.processor.use()
	}
	return n, err
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
