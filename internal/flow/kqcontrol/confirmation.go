package kqcontrol

import (
	"sync"
	"time"
)

// confirmation holds what the writes and reads that confirm the ownership need. Its lock is held
// briefly and never while messages are handled or a scheduling pass runs, so that an owner that is
// short of processor time still confirms its ownership. It may be taken while Controller.mu is held.
type confirmation struct {
	mu sync.Mutex
	// confirmedAt is when the latest request that confirmed the ownership was sent.
	confirmedAt time.Time
	// heartbeatAt is when the latest commit that carried a heartbeat was sent.
	heartbeatAt time.Time
	// writesInFlight is the number of writes of any kind without an answer.
	writesInFlight int
	// progressAt is when the owner last made progress: it finished a step of the scheduling loop, or loaded
	// a part of the state of earlier owners. It is zero until that state has been read, for which the
	// acquisition has a time limit.
	progressAt time.Time
}

// confirmed records that the store has confirmed the ownership by a request that was sent at sent.
func (f *confirmation) confirmed(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sent.After(f.confirmedAt) {
		f.confirmedAt = sent
	}
}

// committed records that a commit with a heartbeat was applied that was sent at sent.
func (f *confirmation) committed(sent time.Time) {
	f.confirmed(sent)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heartbeatAt = sent
}

// age returns how long ago the ownership was confirmed.
func (f *confirmation) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.confirmedAt)
}

// writeSent records a write that is in flight.
func (f *confirmation) writeSent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writesInFlight++
}

// writeAnswered records that a write is no longer in flight.
func (f *confirmation) writeAnswered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writesInFlight--
}

// inFlight returns the number of writes without an answer.
func (f *confirmation) inFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writesInFlight
}

// takeSlot reports whether a write may be sent now, and then counts it as in flight: while the store
// is slow only one write may be in flight.
func (f *confirmation) takeSlot(slow bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slow && f.writesInFlight > 0 {
		return false
	}
	f.writesInFlight++
	return true
}

// heartbeatDue reports whether no recent commit has carried a heartbeat.
func (f *confirmation) heartbeatDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.heartbeatAt) >= HeartbeatInterval/2
}

// progressed records that the owner has made progress.
func (f *confirmation) progressed(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progressAt = now
}

// isHung reports whether the owner has made no progress for a given time, after it has read the state of
// earlier owners.
func (f *confirmation) isHung(now time.Time, limit time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.progressAt.IsZero() && now.Sub(f.progressAt) > limit
}
