// Package kqowner acquires and renews the ownership of a cell, gives it up when another
// process has replaced the owner, and exchanges the heartbeats between a worker and the owner
// of its cell.
package kqowner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqchart"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
)

const (
	// suspectTimeout is the time without a reply of the owner after which the ownership row
	// is read.
	suspectTimeout = 700 * time.Millisecond
	// ownerTimeout is the time without a reply after which an owner may be replaced.
	ownerTimeout = 1200 * time.Millisecond
	// rowTimeout is how long the row must be unchanged before the owner is replaced; a live
	// owner writes it more often.
	rowTimeout = 800 * time.Millisecond
	// storeTimeout is how long an owner may get no response from the table before a worker
	// that reaches the table replaces the owner.
	storeTimeout = 6 * time.Second
	// rankDelay is the delay between candidates of consecutive ranks.
	rankDelay = 300 * time.Millisecond
	// maxRank limits the rank, and so the delay of the last candidate.
	maxRank = 6
)

// chart is the state machine of the ownership.
var chart = kqchart.MustLoad("ownership")

// States and events of the ownership chart.
const (
	stateFollower  = "follower"
	stateCandidate = "candidate"
	stateOwner     = "owner"

	eventOwnerSilent = "owner_silent"
	eventOwnerHeard  = "owner_heard"
	eventLostRace    = "lost_race"
	eventWonRace     = "won_race"
	eventSuperseded  = "superseded"
)

// Action is the next step of a follower.
type Action int

// Actions.
const (
	// ActionNone waits.
	ActionNone Action = iota
	// ActionReadRow reads the ownership row.
	ActionReadRow
	// ActionAcquire tries to acquire the ownership.
	ActionAcquire
)

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	// Cell names the cell.
	Cell string
	// Self names the worker of this process.
	Self string
	// Boot identifies the agent process.
	Boot string
	// Counter counts violated invariants; may be nil.
	Counter *kqinvariant.Counter
}

// Follower decides when a worker acquires the ownership of its cell. It does no I/O and is
// not safe for concurrent use.
type Follower struct {
	config         FollowerConfig
	state          string
	row            kqcell.OwnershipRow
	rowFound       bool
	rowVersion     uint64
	rowRead        bool
	rowReadAt      time.Time
	rowChangedAt   time.Time
	lastReplyAt    time.Time
	ownerCutOff    bool
	members        []kqcell.Member
	membersVersion uint64
	highestEpoch   uint64
}

// NewFollower returns a Follower that knows no owner.
func NewFollower(now time.Time, c FollowerConfig) *Follower {
	return &Follower{config: c, state: chart.Initial(), lastReplyAt: now, rowChangedAt: now}
}

func (f *Follower) transition(event string) {
	next, err := chart.Next(f.state, event)
	f.config.Counter.Check(err == nil, kqinvariant.TransitionNotInChart, "cell %s: %v", f.config.Cell, err)
	f.state = next
}

// Owner returns the ownership row as last read; found is false if there is none.
func (f *Follower) Owner() (row kqcell.OwnershipRow, version uint64, found bool) {
	return f.row, f.rowVersion, f.rowFound
}

// IsOwner reports whether this process owns the cell.
func (f *Follower) IsOwner() bool { return f.state == stateOwner }

// HighestEpoch returns the highest epoch seen in a reply or row.
func (f *Follower) HighestEpoch() uint64 { return f.highestEpoch }

// ApplyReply records a reply of the owner and reports whether it is valid. The reply of an
// owner whose epoch is below the highest seen is not: another has replaced it.
func (f *Follower) ApplyReply(now time.Time, r kqcell.Reply) bool {
	if r.Epoch < f.highestEpoch {
		return false
	}
	f.highestEpoch, f.lastReplyAt = r.Epoch, now
	if r.Members != nil && r.MembersVersion > f.membersVersion {
		f.members, f.membersVersion = r.Members, r.MembersVersion
	}
	f.ownerCutOff = r.StoreResponseAge > storeTimeout
	if f.state == stateCandidate && !f.ownerCutOff {
		f.transition(eventOwnerHeard)
	}
	return true
}

// ApplyRow records the ownership row as read from the table.
func (f *Follower) ApplyRow(now time.Time, row kqcell.OwnershipRow, version uint64, found bool) {
	if !f.rowRead || version != f.rowVersion {
		f.rowChangedAt = now
	}
	if row.Epoch != f.row.Epoch {
		f.lastReplyAt = now
	}
	f.row, f.rowVersion, f.rowFound, f.rowRead, f.rowReadAt = row, version, found, true, now
	f.highestEpoch = max(f.highestEpoch, row.Epoch)
}

// rowReadInterval is the time between two reads of the row while the owner is suspected.
const rowReadInterval = 300 * time.Millisecond

// Next returns the next step at the current time.
func (f *Follower) Next(now time.Time) Action {
	if f.state == stateOwner {
		return ActionNone
	}
	if !f.rowRead {
		return f.readRow(now)
	}
	if !f.suspectsOwner(now) {
		return ActionNone
	}
	if now.Sub(f.rowReadAt) >= rowReadInterval {
		return f.readRow(now)
	}
	if !f.namesPriorProcess() && (!f.shouldReplace(now) || now.Sub(f.rowChangedAt) < rowTimeout+f.acquireDelay()) {
		return ActionNone
	}
	if f.state == stateFollower {
		f.transition(eventOwnerSilent)
	}
	return ActionAcquire
}

// shouldReplace reports whether there is no owner, the owner has not replied for
// ownerTimeout, or it has been cut off from the table for storeTimeout.
func (f *Follower) shouldReplace(now time.Time) bool {
	return !f.rowFound || f.ownerCutOff || now.Sub(f.lastReplyAt) >= ownerTimeout
}

func (f *Follower) readRow(now time.Time) Action {
	f.rowReadAt = now
	return ActionReadRow
}

// suspectsOwner reports whether the owner may have to be replaced, so that the ownership row
// must be read.
func (f *Follower) suspectsOwner(now time.Time) bool {
	return !f.rowFound || f.namesPriorProcess() || f.ownerCutOff || now.Sub(f.lastReplyAt) >= suspectTimeout
}

// namesPriorProcess reports whether the row names an earlier process of this worker. Such an
// owner is replaced without a delay.
func (f *Follower) namesPriorProcess() bool {
	return f.rowFound && f.row.Owner == f.config.Self && f.row.Boot != f.config.Boot
}

// acquireDelay returns the delay of this worker before it acquires the ownership. It grows
// with the worker's rank among the members, without the owner, by rendezvous hash, so that
// candidates do not write at the same time. Without a member list the rank is derived from
// the hash.
func (f *Follower) acquireDelay() time.Duration {
	ownHash := f.rendezvousHash(f.config.Self)
	rank := 0
	for _, m := range f.members {
		isOwner := f.rowFound && m.ID == f.row.Owner
		if m.ID != f.config.Self && !isOwner && f.rendezvousHash(m.ID) > ownHash {
			rank++
		}
	}
	if len(f.members) == 0 {
		rank = int(ownHash % maxRank)
	}
	return time.Duration(min(rank, maxRank)) * rankDelay
}

// rendezvousHash returns the rendezvous hash of a member. It depends on the cell and on the
// last epoch read, so that the ranks differ from one acquisition to the next.
func (f *Follower) rendezvousHash(member string) uint64 {
	h := xxhash.New()
	for _, s := range []string{f.config.Cell, member} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0, byte(f.row.Epoch)})
	}
	return h.Sum64()
}

// NextOwnership returns the ownership row to write in order to acquire the ownership, with the
// next epoch, and the version of the row that the write is conditional on.
func (f *Follower) NextOwnership(next kqcell.OwnershipRow) (row kqcell.OwnershipRow, version uint64) {
	if f.state == stateFollower {
		f.transition(eventOwnerSilent)
	}
	next.Epoch = max(f.row.Epoch, f.highestEpoch) + 1
	return next, f.rowVersion
}

// Acquired records that this process acquired the ownership.
func (f *Follower) Acquired(now time.Time, row kqcell.OwnershipRow, version uint64) {
	f.transition(eventWonRace)
	f.ApplyRow(now, row, version, true)
	f.lastReplyAt, f.ownerCutOff = now, false
}

// AcquireFailed records that another process acquired the ownership, or that the table did
// not commit the write or answer the reads of the cell's state.
func (f *Follower) AcquireFailed(now time.Time) {
	if f.state == stateCandidate {
		f.transition(eventLostRace)
	}
	f.rowChangedAt = now
	f.rowReadAt = time.Time{}
}

// OwnershipLost records that another process replaced this owner.
func (f *Follower) OwnershipLost(now time.Time) {
	if f.state == stateOwner {
		f.transition(eventSuperseded)
	}
	f.rowRead = false
	f.lastReplyAt, f.rowChangedAt = now, now
}

// MembersVersion returns the version of the last received member list.
func (f *Follower) MembersVersion() uint64 { return f.membersVersion }

// Members returns the workers of the cell as last received from the owner.
func (f *Follower) Members() []kqcell.Member { return slices.Clone(f.members) }
