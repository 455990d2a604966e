// Package kqcrowd runs many clients that do not behave against one address, and measures what they
// cost the process that serves it.
package kqcrowd

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout limits how long a client waits for a server that does not read.
	writeTimeout = 10 * time.Second
	dialTimeout  = 3 * time.Second
	piecePause   = time.Millisecond
	// smallReceiveBuffer is the receive buffer of a client that reads nothing, in bytes.
	smallReceiveBuffer = 4 << 10
)

// Config describes the clients of a Crowd. All are alike but for what Head returns.
type Config struct {
	// Address is the address that the clients connect to.
	Address netip.AddrPort
	// Clients is the number of clients.
	Clients int
	// Head returns the first bytes that a client sends, by the client's number; nil sends none.
	Head func(client int) string
	// Body is what every client sends after its head.
	Body []byte
	// Piece is the largest number of bytes of the body per write; 0 writes the body at once.
	Piece int
	// Withheld is the number of bytes at the end of the body that a client does not send.
	Withheld int
	// Finish lets each client send the withheld bytes once all clients have sent the rest.
	Finish bool
	// ReadsNothing keeps the clients from reading responses.
	ReadsNothing bool
}

// Crowd is a set of clients that stay connected until Close.
type Crowd struct {
	config Config
	// sent counts the clients that have not yet sent all but the withheld bytes.
	sent sync.WaitGroup
	done sync.WaitGroup
	stop context.CancelFunc
	ctx  context.Context
	// finish is closed once the clients may send the withheld bytes.
	finish chan struct{}

	connected, ended atomic.Int64
}

// Start connects all clients and lets them send.
func Start(c Config) *Crowd {
	w := &Crowd{config: c, finish: make(chan struct{})}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.sent.Add(c.Clients)
	for n := range c.Clients {
		w.done.Go(func() { w.run(n) })
	}
	return w
}

// AwaitSent returns when every client has sent what it sends, or was disconnected.
func (w *Crowd) AwaitSent() {
	w.sent.Wait()
	if w.config.Finish {
		close(w.finish)
	}
}

// Counts returns how many clients have connected, and how many of these the server has disconnected.
func (w *Crowd) Counts() (connected, ended int) {
	return int(w.connected.Load()), int(w.ended.Load())
}

// Close disconnects all clients.
func (w *Crowd) Close() {
	w.stop()
	w.done.Wait()
}

// run is the life of one client.
func (w *Crowd) run(n int) {
	reportSent := sync.OnceFunc(w.sent.Done)
	defer reportSent()
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(w.ctx, "tcp", w.config.Address.String())
	if err != nil {
		return
	}
	w.connected.Add(1)
	defer conn.Close()
	defer context.AfterFunc(w.ctx, func() { _ = conn.Close() })()
	if w.config.ReadsNothing {
		_ = conn.(*net.TCPConn).SetReadBuffer(smallReceiveBuffer)
	}
	last := len(w.config.Body) - w.config.Withheld
	if !w.send(conn, n, w.config.Body[:last]) {
		w.ended.Add(1)
		return
	}
	reportSent()
	if w.config.Finish {
		select {
		case <-w.finish:
			_, _ = conn.Write(w.config.Body[last:])
		case <-w.ctx.Done():
		}
	}
	if w.config.ReadsNothing {
		<-w.ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn)
	if w.ctx.Err() == nil {
		w.ended.Add(1)
	}
}

// send sends the head and the body and reports whether the server took them.
func (w *Crowd) send(conn net.Conn, n int, body []byte) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if w.config.Head != nil {
		if _, err := conn.Write([]byte(w.config.Head(n))); err != nil {
			return false
		}
	}
	piece := w.config.Piece
	if piece == 0 {
		piece = len(body)
	}
	for len(body) > 0 {
		size := min(piece, len(body))
		if _, err := conn.Write(body[:size]); err != nil {
			return false
		}
		if body = body[size:]; len(body) > 0 {
			time.Sleep(piecePause)
		}
	}
	_ = conn.SetWriteDeadline(time.Time{})
	return true
}
