package kqevacuate

import (
	"sync/atomic"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
)

// Feed holds the evacuated zones as one process has read them from the store. One goroutine
// applies changes; any goroutine may read.
type Feed struct {
	process string
	events  *kqevent.Log
	zones   atomic.Pointer[Zones]
	knownAt atomic.Pointer[time.Time]
}

// NewFeed returns a Feed without any zones. Each change is logged as an event of the named
// process.
func NewFeed(process string, events *kqevent.Log) *Feed {
	return &Feed{process: process, events: events}
}

// Zones returns the evacuated zones as last read.
func (f *Feed) Zones() Zones {
	if z := f.zones.Load(); z != nil {
		return *z
	}
	return Zones{}
}

// Apply applies what was read from the store, as Zones.Apply does, and returns the new
// zones. Ok is false if there is nothing to apply.
func (f *Feed) Apply(now time.Time, version uint64, isComplete bool, changes []Change) (z Zones, ok bool) {
	if !isComplete && len(changes) == 0 {
		return z, false
	}
	old := f.Zones()
	z = old.Apply(now, version, isComplete, changes)
	f.zones.Store(&z)
	begun, ended := z.Difference(old)
	for _, name := range begun {
		f.events.Emit(now, kqevent.ZoneEvacuated, kqevent.Process(f.process), "zone %s is evacuated as of store version %d", name, z.version)
	}
	for _, name := range ended {
		f.events.Emit(now, kqevent.ZoneRestored, kqevent.Process(f.process), "zone %s is no longer evacuated as of store version %d", name, z.version)
	}
	return z, true
}

// MarkKnownAt records that the store has answered a request that was sent at sent: Zones are
// correct as of that time or later.
func (f *Feed) MarkKnownAt(sent time.Time) { f.knownAt.Store(&sent) }

// KnownAt returns the time as of which Zones are known to be correct; zero if they were never
// read.
func (f *Feed) KnownAt() time.Time {
	if at := f.knownAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
