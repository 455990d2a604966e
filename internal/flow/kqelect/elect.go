// Package kqelect decides when a process takes the ownership of a cell. It does
// no I/O: the present time is an argument.
package kqelect

import "time"

// Action is what a process does next.
type Action int

// Actions.
const (
	// ActionWait looks at the store again later.
	ActionWait Action = iota
	// ActionDial connects to the owner.
	ActionDial
	// ActionTake takes the ownership.
	ActionAcquire
)

const (
	// storeFactor is how many of the store's answers an owner may take between two
	// beats: it waits for other writes before its own.
	storeFactor = 6
	// refusedFactor is the same for an owner that cannot be connected to. Its beat moves
	// each second or third answer, since it has one write under way while the store is
	// slow; with six answers the leases of 6 s ended before a successor granted others.
	refusedFactor = 4
	// mostSpread bounds for how long the candidates to follow an owner are spread.
	mostSpread  = time.Minute
	leastSpread = 40 * time.Millisecond
	// SilenceBound is after how long without a beat an owner is taken for gone.
	HeartbeatTimeout = 1200 * time.Millisecond
	// RefusedBound is the same for an owner that cannot be connected to.
	UnreachableTimeout = 500 * time.Millisecond
)

// Owner is the ownership as read.
type Owner struct {
	// Name names the owner's host; empty if nobody owns the cell.
	Name string
	// Boot names the owner's process.
	Boot string
	// Version is the version of the ownership's row.
	Version uint64
	// Beat is the version of the row of beats.
	HeartbeatVersion uint64
}

// Config sets up an Observer.
type Config struct {
	// Name and Boot name this process.
	Name string
	Boot string
	// Candidate is true if this process may own the cell.
	Candidate bool
}

// Observer remembers what was seen of an owner.
type Observer struct {
	config  Config
	owner   Owner
	movedAt time.Time
	readAt  time.Time
	refused bool
	// took is how long the store's latest answer took.
	took time.Duration
}

// New returns an Observer that has seen nothing.
func New(c Config) *Observer { return &Observer{config: c} }

// Read takes over what the store says, after it was asked for some time.
func (o *Observer) Observe(now time.Time, w Owner, took time.Duration) {
	o.took = took
	if w != o.owner {
		// An owner that has just taken the cell may have been dialled too early.
		o.refused = false
	}
	if w != o.owner || o.movedAt.IsZero() || now.Sub(o.readAt) > o.bound(HeartbeatTimeout, storeFactor) {
		o.movedAt = now
	}
	o.owner, o.readAt = w, now
}

// bound returns after how long without a beat the owner is taken for gone, given the
// time for a store that answers at once, and a number of answers for one that does not:
// while the store is slow the owner's beats are, and a successor's would be no faster.
func (o *Observer) bound(usual time.Duration, answers int) time.Duration {
	return max(usual, time.Duration(answers)*o.took)
}

// Spread returns over what time the candidates to follow an owner are spread, by how
// many processes the cell has: about one comes in the time of an answer of the store,
// and finds by then that another has come before. The store carries the writes of a cell out one after another, so that all at
// once they would keep out the beats of the owner that follows.
func (o *Observer) JitterWindow(peers int) time.Duration {
	return min(mostSpread, max(leastSpread, time.Duration(peers)*o.took))
}

// Refused notes that the owner's address does not lead to the owner.
func (o *Observer) ConnectFailed() { o.refused = true }

// Linked notes that the owner was connected to.
func (o *Observer) Connected() { o.refused = false }

// Next returns what to do after a Read at the same time.
func (o *Observer) Next(now time.Time) Action {
	silent := now.Sub(o.movedAt)
	switch {
	case o.owner.Name == o.config.Name && o.owner.Boot == o.config.Boot && !o.refused:
		return ActionDial
	case !o.config.Candidate && o.owner.Name == "":
		return ActionWait
	case !o.config.Candidate:
		return ActionDial
	case o.owner.Name == "" || o.owner.Name == o.config.Name:
		return ActionAcquire
	case silent >= o.bound(HeartbeatTimeout, storeFactor), o.refused && silent >= o.bound(UnreachableTimeout, refusedFactor):
		return ActionAcquire
	case o.refused:
		return ActionWait
	}
	return ActionDial
}

const (
	// stillBound is for how long a beat must have stood still while it was watched.
	stillBound = 400 * time.Millisecond
	// stillAnswers is the same in answers of the store: an owner has one write under
	// way while the store is slow, and the next one waits for its answer.
	stillAnswers = 3
)

// Unconfirmed reports whether to replace an owner that is connected: by its own
// word the store has not confirmed it since a time, and the beat stands still.
func (o *Observer) ShouldReplace(now, confirmed time.Time) bool {
	return o.config.Candidate && now.Sub(confirmed) >= o.bound(HeartbeatTimeout, storeFactor) && now.Sub(o.movedAt) >= max(stillBound, stillAnswers*o.took)
}
