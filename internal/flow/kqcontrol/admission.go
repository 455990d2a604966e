package kqcontrol

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
)

// admit takes over an entry that has connected; it returns the jobs that the entry may not reject. mu is held.
func (c *Controller) admit(now time.Time) []string {
	c.countDigests()
	return c.planner.AllUnresolved(now)
}

// entryLost notes that the stream of an entry has ended. Its attempts without an answer may be forgotten, so nothing is
// rejected for a while; mu is held.
func (c *Controller) entryLost(now time.Time, x *Session) {
	if x.hello.Role == kqmessage.RoleEntry {
		c.planner.HoldRejections(now)
	}
}

// countDigests has what waits summed up while an entry wants that; mu is held.
func (c *Controller) countDigests() {
	for _, s := range c.sessions {
		if s.hello.Role == kqmessage.RoleEntry && s.hello.WantsDigests {
			c.planner.EnableDigests(true)
			return
		}
	}
	c.planner.EnableDigests(false)
}

// takeAdmission takes what an entry tells of jobs that it has rejected or does not know the outcome of; mu is held.
func (x *Session) takeAdmission(now time.Time, m kqmessage.ToOwner) {
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

// hasNews reports whether a message tells an entry anything.
func hasNews(m kqmessage.FromOwner) bool {
	return m.States != nil || m.Pending != nil || m.Digest != nil || m.EvacuationReport != nil
}

// sendStates sends what entries are told, without a digest to one that wants none.
func (x *Session) sendStates(m kqmessage.FromOwner) {
	if !x.hello.WantsDigests {
		m.Digest = nil
	}
	if hasNews(m) {
		x.send(m)
	}
}
