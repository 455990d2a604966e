// Package kqserver serves HTTP/1.1 and HTTP/2 on one address.
package kqserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"
)

const (
	readHeaderTimeout    = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	maxHeaderBytes       = 64 << 10
	maxConcurrentStreams = 4096
	pingAfter            = 2 * time.Second
	pingTimeout          = 2 * time.Second
)

// Config configures a Server.
type Config struct {
	// Listen is the address to serve on; port 0 selects a free port.
	Listen netip.AddrPort
	// TLS is the TLS configuration; if it is nil, connections are unencrypted.
	TLS *tls.Config
	// ConnContext returns the context of the requests on a new connection; may be nil.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
}

// Server is an HTTP server. Connections that arrive between Listen and Serve wait.
type Server struct {
	tomb     tomb.Tomb
	server   *http.Server
	listener net.Listener
	traffic  Traffic
}

// Start listens on an address and serves h over unencrypted connections.
func Start(listen netip.AddrPort, h http.Handler) (*Server, error) {
	s, err := Listen(Config{Listen: listen})
	if err == nil {
		s.Serve(h)
	}
	return s, err
}

// Listen listens on an address and returns a Server that does not answer requests yet.
func Listen(c Config) (*Server, error) {
	l, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", c.Listen)
	}
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(c.TLS == nil)
	p.SetHTTP2(c.TLS != nil)
	s := &Server{listener: l, server: &http.Server{
		Protocols:         &p,
		TLSConfig:         c.TLS,
		ConnContext:       c.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams,
			SendPingTimeout:      pingAfter,
			PingTimeout:          pingTimeout,
		},
	}}
	return s, nil
}

// Serve starts to answer requests with h.
func (s *Server) Serve(h http.Handler) {
	s.server.Handler = h
	s.tomb.Go(s.run)
}

func (s *Server) run() error {
	serve := s.server.Serve
	if s.server.TLSConfig != nil {
		serve = func(l net.Listener) error { return s.server.ServeTLS(l, "", "") }
	}
	err := serve(countingListener{s.listener, &s.traffic})
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Traffic returns the byte counters of all connections.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Drain accepts no new connections, waits for open requests and stops the server. When ctx ends
// first, it closes all connections and returns an error.
func (s *Server) Drain(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		s.server.Close()
	}
	s.tomb.Kill(nil)
	return err
}

// Kill stops the server at once and closes all connections.
func (s *Server) Kill() {
	s.listener.Close()
	s.server.Close()
	s.tomb.Kill(nil)
	if s.server.Handler != nil {
		_ = s.tomb.Wait()
	}
}
