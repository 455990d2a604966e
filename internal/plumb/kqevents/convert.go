// Package kqevents converts events to and from their messages on the wire.
package kqevents

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// ToWire converts events to messages.
func ToWire(events []kqevent.Event) []*kqwire.Event {
	out := make([]*kqwire.Event, 0, len(events))
	for _, e := range events {
		out = append(out, &kqwire.Event{Number: uint32(e.Number), Name: e.Number.String(), At: e.At.UnixNano(),
			Process: e.Process, Kind: e.Subject.Kind, Id: e.Subject.ID, Text: e.Text})
	}
	return out
}

// FromWire converts messages to events.
func FromWire(events []*kqwire.Event) []kqevent.Event {
	out := make([]kqevent.Event, 0, len(events))
	for _, e := range events {
		out = append(out, kqevent.Event{Number: kqevent.Number(e.Number), At: time.Unix(0, e.At).UTC(), Process: e.Process,
			Subject: kqevent.Subject{Kind: e.Kind, ID: e.Id}, Text: e.Text})
	}
	return out
}
