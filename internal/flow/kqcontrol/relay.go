package kqcontrol

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
)

// relayTimeout limits how long the owner tries to store a request of an entry.
const relayTimeout = 1500 * time.Millisecond

// relay stores a job or a cancellation for an entry that could not store it itself.
type relay struct {
	session *Session
	submit  kqmessage.Submit
}

func (r *relay) run() error {
	c := r.session.controller
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), relayTimeout)
	defer cancel()
	s := Submitter{Store: c.config.Store, TimedStore: c.config.TimedStore}
	var o Outcome
	if r.submit.Job != nil {
		o = s.StoreJob(ctx, *r.submit.Job, RetryAlways)
	} else {
		o = s.StoreCancel(ctx, r.submit.Cancel, RetryAlways)
	}
	r.session.send(kqmessage.FromOwner{SubmitReply: &kqmessage.SubmitReply{Number: r.submit.Number, Outcome: string(o)}})
	return nil
}
