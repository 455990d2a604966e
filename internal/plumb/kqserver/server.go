// Package kqserver serves HTTP/1.1 and HTTP/2 on one address, and limits what the clients of a process can make it
// hold.
package kqserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	readHeaderTimeout    = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	maxHeaderBytes       = 64 << 10
	maxConcurrentStreams = 4096
	pingAfter            = 2 * time.Second
	pingTimeout          = 2 * time.Second
	// minBacklog is the backlog of a listener for few connections, so that a burst of them need not try again.
	minBacklog = 128
	// MinorConnections is the limit on the connections of a listener that only the platform or operators use.
	MinorConnections = 32
	// minReceiveWindow is the smallest window that HTTP/2 allows.
	minReceiveWindow = 64 << 10
)

// Config configures a Server.
type Config struct {
	// Listen is the address to serve on; port 0 selects a free port.
	Listen netip.AddrPort
	// TLS is the TLS configuration; if it is nil, connections are unencrypted.
	TLS *tls.Config
	// ConnContext returns the context of the requests on a new connection; may be nil.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
	// Guard limits what the clients of all servers of the process hold; nil derives the limits from the host.
	Guard *Guard
	// MaxConnections limits the open connections; 0 means the limit of the guard.
	MaxConnections int
	// HTTP1Only refuses HTTP/2.
	HTTP1Only bool
	// Timeout returns the time in which the body of a request must arrive, from its header on; nil means DefaultTimeout.
	// It must be no shorter than the time that the client gives the request.
	Timeout func(r *http.Request) time.Duration
}

// Server is an HTTP server. Connections that arrive between Listen and Serve wait.
type Server struct {
	tomb           tomb.Tomb
	server         *http.Server
	handler        http.Handler
	listener       net.Listener
	traffic        Traffic
	guard          *Guard
	maxConnections int
	timeout        func(r *http.Request) time.Duration

	// isClosing is true once connections are closed without delay.
	isClosing atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Start listens on an address and serves h over unencrypted connections, with limits derived from the host.
func Start(listen netip.AddrPort, h http.Handler) (*Server, error) {
	return StartWith(Config{Listen: listen}, h)
}

// StartWith listens as configured and serves h.
func StartWith(c Config, h http.Handler) (*Server, error) {
	s, err := Listen(c)
	if err == nil {
		s.Serve(h)
	}
	return s, err
}

// Listen listens on an address and returns a Server that does not answer requests yet.
func Listen(c Config) (*Server, error) {
	if c.Guard == nil {
		c.Guard = defaultGuard()
	}
	limits := c.Guard.config.Limits
	switch {
	case c.MaxConnections != 0:
	case c.HTTP1Only:
		c.MaxConnections = limits.Connections
	default:
		c.MaxConnections = limits.HTTP2Connections
	}
	if c.Timeout == nil {
		c.Timeout = func(*http.Request) time.Duration { return DefaultTimeout }
	}
	l, err := listen(c.Listen, limits.ReceiveBuffer, min(limits.Backlog, max(minBacklog, c.MaxConnections)))
	if err != nil {
		return nil, err
	}
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(c.TLS == nil && !c.HTTP1Only)
	p.SetHTTP2(c.TLS != nil && !c.HTTP1Only)
	s := &Server{listener: l, guard: c.Guard, maxConnections: c.MaxConnections, timeout: c.Timeout, conns: map[*conn]struct{}{}, server: &http.Server{
		Protocols: &p,
		TLSConfig: c.TLS,
		ConnContext: func(ctx context.Context, x net.Conn) context.Context {
			if c.ConnContext != nil {
				ctx = c.ConnContext(ctx, x)
			}
			return withConn(ctx, x)
		},
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog{c.Guard}.logger(),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxConcurrentStreams,
			MaxReceiveBufferPerConnection: receiveWindow(limits.ReceiveBuffer),
			MaxReceiveBufferPerStream:     receiveWindow(limits.ReceiveBuffer),
			SendPingTimeout:               pingAfter,
			PingTimeout:                   pingTimeout,
		},
	}}
	return s, nil
}

// receiveWindow returns the bytes of an HTTP/2 connection that are received before a handler reads them.
func receiveWindow(receiveBuffer int) int { return max(minReceiveWindow, receiveBuffer) }

// Serve starts to answer requests with h.
func (s *Server) Serve(h http.Handler) {
	s.handler = h
	s.server.Handler = s
	s.tomb.Go(s.run)
}

func (s *Server) run() error {
	serve := s.server.Serve
	if s.server.TLSConfig != nil {
		serve = func(l net.Listener) error { return s.server.ServeTLS(l, "", "") }
	}
	err := serve(admittingListener{s.listener, s})
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Guard returns the guard that limits what clients hold.
func (s *Server) Guard() *Guard { return s.guard }

// Traffic returns the byte counters of all connections.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Drain accepts no new connections, waits for open requests and stops the server. When ctx ends
// first, it closes all connections and returns an error.
func (s *Server) Drain(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		s.isClosing.Store(true)
		s.server.Close()
	}
	s.tomb.Kill(nil)
	return err
}

// Kill stops the server at once and closes all connections.
func (s *Server) Kill() {
	s.isClosing.Store(true)
	s.listener.Close()
	s.server.Close()
	s.tomb.Kill(nil)
	if s.server.Handler != nil {
		_ = s.tomb.Wait()
	}
}
