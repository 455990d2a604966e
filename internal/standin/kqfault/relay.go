package kqfault

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

// Relay forwards TCP connections to a target and can turn the open ones
// silent while new ones work, as a device on the path does that has lost its
// table of connections.
type Relay struct {
	tomb     tomb.Tomb
	listener net.Listener
	target   atomic.Pointer[netip.AddrPort]
	delay    time.Duration
	cut      atomic.Bool

	mu    sync.Mutex
	pairs map[*pair]bool
}

// NewRelay listens on a free loopback port; each piece takes delay in each
// direction. It takes no connection until it has a target.
func NewRelay(delay time.Duration) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, delay: delay, pairs: map[*pair]bool{}}
	r.tomb.Go(r.loop)
	return r, nil
}

// Addr returns the address to dial.
func (r *Relay) Addr() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetTarget sets the address that new connections are forwarded to.
func (r *Relay) SetTarget(a netip.AddrPort) { r.target.Store(&a) }

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
func (r *Relay) SetCut(on bool) {
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
		target := r.target.Load()
		if r.cut.Load() || target == nil {
			in.Close()
			continue
		}
		out, err := net.Dial("tcp", target.String())
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

const (
	relayBuffer = 64 << 10
	// relayQueue is how many pieces may be on the way in one direction.
	relayQueue = 256
)

// piece is bytes on the way.
type piece struct {
	due   time.Time
	bytes []byte
}

// run reads one end; what it read is written after the delay of the link.
func (h *half) run() error {
	w := &writer{half: h, pieces: make(chan piece, relayQueue)}
	h.pair.relay.tomb.Go(w.run)
	defer close(w.pieces)
	b := make([]byte, relayBuffer)
	for {
		n, err := h.from.Read(b)
		switch {
		case h.pair.silent.Load() && err != nil:
			return nil
		case h.pair.silent.Load():
			continue
		case n > 0:
			w.pieces <- piece{due: time.Now().Add(h.pair.relay.delay), bytes: append([]byte(nil), b[:n]...)}
		}
		if err != nil {
			h.pair.drop()
			return nil
		}
	}
}

// writer writes one direction of a pair.
type writer struct {
	half   *half
	pieces chan piece
}

func (w *writer) run() error {
	for p := range w.pieces {
		if d := time.Until(p.due); d > 0 {
			time.Sleep(d)
		}
		if w.half.pair.silent.Load() {
			continue
		}
		if _, err := w.half.to.Write(p.bytes); err != nil {
			w.half.pair.drop()
		}
	}
	return nil
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
