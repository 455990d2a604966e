package kqagent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/uptrace/bunrouter"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqadmit"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqremote"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqdispatch"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqevents"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// service implements the agent service.
type service struct {
	agent *Agent
}

// Call runs an attempt of a call.
func (s *service) Call(ctx context.Context, q *connect.Request[kqwire.CallRequest], out *connect.ServerStream[kqwire.CallPart]) error {
	m := q.Msg
	return s.agent.dispatcher.Call(ctx, kqdispatch.Call{ID: kqanswer.ID{Call: m.CallId, Attempt: m.Attempt}, Boot: m.AgentBoot,
		Class: m.Class, Endpoint: m.EndpointId, Idempotent: m.Idempotent, NoQueue: m.NoQueue, DeadlineLeft: time.Duration(m.DeadlineLeft),
		Method: m.Method, Path: m.Path, Headers: kqremote.HeadersFromWire(m.Headers), Body: m.Body}, newEmit(m.CallId, out))
}

// Fetch sends the answer of an earlier attempt, from an offset.
func (s *service) Fetch(ctx context.Context, q *connect.Request[kqwire.FetchRequest], out *connect.ServerStream[kqwire.CallPart]) error {
	m := q.Msg
	return s.agent.dispatcher.Fetch(ctx, kqanswer.ID{Call: m.CallId, Attempt: m.Attempt}, m.AgentBoot, time.Duration(m.Age),
		m.Offset, m.HeadSeen, newEmit(m.CallId, out))
}

// newEmit returns a function that sends the parts of a call's answer to a stream.
func newEmit(callID string, out *connect.ServerStream[kqwire.CallPart]) kqdispatch.Emit {
	return func(p kqanswer.Piece, l kqadmit.Load) error {
		return out.Send(kqremote.PartToWire(callID, p, l))
	}
}

// Cancel stops an attempt whose caller has disconnected.
func (s *service) Cancel(_ context.Context, q *connect.Request[kqwire.CancelRequest]) (*connect.Response[kqwire.CancelReply], error) {
	s.agent.dispatcher.Cancel(kqanswer.ID{Call: q.Msg.CallId, Attempt: q.Msg.Attempt})
	return connect.NewResponse(&kqwire.CancelReply{}), nil
}

// Ping returns the identifier of the agent process.
func (s *service) Ping(context.Context, *connect.Request[kqwire.PingRequest]) (*connect.Response[kqwire.PingReply], error) {
	return connect.NewResponse(&kqwire.PingReply{AgentBoot: s.agent.boot}), nil
}

// Heartbeat handles the heartbeat of a worker of the cell that this process owns.
func (s *service) Heartbeat(ctx context.Context, q *connect.Request[kqwire.HeartbeatRequest]) (*connect.Response[kqwire.HeartbeatReply], error) {
	h, err := heartbeatFromWire(q.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	r, refused := s.agent.runner.Heartbeat(ctx, h)
	if refused != nil {
		return connect.NewResponse(&kqwire.HeartbeatReply{Code: uint32(refused.Code)}), nil
	}
	return connect.NewResponse(replyToWire(r)), nil
}

// Explain returns the events about a subject.
func (s *service) Explain(_ context.Context, q *connect.Request[kqwire.ExplainRequest]) (*connect.Response[kqwire.ExplainReply], error) {
	es := s.agent.config.Events.BySubject(kqevent.Subject{Kind: q.Msg.Kind, ID: q.Msg.Id})
	return connect.NewResponse(&kqwire.ExplainReply{Events: kqevents.ToWire(es)}), nil
}

// endpointBody is the body of PUT /v1/endpoints/:id.
type endpointBody struct {
	Classes     []string       `json:"classes"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Leaving     bool           `json:"leaving"`
}

// maxEndpointBody is the largest size of an announcement, in bytes.
const maxEndpointBody = 16 << 10

// putEndpoint handles the announcement of an endpoint on this host.
func (a *Agent) putEndpoint(w http.ResponseWriter, q bunrouter.Request) error {
	var b endpointBody
	d := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxEndpointBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return reject(w, kqresult.Errorf(kqresult.BadRequest, "the body is not a valid endpoint announcement: %v", err))
	}
	err := a.dispatcher.Announce(a.config.Now(), kqdispatch.EndpointAnnouncement{ID: q.Param("id"), Classes: b.Classes,
		Address: b.Address, Slots: b.Slots, Connections: b.Connections, Leaving: b.Leaving})
	if err != nil {
		return reject(w, err)
	}
	if b.Leaving {
		a.announcer.AnnounceNow()
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// deleteEndpoint handles the request of an endpoint to receive no new calls.
func (a *Agent) deleteEndpoint(w http.ResponseWriter, q bunrouter.Request) error {
	if !a.dispatcher.MarkLeaving(a.config.Now(), q.Param("id")) {
		return reject(w, kqresult.Errorf(kqresult.NotFound, "endpoint %q is not announced here", q.Param("id")))
	}
	a.announcer.AnnounceNow()
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func reject(w http.ResponseWriter, err error) error {
	e := &kqresult.Error{Code: kqresult.Internal, Reason: err.Error()}
	_ = eris.As(err, &e)
	return kqresult.WriteHTTP(w, e)
}
