// Package kqelect decides when a process acquires the ownership of a cell. It does no I/O:
// callers pass the current time and what they have read from the store.
package kqelect

import "time"

// Action is the next step of a process.
type Action int

// Actions.
const (
	// ActionWait means to read the store again later.
	ActionWait Action = iota
	// ActionDial means to connect to the owner.
	ActionDial
	// ActionAcquire means to acquire the ownership.
	ActionAcquire
)

const (
	// heartbeatResponseTimes is the heartbeat timeout in response times of the store: an owner's
	// heartbeat may have to wait for other writes.
	heartbeatResponseTimes = 6
	// unreachableResponseTimes is the same for an owner that cannot be connected to. While the
	// store is slow an owner has one write in flight, so its heartbeat changes with every
	// second or third answer. With six response times, leases of 6 s ended before a successor
	// could grant new ones.
	unreachableResponseTimes = 4
	// maxJitter and minJitter limit the window over which the candidates that want to
	// acquire a cell are spread.
	maxJitter = time.Minute
	minJitter = 40 * time.Millisecond
	// HeartbeatTimeout is the time without a heartbeat after which an owner is presumed dead.
	HeartbeatTimeout = 1200 * time.Millisecond
	// UnreachableTimeout is the same for an owner that cannot be connected to.
	UnreachableTimeout = 500 * time.Millisecond
)

// Owner holds the ownership row and the heartbeat of a cell as read from the store.
type Owner struct {
	// Name is the name of the owner's host; empty if no process owns the cell.
	Name string
	// Boot identifies the owner's process.
	Boot string
	// Version is the version of the ownership row.
	Version uint64
	// HeartbeatVersion is the version of the heartbeat row.
	HeartbeatVersion uint64
}

// Config describes the process that uses an Observer.
type Config struct {
	// Name is the name of this process's host, Boot identifies the process.
	Name string
	Boot string
	// Candidate is true if this process may own the cell.
	Candidate bool
}

// Observer tracks the observed owner of a cell and whether it is alive.
type Observer struct {
	config Config
	owner  Owner
	// changedAt is when the ownership or its heartbeat was last seen to change.
	changedAt time.Time
	readAt    time.Time
	// isUnreachable is true if the latest connection to the owner failed.
	isUnreachable bool
	// storeLatency is the response time of the latest read.
	storeLatency time.Duration
}

// New returns an Observer that has not observed an owner yet.
func New(c Config) *Observer { return &Observer{config: c} }

// Observe records the owner as read from the store by a call that took latency. A gap
// between two reads that exceeds the heartbeat timeout does not count as time without a
// heartbeat.
func (o *Observer) Observe(now time.Time, w Owner, latency time.Duration) {
	o.storeLatency = latency
	if w != o.owner {
		// The connection may have failed because the owner had only just acquired the cell.
		o.isUnreachable = false
	}
	if w != o.owner || o.changedAt.IsZero() || now.Sub(o.readAt) > o.timeout(HeartbeatTimeout, heartbeatResponseTimes) {
		o.changedAt = now
	}
	o.owner, o.readAt = w, now
}

// timeout returns the time without a heartbeat after which the owner is presumed dead:
// minTimeout or, if longer, a number of response times of the store. While the store is slow
// the owner's heartbeats are late, and those of a successor would be as late.
func (o *Observer) timeout(minTimeout time.Duration, responseTimes int) time.Duration {
	return max(minTimeout, time.Duration(responseTimes)*o.storeLatency)
}

// JitterWindow returns the window from which each candidate draws its random delay before it
// acquires the cell. It is proportional to the number of candidates, so that about one tries
// per response time of the store and the next finds that the cell is taken. The store
// applies the writes of a cell one after another: if all candidates wrote at once, their
// writes would delay the heartbeats of the new owner.
func (o *Observer) JitterWindow(candidates int) time.Duration {
	return min(maxJitter, max(minJitter, time.Duration(candidates)*o.storeLatency))
}

// ConnectFailed records that the owner could not be reached at its address.
func (o *Observer) ConnectFailed() { o.isUnreachable = true }

// Connected records that a connection to the owner was established.
func (o *Observer) Connected() { o.isUnreachable = false }

// Evidence is what an Observer knows against an owner.
type Evidence struct {
	// HeartbeatAge is how long the ownership and its heartbeat have been observed without a
	// change.
	HeartbeatAge time.Duration
	// Unreachable is true if the latest connection to the owner failed.
	Unreachable bool
	// StoreLatency is the response time of the latest read of the ownership.
	StoreLatency time.Duration
}

// Evidence returns what is known against the observed owner.
func (o *Observer) Evidence(now time.Time) Evidence {
	return Evidence{HeartbeatAge: now.Sub(o.changedAt), Unreachable: o.isUnreachable, StoreLatency: o.storeLatency}
}

// Next returns the next action. It is called after an Observe at the same time.
func (o *Observer) Next(now time.Time) Action {
	sinceChange := now.Sub(o.changedAt)
	switch {
	case o.owner.Name == o.config.Name && o.owner.Boot == o.config.Boot && !o.isUnreachable:
		return ActionDial
	case !o.config.Candidate && o.owner.Name == "":
		return ActionWait
	case !o.config.Candidate:
		return ActionDial
	case o.owner.Name == "" || o.owner.Name == o.config.Name:
		return ActionAcquire
	case sinceChange >= o.timeout(HeartbeatTimeout, heartbeatResponseTimes), o.isUnreachable && sinceChange >= o.timeout(UnreachableTimeout, unreachableResponseTimes):
		return ActionAcquire
	case o.isUnreachable:
		return ActionWait
	}
	return ActionDial
}

const (
	// stallTime is how long the heartbeat of a connected owner must have been observed without a
	// change: two heartbeat intervals and a read. One that is short of processor time writes it
	// late.
	stallTime = 850 * time.Millisecond
	// stallResponseTimes is the same in response times of the store: while the store is slow an
	// owner has one write in flight, and the next one waits for its answer.
	stallResponseTimes = 3
)

// OwnerReport is what an owner has told a connected process about its ownership.
type OwnerReport struct {
	// At is when the report arrived.
	At time.Time
	// ConfirmationAge is the age of the owner's latest confirmation by the store when it sent
	// the report.
	ConfirmationAge time.Duration
}

// ConfirmedAt returns when the store confirmed the owner by the latest report.
func (r OwnerReport) ConfirmedAt() time.Time { return r.At.Add(-r.ConfirmationAge) }

// ShouldReplace reports whether to replace an owner although it is connected: the latest
// confirmation that it has reported is older than the heartbeat timeout, and its heartbeat is
// stalled. The report alone says little, because an owner that is short of processor time sends
// reports late, and an agent whose worker is unresponsive gets none.
func (o *Observer) ShouldReplace(now time.Time, r OwnerReport) bool {
	return o.config.Candidate && now.Sub(r.ConfirmedAt()) >= o.timeout(HeartbeatTimeout, heartbeatResponseTimes) &&
		now.Sub(o.changedAt) >= max(stallTime, stallResponseTimes*o.storeLatency)
}
