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

// Call admits and runs an attempt and sends its answer. An attempt that was
// seen before is not run again; its answer is sent.
func (d *Dispatcher) Call(ctx context.Context, c Call, emit Emit) error {
	d.count(1)
	defer d.count(-1)
	now := d.config.Now()
	if c.Boot != "" && c.Boot != d.config.Boot {
		return emit(refused(kqresult.Errorf(kqresult.NotRunStaleAgent, "the agent is process %s", d.config.Boot)), kqadmit.Load{})
	}
	answer, fresh := d.answers.Begin(now, c.ID)
	if fresh {
		if refusal := d.admit(ctx, now, c, answer); refusal != nil {
			d.answers.End(d.config.Now(), c.ID, refusal)
			d.config.Events.Emit(now, kqevent.CallAdmissionRefused, kqevent.Call(c.ID.Call), "%s", refusal)
		}
	}
	err := d.send(ctx, c.Endpoint, answer.NewReader(0, false), emit)
	if err != nil && c.Idempotent {
		d.stop(c.ID)
	}
	return err
}

// Fetch sends the answer of an attempt again, from an offset.
func (d *Dispatcher) Fetch(ctx context.Context, id kqanswer.ID, boot string, age time.Duration, offset uint64, headSeen bool, emit Emit) error {
	d.count(1)
	defer d.count(-1)
	if boot != d.config.Boot {
		return emit(kqanswer.Piece{Failure: kqresult.Errorf(kqresult.OutcomeUnknown, "the agent process that ran the call is gone")}, kqadmit.Load{})
	}
	a, _ := d.answers.FindOrForbid(d.config.Now(), id, age)
	return d.send(ctx, "", a.NewReader(offset, headSeen), emit)
}

// Cancel stops an attempt whose caller has left. One that waits does not run;
// one that runs is stopped only if it is idempotent, so that the outcome of any
// other stays certain.
func (d *Dispatcher) Cancel(id kqanswer.ID) {
	if !d.withdraw(id, kqresult.Errorf(kqresult.NotRunCancelled, "the caller left")) {
		d.stop(id)
	}
}

func refused(e *kqresult.Error) kqanswer.Piece { return kqanswer.Piece{Failure: e} }

// send reads an answer to its end.
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

func gateID(id kqanswer.ID) string { return fmt.Sprintf("%s#%d", id.Call, id.Attempt) }

// admit waits for a slot and starts the call, or returns why it does not run.
func (d *Dispatcher) admit(ctx context.Context, now time.Time, c Call, a *kqanswer.Answer) *kqresult.Error {
	spec, known := d.config.Class(c.Class)
	deadline := now.Add(c.DeadlineLeft)
	e, news, refusal := d.arrive(now, c, spec, known, deadline)
	if refusal != nil {
		return refusal
	}
	if news != nil {
		if refusal := d.await(ctx, c, news, deadline.Sub(now)); refusal != nil {
			return refusal
		}
	}
	c.DeadlineLeft = deadline.Sub(d.config.Now())
	d.begin(ctx, now, c, e, a)
	return nil
}

// arrive asks the gate; news is nil if the call has a slot at once.
func (d *Dispatcher) arrive(now time.Time, c Call, spec kqmodel.ClassSpec, known bool, deadline time.Time) (*endpoint, chan admission, *kqresult.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.endpoints[c.Endpoint]
	switch {
	case d.draining:
		return nil, nil, kqresult.Errorf(kqresult.NotRunDraining, "the agent is shutting down")
	case !ok || e.silent:
		return nil, nil, kqresult.Errorf(kqresult.NotRunNoEndpoint, "endpoint %q is not announced here", c.Endpoint)
	}
	r := kqadmit.Request{ID: gateID(c.ID), Deadline: deadline, NoQueue: c.NoQueue}
	if known {
		r.LatencyTarget = spec.Latency.Std()
		r.Background = spec.Kind != kqmodel.KindLatencyCritical
	}
	switch v := e.gate.Admit(now, r); v.Verdict {
	case kqadmit.Refuse:
		return nil, nil, v.Refusal
	case kqadmit.Wait:
		news := make(chan admission, 1)
		e.waiting[r.ID] = news
		return e, news, nil
	}
	return e, nil, nil
}

// await waits in the queue.
func (d *Dispatcher) await(ctx context.Context, c Call, news chan admission, left time.Duration) *kqresult.Error {
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-t.C:
		d.withdraw(c.ID, kqresult.Errorf(kqresult.NotRunDeadline, "the deadline passed in the queue"))
	case <-ctx.Done():
		d.withdraw(c.ID, kqresult.Errorf(kqresult.NotRunCancelled, "the entry gave the call up"))
	case a := <-news:
		return a.refusal
	}
	return (<-news).refusal
}

// withdraw takes a waiting call out of its queue, and reports whether it was
// there.
func (d *Dispatcher) withdraw(id kqanswer.ID, why *kqresult.Error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		if e.gate.CancelQueued(gateID(id)) {
			e.tell(gateID(id), admission{refusal: why})
			return true
		}
	}
	return false
}

// stop ends a running idempotent call.
func (d *Dispatcher) stop(id kqanswer.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x, ok := d.runs[id]; ok && x.call.Idempotent {
		x.cancel()
	}
}
