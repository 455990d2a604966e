package kqcaller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqretry"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// attempt is one attempt of a call at one endpoint.
type attempt struct {
	exchange *exchange
	number   uint32
	pick     kqroute.Pick
	sentAt   time.Time
	noQueue  bool
	ctx      context.Context
	cancel   context.CancelFunc
	endOnce  sync.Once
}

// notify sends an event to the exchange. It returns false if the attempt was cancelled first.
func (a *attempt) notify(e attemptEvent) bool {
	e.attempt = a
	select {
	case a.exchange.events <- e:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// recordOutcome reports the end of the attempt to the router; only the first call counts.
func (a *attempt) recordOutcome(o kqroute.Outcome) {
	a.endOnce.Do(func() {
		a.exchange.router.end(a.exchange.router.config.Now(), a.pick.Ref, o)
	})
}

// abort cancels an attempt whose answer is no longer needed. If the attempt has not ended yet,
// its agent is notified.
func (a *attempt) abort() {
	router := a.exchange.router
	a.endOnce.Do(func() {
		router.end(router.config.Now(), a.pick.Ref, kqroute.OutcomeCancelled)
		router.config.Transport.Cancel(router.config.Now(), a.pick.Ref, a.exchange.request.ID, a.number)
	})
	a.cancel()
}

// run sends the attempt and waits for the head of its answer.
func (a *attempt) run() {
	router := a.exchange.router
	s, err := router.config.Transport.Send(a.ctx, router.config.Now(), a.pick.Ref, AttemptOptions{Number: a.number, NoQueue: a.noQueue}, a.exchange.request)
	if err != nil {
		a.recordOutcome(kqroute.OutcomeLost)
		a.notify(attemptEvent{refusal: kqresult.Errorf(kqresult.NotRunUnreachable, "agent of worker %s cannot be reached: %v", a.pick.Worker, err).WithRetryAfter(time.Second)})
		return
	}
	a.readFirstPart(s)
}

// fetchRetryDelay is the time between two fetches of the same answer.
const fetchRetryDelay = 100 * time.Millisecond

// fetcher requests the answer of an attempt again after the connection was lost.
type fetcher struct {
	attempt *attempt
}

// run opens a new stream of the answer and reads its first part. If the agent cannot be
// reached, it reports a lost connection after fetchRetryDelay.
func (f *fetcher) run() {
	a := f.attempt
	router := a.exchange.router
	s, err := a.fetch(a.ctx, 0, false)
	if err != nil {
		if sleep(a.ctx, fetchRetryDelay) {
			a.notify(attemptEvent{connectionLost: true})
		}
		return
	}
	router.config.Events.Emit(router.config.Now(), kqevent.CallAnswerFetched, kqevent.Call(a.exchange.request.ID),
		"fetching the answer of attempt %d again from worker %s", a.number, a.pick.Worker)
	a.readFirstPart(s)
}

// fetch requests the answer from the agent, from the body offset on.
func (a *attempt) fetch(ctx context.Context, offset uint64, headSeen bool) (Stream, error) {
	router := a.exchange.router
	now := router.config.Now()
	return router.config.Transport.Fetch(ctx, now, FetchRequest{Ref: a.pick.Ref, CallID: a.exchange.request.ID, Attempt: a.number,
		Age: now.Sub(a.sentAt), Offset: offset, HeadSeen: headSeen})
}

// sleep waits for d and returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// readFirstPart reads the first part of a stream and reports it to the exchange.
func (a *attempt) readFirstPart(s Stream) {
	p, err := s.Next()
	if err == nil && !a.exchange.checkCallID(p) {
		err = context.Canceled
	}
	switch {
	case err != nil:
		s.Close()
		a.recordOutcome(kqroute.OutcomeLost)
		a.notify(attemptEvent{connectionLost: true})
	case p.Refusal != nil:
		s.Close()
		a.recordOutcome(kqroute.OutcomeRefused)
		a.updateLoad(p)
		a.notify(attemptEvent{refusal: p.Refusal})
	case p.Piece.Head != nil:
		if !p.Piece.End {
			a.updateLoad(p)
		}
		if !a.notify(attemptEvent{head: p.Piece.Head, firstPart: p, stream: s}) {
			s.Close()
		}
	default:
		s.Close()
		a.recordOutcome(kqroute.OutcomeLost)
		a.notify(attemptEvent{failure: failureOf(p)})
	}
}

// updateLoad applies the load report that came with a part. If the part ends the attempt, the
// outcome must be recorded first, because the reported load then excludes the attempt.
func (a *attempt) updateLoad(p Part) {
	if p.HasLoad {
		a.exchange.router.updateLoad(a.pick.Ref, p.Load)
	}
}

// failureOf returns the failure that a part carries. A part without one violates the protocol:
// the first part of an answer holds a refusal, a head or a failure.
func failureOf(p Part) *kqresult.Error {
	if p.Piece.Failure != nil {
		return p.Piece.Failure
	}
	return kqresult.Errorf(kqresult.OutcomeUnknown, "the agent sent a part of the answer out of order")
}

// Answer is the answer of a call whose head has arrived. Next reads the body.
type Answer struct {
	// Head is the status and the headers.
	Head kqanswer.Head
	// Attempt is the number of the attempt that answered.
	Attempt uint32

	exchange *exchange
	attempt  *attempt
	stream   Stream
	buffered *Part
	offset   uint64
	fetches  int
}

// Next returns the next body bytes, or nil after the last one. If the connection is lost, it
// fetches the rest from the agent.
func (a *Answer) Next() ([]byte, *kqresult.Error) {
	for {
		p, err := a.nextPart()
		switch {
		case err != nil || !a.exchange.checkCallID(p):
			if e := a.refetch(); e != nil {
				return nil, e
			}
		case len(p.Piece.Chunk) > 0:
			a.offset += uint64(len(p.Piece.Chunk))
			b := p.Piece.Chunk
			if p.Piece.Chunk = nil; p.Piece.End || p.Piece.Failure != nil {
				a.buffered = &p
			}
			return b, nil
		case p.Piece.End:
			err := a.finish(p.Piece.Size)
			a.attempt.updateLoad(p)
			return nil, err
		case p.Piece.Head != nil && p.Piece.Failure == nil:
			// The head is in a.Head already.
		default:
			a.attempt.recordOutcome(kqroute.OutcomeLost)
			return nil, kqresult.Errorf(kqresult.AnswerIncomplete, "%s", failureOf(p).Reason)
		}
	}
}

// nextPart returns the buffered part, if any, and otherwise waits for the next one. A buffered
// part is the first part, which holds the head, or an end that came with the last body bytes.
func (a *Answer) nextPart() (Part, error) {
	if p := a.buffered; p != nil {
		a.buffered = nil
		return *p, nil
	}
	return a.stream.Next()
}

// finish records the outcome of the attempt. It returns an error unless the body has size bytes.
func (a *Answer) finish(size uint64) *kqresult.Error {
	if size != a.offset {
		a.attempt.recordOutcome(kqroute.OutcomeLost)
		return kqresult.Errorf(kqresult.AnswerIncomplete, "received %d of %d bytes", a.offset, size)
	}
	o := kqroute.OutcomeAnswered
	if a.Head.Status >= http.StatusInternalServerError {
		o = kqroute.OutcomeServerError
	}
	a.attempt.recordOutcome(o)
	return nil
}

// refetch opens a new stream for the rest of the body, with at most kqretry.MaxFetches fetches
// per answer.
func (a *Answer) refetch() *kqresult.Error {
	a.stream.Close()
	for a.fetches < kqretry.MaxFetches && a.exchange.ctx.Err() == nil {
		a.fetches++
		s, err := a.attempt.fetch(a.attempt.ctx, a.offset, true)
		if err == nil {
			a.stream = s
			return nil
		}
		sleep(a.exchange.ctx, fetchRetryDelay)
	}
	a.attempt.recordOutcome(kqroute.OutcomeLost)
	a.stream = Stream{Next: func() (Part, error) { return Part{}, context.Canceled }, Close: func() {}}
	return kqresult.Errorf(kqresult.AnswerIncomplete, "the connection was lost after %d bytes", a.offset)
}

// Close releases the stream and cancels the attempt if the answer is not complete.
func (a *Answer) Close() {
	a.stream.Close()
	a.attempt.abort()
	a.exchange.cancel()
}
