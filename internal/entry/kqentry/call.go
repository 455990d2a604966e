package kqentry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/uptrace/bunrouter"
	"go.opentelemetry.io/otel/propagation"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqcaller"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqclaim"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
)

const (
	headerDeadline   = "Kq-Deadline"
	headerIdempotent = "Kq-Idempotent"
	headerKey        = "Idempotency-Key"
	headerCallID     = "Kq-Call-Id"
	headerAttempt    = "Kq-Attempt"
	minDeadline      = time.Millisecond
	maxDeadline      = 10 * time.Minute
	maxKeyLength     = 255
	// callerWriteTimeout limits the time to write one part of an answer to the caller.
	callerWriteTimeout = 30 * time.Second
	releaseTimeout     = 2 * time.Second
	keyRetryAfter      = 1 * time.Second
	unknownClassLabel  = "unknown"
	callPrefix         = "/v1/call/"
)

// call is the state of one call from a caller.
type call struct {
	entry     *Entry
	request   kqcaller.Request
	key       string
	startedAt time.Time
}

// serveCall serves calls under callPrefix. The path after the class name is forwarded to
// the endpoint unchanged.
func (e *Entry) serveCall(w http.ResponseWriter, q bunrouter.Request) error {
	e.addOpenCalls(1)
	defer e.addOpenCalls(-1)
	now := e.config.Now()
	ctx := e.config.Tracer.Extract(q.Context(), propagation.HeaderCarrier(q.Header))
	ctx, span := e.config.Tracer.Start(ctx, "call "+q.Param("class"))
	defer span.End()
	c, err := e.parseCall(now, w, q)
	if err != nil {
		return e.refuse(w, q.Param("class"), now, err)
	}
	w.Header().Set(headerCallID, c.request.ID)
	answer, err := c.do(ctx)
	if err != nil {
		return e.refuse(w, c.request.Class, now, err)
	}
	defer answer.Close()
	code := c.relay(w, answer)
	e.recordCall(c.request.Class, code, now)
	return nil
}

func (e *Entry) addOpenCalls(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.openCallCount += n
}

// recordCall adds a finished call to the metrics and to the statistics of its class.
func (e *Entry) recordCall(class string, code kqresult.Code, startedAt time.Time) {
	now := e.config.Now()
	e.metrics.recordCall(class, code, now.Sub(startedAt))
	e.callStats.record(now, class, code, now.Sub(startedAt))
}

// refuse answers a call with an error. A class that is not configured is counted under
// unknownClassLabel, which bounds the number of metric label values.
func (e *Entry) refuse(w http.ResponseWriter, class string, startedAt time.Time, err *kqresult.Error) error {
	if _, ok := e.configHolder.Class(class); !ok {
		class = unknownClassLabel
	}
	e.recordCall(class, err.Code, startedAt)
	return kqresult.WriteHTTP(w, err)
}

// parseCall validates a request. A call that it rejects has not run anywhere.
func (e *Entry) parseCall(now time.Time, w http.ResponseWriter, q bunrouter.Request) (*call, *kqresult.Error) {
	spec, ok := e.configHolder.Class(q.Param("class"))
	if !ok && !e.Ready() {
		return nil, kqresult.Errorf(kqresult.NotRunNoEndpoint, "this entry is starting or shutting down").WithRetryAfter(warmUpTime)
	}
	if !ok || spec.Kind == kqmodel.KindWatcher {
		return nil, kqresult.Errorf(kqresult.NotRunUnknownClass, "class %q is not configured, or does not serve calls", q.Param("class"))
	}
	deadline, err := e.parseDeadline(q.Header.Get(headerDeadline))
	if err != nil {
		return nil, err
	}
	idempotent, err := isIdempotent(q.Request)
	if err != nil {
		return nil, err
	}
	key := q.Header.Get(headerKey)
	if len(key) > maxKeyLength {
		return nil, kqresult.Errorf(kqresult.BadRequest, "%s has %d bytes; at most %d are allowed", headerKey, len(key), maxKeyLength)
	}
	body, err := e.readBody(w, q.Request)
	if err != nil {
		return nil, err
	}
	path := strings.TrimPrefix(q.URL.EscapedPath(), callPrefix+spec.Name)
	if q.URL.RawQuery != "" {
		path += "?" + q.URL.RawQuery
	}
	return &call{entry: e, key: key, startedAt: now, request: kqcaller.Request{ID: uuid.NewString(), Class: spec.Name, Idempotent: idempotent,
		Deadline: now.Add(deadline), LatencyTarget: spec.Latency.Std(), Method: q.Method, Path: path, Headers: forwardedHeaders(q.Header),
		Body: body, ConfigSequence: e.configHolder.Sequence()}}, nil
}

func (e *Entry) parseDeadline(text string) (time.Duration, *kqresult.Error) {
	if text == "" {
		return e.config.DefaultDeadline, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < minDeadline || d > maxDeadline {
		return 0, kqresult.Errorf(kqresult.BadRequest, "%s: %q is not a duration from %s to %s", headerDeadline, text, minDeadline, maxDeadline)
	}
	return d, nil
}

// bodyTimeout returns the time in which the body of a request must arrive: until the deadline of a call, or as long as
// another process waits.
func (e *Entry) bodyTimeout(r *http.Request) time.Duration {
	d, err := e.parseDeadline(r.Header.Get(headerDeadline))
	if err != nil {
		d = e.config.DefaultDeadline
	}
	return kqlink.Timeout(r, d)
}

// isIdempotent reports whether a call may run more than once: as the Kq-Idempotent header
// says, or by the HTTP method if the header is absent.
func isIdempotent(q *http.Request) (bool, *kqresult.Error) {
	text := q.Header.Get(headerIdempotent)
	if text == "" {
		switch q.Method {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
			return true, nil
		}
		return false, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, kqresult.Errorf(kqresult.BadRequest, "%s: %q is neither true nor false", headerIdempotent, text)
	}
	return v, nil
}

func (e *Entry) readBody(w http.ResponseWriter, q *http.Request) ([]byte, *kqresult.Error) {
	var b []byte
	var err error
	// A body whose declared length exceeds the limit is rejected before it arrives.
	if q.ContentLength <= e.config.MaxBody {
		b, err = io.ReadAll(http.MaxBytesReader(w, q.Body, e.config.MaxBody))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case q.ContentLength > e.config.MaxBody || errors.As(err, &tooLarge):
		return nil, kqresult.Errorf(kqresult.TooLarge, "the request body is larger than %d bytes", e.config.MaxBody)
	case err != nil:
		return nil, kqresult.Errorf(kqresult.BadRequest, "reading the request body failed: %v", err)
	}
	return b, nil
}

// unforwardedHeaders is the set of headers that are not passed to the endpoint: they
// concern a single connection, or the system sets them itself.
var unforwardedHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Traceparent": true}

func forwardedHeaders(h http.Header) []kqanswer.Header {
	var out []kqanswer.Header
	for n, v := range h {
		if !unforwardedHeaders[n] && !strings.HasPrefix(n, "Kq-") {
			out = append(out, kqanswer.Header{Name: n, Values: v})
		}
	}
	return out
}

// do runs the call. A call with an idempotency key first reserves an endpoint and claims
// the key for it, and releases the key again if the call did not run. If another call has
// claimed the key, do returns the answer of that call.
func (c *call) do(ctx context.Context) (*kqcaller.Answer, *kqresult.Error) {
	if c.key == "" {
		return c.entry.router.Do(ctx, c.request)
	}
	reserved, err := c.entry.router.Reserve(c.entry.config.Now(), c.request)
	if err != nil {
		return nil, err
	}
	holder, version, claimed, err := c.claim(ctx, reserved.Ref)
	if err != nil || !claimed {
		c.entry.router.Release(c.entry.config.Now(), reserved.Ref)
	}
	switch {
	case err != nil:
		return nil, err
	case !claimed:
		return c.fetchAnswer(ctx, holder)
	}
	c.request.Reserved = &reserved
	answer, err := c.entry.router.Do(ctx, c.request)
	if err != nil && err.Code.NotRun() {
		c.release(version)
	}
	return answer, err
}

// claim claims the caller's idempotency key for this call at the endpoint ref, and returns
// the claim with its row version and whether this call holds the key. If another call holds
// it, the claim returned is that call's.
func (c *call) claim(ctx context.Context, ref kqroute.Ref) (kqclaim.Claim, uint64, bool, *kqresult.Error) {
	ctx, cancel := context.WithDeadline(ctx, c.request.Deadline)
	defer cancel()
	return c.entry.claimer.Acquire(ctx, kqclaim.Claim{Key: c.key, CallID: c.request.ID, Class: c.request.Class, Fingerprint: c.fingerprint(),
		Agent: ref.Agent, Boot: ref.Boot, Endpoint: ref.Endpoint, ClaimedAt: c.startedAt.UTC()})
}

// fetchAnswer returns the answer of the call that holds the key.
func (c *call) fetchAnswer(ctx context.Context, holder kqclaim.Claim) (*kqcaller.Answer, *kqresult.Error) {
	if holder.Fingerprint != c.fingerprint() {
		return nil, kqresult.Errorf(kqresult.KeyInUse, "the idempotency key was used for a different request, call %s", holder.CallID)
	}
	c.request.ID = holder.CallID
	answer, err := c.entry.router.FetchAnswer(ctx, c.request, kqroute.Ref{Agent: holder.Agent, Boot: holder.Boot, Endpoint: holder.Endpoint}, holder.ClaimedAt)
	if err != nil {
		return nil, kqresult.Errorf(kqresult.KeyInUse, "call %s has held the idempotency key since %s and its answer is not available: %s",
			holder.CallID, holder.ClaimedAt.Format(time.RFC3339), err.Reason).WithRetryAfter(keyRetryAfter)
	}
	return answer, nil
}

// release frees the idempotency key. It uses its own context, so that the key is freed
// even if the caller has disconnected.
func (c *call) release(version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	c.entry.claimer.Release(ctx, c.key, version)
}

func (c *call) fingerprint() uint64 {
	h := xxhash.New()
	for _, s := range []string{c.request.Class, c.request.Method, c.request.Path} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.request.Body)
	return h.Sum64()
}

// relay writes the answer to the caller. If the answer ends early, relay aborts the
// connection, so that the caller cannot mistake it for a complete one.
func (c *call) relay(w http.ResponseWriter, a *kqcaller.Answer) kqresult.Code {
	for _, h := range a.Head.Headers {
		w.Header()[http.CanonicalHeaderKey(h.Name)] = h.Values
	}
	w.Header().Set(headerCallID, c.request.ID)
	w.Header().Set(headerAttempt, strconv.FormatUint(uint64(a.Attempt), 10))
	w.WriteHeader(a.Head.Status)
	controller := http.NewResponseController(w)
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	streamed := w.Header().Get("Content-Length") == ""
	for {
		b, err := a.Next()
		if err != nil {
			c.entry.recordCall(c.request.Class, err.Code, c.startedAt)
			panic(http.ErrAbortHandler)
		}
		if b == nil {
			return kqresult.OK
		}
		_ = controller.SetWriteDeadline(c.entry.config.Now().Add(callerWriteTimeout))
		if _, werr := w.Write(b); werr != nil {
			return kqresult.AnswerIncomplete
		}
		if streamed {
			_ = controller.Flush()
		}
	}
}

// toResultError returns err as an error with a result code; Internal if it has none.
func toResultError(err error) *kqresult.Error {
	var e *kqresult.Error
	if eris.As(err, &e) {
		return e
	}
	return kqresult.Errorf(kqresult.Internal, "%v", err)
}
