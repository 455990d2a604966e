package kqserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

const (
	// writeTimeout limits the time in which a client must read a part of an answer of writePart bytes.
	writeTimeout = 30 * time.Second
	writePart    = 64 << 10
	// writeStall is the duration of a write after which the client counts as one that does not read.
	writeStall = time.Second
	// lingerTimeout limits how long a connection with unread bytes is read from after its last answer. If it were
	// closed at once, the reset could reach the client before it has read the answer.
	lingerTimeout  = time.Second
	maxLingerBytes = 1 << 20
)

// errHeaderRefused ends a connection whose request was refused before its header was complete.
var errHeaderRefused = eris.New("server: no room for the header of a request")

// conn is a connection of a server. It counts the traffic, charges the headers of requests to the guard, and limits the
// time of writes and of closing.
type conn struct {
	net.Conn
	server *Server
	// header is what the connection holds while no request is open.
	header holder
	// readsHeader is true while the bytes that arrive belong to the header of a request.
	readsHeader atomic.Bool
	// isHTTP2 is true once the connection carries HTTP/2, whose frames are not headers of requests.
	isHTTP2 atomic.Bool
	// openedAt is the time at which the connection was accepted, writingSince the time.Duration from then to the
	// beginning of the write in progress; 0 if there is none.
	openedAt     time.Time
	writingSince atomic.Int64
	// lingers is true if the connection is read from before it is closed.
	lingers atomic.Bool

	// exchanges are the open requests, protected by the server's mutex.
	exchanges map[*exchange]struct{}
}

func newConn(now time.Time, s *Server, c net.Conn) *conn {
	x := &conn{Conn: c, server: s, openedAt: now, exchanges: map[*exchange]struct{}{}}
	x.header = holder{progressAt: now, interrupt: x.abort}
	x.readsHeader.Store(true)
	return x
}

// Read reads from the connection. It fails if the guard refuses the header of a request.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.server.traffic.in.Add(uint64(n))
	if !c.readsHeader.Load() || c.isHTTP2.Load() {
		return n, err
	}
	return c.chargeHeader(time.Now(), n, err)
}

// chargeHeader charges a part of a header and returns the result of its read, which fails if the connection has to make
// room for others.
func (c *conn) chargeHeader(now time.Time, n int, err error) (int, error) {
	g := c.server.guard
	var refusal *kqresult.Error
	if n > 0 {
		refusal = g.charge(now, &c.header, int64(n), int64(n)*headerCost)
	} else {
		refusal = g.refusal(&c.header)
	}
	switch {
	case refusal != nil:
		c.server.recordClosed(now, c, closedMemoryLimit, refusal.Code)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeaderRefused}
	case errors.Is(err, os.ErrDeadlineExceeded) && g.holdsAnything(&c.header):
		c.server.recordClosed(now, c, closedSlowHeader, kqresult.NotRunBodyTimeout)
	}
	return n, err
}

// Write writes to the connection in parts, each with a time limit of its own.
func (c *conn) Write(b []byte) (written int, err error) {
	defer c.writingSince.Store(0)
	for len(b) > 0 {
		now := time.Now()
		c.writingSince.Store(int64(max(1, now.Sub(c.openedAt))))
		_ = c.Conn.SetWriteDeadline(now.Add(writeTimeout))
		n, err := c.Conn.Write(b[:min(len(b), writePart)])
		c.server.traffic.out.Add(uint64(n))
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.server.recordClosed(time.Now(), c, closedSlowReader, kqresult.AnswerIncomplete)
		}
		if err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, nil
}

// CloseWrite tells the client that the answer has ended.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection. If the client may not have read the answer yet, it first reads and drops what the
// client still sends, for at most lingerTimeout.
func (c *conn) Close() error {
	if c.lingers.Swap(false) && !c.server.isClosing.Load() {
		_ = c.CloseWrite()
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	err := c.Conn.Close()
	c.server.removeConn(c)
	c.server.guard.release(time.Now(), &c.header)
	return err
}

// abort closes the connection without an answer. Its goroutine then releases what it holds.
func (c *conn) abort() { _ = c.Conn.Close() }

// isEvictable reports whether the connection may be closed to make room for others: no request on it was read to its
// end, or its client does not read the answer. The caller holds the mutexes of the server and of the guard.
func (c *conn) isEvictable(now time.Time) bool {
	if since := time.Duration(c.writingSince.Load()); since != 0 && now.Sub(c.openedAt)-since >= writeStall {
		return true
	}
	for x := range c.exchanges {
		if x.holder.complete {
			return false
		}
	}
	return true
}

// score returns how much the connection has held for how long without progress. The caller holds the mutexes of the
// server and of the guard.
func (c *conn) score(now time.Time) (score float64) {
	if len(c.exchanges) == 0 {
		return c.header.score(now, connectionBytes)
	}
	for x := range c.exchanges {
		score = max(score, x.holder.score(now, connectionBytes))
	}
	return score
}
