package kqfault

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"gopkg.in/tomb.v2"
)

// Relay forwards TCP connections to a target and can turn the open ones
// silent while new ones work, as a device on the path does that has lost its
// table of connections.
type Relay struct {
	tomb     tomb.Tomb
	listener net.Listener
	target   netip.AddrPort
	cut      atomic.Bool

	mu    sync.Mutex
	pairs map[*pair]bool
}

// NewRelay listens on a free loopback port and forwards to target.
func NewRelay(target netip.AddrPort) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, pairs: map[*pair]bool{}}
	r.tomb.Go(r.loop)
	return r, nil
}

// Addr returns the address to dial.
func (r *Relay) Addr() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// Target returns the address forwarded to.
func (r *Relay) Target() netip.AddrPort { return r.target }

// Silence stops every open connection without closing it and returns how many.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for p := range r.pairs {
		if !p.silent.Swap(true) {
			n++
		}
	}
	return n
}

// Cut refuses new connections and silences the open ones while on is true.
func (r *Relay) Cut(on bool) {
	r.cut.Store(on)
	if on {
		r.Silence()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.tomb.Kill(nil)
	r.listener.Close()
	r.mu.Lock()
	for p := range r.pairs {
		p.close()
	}
	r.mu.Unlock()
	_ = r.tomb.Wait()
}

func (r *Relay) loop() error {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return nil
		}
		if r.cut.Load() {
			in.Close()
			continue
		}
		out, err := net.Dial("tcp", r.target.String())
		if err != nil {
			in.Close()
			continue
		}
		p := &pair{relay: r, in: in, out: out}
		r.mu.Lock()
		r.pairs[p] = true
		r.mu.Unlock()
		r.tomb.Go((&half{pair: p, to: out, from: in}).run)
		r.tomb.Go((&half{pair: p, to: in, from: out}).run)
	}
}

type pair struct {
	relay  *Relay
	in     net.Conn
	out    net.Conn
	silent atomic.Bool
}

// half is one direction of a pair.
type half struct {
	pair *pair
	to   net.Conn
	from net.Conn
}

const relayBuffer = 64 << 10

func (h *half) run() error {
	b := make([]byte, relayBuffer)
	for {
		n, err := h.from.Read(b)
		if h.pair.silent.Load() {
			if err != nil {
				return nil
			}
			continue
		}
		if _, werr := h.to.Write(b[:n]); err != nil || werr != nil {
			h.pair.drop()
			return nil
		}
	}
}

func (p *pair) drop() {
	p.close()
	p.relay.mu.Lock()
	delete(p.relay.pairs, p)
	p.relay.mu.Unlock()
}

func (p *pair) close() {
	p.in.Close()
	p.out.Close()
}
