// Package kqfault holds the faults that the stand-ins of the platform can be
// told to show.
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

// State is which faults are on.
type State struct {
	// Down refuses every request.
	Down bool
	// Delay holds each request this long before it takes effect.
	Delay time.Duration
	// LoseAnswers is the share of writes whose answer is lost after they took
	// effect, from 0 to 1.
	LoseAnswers float64
	// FailTasks is the share of task starts that end in failure, from 0 to 1.
	FailTasks float64
	// Silent leaves every request without an answer.
	Silent bool
}

// Switches is the faults of one stand-in; its zero value shows none.
type Switches struct {
	mu    sync.Mutex
	state State
	rng   *rand.Rand
}

// New returns switches whose chances are drawn from seed.
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

// ErrDown is what a stand-in that is down answers.
var ErrDown = eris.New("stand-in: down")

// ErrLost is what the caller of a lost answer sees.
var ErrAnswerLost = eris.New("stand-in: answer lost")

// Before holds or refuses a request before it takes effect.
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

// After loses the answer of a write that took effect.
func (s *Switches) AfterWrite() error {
	if s.Chance(s.State().LoseAnswers) {
		return ErrAnswerLost
	}
	return nil
}

// Connect converts a fault to the error that a service answers.
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

// SetFaults serves the fault service.
func (s *Switches) SetFaults(_ context.Context, q *connect.Request[kqwire.Faults]) (*connect.Response[kqwire.Faults], error) {
	m := q.Msg
	s.Set(State{Down: m.Down, Delay: time.Duration(m.Delay), LoseAnswers: m.LoseAnswers, FailTasks: m.FailTasks, Silent: m.Silent})
	return connect.NewResponse(m), nil
}
