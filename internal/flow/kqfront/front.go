// Package kqfront is what an entry does with jobs of steps: it stores what
// callers hand in, and shows what the owner tells of their state.
package kqfront

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// ErrUnavailable says that neither the owner nor the store can be asked.
var ErrUnavailable = errors.New("front: the store does not answer")

// Config sets up a Front.
type Config struct {
	// Store is the platform's store.
	Store kqrows.Store
	// Zone is the availability zone of this entry; may be empty.
	Zone string
	// Timed is the store with time limits that follow its speed; nil means that the
	// front makes its own.
	Timed *kqrows.Timed
	// Now is the clock, Wall the time of day.
	Now       func() time.Time
	WallClock func() time.Time
	// Events remembers what was decided; may be nil.
	Events *kqevent.Log
	// Took is told how long requests took; may be nil.
	ObserveLatency func(kind string, d time.Duration)
	// Admission switches rejections on; nil accepts all that can be stored.
	Admission *AdmissionConfig
}

const (
	readTimeout  = 900 * time.Millisecond
	relayTimeout = 800 * time.Millisecond
)

// Front is the jobs of one entry. It keeps nothing that must last.
type Frontend struct {
	config Config

	mu      sync.Mutex
	linked  bool
	states  map[string]kqflow.State
	pending map[string]int
	left    []kqevacuate.ZoneStatus
	send    func(kqmessage.ToOwner)
	number  uint64
	waiting map[uint64]chan kqcontrol.Outcome
	health  health
	// timed is the store with time limits that follow its speed.
	timed *kqrows.Timed
	// admission is what decisions on new jobs rest on.
	admission admission
	// watched is the store, with each outcome noted in health.
	watched kqrows.Store
}

// New returns a Front without an owner.
func New(c Config) *Frontend {
	f := &Frontend{config: c, states: map[string]kqflow.State{}, pending: map[string]int{}, waiting: map[uint64]chan kqcontrol.Outcome{}, admission: newAdmission()}
	if f.timed = c.Timed; f.timed == nil {
		f.timed = kqrows.NewTimed(c.Store, c.Now)
	}
	f.health.speed = f.timed.Speed
	f.watched = f.observed()
	return f
}

// Linked takes over a stream with the owner.
func (f *Frontend) Connected(_ uint64, send func(kqmessage.ToOwner)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.send = send
	f.admission.linked(f.config.Now(), send)
}

// Unlinked notes that the stream has ended.
func (f *Frontend) Disconnected() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linked, f.send, f.left = false, nil, nil
	f.admission.forget()
	for n, c := range f.waiting {
		close(c)
		delete(f.waiting, n)
	}
}

// Receive takes a message of the owner.
func (f *Frontend) Receive(m kqmessage.FromOwner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.AllStates {
		f.linked = true
		f.states = make(map[string]kqflow.State, len(m.States))
	}
	for id, s := range m.States {
		f.states[id] = s
	}
	if m.Pending != nil {
		f.pending = m.Pending
	} else if m.AllStates {
		f.pending = map[string]int{}
	}
	f.admission.receive(f.config.Now(), m)
	if m.EvacuationReport != nil {
		f.left = m.EvacuationReport.Zones
	}
	if m.SubmitReply != nil {
		if c := f.waiting[m.SubmitReply.Number]; c != nil {
			delete(f.waiting, m.SubmitReply.Number)
			c <- kqcontrol.Outcome(m.SubmitReply.Outcome)
		}
	}
}

// Submit stores a job, through the owner if the store turns this process away.
func (f *Frontend) Submit(ctx context.Context, j kqflow.Job) kqcontrol.Outcome {
	began := f.config.Now()
	j.SubmittedAt = f.config.WallClock().Round(0)
	if f.config.Admission != nil {
		j.Zone = f.config.Zone
	}
	a := f.attempt(j.ID)
	o := f.store(ctx, kqmessage.Submit{Job: &j})
	a.end(o, ctx.Err() != nil)
	now := f.config.Now()
	took := now.Sub(began).Round(time.Millisecond)
	f.took("submit", now.Sub(began))
	switch o {
	case kqcontrol.OutcomeStored:
		f.config.Events.EmitFields(now, kqevent.FlowAccepted, kqevent.Job(j.ID), []kqevent.Field{kqevent.Zone(f.config.Zone)}, "queue %s after %s", j.Queue, took)
	case kqcontrol.OutcomeRefused:
		f.config.Events.EmitFields(now, kqevent.FlowRefused, kqevent.Job(j.ID), f.sizeFields(j), "the store refuses, after %s; an answer takes %s", took, f.timed.Speed.Answer().Round(time.Millisecond))
	default:
		f.config.Events.EmitFields(now, kqevent.FlowUnresolved, kqevent.Job(j.ID), f.sizeFields(j), "no certain answer of the store after %s; an answer takes %s", took, f.timed.Speed.Answer().Round(time.Millisecond))
	}
	return o
}

// sizeFields tells of a job that the owner may never see how large it is.
func (f *Frontend) sizeFields(j kqflow.Job) []kqevent.Field {
	if !j.HasObjective() {
		return []kqevent.Field{kqevent.Zone(f.config.Zone)}
	}
	return []kqevent.Field{kqevent.Queue(j.Queue), kqevent.Value("work", j.Work()), kqevent.Zone(f.config.Zone)}
}

// Cancel marks a job as cancelled.
func (f *Frontend) Cancel(ctx context.Context, id string) kqcontrol.Outcome {
	began := f.config.Now()
	o := f.store(ctx, kqmessage.Submit{Cancel: id})
	f.took("cancel", f.config.Now().Sub(began))
	f.config.Events.Emit(f.config.Now(), kqevent.JobCancelled, kqevent.Job(id), "%s", o)
	return o
}

func (f *Frontend) took(kind string, d time.Duration) {
	if f.config.ObserveLatency != nil {
		f.config.ObserveLatency(kind, d)
	}
}

// store makes a request durable: by itself unless the store is out, and else
// through the owner, which may reach the store.
func (f *Frontend) store(ctx context.Context, s kqmessage.Submit) kqcontrol.Outcome {
	waits := func() bool { return !f.health.out(f.config.Now()) }
	o, asked := kqcontrol.OutcomeRefused, waits()
	submitter := kqcontrol.Submitter{Store: f.watched, Timed: f.timed}
	switch {
	case !asked:
	case s.Job != nil:
		o = submitter.StoreJob(ctx, *s.Job, waits)
	default:
		o = submitter.StoreCancel(ctx, s.Cancel, waits)
	}
	if o == kqcontrol.OutcomeStored || o == kqcontrol.OutcomeAbsent || ctx.Err() != nil {
		return o
	}
	if asked && o == kqcontrol.OutcomeRefused && f.timed.Slow() {
		// The store answers this process, and would refuse the owner too, which could not
		// tell that within relayTimeout: nothing would be certain any more.
		return o
	}
	return f.relay(ctx, s, o)
}

// relay hands a request to the owner, once; otherwise is what is known without
// it.
func (f *Frontend) relay(ctx context.Context, s kqmessage.Submit, otherwise kqcontrol.Outcome) kqcontrol.Outcome {
	f.mu.Lock()
	send := f.send
	if send == nil || !f.linked {
		f.mu.Unlock()
		return otherwise
	}
	f.number++
	s.Number = f.number
	c := make(chan kqcontrol.Outcome, 1)
	f.waiting[s.Number] = c
	f.mu.Unlock()
	defer f.forget(s.Number)
	send(kqmessage.ToOwner{Submit: &s})
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	select {
	case o, ok := <-c:
		if ok && (o != kqcontrol.OutcomeRefused || otherwise == kqcontrol.OutcomeRefused) {
			return o
		}
	case <-ctx.Done():
	}
	return kqcontrol.OutcomeUnknown
}

func (f *Frontend) forget(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, number)
}

// State returns the state of a job; found is false if there is no such job.
func (f *Frontend) State(ctx context.Context, id string) (s kqflow.State, found bool, err error) {
	f.mu.Lock()
	s, known := f.states[id]
	linked := f.linked
	f.mu.Unlock()
	if known && (linked || s.Final()) {
		return s, true, nil
	}
	r, found, err := f.read(ctx, id, linked)
	if err != nil && known {
		return s, true, nil
	}
	return r, found, err
}

// read asks the store. The owner's record is not read while the owner is
// connected and has not told of the job: it has not begun then.
func (f *Frontend) read(ctx context.Context, id string, linked bool) (kqflow.State, bool, error) {
	if f.health.out(f.config.Now()) {
		return "", false, ErrUnavailable
	}
	ctx, cancel := f.timed.Bound(ctx, readTimeout)
	defer cancel()
	rows, _, err := f.watched.Read(ctx, kqcontrol.SubmissionTable, id, kqcontrol.RangeEnd(id))
	if err != nil {
		return "", false, ErrUnavailable
	}
	if len(rows) == 0 {
		return "", false, nil
	}
	state := kqflow.StateQueued
	if s, err := kqcontrol.DecodeSubmission(rows[0]); err == nil && s.Cancelled {
		state = kqflow.StateCancelled
	}
	if linked {
		return state, true, nil
	}
	rows, _, err = f.watched.Read(ctx, kqcontrol.ProgressTable, id, kqcontrol.RangeEnd(id))
	if err != nil {
		return "", false, ErrUnavailable
	}
	if len(rows) == 0 {
		return state, true, nil
	}
	r, err := kqcontrol.DecodeRecord(rows[0])
	if err != nil {
		return "", false, ErrUnavailable
	}
	if state == kqflow.StateCancelled && !r.State.Final() {
		return state, true, nil
	}
	return r.State, true, nil
}

// Pending returns how many jobs of a queue have not begun.
func (f *Frontend) Pending(queue string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pending[queue]
}

// Left returns what the owner says is still in evacuated zones; nil if it has not said.
func (f *Frontend) EvacuationStatus() []kqevacuate.ZoneStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.left)
}
