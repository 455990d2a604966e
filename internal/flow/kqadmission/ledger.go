package kqadmission

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqordered"
)

const (
	// KeepRejected is for how long a rejected job is expected back: callers try again up to four times, a few seconds apart.
	RejectedTTL = 30 * time.Second
	// KeepUnresolved is for how long a job may still be stored by an attempt without an answer. The store carries out such
	// a call within seconds or not at all.
	UnresolvedTTL = 15 * time.Second
	// mostKept bounds each list of a ledger.
	mostKept = 4096
)

// Rejected is a job that an entry has rejected, as it tells the owner.
type RejectedJob struct {
	// ID is the caller's name for the job.
	ID string `json:"id"`
	// Queue names its queue.
	Queue string `json:"queue"`
	// Age is how long ago the caller's first attempt was.
	Age time.Duration `json:"age"`
	// Work and Reserved are its processor-seconds, and those that its tasks reserve.
	Work         float64 `json:"work"`
	ReservedWork float64 `json:"reserved"`
	// Zone is the availability zone of the entry.
	Zone string `json:"zone,omitempty"`
}

type rejection struct{ first, at time.Time }

// Ledger remembers rejected and unresolved jobs for a bounded time and number. It is not safe for concurrent use.
type Ledger struct {
	rejected   kqordered.Map[string, rejection]
	unresolved kqordered.Map[string, time.Time]
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{} }

// Reject notes that a job was rejected whose caller first tried at some time. The earliest attempt stays.
func (l *Ledger) RecordRejected(now time.Time, id string, first time.Time) {
	if r, ok := l.rejected.Find(id); ok && r.first.Before(first) {
		first = r.first
	}
	// The oldest is the first in order, so what comes again is put last.
	l.rejected.Delete(id)
	l.rejected.Put(id, rejection{first: first, at: now})
	l.expire(now)
}

// First returns the first attempt of a job that was rejected of late.
func (l *Ledger) FirstAttempt(now time.Time, id string) (first time.Time, ok bool) {
	r, ok := l.rejected.Find(id)
	if !ok || now.Sub(r.at) > RejectedTTL {
		return time.Time{}, false
	}
	return r.first, true
}

// Return takes out a job that has come back and was accepted; ok is false if it was not rejected of late.
func (l *Ledger) TakeReturned(now time.Time, id string) (first time.Time, ok bool) {
	first, ok = l.FirstAttempt(now, id)
	l.rejected.Delete(id)
	return first, ok
}

// Returning returns how many rejected jobs have not come back.
func (l *Ledger) Returning(now time.Time) int {
	l.expire(now)
	return l.rejected.Len()
}

// Unresolve notes that a job may be stored by an attempt without a certain answer.
func (l *Ledger) MarkUnresolved(now time.Time, id string) {
	l.unresolved.Delete(id)
	l.unresolved.Put(id, now)
	l.expire(now)
}

// Unresolved reports whether a job may be stored by an attempt without a certain answer.
func (l *Ledger) IsUnresolved(now time.Time, id string) bool {
	at, ok := l.unresolved.Find(id)
	return ok && now.Sub(at) <= UnresolvedTTL
}

// Resolve notes that the owner has a job: whoever hears of it from the owner does not reject it.
func (l *Ledger) MarkResolved(id string) { l.unresolved.Delete(id) }

// AllUnresolved lists the jobs that may be stored, the oldest first.
func (l *Ledger) AllUnresolved(now time.Time) []string {
	l.expire(now)
	out := make([]string, 0, l.unresolved.Len())
	for id := range l.unresolved.All() {
		out = append(out, id)
	}
	return out
}

// Full reports whether more jobs are unresolved than can be remembered.
func (l *Ledger) UnresolvedFull() bool { return l.unresolved.Len() >= mostKept }

// expire drops what is too old or too much; both maps are in order of time.
func (l *Ledger) expire(now time.Time) {
	for id, r := range l.rejected.All() {
		if now.Sub(r.at) <= RejectedTTL && l.rejected.Len() <= mostKept {
			break
		}
		l.rejected.Delete(id)
	}
	for id, at := range l.unresolved.All() {
		if now.Sub(at) <= UnresolvedTTL && l.unresolved.Len() <= mostKept {
			break
		}
		l.unresolved.Delete(id)
	}
}
