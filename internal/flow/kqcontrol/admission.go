package kqcontrol

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
)

// entryConnected enables digests if a newly connected entry wants them, and returns the jobs
// that the entry must not reject. mu is held.
func (c *Controller) entryConnected(now time.Time) []string {
	c.updateDigests()
	return c.planner.AllUnresolved(now)
}

// entryDisconnected holds rejections for a while after the stream of an entry has ended:
// the entry's attempts to store jobs that have no answer yet may be forgotten. mu is held.
func (c *Controller) entryDisconnected(now time.Time, x *Session) {
	if x.hello.Role == kqmessage.RoleEntry {
		c.planner.HoldRejections(now)
	}
}

// updateDigests enables digests of the waiting work while a connected entry wants them.
// mu is held.
func (c *Controller) updateDigests() {
	for _, s := range c.sessions {
		if s.hello.Role == kqmessage.RoleEntry && s.hello.WantsDigests {
			c.planner.EnableDigests(true)
			return
		}
	}
	c.planner.EnableDigests(false)
}

// handleAdmission records the jobs that an entry has rejected, and the jobs of which the
// entry does not know whether they are stored. The latter are passed on to the other
// entries. mu is held.
func (x *Session) handleAdmission(now time.Time, m kqmessage.ToOwner) {
	c := x.controller
	if m.Rejected != nil {
		c.planner.RecordRejection(now, *m.Rejected)
	}
	if len(m.Unresolved) == 0 {
		return
	}
	c.planner.MarkUnresolved(now, m.Unresolved)
	for _, s := range c.sessions {
		if s != x && s.hello.Role == kqmessage.RoleEntry && s.hello.WantsDigests {
			s.send(kqmessage.FromOwner{Unresolved: m.Unresolved})
		}
	}
}

// hasUpdates reports whether a message carries any update for an entry.
func hasUpdates(m kqmessage.FromOwner) bool {
	return m.States != nil || m.Pending != nil || m.Digest != nil || m.EvacuationReport != nil
}

// sendStates sends an update to an entry, without the digest if the entry does not want it.
func (x *Session) sendStates(m kqmessage.FromOwner) {
	if !x.hello.WantsDigests {
		m.Digest = nil
	}
	if hasUpdates(m) {
		x.sendList(m)
	}
}
