package kqevacuate

import (
	"sync/atomic"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
)

// Feed is the zones as one process has read them from the store. One goroutine
// takes what is read; any may look.
type Feed struct {
	process string
	events  *kqevent.Log
	zones   atomic.Pointer[Zones]
	knownAt atomic.Pointer[time.Time]
}

// NewFeed returns a Feed that has read nothing; the events of a process tell of
// each change.
func NewFeed(process string, events *kqevent.Log) *Feed {
	return &Feed{process: process, events: events}
}

// Zones returns the zones as last read.
func (f *Feed) Zones() Zones {
	if z := f.zones.Load(); z != nil {
		return *z
	}
	return Zones{}
}

// Take takes over what was read, as Zones.Apply does; ok is false if it concerns
// no zone.
func (f *Feed) Apply(now time.Time, at uint64, whole bool, changes []Change) (z Zones, ok bool) {
	if !whole && len(changes) == 0 {
		return z, false
	}
	old := f.Zones()
	z = old.Apply(now, at, whole, changes)
	f.zones.Store(&z)
	begun, ended := z.Difference(old)
	for _, name := range begun {
		f.events.Emit(now, kqevent.ZoneEvacuated, kqevent.Process(f.process), "zone %s, version %d of the store", name, z.at)
	}
	for _, name := range ended {
		f.events.Emit(now, kqevent.ZoneReturned, kqevent.Process(f.process), "zone %s, version %d of the store", name, z.at)
	}
	return z, true
}

// Answered notes that the store has answered what it was asked at a time: Zones are
// what was so then or later.
func (f *Feed) MarkKnownAt(asked time.Time) { f.knownAt.Store(&asked) }

// KnownAt returns as of when Zones are known to be right; zero if they never were
// read.
func (f *Feed) KnownAt() time.Time {
	if at := f.knownAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
