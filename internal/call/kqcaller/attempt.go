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
	once     sync.Once
}

// tell hands news to the exchange unless the call has ended.
func (a *attempt) tell(e event) bool {
	e.attempt = a
	select {
	case a.exchange.events <- e:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// close counts the end of the attempt once.
func (a *attempt) close(o kqroute.Outcome) {
	a.once.Do(func() {
		a.exchange.caller.end(a.exchange.caller.config.Now(), a.pick.Ref, o)
	})
}

// giveUp ends an attempt whose answer is not wanted any more.
func (a *attempt) giveUp() {
	c := a.exchange.caller
	a.once.Do(func() {
		c.end(c.config.Now(), a.pick.Ref, kqroute.OutcomeCancelled)
		c.config.Transport.Cancel(c.config.Now(), a.pick.Ref, a.exchange.request.ID, a.number)
	})
	a.cancel()
}

// run sends the attempt and waits for its head.
func (a *attempt) run() {
	c := a.exchange.caller
	s, err := c.config.Transport.Send(a.ctx, c.config.Now(), a.pick.Ref, AttemptOptions{Number: a.number, NoQueue: a.noQueue}, a.exchange.request)
	if err != nil {
		a.close(kqroute.OutcomeLost)
		a.tell(event{refusal: kqresult.Errorf(kqresult.NotRunUnreachable, "agent of worker %s: %v", a.pick.Worker, err).After(time.Second)})
		return
	}
	a.await(s)
}

// fetchPause is between two questions for the same answer.
const fetchPause = 100 * time.Millisecond

// fetcher asks the agent again for the answer of an attempt.
type fetcher struct {
	attempt *attempt
}

func (f *fetcher) run() {
	a := f.attempt
	c := a.exchange.caller
	s, err := a.fetch(a.ctx, 0, false)
	if err != nil {
		if pause(a.ctx, fetchPause) {
			a.tell(event{lost: true})
		}
		return
	}
	c.config.Events.Emit(c.config.Now(), kqevent.CallAnswerFetched, kqevent.Call(a.exchange.request.ID),
		"attempt %d is asked for again at worker %s", a.number, a.pick.Worker)
	a.await(s)
}

func (a *attempt) fetch(ctx context.Context, offset uint64, headSeen bool) (Stream, error) {
	c := a.exchange.caller
	now := c.config.Now()
	return c.config.Transport.Fetch(ctx, now, FetchRequest{Ref: a.pick.Ref, CallID: a.exchange.request.ID, Attempt: a.number,
		Age: now.Sub(a.sentAt), Offset: offset, HeadSeen: headSeen})
}

// pause waits and reports whether the whole time passed.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// await reads the first part of a stream.
func (a *attempt) await(s Stream) {
	p, err := s.Next()
	if err == nil && !a.exchange.check(p) {
		err = context.Canceled
	}
	switch {
	case err != nil:
		s.Close()
		a.close(kqroute.OutcomeLost)
		a.tell(event{lost: true})
	case p.Refusal != nil:
		s.Close()
		a.close(kqroute.OutcomeRefused)
		a.learn(p)
		a.tell(event{refusal: p.Refusal})
	case p.Piece.Head != nil:
		if !p.Piece.End {
			a.learn(p)
		}
		if !a.tell(event{head: p.Piece.Head, first: p, stream: s}) {
			s.Close()
		}
	default:
		s.Close()
		a.close(kqroute.OutcomeLost)
		a.tell(event{failure: failureOf(p)})
	}
}

// learn takes over the load that came with a part. It is called after the
// attempt was closed, where the part closes it, since the load then leaves the
// attempt out.
func (a *attempt) learn(p Part) {
	if p.HasLoad {
		a.exchange.caller.learn(a.pick.Ref, p.Load)
	}
}

func failureOf(p Part) *kqresult.Error {
	if p.Piece.Failure != nil {
		return p.Piece.Failure
	}
	return kqresult.Errorf(kqresult.OutcomeUnknown, "the agent sent a part out of order")
}

// Answer is a whole answer whose head has come.
type Answer struct {
	// Head is the status and the headers.
	Head kqanswer.Head
	// Attempt is the number of the attempt that answered.
	Attempt uint32

	exchange *exchange
	attempt  *attempt
	stream   Stream
	pending  *Part
	offset   uint64
	fetches  int
}

// Next returns the next body bytes, or nil after the last one. Where the
// connection dies it fetches the rest from the agent.
func (a *Answer) Next() ([]byte, *kqresult.Error) {
	for {
		p, err := a.part()
		switch {
		case err != nil || !a.exchange.check(p):
			if e := a.refetch(); e != nil {
				return nil, e
			}
		case len(p.Piece.Chunk) > 0:
			a.offset += uint64(len(p.Piece.Chunk))
			b := p.Piece.Chunk
			if p.Piece.Chunk = nil; p.Piece.End || p.Piece.Failure != nil {
				a.pending = &p
			}
			return b, nil
		case p.Piece.End:
			err := a.finish(p.Piece.Size)
			a.attempt.learn(p)
			return nil, err
		case p.Piece.Head != nil && p.Piece.Failure == nil:
			// The head is known already.
		default:
			a.attempt.close(kqroute.OutcomeLost)
			return nil, kqresult.Errorf(kqresult.AnswerIncomplete, "%s", failureOf(p).Reason)
		}
	}
}

// part returns what came with the head or with the last bytes, or waits for
// the next part.
func (a *Answer) part() (Part, error) {
	if p := a.pending; p != nil {
		a.pending = nil
		return *p, nil
	}
	return a.stream.Next()
}

func (a *Answer) finish(size uint64) *kqresult.Error {
	if size != a.offset {
		a.attempt.close(kqroute.OutcomeLost)
		return kqresult.Errorf(kqresult.AnswerIncomplete, "%d of %d bytes came", a.offset, size)
	}
	o := kqroute.OutcomeAnswered
	if a.Head.Status >= http.StatusInternalServerError {
		o = kqroute.OutcomeServerError
	}
	a.attempt.close(o)
	return nil
}

func (a *Answer) refetch() *kqresult.Error {
	a.stream.Close()
	for a.fetches < kqretry.MaxFetches && a.exchange.ctx.Err() == nil {
		a.fetches++
		s, err := a.attempt.fetch(a.attempt.ctx, a.offset, true)
		if err == nil {
			a.stream = s
			return nil
		}
		pause(a.exchange.ctx, fetchPause)
	}
	a.attempt.close(kqroute.OutcomeLost)
	a.stream = Stream{Next: func() (Part, error) { return Part{}, context.Canceled }, Close: func() {}}
	return kqresult.Errorf(kqresult.AnswerIncomplete, "the connection died after %d bytes", a.offset)
}

// Close gives up what is left of the answer.
func (a *Answer) Close() {
	a.stream.Close()
	a.attempt.giveUp()
	a.exchange.cancel()
}
