package kqcontrol

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqdecode"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
)

// logOmissions logs what was left out of a message of the session's peer, or why the message cannot
// be decoded.
func (x *Session) logOmissions(now time.Time, omissions []kqdecode.Omission, err error) {
	events, peer := x.controller.config.Events, kqevent.Process(x.hello.Name)
	for _, o := range omissions {
		events.Emit(now, kqevent.EntryOmitted, peer, "message to the owner: %s", o)
	}
	if err != nil {
		events.Emit(now, kqevent.EntryOmitted, peer, "message to the owner cannot be decoded, its stream is closed: %v", kqdecode.NewOmission("message", err))
	}
}
