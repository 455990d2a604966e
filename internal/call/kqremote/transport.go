// Package kqremote carries calls between entries and agents over Connect RPC.
package kqremote

import (
	"context"
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqadmit"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqcaller"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqretry"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// cancelTimeout limits the time of one cancel notice to an agent.
const cancelTimeout = 500 * time.Millisecond

// Client reaches agents over a pool of connections.
type Client struct {
	pool *kqlink.Pool
}

// NewClient returns a Client over p.
func NewClient(p *kqlink.Pool) *Client { return &Client{pool: p} }

// Transport returns the operations for a kqcaller.Router.
func (c *Client) Transport() kqcaller.Transport {
	return kqcaller.Transport{Send: c.send, Fetch: c.fetch, Cancel: c.cancel}
}

func (c *Client) send(ctx context.Context, now time.Time, ref kqroute.Ref, options kqcaller.AttemptOptions, r kqcaller.Request) (kqcaller.Stream, error) {
	q := &kqwire.CallRequest{CallId: r.ID, Attempt: options.Number, NoQueue: options.NoQueue, Class: r.Class, EndpointId: ref.Endpoint,
		Idempotent: r.Idempotent, DeadlineLeft: int64(r.Deadline.Sub(now)), Method: r.Method, Path: r.Path,
		Headers: HeadersToWire(r.Headers), Body: r.Body, ConfigSequence: r.ConfigSequence, AgentBoot: ref.Boot}
	ctx, cancel := context.WithCancel(ctx)
	s, err := c.pool.AgentClient(now, ref.Agent).Call(ctx, connect.NewRequest(q))
	switch {
	case err != nil && dialFailed(err):
		cancel()
		return kqcaller.Stream{}, err
	case err != nil:
		cancel()
		// The request may have been sent, so this is not reported as an error of Send.
		return failedStream(err), nil
	}
	return newStream(r.ID, s, cancel), nil
}

// dialFailed reports whether no connection was established, which means that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) fetch(ctx context.Context, now time.Time, f kqcaller.FetchRequest) (kqcaller.Stream, error) {
	q := &kqwire.FetchRequest{CallId: f.CallID, Attempt: f.Attempt, AgentBoot: f.Ref.Boot, Offset: f.Offset,
		HeadSeen: f.HeadSeen, Age: int64(f.Age)}
	ctx, cancel := context.WithCancel(ctx)
	// The timeout covers only reaching the agent; the answer may take longer.
	t := time.AfterFunc(kqretry.FetchTimeout, cancel)
	s, err := c.pool.AgentClient(now, f.Ref.Agent).Fetch(ctx, connect.NewRequest(q))
	if err != nil || !t.Stop() {
		cancel()
		return kqcaller.Stream{}, connect.NewError(connect.CodeUnavailable, err)
	}
	return newStream(f.CallID, s, cancel), nil
}

// cancelNotice notifies an agent that the answer of an attempt is no longer needed.
type cancelNotice struct {
	client  kqwire.AgentServiceClient
	callID  string
	attempt uint32
}

func (c *Client) cancel(now time.Time, ref kqroute.Ref, callID string, attempt uint32) {
	x := &cancelNotice{client: c.pool.AgentClient(now, ref.Agent), callID: callID, attempt: attempt}
	go x.run()
}

func (x *cancelNotice) run() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, _ = x.client.Cancel(ctx, connect.NewRequest(&kqwire.CancelRequest{CallId: x.callID, Attempt: x.attempt}))
}

// failedStream returns a stream whose Next fails with err.
func failedStream(err error) kqcaller.Stream {
	return kqcaller.Stream{Next: func() (kqcaller.Part, error) { return kqcaller.Part{}, err }, Close: func() {}}
}

// newStream converts a stream of the agent. A failed dial, which Connect reports with the first
// read, becomes a refusal, since nothing was sent.
func newStream(callID string, s *connect.ServerStreamForClient[kqwire.CallPart], cancel context.CancelFunc) kqcaller.Stream {
	return kqcaller.Stream{
		Next: func() (kqcaller.Part, error) {
			if !s.Receive() {
				err := s.Err()
				switch {
				case err != nil && dialFailed(err):
					return kqcaller.Part{CallID: callID, Refusal: kqresult.Errorf(kqresult.NotRunUnreachable, "%v", err).WithRetryAfter(time.Second)}, nil
				case err != nil:
					return kqcaller.Part{}, err
				}
				return kqcaller.Part{}, connect.NewError(connect.CodeUnavailable, context.Canceled)
			}
			return PartFromWire(s.Msg()), nil
		},
		Close: func() {
			cancel()
			_ = s.Close()
		},
	}
}

// HeadersToWire converts headers to wire messages.
func HeadersToWire(hs []kqanswer.Header) []*kqwire.Header {
	out := make([]*kqwire.Header, 0, len(hs))
	for _, h := range hs {
		out = append(out, &kqwire.Header{Name: h.Name, Values: h.Values})
	}
	return out
}

// HeadersFromWire converts wire messages to headers.
func HeadersFromWire(hs []*kqwire.Header) []kqanswer.Header {
	out := make([]kqanswer.Header, 0, len(hs))
	for _, h := range hs {
		out = append(out, kqanswer.Header{Name: h.Name, Values: h.Values})
	}
	return out
}

// PartToWire converts a piece of an answer to a wire message. The load is sent with pieces that
// have no body bytes or end the answer.
func PartToWire(callID string, p kqanswer.Piece, l kqadmit.Load) *kqwire.CallPart {
	m := &kqwire.CallPart{CallId: callID}
	if (p.Chunk == nil || p.End) && l.Slots > 0 {
		m.Load = LoadToWire(l)
	}
	m.Chunk = p.Chunk
	if p.Head != nil {
		m.Head = &kqwire.AnswerHead{Status: int32(p.Head.Status), Headers: HeadersToWire(p.Head.Headers)}
	}
	switch {
	case p.Failure != nil && p.Failure.Code.NotRun():
		m.Refusal = &kqwire.Refusal{Code: uint32(p.Failure.Code), Reason: p.Failure.Reason, RetryAfter: int64(p.Failure.RetryAfter)}
	case p.Failure != nil:
		m.End = &kqwire.AnswerEnd{Code: uint32(p.Failure.Code), Reason: p.Failure.Reason}
	case p.End:
		m.End = &kqwire.AnswerEnd{Size: p.Size}
	}
	return m
}

// PartFromWire converts a wire message to a part.
func PartFromWire(m *kqwire.CallPart) kqcaller.Part {
	p := kqcaller.Part{CallID: m.CallId}
	if m.Load != nil {
		p.Load, p.HasLoad = LoadFromWire(m.Load), true
	}
	p.Piece.Chunk = m.Chunk
	if m.Head != nil {
		p.Piece.Head = &kqanswer.Head{Status: int(m.Head.Status), Headers: HeadersFromWire(m.Head.Headers)}
	}
	if m.Refusal != nil {
		p.Refusal = &kqresult.Error{Code: kqresult.Code(m.Refusal.Code), Reason: m.Refusal.Reason, RetryAfter: time.Duration(m.Refusal.RetryAfter)}
	}
	switch {
	case m.End != nil && m.End.Code != 0:
		p.Piece.Failure = &kqresult.Error{Code: kqresult.Code(m.End.Code), Reason: m.End.Reason}
	case m.End != nil:
		p.Piece.End, p.Piece.Size = true, m.End.Size
	}
	return p
}

// LoadToWire converts a load to a wire message.
func LoadToWire(l kqadmit.Load) *kqwire.Load {
	return &kqwire.Load{Running: uint32(l.Running), Queued: uint32(l.Queued), Slots: uint32(l.Slots),
		ServiceTime: int64(l.ServiceTime), TailTime: int64(l.TailTime)}
}

// LoadFromWire converts a wire message to a load.
func LoadFromWire(l *kqwire.Load) kqadmit.Load {
	return kqadmit.Load{Running: int(l.GetRunning()), Queued: int(l.GetQueued()), Slots: int(l.GetSlots()),
		ServiceTime: time.Duration(l.GetServiceTime()), TailTime: time.Duration(l.GetTailTime())}
}
