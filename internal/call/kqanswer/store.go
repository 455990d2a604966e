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
	Retention time.Duration
	// KeepBytes is how much of one answer is kept behind its reader.
	WindowBytes int
	// MaxBytes is how many bytes of ended answers are kept in all.
	MaxTotalBytes int
}

// DefaultConfig keeps answers for 30 seconds, 256 KiB of each, 32 MiB in all.
var DefaultConfig = Config{Retention: 30 * time.Second, WindowBytes: 256 << 10, MaxTotalBytes: 32 << 20}

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

	forbidden map[ID]bool
	bans      []ban
}

// ban is an attempt that must not run, with the time from which on.
type ban struct {
	id ID
	at time.Time
}

const (
	// banTime is how long an attempt stays forbidden. A request may lie in the
	// buffers of a cut connection for as long as TCP sends it again, about a
	// quarter of an hour.
	banTime = 20 * time.Minute
	// maxBans bounds the attempts that are forbidden at one time.
	maxBans = 1 << 16
)

// ended is an answer with its end.
type ended struct {
	id    ID
	begun time.Time
	at    time.Time
	bytes int
}

// NewStore returns an empty Store.
func NewStore(c Config) *Store {
	return &Store{config: c, answers: map[ID]*Answer{}, forbidden: map[ID]bool{}}
}

// Begin registers an attempt. It returns false, with the answer there is, if
// the attempt was seen before or was forbidden.
func (s *Store) Begin(now time.Time, id ID) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.answers[id]; ok {
		return a, false
	}
	if s.forbidden[id] {
		return failedAnswer(kqresult.Errorf(kqresult.NotRunUnreachable, "the entry has given the attempt up")), false
	}
	a := newAnswer(s.config.WindowBytes)
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
func (s *Store) FindOrForbid(now time.Time, id ID, age time.Duration) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.answers[id]; ok {
		return a, true
	}
	s.forbid(now, id)
	if !now.Add(-age - findMargin).After(s.dropped) {
		return failedAnswer(kqresult.Errorf(kqresult.OutcomeUnknown, "the answer is no longer kept")), false
	}
	return failedAnswer(kqresult.Errorf(kqresult.NotRunUnreachable, "the call never reached the agent")), false
}

// failedAnswer returns an answer that has ended without one.
func failedAnswer(e *kqresult.Error) *Answer {
	a := newAnswer(0)
	a.ended, a.failure = true, e
	return a
}

// forbid keeps an attempt from running, whatever is dropped to save memory.
func (s *Store) forbid(now time.Time, id ID) {
	if !s.forbidden[id] {
		s.forbidden[id] = true
		s.bans = append(s.bans, ban{id, now})
	}
	for len(s.bans) > 0 && (len(s.bans) > maxBans || now.Sub(s.bans[0].at) > banTime) {
		delete(s.forbidden, s.bans[0].id)
		s.bans = s.bans[1:]
	}
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
		if now.Sub(e.at) < s.config.Retention && s.bytes <= s.config.MaxTotalBytes {
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
