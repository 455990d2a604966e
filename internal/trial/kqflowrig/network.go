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
	errRefused = errors.New("network: refused")
	errClosed  = errors.New("network: closed")
)

const linkDelay = 2 * time.Millisecond

// Network joins processes by streams in memory; machines can be cut off.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	cut       map[string]bool
}

func newNetwork() *Network {
	return &Network{listeners: map[netip.AddrPort]*listener{}, cut: map[string]bool{}}
}

// Cut makes a machine's links to others silent, or heals them.
func (n *Network) Cut(name string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = on
}

// Heal removes every cut.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[string]bool{}
}

// silent reports whether nothing passes between two machines.
func (n *Network) silent(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.cut[a] || n.cut[b])
}

// of returns the network as a machine sees it.
func (n *Network) of(name string) *kqnode.Network {
	v := view{n, name}
	return &kqnode.Network{Listen: v.listen, Dial: v.dial}
}

type view struct {
	network *Network
	name    string
}

func (v view) listen(at netip.AddrPort) (net.Listener, error) {
	l := &listener{network: v.network, at: at, streams: make(chan net.Conn), done: make(chan struct{})}
	v.network.mu.Lock()
	defer v.network.mu.Unlock()
	v.network.listeners[at] = l
	return l, nil
}

func (v view) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	other := to.Addr().String()
	time.Sleep(linkDelay)
	if v.network.silent(v.name, other) {
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
		return nil, errRefused
	}
	v.network.mu.Lock()
	l := v.network.listeners[to]
	v.network.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	a, b := net.Pipe()
	near := &stream{Conn: a, network: v.network, from: v.name, to: other}
	far := &stream{Conn: b, network: v.network, from: other, to: v.name}
	select {
	case l.streams <- far:
		return near, nil
	case <-l.done:
	case <-ctx.Done():
	}
	return nil, errRefused
}

// listener takes streams.
type listener struct {
	network *Network
	at      netip.AddrPort
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.streams:
		return c, nil
	case <-l.done:
		return nil, errClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.at] == l {
			delete(l.network.listeners, l.at)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }

// stream loses what is written while its machines are cut off, and is silent
// from then on.
type stream struct {
	net.Conn
	network  *Network
	from, to string

	mu   sync.Mutex
	lost bool
}

func (s *stream) Write(b []byte) (int, error) {
	s.mu.Lock()
	s.lost = s.lost || s.network.silent(s.from, s.to)
	lost := s.lost
	s.mu.Unlock()
	if lost {
		return len(b), nil
	}
	return s.Conn.Write(b)
}
