// Package kqcaller routes calls from an entry to endpoints and returns their answers. A call may
// take several attempts (retries and hedges), and an answer several fetches after lost connections.
package kqcaller

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqadmit"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// Request is a call as received from a caller.
type Request struct {
	// ID is the identifier of the call.
	ID string
	// Class is the name of the call's class.
	Class string
	// Idempotent is true if the call may run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// LatencyTarget is the latency target of the class; 0 means none.
	LatencyTarget time.Duration
	// Method is the HTTP method.
	Method string
	// Path is the path with the query.
	Path string
	// Headers are sent to the endpoint.
	Headers []kqanswer.Header
	// Body is sent to the endpoint.
	Body []byte
	// Reserved is the endpoint reserved for the first attempt; nil lets the Router choose.
	Reserved *kqroute.Pick
	// ConfigSequence is the sequence number of the entry's present configuration.
	ConfigSequence uint64
}

// Part is one message of an answer stream, as sent by an agent.
type Part struct {
	// CallID is the identifier of the call that the part belongs to.
	CallID string
	// Piece holds head, body bytes and end of the answer; its Failure is set if the answer failed.
	Piece kqanswer.Piece
	// Refusal is set if the attempt did not run.
	Refusal *kqresult.Error
	// Load is the endpoint's load; valid if HasLoad is true.
	Load kqadmit.Load
	// HasLoad is true if Load was sent.
	HasLoad bool
}

// Stream is the sequence of parts that answers one attempt or fetch.
type Stream struct {
	// Next waits for the next part; an error means that the connection was lost.
	Next func() (Part, error)
	// Close cancels the stream.
	Close func()
}

// FetchRequest requests the answer of an attempt again.
type FetchRequest struct {
	// Ref is the endpoint that the attempt was sent to.
	Ref kqroute.Ref
	// CallID is the identifier of the call.
	CallID string
	// Attempt is the number of the attempt, from 1.
	Attempt uint32
	// Age is the time since the attempt was sent.
	Age time.Duration
	// Offset is the number of body bytes already received.
	Offset uint64
	// HeadSeen is true if the head was already received.
	HeadSeen bool
}

// AttemptOptions holds what differs between the attempts of one call.
type AttemptOptions struct {
	// Number is the number of the attempt, from 1.
	Number uint32
	// NoQueue makes the agent refuse the call instead of queueing it.
	NoQueue bool
}

// Transport is the set of operations with which a Router reaches agents.
type Transport struct {
	// Send sends an attempt. An error guarantees that the attempt did not reach the agent.
	Send func(ctx context.Context, now time.Time, ref kqroute.Ref, options AttemptOptions, r Request) (Stream, error)
	// Fetch requests an answer again.
	Fetch func(ctx context.Context, now time.Time, f FetchRequest) (Stream, error)
	// Cancel notifies the agent that the answer of an attempt is no longer needed.
	Cancel func(now time.Time, ref kqroute.Ref, callID string, attempt uint32)
}
