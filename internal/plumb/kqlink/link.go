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
	inUseFor      = 5 * time.Second
)

// Config sets up a Pool.
type Config struct {
	// Dialer makes the connections.
	Dialer Dialer
	// Options is passed to every client.
	Options []connect.ClientOption
	// Replaced is told when a silent connection was replaced; may be nil.
	OnReplace func(now time.Time, peer netip.AddrPort)
}

// Pool holds one Link for each agent.
type Pool struct {
	config Config
	tomb   tomb.Tomb

	mu    sync.Mutex
	links map[netip.AddrPort]*Link
}

// NewPool returns an empty Pool whose loop probes the links in use.
func NewPool(c Config) *Pool {
	p := &Pool{config: c, links: map[netip.AddrPort]*Link{}}
	p.tomb.Go(p.loop)
	return p
}

// Agent returns a client of the agent at a, over a connection that answered
// its last probe.
func (p *Pool) AgentClient(now time.Time, a netip.AddrPort) kqwire.AgentServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[a]
	if !ok {
		l = newLink(a, p.config)
		p.links[a] = l
	}
	l.usedAt = now
	return l.client
}

// Close ends the probes and closes the idle connections.
func (p *Pool) Close() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.http.CloseIdleConnections()
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
			for _, l := range p.due(now) {
				pr := &probe{pool: p, link: l}
				p.tomb.Go(pr.run)
			}
		}
	}
}

// due returns the links in use that have no probe under way and drops those
// long unused.
func (p *Pool) due(now time.Time) []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Link
	for a, l := range p.links {
		switch {
		case now.Sub(l.usedAt) > idleLinkTimeout:
			l.http.CloseIdleConnections()
			delete(p.links, a)
		case now.Sub(l.usedAt) < inUseFor && !l.probing:
			l.probing = true
			out = append(out, l)
		}
	}
	return out
}

// probe is one health check of a link.
type probe struct {
	pool *Pool
	link *Link
}

func (pr *probe) run() error {
	ctx, cancel := context.WithTimeout(pr.pool.tomb.Context(context.Background()), probeTimeout)
	defer cancel()
	_, err := pr.link.client.Ping(ctx, connect.NewRequest(&kqwire.PingRequest{}))
	pr.pool.settle(pr.link, err)
	return nil
}

// settle replaces the connection of a link whose probe was not answered; calls
// in flight keep the old one until its own ping gives up.
func (p *Pool) settle(l *Link, err error) {
	p.mu.Lock()
	l.probing = false
	silent := err != nil && connect.CodeOf(err) == connect.CodeDeadlineExceeded && p.tomb.Alive()
	if silent {
		l.dial(p.config)
	}
	p.mu.Unlock()
	if silent && p.config.OnReplace != nil {
		p.config.OnReplace(time.Now(), l.peer)
	}
}

// Link is the connection to one peer.
type Link struct {
	peer    netip.AddrPort
	http    *http.Client
	client  kqwire.AgentServiceClient
	usedAt  time.Time
	probing bool
}

func newLink(a netip.AddrPort, c Config) *Link {
	l := &Link{peer: a}
	l.dial(c)
	return l
}

func (l *Link) dial(c Config) {
	l.http = c.Dialer.NewClient()
	l.client = kqwire.NewAgentServiceClient(l.http, c.Dialer.URL(l.peer), c.Options...)
}
