package kqfault

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

// Relay forwards TCP connections to a target. It can silence the open connections, that is,
// drop their data without closing them, while new connections work, as a middlebox does that
// has lost its connection table.
type Relay struct {
	tomb     tomb.Tomb
	listener net.Listener
	target   atomic.Pointer[netip.AddrPort]
	delay    time.Duration
	isCut    atomic.Bool

	mu    sync.Mutex
	conns map[*relayedConn]bool
}

// NewRelay listens on a free loopback port and delays data by delay in each direction.
// Connections are closed until a target is set.
func NewRelay(delay time.Duration) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, delay: delay, conns: map[*relayedConn]bool{}}
	r.tomb.Go(r.loop)
	return r, nil
}

// Addr returns the address to dial.
func (r *Relay) Addr() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetTarget sets the address that new connections are forwarded to.
func (r *Relay) SetTarget(a netip.AddrPort) { r.target.Store(&a) }

// Silence silences every open connection and returns how many were not silent before.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for c := range r.conns {
		if !c.silenced.Swap(true) {
			n++
		}
	}
	return n
}

// SetCut sets whether new connections are refused. With on, it also silences the open
// connections; these stay silent afterwards.
func (r *Relay) SetCut(on bool) {
	r.isCut.Store(on)
	if on {
		r.Silence()
	}
}

// Close closes the listener and all connections and waits for the relay's goroutines.
func (r *Relay) Close() {
	r.tomb.Kill(nil)
	r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.close()
	}
	r.mu.Unlock()
	_ = r.tomb.Wait()
}

func (r *Relay) loop() error {
	for {
		inbound, err := r.listener.Accept()
		if err != nil {
			return nil
		}
		target := r.target.Load()
		if r.isCut.Load() || target == nil {
			inbound.Close()
			continue
		}
		outbound, err := net.Dial("tcp", target.String())
		if err != nil {
			inbound.Close()
			continue
		}
		c := &relayedConn{relay: r, inbound: inbound, outbound: outbound}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		r.tomb.Go((&direction{conn: c, to: outbound, from: inbound}).run)
		r.tomb.Go((&direction{conn: c, to: inbound, from: outbound}).run)
	}
}

// relayedConn is a connection to the relay with its connection to the target.
type relayedConn struct {
	relay    *Relay
	inbound  net.Conn
	outbound net.Conn
	silenced atomic.Bool
}

// direction copies one direction of a relayedConn.
type direction struct {
	conn *relayedConn
	to   net.Conn
	from net.Conn
}

const (
	readBufferBytes = 64 << 10
	// maxQueuedChunks is the number of chunks that may be in transit in one direction;
	// reading stops while there are more.
	maxQueuedChunks = 256
)

// chunk is data in transit and the time at which it is to be written.
type chunk struct {
	due   time.Time
	bytes []byte
}

// run reads from one end and queues the data to be written to the other after the relay's
// delay.
func (d *direction) run() error {
	w := &chunkWriter{direction: d, chunks: make(chan chunk, maxQueuedChunks)}
	d.conn.relay.tomb.Go(w.run)
	defer close(w.chunks)
	b := make([]byte, readBufferBytes)
	for {
		n, err := d.from.Read(b)
		switch {
		case d.conn.silenced.Load() && err != nil:
			return nil
		case d.conn.silenced.Load():
			continue
		case n > 0:
			w.chunks <- chunk{due: time.Now().Add(d.conn.relay.delay), bytes: append([]byte(nil), b[:n]...)}
		}
		if err != nil {
			d.conn.closeAndRemove()
			return nil
		}
	}
}

// chunkWriter writes the chunks of one direction when they are due.
type chunkWriter struct {
	direction *direction
	chunks    chan chunk
}

func (w *chunkWriter) run() error {
	for c := range w.chunks {
		if d := time.Until(c.due); d > 0 {
			time.Sleep(d)
		}
		if w.direction.conn.silenced.Load() {
			continue
		}
		if _, err := w.direction.to.Write(c.bytes); err != nil {
			w.direction.conn.closeAndRemove()
		}
	}
	return nil
}

// closeAndRemove closes both connections and removes them from the relay.
func (c *relayedConn) closeAndRemove() {
	c.close()
	c.relay.mu.Lock()
	delete(c.relay.conns, c)
	c.relay.mu.Unlock()
}

func (c *relayedConn) close() {
	c.inbound.Close()
	c.outbound.Close()
}
