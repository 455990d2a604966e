// Package kqfault provides the faults that can be switched on in the stand-ins for the
// platform's systems, and a TCP relay that causes network faults.
package kqfault

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// State holds the faults that are switched on.
type State struct {
	// Down makes every request fail with ErrDown.
	Down bool
	// Delay is how long each request is delayed before it takes effect.
	Delay time.Duration
	// LoseAnswers is the share of writes, from 0 to 1, whose answer is lost after they took
	// effect.
	LoseAnswers float64
	// FailTasks is the share of started task attempts, from 0 to 1, that end in failure.
	FailTasks float64
	// Silent leaves every request without effect and without an answer.
	Silent bool
}

// Switches holds the faults of one stand-in. In the zero value all are off, and faults that
// occur with a probability have no effect: they need the random generator that New sets.
type Switches struct {
	mu    sync.Mutex
	state State
	rng   *rand.Rand
}

// New returns Switches with all faults off and a random generator with the given seed.
func New(seed uint64) *Switches {
	return &Switches{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the faults that are on.
func (s *Switches) Set(st State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = st
}

// State returns the faults that are on.
func (s *Switches) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Chance returns true with probability p.
func (s *Switches) Chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p > 0 && s.rng != nil && s.rng.Float64() < p
}

// ErrDown is the error of a stand-in that is switched to Down. The request had no effect.
var ErrDown = eris.New("stand-in: down")

// ErrAnswerLost is the error of a request whose answer is lost. The request may have taken
// effect.
var ErrAnswerLost = eris.New("stand-in: answer lost")

// BeforeRequest applies the faults that precede the effect of a request: it delays or refuses
// the request, or waits until ctx ends.
func (s *Switches) BeforeRequest(ctx context.Context) error {
	st := s.State()
	if st.Down {
		return ErrDown
	}
	if st.Silent {
		<-ctx.Done()
		return ErrAnswerLost
	}
	if st.Delay > 0 {
		select {
		case <-ctx.Done():
			return ErrAnswerLost
		case <-time.After(st.Delay):
		}
	}
	return nil
}

// AfterWrite is called after a write took effect. It returns ErrAnswerLost if the answer is to
// be lost.
func (s *Switches) AfterWrite() error {
	if s.Chance(s.State().LoseAnswers) {
		return ErrAnswerLost
	}
	return nil
}

// ConnectError converts a fault to a Connect error: ErrDown to Unavailable, any other error
// to Aborted.
func ConnectError(err error) error {
	switch {
	case err == nil:
		return nil
	case eris.Is(err, ErrDown):
		return connect.NewError(connect.CodeUnavailable, err)
	default:
		return connect.NewError(connect.CodeAborted, err)
	}
}

// SetFaults serves the request to replace the faults that are on.
func (s *Switches) SetFaults(_ context.Context, q *connect.Request[kqwire.Faults]) (*connect.Response[kqwire.Faults], error) {
	m := q.Msg
	s.Set(State{Down: m.Down, Delay: time.Duration(m.Delay), LoseAnswers: m.LoseAnswers, FailTasks: m.FailTasks, Silent: m.Silent})
	return connect.NewResponse(m), nil
}
