package kqdispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqpool"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

const (
	// maxRunTime bounds the time that a call runs in its endpoint.
	maxRunTime = 10 * time.Minute
	// readerTimeout is how long an answer whose buffer is full waits for its reader.
	readerTimeout = 15 * time.Second
	// copyBufferSize is the size of a copy buffer, in bytes.
	copyBufferSize = 32 << 10
)

// copyBuffers holds the buffers for copying the bodies of answers.
var copyBuffers = kqpool.New(func() []byte { return make([]byte, copyBufferSize) })

// execution is one call that runs in its endpoint.
type execution struct {
	dispatcher *Dispatcher
	call       Call
	endpoint   *endpoint
	answer     *kqanswer.Answer
	arrivedAt  time.Time
	ctx        context.Context
	cancel     context.CancelFunc
}

// startExecution sends an admitted call to its endpoint. The call does not end when the
// connection of the entry ends, because the answer may be fetched over another connection.
func (d *Dispatcher) startExecution(ctx context.Context, arrivedAt time.Time, c Call, e *endpoint, a *kqanswer.Answer) {
	x := &execution{dispatcher: d, call: c, endpoint: e, answer: a, arrivedAt: arrivedAt}
	x.ctx, x.cancel = context.WithTimeout(context.WithoutCancel(ctx), maxRunTime)
	d.mu.Lock()
	d.executions[c.ID] = x
	d.mu.Unlock()
	go x.run()
}

func (x *execution) run() {
	defer x.cancel()
	failure := x.exchange()
	d := x.dispatcher
	now := d.config.Now()
	d.mu.Lock()
	x.endpoint.notifyWaiting(x.endpoint.gate.Finish(now, gateID(x.call.ID)))
	delete(d.executions, x.call.ID)
	d.mu.Unlock()
	if failure == nil {
		d.latencies.record(now, x.call.Class, now.Sub(x.arrivedAt))
	}
	d.answers.End(now, x.call.ID, failure)
}

// exchange sends the request to the endpoint and stores the answer as it arrives.
func (x *execution) exchange() *kqresult.Error {
	ctx, cancel, timer := withStoppableTimeout(x.ctx, x.headTimeout())
	defer cancel()
	ctx, span := x.dispatcher.config.Tracer.Start(ctx, "endpoint "+x.call.Class)
	defer span.End()
	q, err := x.request(ctx)
	if err != nil {
		return kqresult.Errorf(kqresult.NotRunUnreachable, "the request to the endpoint cannot be built: %v", err)
	}
	a, err := x.endpoint.client.Do(q)
	if err != nil {
		return sendFailure(err)
	}
	timer.Stop()
	defer a.Body.Close()
	if a.Body == http.NoBody || a.ContentLength >= 0 && a.ContentLength <= maxBufferedAnswer {
		return x.storeBuffered(a)
	}
	x.answer.SetHead(answerHead(a))
	return x.copyBody(ctx, a.Body)
}

// maxBufferedAnswer is the size, in bytes, up to which an answer of known length is read
// completely before its reader gets any of it.
const maxBufferedAnswer = 16 << 10

// storeBuffered reads and stores a small answer as a whole, so that it is sent in one part.
func (x *execution) storeBuffered(a *http.Response) *kqresult.Error {
	size := a.ContentLength
	if a.Body == http.NoBody {
		// The answer to a HEAD request states the length of a body that is not sent.
		size = 0
	}
	body := make([]byte, size)
	n, err := io.ReadFull(a.Body, body)
	if err != nil && size > 0 {
		x.answer.SetHead(answerHead(a))
		return kqresult.Errorf(kqresult.AnswerIncomplete, "the answer of the endpoint ended after %d of %d bytes: %v", n, size, err)
	}
	x.answer.SetHeadAndBody(answerHead(a), body)
	return nil
}

// headTimeout returns the time that the endpoint has to send the head of its answer. An
// idempotent call ends at its caller's deadline; any other call runs on until its outcome is
// certain.
func (x *execution) headTimeout() time.Duration {
	if x.call.Idempotent {
		return x.call.DeadlineLeft
	}
	return maxRunTime
}

// sendFailure returns the failure for an error of the HTTP client: the call did not run if no
// connection was made, and its outcome is unknown otherwise.
func sendFailure(err error) *kqresult.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return kqresult.Errorf(kqresult.NotRunUnreachable, "cannot connect to the endpoint: %v", op.Err)
	}
	return kqresult.Errorf(kqresult.OutcomeUnknown, "the endpoint sent no answer: %v", err)
}

// copyBody appends the body to the answer as it arrives. It fails if the buffer is full and
// the reader does not read for readerTimeout.
func (x *execution) copyBody(ctx context.Context, body io.Reader) *kqresult.Error {
	v := copyBuffers.Get()
	defer copyBuffers.Put(v)
	b := *v
	for {
		n, err := body.Read(b)
		if n > 0 {
			appendCtx, cancel := context.WithTimeout(ctx, readerTimeout)
			appendErr := x.answer.Append(appendCtx, b[:n])
			cancel()
			if appendErr != nil {
				return kqresult.Errorf(kqresult.AnswerIncomplete, "the answer was not read for %s", readerTimeout)
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return kqresult.Errorf(kqresult.AnswerIncomplete, "the answer of the endpoint ended early: %v", err)
		}
	}
}

// unrepeatableBody is a request body that net/http cannot send a second time.
type unrepeatableBody struct {
	io.Reader
}

// Close implements io.Closer and does nothing.
func (unrepeatableBody) Close() error { return nil }

// request builds the request for the endpoint. Its body is never nil, even if it is empty, and
// it has no GetBody, so that the HTTP client does not repeat the request automatically, as it
// otherwise does for some methods and for requests with an Idempotency-Key header.
func (x *execution) request(ctx context.Context) (*http.Request, error) {
	c := x.call
	url := "http://" + x.endpoint.info.Address.String() + "/" + strings.TrimPrefix(c.Path, "/")
	q, err := http.NewRequestWithContext(ctx, c.Method, url, unrepeatableBody{bytes.NewReader(c.Body)})
	if err != nil {
		return nil, err
	}
	q.ContentLength = int64(len(c.Body))
	for _, h := range c.Headers {
		q.Header[http.CanonicalHeaderKey(h.Name)] = h.Values
	}
	x.dispatcher.config.Tracer.Inject(ctx, propagation.HeaderCarrier(q.Header))
	q.Header.Set("Kq-Call-Id", c.ID.Call)
	q.Header.Set("Kq-Attempt", strconv.FormatUint(uint64(c.ID.Attempt), 10))
	q.Header.Set("Kq-Class", c.Class)
	q.Header.Set("Kq-Idempotent", strconv.FormatBool(c.Idempotent))
	q.Header.Set("Kq-Deadline-Left", c.DeadlineLeft.String())
	return q, nil
}

// hopByHopHeaders are the headers that apply to one connection only and are not passed on.
var hopByHopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

// answerHead returns the status and the end-to-end headers of an answer.
func answerHead(a *http.Response) kqanswer.Head {
	h := kqanswer.Head{Status: a.StatusCode}
	for n, v := range a.Header {
		if !hopByHopHeaders[n] {
			h.Headers = append(h.Headers, kqanswer.Header{Name: n, Values: v})
		}
	}
	if a.ContentLength >= 0 && a.Header.Get("Content-Length") == "" {
		h.Headers = append(h.Headers, kqanswer.Header{Name: "Content-Length", Values: []string{strconv.FormatInt(a.ContentLength, 10)}})
	}
	return h
}
