package kqdispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqadmit"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// Call admits and runs an attempt and sends its answer. An attempt that was received before
// is not run again; the answer of its first run is sent.
func (d *Dispatcher) Call(ctx context.Context, c Call, emit Emit) error {
	d.addOpenRequests(1)
	defer d.addOpenRequests(-1)
	now := d.config.Now()
	if c.Boot != "" && c.Boot != d.config.Boot {
		return emit(refusalPiece(kqresult.Errorf(kqresult.NotRunStaleAgent, "the call is for another agent process; this one is %s", d.config.Boot)), kqadmit.Load{})
	}
	answer, isNew := d.answers.Begin(now, c.ID)
	if isNew {
		if refusal := d.admit(ctx, now, c, answer); refusal != nil {
			d.answers.End(d.config.Now(), c.ID, refusal)
			d.config.Events.Emit(now, kqevent.CallAdmissionRefused, kqevent.Call(c.ID.Call), "%s", refusal)
		}
	}
	err := d.send(ctx, c.Endpoint, answer.NewReader(0, false), emit)
	if err != nil && c.Idempotent {
		d.stopIdempotent(c.ID)
	}
	return err
}

// Fetch sends the answer of an earlier attempt again, from an offset. boot is the agent
// process that ran the attempt, and age the time since the attempt was sent.
func (d *Dispatcher) Fetch(ctx context.Context, id kqanswer.ID, boot string, age time.Duration, offset uint64, headSeen bool, emit Emit) error {
	d.addOpenRequests(1)
	defer d.addOpenRequests(-1)
	if boot != d.config.Boot {
		return emit(kqanswer.Piece{Failure: kqresult.Errorf(kqresult.OutcomeUnknown, "the agent process that ran the call has ended")}, kqadmit.Load{})
	}
	answer, _ := d.answers.FindOrForbid(d.config.Now(), id, age)
	return d.send(ctx, "", answer.NewReader(offset, headSeen), emit)
}

// Cancel stops an attempt whose caller has disconnected. If it waits, it will not run. If it
// runs, it is stopped only if it is idempotent, so that the outcome of a call that is not
// idempotent stays certain.
func (d *Dispatcher) Cancel(id kqanswer.ID) {
	if !d.withdraw(id, kqresult.Errorf(kqresult.NotRunCancelled, "the caller disconnected")) {
		d.stopIdempotent(id)
	}
}

// refusalPiece returns an answer that consists of a refusal.
func refusalPiece(e *kqresult.Error) kqanswer.Piece { return kqanswer.Piece{Failure: e} }

// send reads an answer to its end and emits its parts, each with the load of the endpoint.
func (d *Dispatcher) send(ctx context.Context, endpoint string, r *kqanswer.Reader, emit Emit) error {
	for {
		p, err := r.Next(ctx)
		if err != nil {
			return err
		}
		if err := emit(p, d.load(endpoint)); err != nil {
			return err
		}
		if p.End || p.Failure != nil {
			return nil
		}
	}
}

// gateID returns the name of an attempt in the gate of its endpoint.
func gateID(id kqanswer.ID) string { return fmt.Sprintf("%s#%d", id.Call, id.Attempt) }

// admit waits for a slot and starts the call, or returns why it does not run.
func (d *Dispatcher) admit(ctx context.Context, now time.Time, c Call, a *kqanswer.Answer) *kqresult.Error {
	spec, hasClass := d.config.Class(c.Class)
	deadline := now.Add(c.DeadlineLeft)
	e, result, refusal := d.requestSlot(now, c, spec, hasClass, deadline)
	if refusal != nil {
		return refusal
	}
	if result != nil {
		if refusal := d.awaitSlot(ctx, c, result, deadline.Sub(now)); refusal != nil {
			return refusal
		}
	}
	c.DeadlineLeft = deadline.Sub(d.config.Now())
	d.startExecution(ctx, now, c, e, a)
	return nil
}

// requestSlot submits the call to the admission gate of its endpoint. The channel gets the
// result if the call has to wait; it is nil if the call has a slot immediately.
func (d *Dispatcher) requestSlot(now time.Time, c Call, spec kqmodel.ClassSpec, hasClass bool, deadline time.Time) (*endpoint, chan admissionResult, *kqresult.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.endpoints[c.Endpoint]
	switch {
	case d.draining:
		return nil, nil, kqresult.Errorf(kqresult.NotRunDraining, "the agent is shutting down")
	case !ok || e.isUnresponsive:
		return nil, nil, kqresult.Errorf(kqresult.NotRunNoEndpoint, "endpoint %q is not announced here", c.Endpoint)
	}
	request := kqadmit.Request{ID: gateID(c.ID), Deadline: deadline, NoQueue: c.NoQueue}
	if hasClass {
		request.LatencyTarget = spec.Latency.Std()
		request.Background = spec.Kind != kqmodel.KindLatencyCritical
	}
	switch decision := e.gate.Admit(now, request); decision.Verdict {
	case kqadmit.Refuse:
		return nil, nil, decision.Refusal
	case kqadmit.Wait:
		result := make(chan admissionResult, 1)
		e.waiting[request.ID] = result
		return e, result, nil
	}
	return e, nil, nil
}

// awaitSlot waits in the queue until the call gets a slot or is refused, its deadline passes
// or ctx ends. It returns nil if the call has a slot.
func (d *Dispatcher) awaitSlot(ctx context.Context, c Call, result chan admissionResult, timeLeft time.Duration) *kqresult.Error {
	t := time.NewTimer(timeLeft)
	defer t.Stop()
	select {
	case <-t.C:
		d.withdraw(c.ID, kqresult.Errorf(kqresult.NotRunDeadline, "the deadline passed while the call waited in the queue of the endpoint"))
	case <-ctx.Done():
		d.withdraw(c.ID, kqresult.Errorf(kqresult.NotRunCancelled, "the entry cancelled the call or disconnected"))
	case a := <-result:
		return a.refusal
	}
	return (<-result).refusal
}

// withdraw removes a waiting call from its queue and notifies it of the refusal. It reports
// whether the call was waiting.
func (d *Dispatcher) withdraw(id kqanswer.ID, refusal *kqresult.Error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		if e.gate.CancelQueued(gateID(id)) {
			e.notify(gateID(id), admissionResult{refusal: refusal})
			return true
		}
	}
	return false
}

// stopIdempotent stops a running call if it is idempotent.
func (d *Dispatcher) stopIdempotent(id kqanswer.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x, ok := d.executions[id]; ok && x.call.Idempotent {
		x.cancel()
	}
}
