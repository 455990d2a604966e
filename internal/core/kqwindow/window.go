// Package kqwindow collects measurements per time span and keeps the current and the last span.
package kqwindow

import "time"

// Window holds the measurements of the current and of the last time span. It is not safe for
// concurrent use.
type Window[T any] struct {
	span      time.Duration
	newEmpty  func() T
	startedAt time.Time
	current   T
	last      T
}

// New returns an empty Window with time spans of the given length; f returns empty measurements
// for a span.
func New[T any](now time.Time, span time.Duration, f func() T) *Window[T] {
	return &Window[T]{span: span, newEmpty: f, startedAt: now, current: f(), last: f()}
}

// Current returns the measurements of the current span, to which the caller adds. If the span
// has ended at now, it starts a new one.
func (w *Window[T]) Current(now time.Time) T {
	age := now.Sub(w.startedAt)
	if age < w.span {
		return w.current
	}
	w.last = w.current
	if age >= 2*w.span {
		w.last = w.newEmpty()
	}
	w.current, w.startedAt = w.newEmpty(), now
	return w.current
}

// CurrentAndLast returns the measurements of the current span and of the last one, which are
// empty if nothing was measured during the last span.
func (w *Window[T]) CurrentAndLast(now time.Time) (current, last T) {
	current = w.Current(now)
	return current, w.last
}
