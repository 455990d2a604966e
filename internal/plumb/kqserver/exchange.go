package kqserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

const (
	// DefaultTimeout is the time in which the body of a request must arrive if the server has no other limit.
	DefaultTimeout = 30 * time.Second
	// leftoverTimeout limits how long an answer waits for the rest of a body that the handler did not read. It
	// suffices for what has already arrived, after which the connection can be used again.
	leftoverTimeout  = time.Millisecond
	maxLeftoverBytes = 4 << 10
	// maxReadBytes limits a read of a body. A read of a chunk returns only once it has filled its buffer, and what it
	// has stored there until then is not charged.
	maxReadBytes = 16 << 10
)

// exchange is a request until it is answered.
type exchange struct {
	server     *Server
	conn       *conn
	controller *http.ResponseController
	request    *http.Request
	// body is the body as the HTTP library reads it.
	body io.ReadCloser
	// holder is what the request holds.
	holder holder
	// refusal is the error that the handler got when it read the body; nil if it got none. Only then the request is
	// answered with it: a handler that does not need the body may have done its work.
	refusal *kqresult.Error
	// answered is true once the header of the answer is written.
	answered bool
	// dropped is true if the handler's answer is replaced by the refusal.
	dropped bool
}

// connKey is the key of the conn in the context of a request.
type connKey struct{}

// withConn returns the context of the requests on a new connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	return context.WithValue(ctx, connKey{}, c)
}

// ServeHTTP charges the request to the guard, limits the time in which its body must arrive, and lets the handler
// answer it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		s.handler.ServeHTTP(w, r)
		return
	}
	x := &exchange{server: s, conn: c, controller: http.NewResponseController(w), request: r, body: r.Body}
	now := time.Now()
	answer := &responseWriter{ResponseWriter: w, exchange: x}
	defer func() { x.end(time.Now()) }()
	if x.refusal = x.begin(now); x.refusal == nil {
		r.Body = requestBody{x}
		s.handler.ServeHTTP(answer, r)
	}
	if !x.answered {
		answer.WriteHeader(http.StatusOK)
	}
}

// begin charges the header of the request and starts the time limit of its body.
func (x *exchange) begin(now time.Time) *kqresult.Error {
	x.holder = holder{progressAt: now, interrupt: x.interrupt, complete: x.body == http.NoBody}
	if x.isHTTP2() {
		x.conn.isHTTP2.Store(true)
	}
	x.conn.readsHeader.Store(false)
	x.server.guard.release(now, &x.conn.header)
	x.server.addExchange(x)
	if refusal := x.server.guard.charge(now, &x.holder, 0, x.headerBytes()); refusal != nil {
		x.server.recordRefused(now, x, refusal)
		return refusal
	}
	if x.body != http.NoBody {
		_ = x.controller.SetReadDeadline(now.Add(x.server.timeout(x.request)))
	}
	return nil
}

// end releases what the request holds.
func (x *exchange) end(now time.Time) {
	x.server.removeExchange(x)
	x.server.guard.release(now, &x.holder)
	// The connection is idle from now on.
	x.server.guard.release(now, &x.conn.header)
	x.conn.readsHeader.Store(true)
}

func (x *exchange) isHTTP2() bool { return x.request.ProtoMajor > 1 }

// headerBytes returns the memory that the header of the request occupies.
func (x *exchange) headerBytes() int64 {
	n := int64(len(x.request.RequestURI) + len(x.request.Host))
	for name, values := range x.request.Header {
		n += headerLineBytes + int64(len(name))
		for _, v := range values {
			n += headerLineBytes + int64(len(v))
		}
	}
	if x.isHTTP2() {
		n += streamBytes
	}
	return n
}

// interrupt ends a pending read of the body.
func (x *exchange) interrupt() { _ = x.controller.SetReadDeadline(time.Unix(1, 0)) }

// received charges a part of the body and returns the error of the read: the refusal, if there is one.
func (x *exchange) received(now time.Time, n int, err error) error {
	g := x.server.guard
	var refusal *kqresult.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		refusal = g.fail(&x.holder, kqresult.Errorf(kqresult.NotRunBodyTimeout, "the body did not arrive in the time that the request has").WithRetryAfter(retryAfter))
	case n > 0:
		refusal = g.charge(now, &x.holder, int64(n), int64(n)*bodyCost)
	}
	if refusal == nil && err == io.EOF {
		if refusal = g.complete(&x.holder); refusal == nil {
			_ = x.controller.SetReadDeadline(time.Time{})
		}
	}
	if refusal == nil {
		return err
	}
	if x.refusal == nil {
		x.refusal = refusal
		x.server.recordRefused(now, x, refusal)
	}
	return refusal
}

// requestBody is the body of a request, charged as it is read.
type requestBody struct{ exchange *exchange }

// Read reads from the body. It returns a *kqresult.Error if the request is refused.
func (b requestBody) Read(p []byte) (int, error) {
	if b.exchange.refusal != nil {
		return 0, b.exchange.refusal
	}
	n, err := b.exchange.body.Read(p[:min(len(p), maxReadBytes)])
	return n, b.exchange.received(time.Now(), n, err)
}

// Close does nothing: the HTTP library closes the body after the request.
func (b requestBody) Close() error { return nil }

// responseWriter replaces the answer of a handler that could not read the body of a refused request.
type responseWriter struct {
	http.ResponseWriter
	exchange *exchange
}

// Unwrap returns the writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush sends what was written.
func (w *responseWriter) Flush() {
	if !w.exchange.answered {
		w.WriteHeader(http.StatusOK)
	}
	_ = w.exchange.controller.Flush()
}

// WriteHeader writes the header of the answer or the refusal.
func (w *responseWriter) WriteHeader(status int) {
	x := w.exchange
	if x.answered || status < http.StatusOK {
		if !x.dropped {
			w.ResponseWriter.WriteHeader(status)
		}
		return
	}
	x.answered = true
	x.settleBody(w.Header())
	x.server.guard.answer(&x.holder)
	if x.refusal == nil {
		w.ResponseWriter.WriteHeader(status)
		return
	}
	x.dropped = true
	w.Header().Del("Content-Length")
	_ = kqresult.WriteHTTP(w.ResponseWriter, x.refusal)
}

// Write writes a part of the answer, or drops it if the request is refused.
func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.exchange.answered {
		w.WriteHeader(http.StatusOK)
	}
	if w.exchange.dropped {
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}

// settleBody decides what happens to a body that was not read to its end. If the rest has arrived, the connection
// can be used again; otherwise it is closed after the answer, which is sent at once.
func (x *exchange) settleBody(h http.Header) {
	if x.isHTTP2() || x.server.guard.isComplete(&x.holder) || x.hasLeftoverArrived() {
		return
	}
	h.Set("Connection", "close")
	x.conn.lingers.Store(true)
	// The HTTP library would wait for the rest of the body.
	x.interrupt()
}

// hasLeftoverArrived reads the rest of a short body if the handler has not read it, and reports whether it was
// there.
func (x *exchange) hasLeftoverArrived() bool {
	if x.refusal != nil || x.request.ContentLength > maxLeftoverBytes || x.request.Header.Get("Expect") != "" {
		return false
	}
	_ = x.controller.SetReadDeadline(time.Now().Add(leftoverTimeout))
	n, err := io.CopyN(io.Discard, x.body, maxLeftoverBytes+1)
	if err != io.EOF || n > maxLeftoverBytes {
		return false
	}
	_ = x.controller.SetReadDeadline(time.Time{})
	return true
}
