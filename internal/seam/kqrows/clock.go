package kqrows

import "time"

// clockReading is a reading of the store's clock by a transaction.
type clockReading struct {
	sentAt, answeredAt time.Time
	clock              time.Duration
}

// recordClock keeps the clock of an answer, if the store reports one.
func (t *TimedStore) recordClock(sentAt, answeredAt time.Time, clock time.Duration) {
	if clock > 0 {
		t.reading.Store(&clockReading{sentAt, answeredAt, clock})
	}
}

// maxClockAge is the age up to which a reading of the store's clock tells what it shows later: over a
// longer time the two clocks may drift apart.
const maxClockAge = 2 * time.Second

// ClockAt returns an upper bound of what the store's clock shows at a time of this process. Ok is false if
// the store has reported no clock lately.
func (t *TimedStore) ClockAt(at time.Time) (clock time.Duration, ok bool) {
	r := t.reading.Load()
	if r == nil || at.Sub(r.answeredAt) > maxClockAge {
		return 0, false
	}
	return r.clock + at.Sub(r.sentAt), true
}

// TimeOf returns an upper bound of the time of this process at which the store's clock shows a value. Ok is
// false if the store has reported no clock.
func (t *TimedStore) TimeOf(clock time.Duration) (at time.Time, ok bool) {
	r := t.reading.Load()
	if r == nil {
		return time.Time{}, false
	}
	return r.answeredAt.Add(clock - r.clock), true
}
