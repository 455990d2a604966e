package kqrows

import (
	"sync"
	"time"
)

const (
	// slowAnswer is from which time of an answer on a store counts as slow: 15 times
	// the usual 4 ms.
	slowAnswer = 60 * time.Millisecond
	// slowWrite is the same for a write, which may wait for those before it.
	slowWrite = 150 * time.Millisecond
	// mostAnswer bounds what counts as the time of an answer: a store is at most 100
	// times as slow as usual, so that a call that took longer has waited for others.
	mostAnswer = 500 * time.Millisecond
	// limitAnswers is how many answers a call may take beyond its usual limit: its own
	// one over several partitions takes two, and a write may follow another's.
	limitAnswers = 3
	// lostWrite is after how long at least a write without an answer is taken for lost
	// if later ones were answered, lostAnswers the same in answers of a write: a write
	// usually takes 4 ms, and with more than a third of the answers lost an attempt
	// that waits for a second leaves most of the writes that may be in flight waiting.
	lostWrite   = 150 * time.Millisecond
	lostAnswers = 4
	// mostLimit bounds the limits of calls that usually end sooner.
	mostLimit = 3 * time.Second
)

// Kind is a kind of call.
type CallKind int

// Kinds of calls.
const (
	// KindRead is a call that does not wait for others.
	KindRead CallKind = iota
	// KindWrite is a transaction, which waits for those before it.
	KindWrite
	// KindFeed is a feed, which waits for changes.
	KindFeed
	kinds
)

// flight is a call without an answer yet.
type flight struct {
	kind CallKind
	sent time.Time
}

// Speed is how fast a store answers a process. It is told of each call, and lengthens
// the process's time limits by what the store's answers take. Silence lengthens
// nothing, so that an outage is noticed as usual.
type LatencyTracker struct {
	mu       sync.Mutex
	number   uint64
	flights  map[uint64]flight
	answers  [kinds]time.Duration
	answered [kinds]time.Time
}

// NewSpeed returns the Speed of a store that has not been called.
func NewLatencyTracker() *LatencyTracker { return &LatencyTracker{flights: map[uint64]flight{}} }

// Sent notes that a call is sent and returns its number.
func (s *LatencyTracker) RecordSent(now time.Time, k CallKind) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	s.flights[s.number] = flight{k, now}
	return s.number
}

// Answered notes that the store has done what a call asked.
func (s *LatencyTracker) RecordResponse(now time.Time, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.flights[number]
	delete(s.flights, number)
	if !ok || f.sent.Before(s.answered[f.kind]) {
		return
	}
	s.answers[f.kind], s.answered[f.kind] = now.Sub(f.sent), f.sent
}

// Waited notes how long the answer of a feed without changes took beyond its wait. It
// lengthens limits, but is no sign of a slow store: a feed may end its wait late.
func (s *LatencyTracker) RecordFeedDelay(now time.Time, answer time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent := now.Add(-answer); !sent.Before(s.answered[KindFeed]) {
		s.answers[KindFeed], s.answered[KindFeed] = max(0, answer), sent
	}
}

// Dropped notes that a call has ended otherwise: given up, refused or not sent.
func (s *LatencyTracker) Discard(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, number)
}

// Answer returns how long an answer takes, by the call that was sent last of those
// that were answered.
func (s *LatencyTracker) ResponseTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest(KindRead, KindWrite, KindFeed)
}

// latest returns how long an answer takes, by the call of some kinds that was sent last.
func (s *LatencyTracker) latest(of ...CallKind) time.Duration {
	last := of[0]
	for _, k := range of[1:] {
		if s.answered[k].After(s.answered[last]) {
			last = k
		}
	}
	return min(mostAnswer, s.answers[last])
}

// Oldest returns for how long the oldest call of a kind has been in flight; 0 if there
// is none.
func (s *LatencyTracker) OldestInFlight(now time.Time, k CallKind) (age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flights {
		if f.kind == k {
			age = max(age, now.Sub(f.sent))
		}
	}
	return age
}

// Limit returns how long a call may take that usually ends within a time.
func (s *LatencyTracker) Timeout(usual time.Duration) time.Duration {
	return max(usual, min(mostLimit, usual+limitAnswers*s.ResponseTime()))
}

// Overtaken reports whether a write that was sent at a time and has no answer yet seems
// lost: one that was sent later has been answered, and enough time has passed since.
func (s *LatencyTracker) PresumedLost(now, sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered[KindWrite].After(sent) && now.Sub(sent) >= max(lostWrite, lostAnswers*s.answers[KindWrite])
}

// Slow reports whether the store answers slowly, or leaves a call without an answer for
// long.
func (s *LatencyTracker) IsSlow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest(KindRead, KindWrite) >= slowAnswer && s.answers[KindRead] >= slowAnswer || s.answers[KindWrite] >= slowWrite {
		return true
	}
	for _, f := range s.flights {
		if s.hinders(now, f) {
			return true
		}
	}
	return false
}

// hinders reports whether a call is in flight for so long that the store seems slow: it
// has answered no call of the kind that was sent later, and a write may wait for others
// unless a read that was sent well after it was answered quickly.
func (s *LatencyTracker) hinders(now time.Time, f flight) bool {
	if f.sent.Before(s.answered[f.kind]) {
		return false
	}
	if f.kind == KindRead {
		return now.Sub(f.sent) >= slowAnswer
	}
	isQuick := s.answers[KindRead] < slowAnswer && !s.answered[KindRead].Before(f.sent.Add(slowWrite/2))
	return now.Sub(f.sent) >= slowWrite && !isQuick
}
