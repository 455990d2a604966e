package kqexecutor

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// approvalTimeout limits a request to the policy service, which answers the requests of one
// machine one after another.
const approvalTimeout = 8 * time.Second

// approvalRequest forwards one approval request of the owner to the policy service.
type approvalRequest struct {
	executor *Executor
	request  kqplan.ApprovalRequest
}

func (r *approvalRequest) run() error {
	x := r.executor
	out := kqplan.ApprovalResponse{Step: r.request.Step, Workers: r.request.Workers}
	if x.config.Policy.RequestTickets != nil {
		ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), approvalTimeout)
		answer, err := x.config.Policy.RequestTickets(ctx, r.request.Step, r.ids())
		cancel()
		out.Answer, out.Answered = answer, err == nil
	}
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, o := range out.Answer.Omissions {
		x.logOmission(now, "tickets for step "+r.request.Step+": "+o.String())
	}
	if x.send != nil {
		x.send(kqmessage.ToOwner{ApprovalResponse: &out})
	}
	return nil
}

// ids returns the IDs of the request's workers: the policy service does not know
// incarnations.
func (r *approvalRequest) ids() []string {
	out := make([]string, len(r.request.Workers))
	for i, w := range r.request.Workers {
		out[i] = w.ID()
	}
	return out
}
