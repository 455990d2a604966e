package kqserver

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// listen listens on an address. What the kernel has received for a process counts toward the memory of its machine, so
// the receive buffers, which connections inherit, and the connections that wait to be accepted are limited.
func listen(at netip.AddrPort, receiveBuffer, backlog int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
	}}
	l, err := config.Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", at)
	}
	c, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		// A second call changes the backlog, which the library sets to the maximum of the kernel.
		err = c.Control(func(fd uintptr) { _ = unix.Listen(int(fd), backlog) })
	}
	if err != nil {
		l.Close()
		return nil, eris.Wrapf(err, "listen on %s", at)
	}
	return l, nil
}

// admittingListener accepts the connections of a server and keeps their number within its limit.
type admittingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that is admitted.
func (l admittingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		x := newConn(now, l.server, c)
		if l.server.admit(now, x) {
			return x, nil
		}
		_ = c.Close()
	}
}

// admit adds a connection. At the limit, the connection that has held most for longest without progress is closed
// for it; if there is none that may be, the new one is not admitted.
func (s *Server) admit(now time.Time, c *conn) bool {
	victim, ok := s.addConn(now, c)
	switch {
	case victim != nil:
		s.recordClosed(now, victim, closedConnectionLimit, kqresult.NotRunMemoryLimit)
		victim.abort()
	case !ok:
		s.recordClosed(now, c, closedConnectionLimit, kqresult.NotRunMemoryLimit)
	}
	return ok
}

// addConn adds a connection if there is room for it, and returns the one that has to make room.
func (s *Server) addConn(now time.Time, c *conn) (victim *conn, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.maxConnections {
		if victim = s.victim(now); victim == nil {
			return nil, false
		}
		s.dropConn(victim)
	}
	s.conns[c] = struct{}{}
	s.guard.countConnections(1)
	return victim, true
}

// victim returns the connection that is closed to make room; nil if none may be. Those that are about to be closed
// anyway come first.
func (s *Server) victim(now time.Time) (victim *conn) {
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	highest := -1.0
	for c := range s.conns {
		if !c.isEvictable(now) {
			continue
		}
		if c.lingers.Load() {
			return c
		}
		if x := c.score(now); x > highest {
			victim, highest = c, x
		}
	}
	return victim
}

// dropConn removes a connection, which then no longer counts toward the limit. The caller holds the mutex.
func (s *Server) dropConn(c *conn) {
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		s.guard.countConnections(-1)
	}
}

// removeConn removes a connection that was closed.
func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropConn(c)
}

// addExchange adds an open request to its connection.
func (s *Server) addExchange(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x.conn.exchanges[x] = struct{}{}
}

// removeExchange removes an answered request from its connection.
func (s *Server) removeExchange(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(x.conn.exchanges, x)
}
