package kqexecutor

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// lateStart is a start that was not answered. Any later incarnation of the worker
// may carry it out: it has the same id and has seen no fencing token.
type lateStart struct {
	worker kqexecution.Incarnation
	at     time.Time
}

// keptLate is how many late starts are kept before the old ones are looked for.
const keptLate = 64

// startEnded takes over how a try to start a run ended. A try that was not
// answered is remembered if the worker may begin again under its id. One that
// was under way as the worker began anew may have been carried out there. mu is
// held.
func (x *Executor) startEnded(now time.Time, d *delivery, err error) {
	if _, born := d.name.Born(); !born {
		return
	}
	if err != nil {
		if len(x.late) >= keptLate {
			x.forgetLate(now)
		}
		x.late[d.order] = lateStart{d.name, now}
	}
	if latest := x.latest[d.name.ID()]; latest.Follows(d.name) {
		x.bar(latest, d.order)
	}
}

// lateUnlisted remembers the runs that the incarnation that is driven has not listed:
// their starts may have reached a later one, answered or not. mu is held.
func (x *Executor) lateUnlisted(now time.Time) {
	for k := range x.runs {
		if !x.listed[k] {
			x.late[k] = lateStart{x.info.Worker, now}
		}
	}
}

func (x *Executor) forgetLate(now time.Time) {
	for k, l := range x.late {
		if now.Sub(l.at) > kqplan.MaxStartDelay {
			delete(x.late, k)
		}
	}
}

// barLate has an incarnation that has just become known never begin what earlier
// ones left unanswered, whether or not it is driven yet or an owner is there; mu is
// held.
func (x *Executor) barLate(now time.Time, w kqexecution.Incarnation) {
	x.forgetLate(now)
	for k, l := range x.late {
		if w.Follows(l.worker) {
			x.bar(w, k)
		}
	}
}

// bar stops a run that an incarnation must not begin; mu is held.
func (x *Executor) bar(w kqexecution.Incarnation, r kqexecution.Run) {
	if x.tomb.Alive() {
		x.tomb.Go((&barring{x, w, x.config.Connect(w), r}).run)
	}
}

// barring stops one run on one incarnation, until that is answered or a later
// incarnation is known.
type barring struct {
	executor *Executor
	name     kqexecution.Incarnation
	worker   kqexecution.Worker
	of       kqexecution.Run
}

func (b *barring) run() error {
	x := b.executor
	for x.tomb.Alive() {
		x.mu.Lock()
		token, over := x.epoch, x.latest[b.name.ID()] != b.name || x.gone[b.name]
		x.mu.Unlock()
		if over || b.stop(token) {
			return nil
		}
		t := time.NewTimer(orderPause)
		select {
		case <-t.C:
		case <-x.tomb.Dying():
		}
		t.Stop()
	}
	return nil
}

// stop tells the worker once never to run it; it reports whether that is certain.
func (b *barring) stop(token uint64) bool {
	ctx, cancel := context.WithTimeout(b.executor.tomb.Context(context.Background()), orderTimeout)
	defer cancel()
	answer, err := b.worker.Stop(ctx, b.of, token)
	return err == nil && (answer == kqexecution.AnswerDone || answer == kqexecution.AnswerOther)
}

// isUnsure reports whether a later incarnation may be there. It is then asked at
// once who it is, and given no lease on the clock of the one that is driven; mu is
// held.
func (x *Executor) isUnsure() bool {
	_, born := x.info.Worker.Born()
	return born && x.unsure
}

// seen returns up to which number the worker may forget ends. A later incarnation
// counts its own from 1 and may get the question in place of the one that is
// driven, so numbers go only to a worker that has answered the latest question and
// has something to forget; mu is held.
func (x *Executor) seen() uint64 {
	if _, born := x.info.Worker.Born(); born && (x.unsure || !x.unforgotten) {
		return 0
	}
	return x.noted
}
