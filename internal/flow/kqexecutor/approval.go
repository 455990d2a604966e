package kqexecutor

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// approvalTimeout bounds a question to the policy service, which answers the
// questions of one machine in turn.
const approvalTimeout = 8 * time.Second

// question is one question of the owner to the policy service.
type question struct {
	executor *Executor
	ask      kqplan.ApprovalRequest
}

func (q *question) run() error {
	x := q.executor
	out := kqplan.ApprovalResponse{Step: q.ask.Step, Workers: q.ask.Workers}
	if x.config.Policy.Ask != nil {
		ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), approvalTimeout)
		answer, err := x.config.Policy.Ask(ctx, q.ask.Step, q.ids())
		cancel()
		out.Answer, out.Answered = answer, err == nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.send != nil {
		x.send(kqmessage.ToOwner{ApprovalResponse: &out})
	}
	return nil
}

// ids returns the ids of the workers asked about: the service knows no others.
func (q *question) ids() []string {
	out := make([]string, len(q.ask.Workers))
	for i, w := range q.ask.Workers {
		out[i] = w.ID()
	}
	return out
}
