// Package kqevacuate holds which availability zones are evacuated: an operator
// has asked that nothing new be started on their workers. It does no I/O.
package kqevacuate

import (
	"maps"
	"slices"
	"time"
)

// Change is a request that was made or withdrawn.
type Change struct {
	// Zone names the availability zone.
	Zone string
	// Withdrawn is true if the request is gone.
	Withdrawn bool
}

// Notice is the evacuated zones as one process tells another.
type Notice struct {
	// At is the version of the store at which the zones were all there were.
	At uint64 `json:"at"`
	// Zones are the names in order.
	Zones []string `json:"zones,omitempty"`
}

// Zones is the zones that are evacuated, as one process knows them. It is never
// changed once made; the zero value knows nothing.
type Zones struct {
	at    uint64
	since map[string]time.Time
}

// Has reports whether a zone is evacuated.
func (z Zones) Has(zone string) bool {
	_, ok := z.since[zone]
	return ok
}

// Since returns when this process learned that a zone is evacuated; ok is false
// if it is not.
func (z Zones) Since(zone string) (at time.Time, ok bool) {
	at, ok = z.since[zone]
	return at, ok
}

// Names returns the zones in order.
func (z Zones) Names() []string { return slices.Sorted(maps.Keys(z.since)) }

// Len returns how many zones are evacuated.
func (z Zones) Len() int { return len(z.since) }

// Known reports whether the requests have been read at all.
func (z Zones) Known() bool { return z.at > 0 }

// Notice returns what to tell others.
func (z Zones) Notice() Notice { return Notice{At: z.at, Zones: z.Names()} }

// Apply returns the zones after changes that were read from the store. If whole is
// true they are all the requests there are: a zone without one is withdrawn. At is
// the version of the store up to which changes were read.
func (z Zones) Apply(now time.Time, at uint64, whole bool, changes []Change) Zones {
	out := Zones{at: at, since: map[string]time.Time{}}
	if !whole {
		out.at = max(z.at, at)
		maps.Copy(out.since, z.since)
	}
	for _, c := range changes {
		if c.Withdrawn {
			delete(out.since, c.Zone)
			continue
		}
		out.since[c.Zone] = z.learned(now, c.Zone)
	}
	return out
}

// Heard returns the zones after a notice, and whether it changed anything. One that
// is not newer than what is known changes nothing.
func (z Zones) ApplyNotice(now time.Time, n Notice) (out Zones, changed bool) {
	if n.At <= z.at {
		return z, false
	}
	out = Zones{at: n.At, since: make(map[string]time.Time, len(n.Zones))}
	for _, name := range n.Zones {
		out.since[name] = z.learned(now, name)
	}
	return out, true
}

// learned returns since when a zone that is evacuated now has been known to be.
func (z Zones) learned(now time.Time, zone string) time.Time {
	if at, ok := z.since[zone]; ok {
		return at
	}
	return now
}

// Difference returns the zones that are evacuated in z and not in old, and those
// that are in old and no longer in z.
func (z Zones) Difference(old Zones) (begun, ended []string) {
	for _, name := range z.Names() {
		if !old.Has(name) {
			begun = append(begun, name)
		}
	}
	for _, name := range old.Names() {
		if !z.Has(name) {
			ended = append(ended, name)
		}
	}
	return begun, ended
}

const (
	// boundMargin is how long before the bound starts are held: a start is sent within
	// that time after it was decided on.
	boundMargin = time.Second
	// leastAge is the least age from which on starts are held: feeds cannot be answered
	// much more often.
	leastAge = time.Second
)

// outdatedAge is the age of zones from which on nothing starts by them.
func outdatedAge(bound time.Duration) time.Duration {
	return max(leastAge, bound/2, bound-boundMargin)
}

// Wait returns how long one call of a feed may wait for changes, at most most: zones
// are known as of the call before the latest answer, so two calls and a slow answer must
// take less than the age from which on starts are held.
func MaxPollWait(bound, most time.Duration) time.Duration {
	if bound <= 0 {
		return most
	}
	return min(most, outdatedAge(bound)*3/8)
}

// Outdated reports whether zones that are known to be right as of a time are too old
// to start by: a request may exist that must be obeyed within bound of its making. A
// bound of 0 is none.
func Outdated(now, knownAt time.Time, bound time.Duration) bool {
	return bound > 0 && now.Sub(knownAt) > outdatedAge(bound)
}
