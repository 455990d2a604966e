package kqexecution

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// ErrBirth means that a worker's message has an invalid time of birth, so that the message
// does not identify an incarnation.
var ErrBirth = errors.New("worker: the time of birth is invalid")

// Incarnation identifies one lifetime of a worker by its id and, if the worker sends one, its
// time of birth (the time at which the incarnation started). The text is ID or
// ID@MILLISECONDS, in milliseconds since 1970.
type Incarnation string

// birthSeparator separates the id from the time of birth.
const birthSeparator = "@"

// NewIncarnation returns the incarnation of the worker with this id and time of birth. The
// zero time, or a time before 1970, means that the worker sends no time of birth.
func NewIncarnation(id string, born time.Time) Incarnation {
	if ms := born.UnixMilli(); !born.IsZero() && ms >= 0 {
		return Incarnation(id + birthSeparator + strconv.FormatInt(ms, 10))
	}
	if Incarnation(id).ID() != id {
		// An id that itself looks like an id with a birth gets an empty birth, so that
		// ID returns it unchanged.
		id += birthSeparator
	}
	return Incarnation(id)
}

// split returns the id and the text of the birth. ok is false if there is no birth, not even
// an empty one.
func (i Incarnation) split() (id, birth string, ok bool) {
	separator := strings.LastIndex(string(i), birthSeparator)
	if separator < 0 || strings.Trim(string(i[separator+1:]), "0123456789") != "" {
		return string(i), "", false
	}
	return string(i[:separator]), string(i[separator+1:]), true
}

// ID returns the worker's id.
func (i Incarnation) ID() string {
	id, _, _ := i.split()
	return id
}

// Born returns the incarnation's time of birth. The result is false if the worker sent none.
func (i Incarnation) Born() (time.Time, bool) {
	_, birth, ok := i.split()
	ms, err := strconv.ParseInt(birth, 10, 64)
	if !ok || err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(ms), true
}

// SameWorker reports whether two incarnations belong to the same worker.
func (i Incarnation) SameWorker(other Incarnation) bool { return i == other || i.ID() == other.ID() }

// Supersedes reports whether this is a later incarnation of the same worker than other. An
// incarnation with a time of birth supersedes one without, because a process of an earlier
// version may have recorded the worker by its id alone.
func (i Incarnation) Supersedes(other Incarnation) bool {
	if i == other || !i.SameWorker(other) {
		return false
	}
	born, hasBorn := i.Born()
	earlier, hasEarlier := other.Born()
	return hasBorn && (!hasEarlier || born.After(earlier))
}
