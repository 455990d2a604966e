package kqanswer

import (
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// ID identifies one attempt of a call.
type ID struct {
	// Call is the call's identifier.
	Call string
	// Attempt is the number of the attempt, from 1.
	Attempt uint32
}

// Config configures a Store.
type Config struct {
	// Retention is the time for which an ended answer is kept.
	Retention time.Duration
	// WindowBytes is the number of body bytes of one answer kept behind its reader. A producer that
	// is as far ahead of the reader waits.
	WindowBytes int
	// MaxTotalBytes is the maximum size of all ended answers.
	MaxTotalBytes int
}

// DefaultConfig keeps answers for 30 seconds, with a window of 256 KiB each and 32 MiB in total.
var DefaultConfig = Config{Retention: 30 * time.Second, WindowBytes: 256 << 10, MaxTotalBytes: 32 << 20}

// answerOverhead is the estimated memory of an answer without its body, in bytes.
const answerOverhead = 512

// Store holds the answers of one agent. It is safe for concurrent use.
type Store struct {
	config Config

	mu      sync.Mutex
	answers map[ID]*Answer
	// ended lists the ended answers in answers, the oldest first.
	ended      []endedAnswer
	endedBytes int
	// lastDroppedBegin is the latest time at which a dropped answer was begun.
	lastDroppedBegin time.Time

	forbidden map[ID]bool
	// forbiddenOrder lists the attempts in forbidden, the oldest first.
	forbiddenOrder []forbiddenAttempt
}

// forbiddenAttempt is an attempt that must not run, with the time at which it was forbidden.
type forbiddenAttempt struct {
	id          ID
	forbiddenAt time.Time
}

const (
	// forbiddenTTL is how long an attempt stays forbidden. It exceeds the time for which TCP
	// retransmits, about 15 minutes: a request in the buffers of a broken connection can arrive
	// that late.
	forbiddenTTL = 20 * time.Minute
	// maxForbidden is the maximum number of forbidden attempts; the oldest are dropped first.
	maxForbidden = 1 << 16
)

// endedAnswer describes an ended answer that is kept. bytes includes answerOverhead.
type endedAnswer struct {
	id      ID
	begunAt time.Time
	endedAt time.Time
	bytes   int
}

// NewStore returns an empty Store.
func NewStore(c Config) *Store {
	return &Store{config: c, answers: map[ID]*Answer{}, forbidden: map[ID]bool{}}
}

// Begin registers an attempt and returns its new answer and true. If the attempt was registered
// before or is forbidden, it returns the existing or a failed answer and false.
func (s *Store) Begin(now time.Time, id ID) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.answers[id]; ok {
		return a, false
	}
	if s.forbidden[id] {
		return failedAnswer(kqresult.Errorf(kqresult.NotRunUnreachable, "the entry has abandoned the attempt")), false
	}
	a := newAnswer(s.config.WindowBytes)
	a.begunAt = now
	s.answers[id] = a
	return a, true
}

// requestDelayMargin allows for the time that a fetch request takes to arrive.
const requestDelayMargin = 10 * time.Second

// FindOrForbid returns the answer of an attempt that was sent at most age ago. An unknown attempt is
// forbidden from then on, so that a request still in transit cannot run later. It fails with
// outcome_unknown if the attempt could have run and its answer been dropped since, and with
// not_run_unreachable otherwise.
func (s *Store) FindOrForbid(now time.Time, id ID, age time.Duration) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.answers[id]; ok {
		return a, true
	}
	s.forbid(now, id)
	if !now.Add(-age - requestDelayMargin).After(s.lastDroppedBegin) {
		return failedAnswer(kqresult.Errorf(kqresult.OutcomeUnknown, "the answer is no longer kept")), false
	}
	return failedAnswer(kqresult.Errorf(kqresult.NotRunUnreachable, "the call never reached the agent")), false
}

// failedAnswer returns an answer that has ended with the failure e.
func failedAnswer(e *kqresult.Error) *Answer {
	a := newAnswer(0)
	a.ended, a.failure = true, e
	return a
}

// forbid prevents an attempt from running for forbiddenTTL, even if answers are dropped to save
// memory meanwhile. The caller must hold mu.
func (s *Store) forbid(now time.Time, id ID) {
	if !s.forbidden[id] {
		s.forbidden[id] = true
		s.forbiddenOrder = append(s.forbiddenOrder, forbiddenAttempt{id, now})
	}
	for len(s.forbiddenOrder) > 0 && (len(s.forbiddenOrder) > maxForbidden || now.Sub(s.forbiddenOrder[0].forbiddenAt) > forbiddenTTL) {
		delete(s.forbidden, s.forbiddenOrder[0].id)
		s.forbiddenOrder = s.forbiddenOrder[1:]
	}
}

// End closes an answer and keeps it for the retention time.
func (s *Store) End(now time.Time, id ID, failure *kqresult.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.answers[id]
	if !ok {
		return
	}
	a.close(failure)
	a.mu.Lock()
	bodyBytes := len(a.buffer)
	a.mu.Unlock()
	s.retain(now, id, a, bodyBytes)
}

// retain adds an ended answer to those that expire. The caller must hold mu.
func (s *Store) retain(now time.Time, id ID, a *Answer, bodyBytes int) {
	s.ended = append(s.ended, endedAnswer{id: id, begunAt: a.begunAt, endedAt: now, bytes: bodyBytes + answerOverhead})
	s.endedBytes += bodyBytes + answerOverhead
	s.expire(now)
}

// expire drops the oldest ended answers while they exceed the retention time or the total size. The
// caller must hold mu.
func (s *Store) expire(now time.Time) {
	i := 0
	for ; i < len(s.ended); i++ {
		e := s.ended[i]
		if now.Sub(e.endedAt) < s.config.Retention && s.endedBytes <= s.config.MaxTotalBytes {
			break
		}
		s.endedBytes -= e.bytes
		delete(s.answers, e.id)
		if e.begunAt.After(s.lastDroppedBegin) {
			s.lastDroppedBegin = e.begunAt
		}
	}
	s.ended = s.ended[i:]
}

// Expire drops the answers that have exceeded their retention time.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
}

// Size returns the number of answers held and the total bytes of the ended ones.
func (s *Store) Size() (answers, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers), s.endedBytes
}
