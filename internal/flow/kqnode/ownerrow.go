package kqnode

import (
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqdecode"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
)

// withKnownEpoch returns the ownership row with an epoch that is not below the latest known one: that
// of the heartbeat, which each owner writes before its first lease and with its first order, or one
// that was read before. The row of another writer may have none, and the next owner's epoch, which is
// its fencing token, must be higher than that of every owner before.
func (n *Node) withKnownEpoch(owner kqcontrol.OwnerRow, heartbeatEpoch uint64) kqcontrol.OwnerRow {
	latest := heartbeatEpoch
	if len(n.epochs) > 0 {
		latest = max(latest, n.epochs[len(n.epochs)-1].Epoch)
	}
	if latest > owner.Epoch {
		owner.Epoch, owner.LeasesRecorded = latest, false
	}
	return owner
}

// logUnreadable logs once that a version of the ownership row cannot be decoded.
func (n *Node) logUnreadable(version uint64, err error) {
	if version != n.loggedVersion {
		n.loggedVersion = version
		c := n.config.Control
		c.Events.Emit(c.Now(), kqevent.RowUnreadable, kqevent.Process(c.Name), "unreadable ownership row: %v", err)
	}
}

// logOmissions logs what was left out of a message of the owner, or why the message cannot be decoded.
func (n *Node) logOmissions(omissions []kqdecode.Omission, err error) {
	c := n.config.Control
	for _, o := range omissions {
		c.Events.Emit(c.Now(), kqevent.EntryOmitted, kqevent.Process(c.Name), "message of the owner: %s", o)
	}
	if err != nil {
		c.Events.Emit(c.Now(), kqevent.EntryOmitted, kqevent.Process(c.Name), "message of the owner cannot be decoded, its stream is closed: %v", kqdecode.NewOmission("message", err))
	}
}
