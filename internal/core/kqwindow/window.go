// Package kqwindow keeps measurements of the latest span of time.
package kqwindow

import "time"

// Window holds what was measured in the present and in the last span of time.
// It is not safe for concurrent use.
type Window[T any] struct {
	span    time.Duration
	make    func() T
	from    time.Time
	present T
	last    T
}

// New returns an empty Window; f makes the empty measurements of a span.
func New[T any](now time.Time, span time.Duration, f func() T) *Window[T] {
	return &Window[T]{span: span, make: f, from: now, present: f(), last: f()}
}

// At returns the measurements of the present span, to be added to.
func (w *Window[T]) Current(now time.Time) T {
	age := now.Sub(w.from)
	if age < w.span {
		return w.present
	}
	w.last = w.present
	if age >= 2*w.span {
		w.last = w.make()
	}
	w.present, w.from = w.make(), now
	return w.present
}

// Both returns the measurements of the present and of the last span.
func (w *Window[T]) CurrentAndLast(now time.Time) (present, last T) {
	present = w.Current(now)
	return present, w.last
}
