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
	// longestRun bounds a call in its endpoint.
	longestRun = 10 * time.Minute
	// readerPatience is how long a full answer waits for its reader.
	readerPatience = 15 * time.Second
	copyBuffer     = 32 << 10
)

// copyBuffers are for the bodies of answers on their way.
var copyBuffers = kqpool.New(func() []byte { return make([]byte, copyBuffer) })

// execution is one call in its endpoint.
type execution struct {
	dispatcher *Dispatcher
	call       Call
	endpoint   *endpoint
	answer     *kqanswer.Answer
	arrived    time.Time
	ctx        context.Context
	cancel     context.CancelFunc
}

// begin sends an admitted call to its endpoint. The call does not end with the
// connection of the entry, since its answer may be fetched over another.
func (d *Dispatcher) begin(ctx context.Context, arrived time.Time, c Call, e *endpoint, a *kqanswer.Answer) {
	x := &execution{dispatcher: d, call: c, endpoint: e, answer: a, arrived: arrived}
	x.ctx, x.cancel = context.WithTimeout(context.WithoutCancel(ctx), longestRun)
	d.mu.Lock()
	d.runs[c.ID] = x
	d.mu.Unlock()
	go x.run()
}

func (x *execution) run() {
	defer x.cancel()
	failure := x.exchange()
	d := x.dispatcher
	now := d.config.Now()
	d.mu.Lock()
	x.endpoint.settle(x.endpoint.gate.Finish(now, gateID(x.call.ID)))
	delete(d.runs, x.call.ID)
	d.mu.Unlock()
	if failure == nil {
		d.latency.add(now, x.call.Class, now.Sub(x.arrived))
	}
	d.answers.End(now, x.call.ID, failure)
}

// exchange sends the request and stores the answer as it comes.
func (x *execution) exchange() *kqresult.Error {
	ctx, cancel, timer := contextWithin(x.ctx, x.headTimeout())
	defer cancel()
	ctx, span := x.dispatcher.config.Tracer.Start(ctx, "endpoint "+x.call.Class)
	defer span.End()
	q, err := x.request(ctx)
	if err != nil {
		return kqresult.Errorf(kqresult.NotRunUnreachable, "the request cannot be built: %v", err)
	}
	a, err := x.endpoint.client.Do(q)
	if err != nil {
		return notSent(err)
	}
	timer.Stop()
	defer a.Body.Close()
	if a.Body == http.NoBody || a.ContentLength >= 0 && a.ContentLength <= wholeLimit {
		return x.whole(a)
	}
	x.answer.SetHead(head(a))
	return x.copy(ctx, a.Body)
}

// wholeLimit is the size, in bytes, up to which an answer of known length is
// read to its end before its reader gets any of it.
const wholeLimit = 16 << 10

// whole stores a small answer at once, so that it goes out in one part.
func (x *execution) whole(a *http.Response) *kqresult.Error {
	size := a.ContentLength
	if a.Body == http.NoBody {
		// The answer to HEAD names the length of a body that does not come.
		size = 0
	}
	body := make([]byte, size)
	n, err := io.ReadFull(a.Body, body)
	if err != nil && size > 0 {
		x.answer.SetHead(head(a))
		return kqresult.Errorf(kqresult.AnswerIncomplete, "the endpoint broke off after %d of %d bytes: %v", n, size, err)
	}
	x.answer.SetHeadAndBody(head(a), body)
	return nil
}

// headTimeout is how long the endpoint has for the head: an idempotent call
// ends with its caller's deadline, any other runs on to a certain outcome.
func (x *execution) headTimeout() time.Duration {
	if x.call.Idempotent {
		return x.call.DeadlineLeft
	}
	return longestRun
}

// notSent tells a connection that was never made from a lost answer.
func notSent(err error) *kqresult.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return kqresult.Errorf(kqresult.NotRunUnreachable, "the endpoint takes no connection: %v", op.Err)
	}
	return kqresult.Errorf(kqresult.OutcomeUnknown, "the endpoint broke off: %v", err)
}

func (x *execution) copy(ctx context.Context, body io.Reader) *kqresult.Error {
	v := copyBuffers.Get()
	defer copyBuffers.Put(v)
	b := *v
	for {
		n, err := body.Read(b)
		if n > 0 {
			wait, cancel := context.WithTimeout(ctx, readerPatience)
			werr := x.answer.Append(wait, b[:n])
			cancel()
			if werr != nil {
				return kqresult.Errorf(kqresult.AnswerIncomplete, "nobody read the answer for %s", readerPatience)
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return kqresult.Errorf(kqresult.AnswerIncomplete, "the endpoint broke off: %v", err)
		}
	}
}

// onceBody is a request body that net/http cannot send a second time.
type onceBody struct {
	io.Reader
}

// Close does nothing.
func (onceBody) Close() error { return nil }

// request builds the request for the endpoint. Its body has no GetBody and is
// never nil, so that the HTTP client does not repeat the request on its own,
// as it otherwise does for some methods and for an Idempotency-Key header.
func (x *execution) request(ctx context.Context) (*http.Request, error) {
	c := x.call
	url := "http://" + x.endpoint.info.Address.String() + "/" + strings.TrimPrefix(c.Path, "/")
	q, err := http.NewRequestWithContext(ctx, c.Method, url, onceBody{bytes.NewReader(c.Body)})
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

// perHop is the headers that speak of one connection only.
var perHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

func head(a *http.Response) kqanswer.Head {
	h := kqanswer.Head{Status: a.StatusCode}
	for n, v := range a.Header {
		if !perHop[n] {
			h.Headers = append(h.Headers, kqanswer.Header{Name: n, Values: v})
		}
	}
	if a.ContentLength >= 0 && a.Header.Get("Content-Length") == "" {
		h.Headers = append(h.Headers, kqanswer.Header{Name: "Content-Length", Values: []string{strconv.FormatInt(a.ContentLength, 10)}})
	}
	return h
}
