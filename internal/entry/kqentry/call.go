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
)

const (
	headerDeadline    = "Kq-Deadline"
	headerIdempotent  = "Kq-Idempotent"
	headerKey         = "Idempotency-Key"
	headerCallID      = "Kq-Call-Id"
	headerAttempt     = "Kq-Attempt"
	shortestDeadline  = time.Millisecond
	longestDeadline   = 10 * time.Minute
	maxKeyLength      = 255
	callerPatience    = 30 * time.Second
	releaseTimeout    = 2 * time.Second
	keyRetryAfter     = 1 * time.Second
	unknownClassLabel = "unknown"
	callPrefix        = "/v1/call/"
)

// call is one call from a caller.
type call struct {
	entry   *Entry
	request kqcaller.Request
	key     string
	begun   time.Time
}

// serveCall serves calls under callPrefix; what follows the class goes to the
// endpoint as it is.
func (e *Entry) serveCall(w http.ResponseWriter, q bunrouter.Request) error {
	e.countOpen(1)
	defer e.countOpen(-1)
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
	e.ended(c.request.Class, code, now)
	return nil
}

func (e *Entry) countOpen(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open += n
}

// ended counts a call.
func (e *Entry) ended(class string, code kqresult.Code, begun time.Time) {
	now := e.config.Now()
	e.metrics.ended(class, code, now.Sub(begun))
	e.outcomes.ended(now, class, code, now.Sub(begun))
}

// refuse ends a call that has no answer.
func (e *Entry) refuse(w http.ResponseWriter, class string, begun time.Time, err *kqresult.Error) error {
	if _, ok := e.holder.Class(class); !ok {
		class = unknownClassLabel
	}
	e.ended(class, err.Code, begun)
	return kqresult.WriteHTTP(w, err)
}

// parseCall checks a request; nothing has run while it fails.
func (e *Entry) parseCall(now time.Time, w http.ResponseWriter, q bunrouter.Request) (*call, *kqresult.Error) {
	spec, ok := e.holder.Class(q.Param("class"))
	if !ok && !e.Ready() {
		return nil, kqresult.Errorf(kqresult.NotRunNoEndpoint, "this entry is starting or shutting down").After(warmTime)
	}
	if !ok || spec.Kind == kqmodel.KindWatcher {
		return nil, kqresult.Errorf(kqresult.NotRunUnknownClass, "no class %q that answers calls is in force", q.Param("class"))
	}
	deadline, err := e.deadline(q.Header.Get(headerDeadline))
	if err != nil {
		return nil, err
	}
	idempotent, err := idempotence(q.Request)
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
	return &call{entry: e, key: key, begun: now, request: kqcaller.Request{ID: uuid.NewString(), Class: spec.Name, Idempotent: idempotent,
		Deadline: now.Add(deadline), LatencyTarget: spec.Latency.Std(), Method: q.Method, Path: path, Headers: forwarded(q.Header),
		Body: body, ConfigSequence: e.holder.Sequence()}}, nil
}

func (e *Entry) deadline(text string) (time.Duration, *kqresult.Error) {
	if text == "" {
		return e.config.DefaultDeadline, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < shortestDeadline || d > longestDeadline {
		return 0, kqresult.Errorf(kqresult.BadRequest, "%s: %q is no duration from %s to %s", headerDeadline, text, shortestDeadline, longestDeadline)
	}
	return d, nil
}

// idempotence takes the caller's word, or goes by the method.
func idempotence(q *http.Request) (bool, *kqresult.Error) {
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
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, e.config.MaxBody))
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return b, nil
	case errors.As(err, &large):
		return nil, kqresult.Errorf(kqresult.TooLarge, "the body is larger than %d bytes", e.config.MaxBody)
	}
	return nil, kqresult.Errorf(kqresult.BadRequest, "the body broke off: %v", err)
}

// unforwarded is the headers that speak of one connection, or that the system
// sets itself.
var unforwarded = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Traceparent": true}

func forwarded(h http.Header) []kqanswer.Header {
	var out []kqanswer.Header
	for n, v := range h {
		if !unforwarded[n] && !strings.HasPrefix(n, "Kq-") {
			out = append(out, kqanswer.Header{Name: n, Values: v})
		}
	}
	return out
}

// do runs the call; one with an idempotency key claims it first.
func (c *call) do(ctx context.Context) (*kqcaller.Answer, *kqresult.Error) {
	if c.key == "" {
		return c.entry.caller.Do(ctx, c.request)
	}
	first, err := c.entry.caller.Reserve(c.entry.config.Now(), c.request)
	if err != nil {
		return nil, err
	}
	holder, version, ok, err := c.claim(ctx, first.Ref)
	if err != nil || !ok {
		c.entry.caller.Release(c.entry.config.Now(), first.Ref)
	}
	switch {
	case err != nil:
		return nil, err
	case !ok:
		return c.recall(ctx, holder)
	}
	c.request.Reserved = &first
	answer, err := c.entry.caller.Do(ctx, c.request)
	if err != nil && err.Code.NotRun() {
		c.release(version)
	}
	return answer, err
}

// claim takes the caller's idempotency key for a call to an endpoint.
func (c *call) claim(ctx context.Context, ref kqroute.Ref) (kqclaim.Claim, uint64, bool, *kqresult.Error) {
	ctx, cancel := context.WithDeadline(ctx, c.request.Deadline)
	defer cancel()
	return c.entry.claims.Acquire(ctx, kqclaim.Claim{Key: c.key, CallID: c.request.ID, Class: c.request.Class, Fingerprint: c.fingerprint(),
		Agent: ref.Agent, Boot: ref.Boot, Endpoint: ref.Endpoint, ClaimedAt: c.begun.UTC()})
}

// recall fetches the answer of the call that holds the key.
func (c *call) recall(ctx context.Context, holder kqclaim.Claim) (*kqcaller.Answer, *kqresult.Error) {
	if holder.Fingerprint != c.fingerprint() {
		return nil, kqresult.Errorf(kqresult.KeyInUse, "the key was used for another request, call %s", holder.CallID)
	}
	c.request.ID = holder.CallID
	answer, err := c.entry.caller.FetchAnswer(ctx, c.request, kqroute.Ref{Agent: holder.Agent, Boot: holder.Boot, Endpoint: holder.Endpoint}, holder.ClaimedAt)
	if err != nil {
		return nil, kqresult.Errorf(kqresult.KeyInUse, "call %s holds the key since %s and its answer is not at hand: %s",
			holder.CallID, holder.ClaimedAt.Format(time.RFC3339), err.Reason).After(keyRetryAfter)
	}
	return answer, nil
}

// release frees the key even where the caller has left.
func (c *call) release(version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	c.entry.claims.Release(ctx, c.key, version)
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

// relay writes the answer to the caller. An answer that breaks off cuts the
// connection, so that it cannot be taken for a whole one.
func (c *call) relay(w http.ResponseWriter, a *kqcaller.Answer) kqresult.Code {
	for _, h := range a.Head.Headers {
		w.Header()[http.CanonicalHeaderKey(h.Name)] = h.Values
	}
	w.Header().Set(headerCallID, c.request.ID)
	w.Header().Set(headerAttempt, strconv.FormatUint(uint64(a.Attempt), 10))
	w.WriteHeader(a.Head.Status)
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	streamed := w.Header().Get("Content-Length") == ""
	for {
		b, err := a.Next()
		if err != nil {
			c.entry.ended(c.request.Class, err.Code, c.begun)
			panic(http.ErrAbortHandler)
		}
		if b == nil {
			return kqresult.OK
		}
		_ = control.SetWriteDeadline(c.entry.config.Now().Add(callerPatience))
		if _, werr := w.Write(b); werr != nil {
			return kqresult.AnswerIncomplete
		}
		if streamed {
			_ = control.Flush()
		}
	}
}

// failure converts any error to one with a code.
func failure(err error) *kqresult.Error {
	var e *kqresult.Error
	if eris.As(err, &e) {
		return e
	}
	return kqresult.Errorf(kqresult.Internal, "%v", err)
}
