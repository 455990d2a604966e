package kqlink

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 800 * time.Millisecond
	// probeAfterUse is how long a connection is probed after its last use.
	probeAfterUse = 5 * time.Second
)

// Config configures a Pool.
type Config struct {
	// Dialer creates the HTTP clients of the connections.
	Dialer Dialer
	// Options are passed to every client.
	Options []connect.ClientOption
	// OnReplace is called after a connection did not answer a probe and was replaced; may be nil.
	OnReplace func(now time.Time, peer netip.AddrPort)
}

// Pool holds a connection to each agent and probes the connections in use.
type Pool struct {
	config Config
	tomb   tomb.Tomb

	mu          sync.Mutex
	connections map[netip.AddrPort]*Connection
}

// NewPool returns an empty Pool and starts its probes.
func NewPool(c Config) *Pool {
	p := &Pool{config: c, connections: map[netip.AddrPort]*Connection{}}
	p.tomb.Go(p.loop)
	return p
}

// AgentClient returns a client of the agent at a. If the last probe of its connection timed out,
// the client uses a new connection.
func (p *Pool) AgentClient(now time.Time, a netip.AddrPort) kqwire.AgentServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := p.connections[a]
	if !ok {
		conn = newConnection(a, p.config)
		p.connections[a] = conn
	}
	conn.lastUsedAt = now
	return conn.client
}

// Close stops the probes and closes the idle connections.
func (p *Pool) Close() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.connections {
		conn.http.CloseIdleConnections()
	}
}

func (p *Pool) loop() error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case now := <-t.C:
			for _, conn := range p.nextProbes(now) {
				pr := &probe{pool: p, connection: conn}
				p.tomb.Go(pr.run)
			}
		}
	}
}

// nextProbes returns the connections in use that are not being probed and marks them as being
// probed. It removes the connections that were not used for idleTimeout.
func (p *Pool) nextProbes(now time.Time) []*Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Connection
	for a, conn := range p.connections {
		switch {
		case now.Sub(conn.lastUsedAt) > idleTimeout:
			conn.http.CloseIdleConnections()
			delete(p.connections, a)
		case now.Sub(conn.lastUsedAt) < probeAfterUse && !conn.probing:
			conn.probing = true
			out = append(out, conn)
		}
	}
	return out
}

// probe is a health check of a connection.
type probe struct {
	pool       *Pool
	connection *Connection
}

func (pr *probe) run() error {
	ctx, cancel := context.WithTimeout(pr.pool.tomb.Context(context.Background()), probeTimeout)
	defer cancel()
	_, err := pr.connection.client.Ping(ctx, connect.NewRequest(&kqwire.PingRequest{}))
	pr.pool.handleProbeResult(pr.connection, err)
	return nil
}

// handleProbeResult replaces a connection whose probe timed out. Calls in flight stay on the old
// connection until its HTTP/2 ping times out.
func (p *Pool) handleProbeResult(conn *Connection, err error) {
	p.mu.Lock()
	conn.probing = false
	timedOut := err != nil && connect.CodeOf(err) == connect.CodeDeadlineExceeded && p.tomb.Alive()
	if timedOut {
		conn.dial(p.config)
	}
	p.mu.Unlock()
	if timedOut && p.config.OnReplace != nil {
		p.config.OnReplace(time.Now(), conn.peer)
	}
}

// Connection is the connection to an agent.
type Connection struct {
	peer       netip.AddrPort
	http       *http.Client
	client     kqwire.AgentServiceClient
	lastUsedAt time.Time
	probing    bool
}

func newConnection(a netip.AddrPort, c Config) *Connection {
	cn := &Connection{peer: a}
	cn.dial(c)
	return cn
}

// dial replaces the HTTP client and the agent client; the first call opens the connection.
func (cn *Connection) dial(c Config) {
	cn.http = c.Dialer.NewClient()
	cn.client = kqwire.NewAgentServiceClient(cn.http, c.Dialer.URL(cn.peer), c.Options...)
}
