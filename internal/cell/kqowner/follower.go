// Package kqowner takes, keeps and gives up the ownership of a cell, and
// carries the heartbeats between a worker and the owner of its cell.
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
	// ownerDoubt is after how much silence the ownership row is watched.
	ownerDoubt = 700 * time.Millisecond
	// ownerSilence is after how much silence an owner may be replaced.
	ownerSilence = 1200 * time.Millisecond
	// rowSilence is how long the row must stand still meanwhile; a live owner
	// moves it more often.
	rowSilence = 800 * time.Millisecond
	// storeSilence is how long an owner may be cut off from the table before
	// others that reach it replace the owner.
	storeSilence = 6 * time.Second
	// rankDelay separates the candidates for a cell.
	rankDelay = 300 * time.Millisecond
	// maxRank bounds the delay of the last candidate.
	maxRank = 6
)

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

// Action is what a follower does next.
type Action int

// Actions.
const (
	// ActNone waits.
	ActionNone Action = iota
	// ActReadRow reads the ownership row.
	ActionReadRow
	// ActTake tries to take the ownership.
	ActionAcquire
)

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	// Cell names the cell.
	Cell string
	// Self names the worker.
	Self string
	// Boot names the agent process.
	Boot string
	// Counter receives breaches; nil counts none.
	Counter *kqinvariant.Counter
}

// Follower decides when a worker takes the ownership of its cell. It is not
// safe for concurrent use.
type Follower struct {
	config      FollowerConfig
	state       string
	row         kqcell.OwnershipRow
	found       bool
	version     uint64
	read        bool
	readAt      time.Time
	movedAt     time.Time
	heardAt     time.Time
	storeBad    bool
	members     []kqcell.Member
	membersSeen uint64
	highest     uint64
}

// NewFollower returns a Follower that knows no owner.
func NewFollower(now time.Time, c FollowerConfig) *Follower {
	return &Follower{config: c, state: chart.Initial(), heardAt: now, movedAt: now}
}

func (f *Follower) step(event string) {
	next, err := chart.Next(f.state, event)
	f.config.Counter.Check(err == nil, kqinvariant.TransitionNotInChart, "cell %s: %v", f.config.Cell, err)
	f.state = next
}

// Owner returns the ownership as last read; found is false while there is none.
func (f *Follower) Owner() (row kqcell.OwnershipRow, version uint64, found bool) {
	return f.row, f.version, f.found
}

// Owning reports whether this process holds the ownership.
func (f *Follower) IsOwner() bool { return f.state == stateOwner }

// Highest returns the highest epoch seen.
func (f *Follower) HighestEpoch() uint64 { return f.highest }

// Heard notes an answer of the owner and reports whether it may be obeyed: an
// owner with an epoch below the highest seen may not.
func (f *Follower) ApplyReply(now time.Time, r kqcell.Reply) bool {
	if r.Epoch < f.highest {
		return false
	}
	f.highest, f.heardAt = r.Epoch, now
	if r.Members != nil && r.MembersVersion > f.membersSeen {
		f.members, f.membersSeen = r.Members, r.MembersVersion
	}
	f.storeBad = r.StoreResponseAge > storeSilence
	if f.state == stateCandidate && !f.storeBad {
		f.step(eventOwnerHeard)
	}
	return true
}

// Row notes the ownership as read from the table.
func (f *Follower) ApplyRow(now time.Time, row kqcell.OwnershipRow, version uint64, found bool) {
	if !f.read || version != f.version {
		f.movedAt = now
	}
	if row.Epoch != f.row.Epoch {
		f.heardAt = now
	}
	f.row, f.version, f.found, f.read, f.readAt = row, version, found, true, now
	f.highest = max(f.highest, row.Epoch)
}

// readInterval is between two reads of the row while the owner is silent.
const readInterval = 300 * time.Millisecond

// Next returns what to do at the present time.
func (f *Follower) Next(now time.Time) Action {
	if f.state == stateOwner {
		return ActionNone
	}
	if !f.read {
		return f.readRow(now)
	}
	if !f.doubtful(now) {
		return ActionNone
	}
	if now.Sub(f.readAt) >= readInterval {
		return f.readRow(now)
	}
	if !f.orphaned() && (!f.silent(now) || now.Sub(f.movedAt) < rowSilence+f.delay()) {
		return ActionNone
	}
	if f.state == stateFollower {
		f.step(eventOwnerSilent)
	}
	return ActionAcquire
}

// silent reports whether the owner has not been heard for so long, or is cut
// off from the table for so long, that it is to be replaced.
func (f *Follower) silent(now time.Time) bool {
	return !f.found || f.storeBad || now.Sub(f.heardAt) >= ownerSilence
}

func (f *Follower) readRow(now time.Time) Action {
	f.readAt = now
	return ActionReadRow
}

// doubtful reports whether the owner may have to be replaced.
func (f *Follower) doubtful(now time.Time) bool {
	return !f.found || f.orphaned() || f.storeBad || now.Sub(f.heardAt) >= ownerDoubt
}

// orphaned reports whether the row names an earlier process of this worker.
func (f *Follower) orphaned() bool {
	return f.found && f.row.Owner == f.config.Self && f.row.Boot != f.config.Boot
}

// delay ranks the live members, so that the candidates do not race.
func (f *Follower) delay() time.Duration {
	mine := f.weight(f.config.Self)
	rank := 0
	for _, m := range f.members {
		dead := f.found && m.ID == f.row.Owner
		if m.ID != f.config.Self && !dead && f.weight(m.ID) > mine {
			rank++
		}
	}
	if len(f.members) == 0 {
		rank = int(mine % maxRank)
	}
	return time.Duration(min(rank, maxRank)) * rankDelay
}

// weight is the rendezvous hash of a member for the next epoch of the cell.
func (f *Follower) weight(member string) uint64 {
	h := xxhash.New()
	for _, s := range []string{f.config.Cell, member} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0, byte(f.row.Epoch)})
	}
	return h.Sum64()
}

// Candidacy returns the ownership to write, conditional on the version read.
func (f *Follower) NextOwnership(next kqcell.OwnershipRow) (row kqcell.OwnershipRow, version uint64) {
	if f.state == stateFollower {
		f.step(eventOwnerSilent)
	}
	next.Epoch = max(f.row.Epoch, f.highest) + 1
	return next, f.version
}

// Won notes that the ownership was taken.
func (f *Follower) Acquired(now time.Time, row kqcell.OwnershipRow, version uint64) {
	f.step(eventWonRace)
	f.ApplyRow(now, row, version, true)
	f.heardAt, f.storeBad = now, false
}

// LostRace notes that another took the ownership, or that the table did not
// take the write.
func (f *Follower) AcquireFailed(now time.Time) {
	if f.state == stateCandidate {
		f.step(eventLostRace)
	}
	f.movedAt = now
	f.readAt = time.Time{}
}

// Superseded notes that the ownership held was lost.
func (f *Follower) OwnershipLost(now time.Time) {
	if f.state == stateOwner {
		f.step(eventSuperseded)
	}
	f.read = false
	f.heardAt, f.movedAt = now, now
}

// MembersSeen returns the version of the members as last heard.
func (f *Follower) MembersVersion() uint64 { return f.membersSeen }

// Members returns the workers of the cell as last heard.
func (f *Follower) Members() []kqcell.Member { return slices.Clone(f.members) }
