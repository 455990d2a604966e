package kqexecution

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// ErrBirth says that a message of a worker has a time of birth that cannot be
// one, so that it names no worker.
var ErrBirth = errors.New("worker: the time of birth is not valid")

// Incarnation names one life of a worker: its id and, if the worker sends one,
// its time of birth. The text is ID or ID@MILLISECONDS.
type Incarnation string

// birthMark separates the id from the time of birth.
const birthMark = "@"

// NewIncarnation returns the incarnation of a worker that was born at a time;
// the zero time, or one before 1970, means that the worker sends none.
func NewIncarnation(id string, born time.Time) Incarnation {
	if ms := born.UnixMilli(); !born.IsZero() && ms >= 0 {
		return Incarnation(id + birthMark + strconv.FormatInt(ms, 10))
	}
	if Incarnation(id).ID() != id {
		// An id that reads like one with a birth gets an empty birth.
		id += birthMark
	}
	return Incarnation(id)
}

// split returns the id and the text of the birth; ok is false if there is no
// birth, not even an empty one.
func (i Incarnation) split() (id, birth string, ok bool) {
	at := strings.LastIndex(string(i), birthMark)
	if at < 0 || strings.Trim(string(i[at+1:]), "0123456789") != "" {
		return string(i), "", false
	}
	return string(i[:at]), string(i[at+1:]), true
}

// ID returns the worker's id.
func (i Incarnation) ID() string {
	id, _, _ := i.split()
	return id
}

// Born returns the worker's time of birth, if it sends one.
func (i Incarnation) Born() (time.Time, bool) {
	_, birth, ok := i.split()
	ms, err := strconv.ParseInt(birth, 10, 64)
	if !ok || err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(ms), true
}

// Same reports whether two incarnations are of the same worker.
func (i Incarnation) SameWorker(other Incarnation) bool { return i == other || i.ID() == other.ID() }

// Follows reports whether this incarnation of the same worker began after
// another one. One with a birth follows one without: a process of an earlier
// version may have named the worker by its id alone.
func (i Incarnation) Supersedes(other Incarnation) bool {
	if i == other || !i.SameWorker(other) {
		return false
	}
	born, ok := i.Born()
	earlier, had := other.Born()
	return ok && (!had || born.After(earlier))
}
