// Package kqcaller carries one call from an entry to an endpoint and its whole
// answer back, over attempts, hedges and fetches.
package kqcaller

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqadmit"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// Request is a call from a caller.
type Request struct {
	// ID names the call.
	ID string
	// Class is the class of work.
	Class string
	// Idempotent is true if the call may run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Target is the class's latency target; 0 means none.
	LatencyTarget time.Duration
	// Method is the HTTP method.
	Method string
	// Path is the path with its query.
	Path string
	// Headers go to the endpoint.
	Headers []kqanswer.Header
	// Body goes to the endpoint.
	Body []byte
	// First is an endpoint reserved for the first attempt; nil chooses one.
	Reserved *kqroute.Pick
	// ConfigSequence is the configuration that the entry has in force.
	ConfigSequence uint64
}

// Part is a piece of an answer as an agent sends it.
type Part struct {
	// CallID is the call that the part belongs to.
	CallID string
	// Piece is a part of the answer; its Failure says that there is none.
	Piece kqanswer.Piece
	// Refusal says that the attempt did not run.
	Refusal *kqresult.Error
	// Load is the state of the endpoint, if HasLoad.
	Load kqadmit.Load
	// HasLoad is true if Load was sent.
	HasLoad bool
}

// Stream is the parts of one attempt or fetch.
type Stream struct {
	// Next waits for the next part; an error means that the connection died.
	Next func() (Part, error)
	// Close gives the stream up.
	Close func()
}

// Fetch asks again for the answer of an attempt.
type FetchRequest struct {
	// Ref is the endpoint that got the attempt.
	Ref kqroute.Ref
	// CallID names the call.
	CallID string
	// Attempt is the number of the attempt.
	Attempt uint32
	// Age is how long ago the attempt was sent.
	Age time.Duration
	// Offset is how many body bytes are at hand.
	Offset uint64
	// HeadSeen is true if the head is at hand.
	HeadSeen bool
}

// Try is one attempt as it is sent.
type AttemptOptions struct {
	// Attempt is the number of the attempt.
	Number uint32
	// NoQueue is true if the agent is to refuse rather than to queue the call.
	NoQueue bool
}

// Transport is how a Caller reaches agents.
type Transport struct {
	// Send sends an attempt. An error means that the attempt cannot have
	// reached the agent.
	Send func(ctx context.Context, now time.Time, ref kqroute.Ref, t AttemptOptions, r Request) (Stream, error)
	// Fetch asks for an answer again.
	Fetch func(ctx context.Context, now time.Time, f FetchRequest) (Stream, error)
	// Cancel tells the agent that the caller has left.
	Cancel func(now time.Time, ref kqroute.Ref, callID string, attempt uint32)
}
