package kqrows

import (
	"sync"
	"time"
)

const (
	// slowResponse is the response time from which a store counts as slow: 15 times the
	// usual 4 ms.
	slowResponse = 60 * time.Millisecond
	// slowWrite is the same for a write, which may wait for the writes before it.
	slowWrite = 150 * time.Millisecond
	// maxResponseTime bounds the response time that is assumed: a store is at most 100
	// times as slow as usual, so a call that took longer has waited for other calls.
	maxResponseTime = 500 * time.Millisecond
	// timeoutResponses is how many response times are added to the usual timeout of a call:
	// two for the call itself if it covers several partitions, and one because a write may
	// wait for another one.
	timeoutResponses = 3
	// A write without a response is presumed lost once later writes have been answered and
	// it is older than both minLostWriteAge and lostWriteResponses times the response time
	// of a write. A write usually takes 4 ms. With more than a third of the responses lost,
	// attempts that time out only after a second would keep most of the writes that may be
	// in flight waiting.
	minLostWriteAge    = 150 * time.Millisecond
	lostWriteResponses = 4
	// maxTimeout bounds the timeouts of calls whose usual timeout is shorter.
	maxTimeout = 3 * time.Second
)

// CallKind is a kind of call to the store.
type CallKind int

// Kinds of calls to the store.
const (
	// KindRead is a read, which does not wait for other calls.
	KindRead CallKind = iota
	// KindWrite is a transaction, which waits for the transactions before it.
	KindWrite
	// KindFeed is a feed, which waits for changes.
	KindFeed
	callKinds
)

// pendingCall is a call that has no response yet.
type pendingCall struct {
	kind   CallKind
	sentAt time.Time
}

// LatencyTracker measures how fast a store responds to this process and lengthens the
// process's timeouts by timeoutResponses times the measured response time. Missing responses
// lengthen nothing, so that an outage is detected in the usual time.
type LatencyTracker struct {
	mu         sync.Mutex
	lastNumber uint64
	// inFlight holds the calls without a response, by number.
	inFlight map[uint64]pendingCall
	// responseTimes and answeredSentAt hold, by kind, the response time and the time of
	// sending of the answered call that was sent last.
	responseTimes  [callKinds]time.Duration
	answeredSentAt [callKinds]time.Time
}

// NewLatencyTracker returns a LatencyTracker without measurements.
func NewLatencyTracker() *LatencyTracker { return &LatencyTracker{inFlight: map[uint64]pendingCall{}} }

// RecordSent records that a call is sent and returns the call's number.
func (l *LatencyTracker) RecordSent(now time.Time, k CallKind) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNumber++
	l.inFlight[l.lastNumber] = pendingCall{k, now}
	return l.lastNumber
}

// RecordResponse records that the store has answered a call. A response to a call that was
// sent before an already answered call of the same kind is not counted.
func (l *LatencyTracker) RecordResponse(now time.Time, number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.inFlight[number]
	delete(l.inFlight, number)
	if !ok || c.sentAt.Before(l.answeredSentAt[c.kind]) {
		return
	}
	l.responseTimes[c.kind], l.answeredSentAt[c.kind] = now.Sub(c.sentAt), c.sentAt
}

// RecordFeedDelay records how long the response of a feed without changes took beyond its
// wait. It lengthens timeouts but does not make the store count as slow, because a feed may
// end its wait late.
func (l *LatencyTracker) RecordFeedDelay(now time.Time, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if dueAt := now.Add(-delay); !dueAt.Before(l.answeredSentAt[KindFeed]) {
		l.responseTimes[KindFeed], l.answeredSentAt[KindFeed] = max(0, delay), dueAt
	}
}

// Discard removes a call that ended without a measurement: it timed out, was refused or was
// not sent.
func (l *LatencyTracker) Discard(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inFlight, number)
}

// ResponseTime returns the response time of the answered call that was sent last, at most
// maxResponseTime.
func (l *LatencyTracker) ResponseTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latestResponseTime(KindRead, KindWrite, KindFeed)
}

// latestResponseTime returns the response time of the answered call that was sent last among
// the calls of some kinds. mu is held.
func (l *LatencyTracker) latestResponseTime(kinds ...CallKind) time.Duration {
	latest := kinds[0]
	for _, k := range kinds[1:] {
		if l.answeredSentAt[k].After(l.answeredSentAt[latest]) {
			latest = k
		}
	}
	return min(maxResponseTime, l.responseTimes[latest])
}

// OldestInFlight returns the age of the oldest call of a kind that is in flight; 0 if there
// is none.
func (l *LatencyTracker) OldestInFlight(now time.Time, k CallKind) (age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.inFlight {
		if c.kind == k {
			age = max(age, now.Sub(c.sentAt))
		}
	}
	return age
}

// Timeout returns the timeout of a call. usual is its timeout when the store responds quickly.
func (l *LatencyTracker) Timeout(usual time.Duration) time.Duration {
	return max(usual, min(maxTimeout, usual+timeoutResponses*l.ResponseTime()))
}

// PresumedLost reports whether a write that was sent at a time and has no response yet is
// presumed lost: a write that was sent later has been answered, and the write is old enough.
func (l *LatencyTracker) PresumedLost(now, sentAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answeredSentAt[KindWrite].After(sentAt) && now.Sub(sentAt) >= max(minLostWriteAge, lostWriteResponses*l.responseTimes[KindWrite])
}

// IsSlow reports whether the store responds slowly or has left a call without a response for
// long.
func (l *LatencyTracker) IsSlow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latestResponseTime(KindRead, KindWrite) >= slowResponse && l.responseTimes[KindRead] >= slowResponse || l.responseTimes[KindWrite] >= slowWrite {
		return true
	}
	for _, c := range l.inFlight {
		if l.indicatesSlowStore(now, c) {
			return true
		}
	}
	return false
}

// indicatesSlowStore reports whether a call has been in flight for so long that the store
// counts as slow. It does not if a call of the same kind that was sent later has been
// answered. A write may have to wait for other writes, so its wait does not count either if
// a read that was sent well after the write was answered quickly.
func (l *LatencyTracker) indicatesSlowStore(now time.Time, c pendingCall) bool {
	if c.sentAt.Before(l.answeredSentAt[c.kind]) {
		return false
	}
	if c.kind == KindRead {
		return now.Sub(c.sentAt) >= slowResponse
	}
	isReadQuick := l.responseTimes[KindRead] < slowResponse && !l.answeredSentAt[KindRead].Before(c.sentAt.Add(slowWrite/2))
	return now.Sub(c.sentAt) >= slowWrite && !isReadQuick
}
