// Package kqevacuate tracks which availability zones are evacuated: an operator has requested
// that nothing new be started on their workers. It does no I/O.
package kqevacuate

import (
	"maps"
	"slices"
	"time"
)

// Change is an evacuation request that was made or withdrawn.
type Change struct {
	// Zone is the name of the availability zone.
	Zone string
	// Withdrawn is true if the request was withdrawn.
	Withdrawn bool
}

// Notice is the message by which one process sends another the evacuated zones.
type Notice struct {
	// At is the version of the store as of which the list of zones is complete.
	At uint64 `json:"at"`
	// Zones are the names, sorted.
	Zones []string `json:"zones,omitempty"`
}

// Zones is an immutable set of the evacuated zones as known to one process. The zero value
// means that the requests have not been read.
type Zones struct {
	// version is the version of the store up to which requests are applied. since maps an
	// evacuated zone to when this process learned of the request.
	version uint64
	since   map[string]time.Time
}

// Has reports whether a zone is evacuated.
func (z Zones) Has(zone string) bool {
	_, ok := z.since[zone]
	return ok
}

// Since returns when this process learned that a zone is evacuated. Ok is false if the zone
// is not evacuated.
func (z Zones) Since(zone string) (at time.Time, ok bool) {
	at, ok = z.since[zone]
	return at, ok
}

// Names returns the names of the evacuated zones, sorted.
func (z Zones) Names() []string { return slices.Sorted(maps.Keys(z.since)) }

// Len returns the number of evacuated zones.
func (z Zones) Len() int { return len(z.since) }

// Known reports whether the requests have ever been read.
func (z Zones) Known() bool { return z.version > 0 }

// Notice returns the message that sends the zones to another process.
func (z Zones) Notice() Notice { return Notice{At: z.version, Zones: z.Names()} }

// Apply returns the zones after changes that were read from the store. If isComplete is true,
// the changes list all requests: zones that are not listed are no longer evacuated. Version
// is the version of the store up to which changes were read.
func (z Zones) Apply(now time.Time, version uint64, isComplete bool, changes []Change) Zones {
	out := Zones{version: version, since: map[string]time.Time{}}
	if !isComplete {
		out.version = max(z.version, version)
		maps.Copy(out.since, z.since)
	}
	for _, c := range changes {
		if c.Withdrawn {
			delete(out.since, c.Zone)
			continue
		}
		out.since[c.Zone] = z.firstKnownAt(now, c.Zone)
	}
	return out
}

// ApplyNotice returns the zones after a notice, and whether the notice was applied. A notice
// that is not newer than z is ignored.
func (z Zones) ApplyNotice(now time.Time, n Notice) (out Zones, applied bool) {
	if n.At <= z.version {
		return z, false
	}
	out = Zones{version: n.At, since: make(map[string]time.Time, len(n.Zones))}
	for _, name := range n.Zones {
		out.since[name] = z.firstKnownAt(now, name)
	}
	return out, true
}

// firstKnownAt returns when this process learned that a zone is evacuated: now, if z does not
// contain it.
func (z Zones) firstKnownAt(now time.Time, zone string) time.Time {
	if at, ok := z.since[zone]; ok {
		return at
	}
	return now
}

// Difference returns the zones that are evacuated in z but not in old, and those that are
// evacuated in old but not in z.
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
	// startMargin is how long before the maximum delay of a request starts are held: a start
	// is sent within this time after the decision.
	startMargin = time.Second
	// minOutdatedAge is the minimum age at which starts are held: feeds are not answered
	// much more often.
	minOutdatedAge = time.Second
)

// outdatedAge returns the age above which zones are too old to start tasks, if a request must
// be obeyed within maxDelay.
func outdatedAge(maxDelay time.Duration) time.Duration {
	return max(minOutdatedAge, maxDelay/2, maxDelay-startMargin)
}

// MaxPollWait returns how long one call of a feed may wait for changes: at most limit, and
// less if requests must be obeyed within maxDelay (0 means no such bound). Zones are known as
// of the call before the latest answer, so two calls and a slow answer must take less than
// the age above which starts are held.
func MaxPollWait(maxDelay, limit time.Duration) time.Duration {
	if maxDelay <= 0 {
		return limit
	}
	return min(limit, outdatedAge(maxDelay)*3/8)
}

// Outdated reports whether zones known to be correct as of knownAt are too old to start
// tasks: a newer request may exist, which must be obeyed within maxDelay of being made. A
// maxDelay of 0 means no bound.
func Outdated(now, knownAt time.Time, maxDelay time.Duration) bool {
	return maxDelay > 0 && now.Sub(knownAt) > outdatedAge(maxDelay)
}
