package kqadmission

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqordered"
)

const (
	// RejectedTTL is how long a rejected job is expected to be submitted again: callers retry up to
	// four times, a few seconds apart.
	RejectedTTL = 30 * time.Second
	// UnresolvedTTL is how long a write whose outcome is unknown may still store the job. The store
	// executes such a write within seconds or not at all.
	UnresolvedTTL = 15 * time.Second
	// maxEntries is the maximum number of rejected and of unresolved jobs that a Ledger keeps.
	maxEntries = 4096
)

// RejectedJob is an entry's report to the owner about a job that it rejected.
type RejectedJob struct {
	// ID is the caller's name for the job.
	ID string `json:"id"`
	// Queue is the name of its queue.
	Queue string `json:"queue"`
	// Age is the time since the caller's first attempt.
	Age time.Duration `json:"age"`
	// Work is the estimated work in processor-seconds, ReservedWork the part of it that is done on
	// reserved processors.
	Work         float64 `json:"work"`
	ReservedWork float64 `json:"reserved"`
	// Zone is the availability zone of the entry.
	Zone string `json:"zone,omitempty"`
}

type rejection struct{ firstAttemptAt, rejectedAt time.Time }

// Ledger remembers rejected jobs, and unresolved jobs: those that a write with unknown outcome may
// have stored. Entries expire after RejectedTTL and UnresolvedTTL, and their number is bounded. A
// Ledger is not safe for concurrent use.
type Ledger struct {
	rejected   kqordered.Map[string, rejection]
	unresolved kqordered.Map[string, time.Time]
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{} }

// RecordRejected records that a job was rejected. Of several first attempts of the same job the
// earliest is kept.
func (l *Ledger) RecordRejected(now time.Time, id string, first time.Time) {
	if r, ok := l.rejected.Find(id); ok && r.firstAttemptAt.Before(first) {
		first = r.firstAttemptAt
	}
	// Reinsert at the end: the map is kept in order of rejection, oldest first.
	l.rejected.Delete(id)
	l.rejected.Put(id, rejection{firstAttemptAt: first, rejectedAt: now})
	l.expire(now)
}

// FirstAttempt returns the time of the first attempt of a job that was rejected within the last
// RejectedTTL.
func (l *Ledger) FirstAttempt(now time.Time, id string) (first time.Time, ok bool) {
	r, ok := l.rejected.Find(id)
	if !ok || now.Sub(r.rejectedAt) > RejectedTTL {
		return time.Time{}, false
	}
	return r.firstAttemptAt, true
}

// TakeReturned removes a rejected job that has been submitted again and accepted, and returns the
// time of its first attempt. The result ok is false if the job was not rejected within the last
// RejectedTTL.
func (l *Ledger) TakeReturned(now time.Time, id string) (first time.Time, ok bool) {
	first, ok = l.FirstAttempt(now, id)
	l.rejected.Delete(id)
	return first, ok
}

// Returning returns the number of rejected jobs that have not been submitted again and accepted.
func (l *Ledger) Returning(now time.Time) int {
	l.expire(now)
	return l.rejected.Len()
}

// MarkUnresolved records that a write with unknown outcome may have stored a job.
func (l *Ledger) MarkUnresolved(now time.Time, id string) {
	l.unresolved.Delete(id)
	l.unresolved.Put(id, now)
	l.expire(now)
}

// IsUnresolved reports whether a write with unknown outcome may have stored a job.
func (l *Ledger) IsUnresolved(now time.Time, id string) bool {
	at, ok := l.unresolved.Find(id)
	return ok && now.Sub(at) <= UnresolvedTTL
}

// MarkResolved records that the owner has a job. The job need not be tracked any more: entries
// accept a job whose state the owner has reported.
func (l *Ledger) MarkResolved(id string) { l.unresolved.Delete(id) }

// AllUnresolved returns the ids of the unresolved jobs, oldest first.
func (l *Ledger) AllUnresolved(now time.Time) []string {
	l.expire(now)
	out := make([]string, 0, l.unresolved.Len())
	for id := range l.unresolved.All() {
		out = append(out, id)
	}
	return out
}

// UnresolvedFull reports whether the Ledger holds the maximum number of unresolved jobs, so that
// some may have been dropped.
func (l *Ledger) UnresolvedFull() bool { return l.unresolved.Len() >= maxEntries }

// expire removes entries that are too old, and the oldest ones above maxEntries. Both maps are in
// order of time.
func (l *Ledger) expire(now time.Time) {
	for id, r := range l.rejected.All() {
		if now.Sub(r.rejectedAt) <= RejectedTTL && l.rejected.Len() <= maxEntries {
			break
		}
		l.rejected.Delete(id)
	}
	for id, at := range l.unresolved.All() {
		if now.Sub(at) <= UnresolvedTTL && l.unresolved.Len() <= maxEntries {
			break
		}
		l.unresolved.Delete(id)
	}
}
