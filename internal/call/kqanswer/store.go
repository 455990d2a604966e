package kqanswer

import (
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// ID names one attempt of a call.
type ID struct {
	// Call is the call's identifier.
	Call string
	// Attempt counts from 1.
	Attempt uint32
}

// Config sets up a Store.
type Config struct {
	// KeepFor is how long an ended answer is kept.
	KeepFor time.Duration
	// KeepBytes is how much of one answer is kept behind its reader.
	KeepBytes int
	// MaxBytes is how many bytes of ended answers are kept in all.
	MaxBytes int
}

// DefaultConfig keeps answers for 30 seconds, 256 KiB of each, 32 MiB in all.
var DefaultConfig = Config{KeepFor: 30 * time.Second, KeepBytes: 256 << 10, MaxBytes: 32 << 20}

// entryOverhead is the memory, in bytes, of an answer apart from its body.
const entryOverhead = 512

// Store holds the answers of one agent.
type Store struct {
	config Config

	mu      sync.Mutex
	answers map[ID]*Answer
	order   []ended
	bytes   int
	dropped time.Time
}

// ended is an answer, or an identifier that must not run, with its end.
type ended struct {
	id    ID
	begun time.Time
	at    time.Time
	bytes int
}

// NewStore returns an empty Store.
func NewStore(c Config) *Store {
	return &Store{config: c, answers: map[ID]*Answer{}}
}

// Begin registers an attempt. It returns false, with the answer there is, if
// the attempt was seen before or was forbidden.
func (s *Store) Begin(now time.Time, id ID) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.answers[id]; ok {
		return a, false
	}
	a := newAnswer(s.config.KeepBytes)
	a.begun = now
	s.answers[id] = a
	return a, true
}

// findMargin covers the time that a question spends on its way.
const findMargin = 10 * time.Second

// Find returns the answer of an attempt that was sent at most age ago. An
// attempt never seen is forbidden from then on, so that a request still on its
// way cannot run later; its failure is outcome_unknown where the attempt could
// have been seen and dropped since.
func (s *Store) Find(now time.Time, id ID, age time.Duration) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.answers[id]; ok {
		return a, true
	}
	a := newAnswer(0)
	a.begun, a.ended = now, true
	a.failure = kqresult.Errorf(kqresult.NotRunUnreachable, "the call never reached the agent")
	if !now.Add(-age - findMargin).After(s.dropped) {
		a.failure = kqresult.Errorf(kqresult.OutcomeUnknown, "the answer is no longer kept")
	}
	s.answers[id] = a
	s.retire(now, id, a, 0)
	return a, false
}

// End closes an answer and keeps it for its time.
func (s *Store) End(now time.Time, id ID, failure *kqresult.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.answers[id]
	if !ok {
		return
	}
	a.close(failure)
	a.mu.Lock()
	n := len(a.buffer)
	a.mu.Unlock()
	s.retire(now, id, a, n)
}

func (s *Store) retire(now time.Time, id ID, a *Answer, n int) {
	s.order = append(s.order, ended{id: id, begun: a.begun, at: now, bytes: n + entryOverhead})
	s.bytes += n + entryOverhead
	s.expire(now)
}

// expire drops ended answers that are too old or too many.
func (s *Store) expire(now time.Time) {
	i := 0
	for ; i < len(s.order); i++ {
		e := s.order[i]
		if now.Sub(e.at) < s.config.KeepFor && s.bytes <= s.config.MaxBytes {
			break
		}
		s.bytes -= e.bytes
		delete(s.answers, e.id)
		if e.begun.After(s.dropped) {
			s.dropped = e.begun
		}
	}
	s.order = s.order[i:]
}

// Expire drops what is too old.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
}

// Size returns how many answers are held and the bytes of the ended ones.
func (s *Store) Size() (answers, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers), s.bytes
}
