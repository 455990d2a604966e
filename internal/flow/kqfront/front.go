// Package kqfront handles the jobs of an entry: it stores the jobs that callers submit, decides
// on their admission, and returns their states as reported by the owner.
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

// ErrUnavailable means that the state of a job is not known: the owner has not reported it and
// the store does not answer.
var ErrUnavailable = errors.New("front: the store does not answer")

// Config is the configuration of a Frontend.
type Config struct {
	// Store is the platform's store.
	Store kqrows.Store
	// Zone is the availability zone of this entry; may be empty.
	Zone string
	// TimedStore is the store with time limits that adapt to its speed; if nil, the frontend
	// creates one.
	TimedStore *kqrows.TimedStore
	// Now returns the current monotonic time, WallClock the time of day.
	Now       func() time.Time
	WallClock func() time.Time
	// Events logs the frontend's decisions; may be nil.
	Events *kqevent.Log
	// ObserveLatency is called with the kind and duration of each request; may be nil.
	ObserveLatency func(kind string, d time.Duration)
	// Admission configures admission control; nil accepts all jobs that can be stored.
	Admission *AdmissionConfig
}

const (
	readTimeout  = 900 * time.Millisecond
	relayTimeout = 800 * time.Millisecond
)

// Frontend submits, cancels and looks up the jobs of one entry. Its own state need not survive a
// restart.
type Frontend struct {
	config Config

	mu sync.Mutex
	// synced is true once the connected owner has sent the states of all jobs.
	synced bool
	states map[string]kqflow.State
	// pending is the number of jobs that have not started, by queue.
	pending          map[string]int
	evacuationStatus []kqevacuate.ZoneStatus
	// send sends a message to the owner; nil if it is not connected.
	send        func(kqmessage.ToOwner)
	lastRequest uint64
	// replies receive the owner's replies to relayed requests, by number.
	replies map[uint64]chan kqcontrol.Outcome
	health  storeHealth
	// timedStore is the store with time limits that adapt to its speed.
	timedStore *kqrows.TimedStore
	admission  admission
	// observed is the store, with the outcome of each call recorded in health.
	observed kqrows.Store
}

// New returns a Frontend without a connected owner.
func New(c Config) *Frontend {
	f := &Frontend{config: c, states: map[string]kqflow.State{}, pending: map[string]int{}, replies: map[uint64]chan kqcontrol.Outcome{}, admission: newAdmission()}
	if f.timedStore = c.TimedStore; f.timedStore == nil {
		f.timedStore = kqrows.NewTimedStore(c.Store, c.Now)
	}
	f.health.latency = f.timedStore.Latency
	f.observed = f.observeStore()
	return f
}

// Connected sets the connection to an owner.
func (f *Frontend) Connected(_ uint64, send func(kqmessage.ToOwner)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.send = send
	f.admission.connect(f.config.Now(), send)
}

// Disconnected drops the connection to the owner and fails the requests relayed to it.
func (f *Frontend) Disconnected() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced, f.send, f.evacuationStatus = false, nil, nil
	f.admission.reset()
	for n, c := range f.replies {
		close(c)
		delete(f.replies, n)
	}
}

// Receive handles a message from the owner.
func (f *Frontend) Receive(m kqmessage.FromOwner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.AllStates {
		f.synced = true
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
		f.evacuationStatus = m.EvacuationReport.Zones
	}
	if m.SubmitReply != nil {
		if c := f.replies[m.SubmitReply.Number]; c != nil {
			delete(f.replies, m.SubmitReply.Number)
			c <- kqcontrol.Outcome(m.SubmitReply.Outcome)
		}
	}
}

// Submit stores a job, through the owner if this process cannot reach the store.
func (f *Frontend) Submit(ctx context.Context, j kqflow.Job) kqcontrol.Outcome {
	start := f.config.Now()
	j.SubmittedAt = f.config.WallClock().Round(0)
	if f.config.Admission != nil {
		j.Zone = f.config.Zone
	}
	a := f.beginAttempt(j.ID)
	o := f.persist(ctx, kqmessage.Submit{Job: &j})
	a.end(o, ctx.Err() != nil)
	now := f.config.Now()
	took := now.Sub(start).Round(time.Millisecond)
	f.observeLatency("submit", now.Sub(start))
	switch o {
	case kqcontrol.OutcomeStored:
		f.config.Events.EmitFields(now, kqevent.FlowAccepted, kqevent.Job(j.ID), []kqevent.Field{kqevent.Zone(f.config.Zone)}, "queue %s, stored after %s", j.Queue, took)
	case kqcontrol.OutcomeRefused:
		f.config.Events.EmitFields(now, kqevent.FlowRefused, kqevent.Job(j.ID), f.sizeFields(j), "the store refused the job after %s; its answers take %s", took, f.timedStore.Latency.ResponseTime().Round(time.Millisecond))
	default:
		f.config.Events.EmitFields(now, kqevent.FlowUnresolved, kqevent.Job(j.ID), f.sizeFields(j), "the store has not confirmed the job after %s; its answers take %s", took, f.timedStore.Latency.ResponseTime().Round(time.Millisecond))
	}
	return o
}

// sizeFields returns the event fields that describe the size of a job. They are logged here
// because the owner may never learn of the job.
func (f *Frontend) sizeFields(j kqflow.Job) []kqevent.Field {
	if !j.HasObjective() {
		return []kqevent.Field{kqevent.Zone(f.config.Zone)}
	}
	return []kqevent.Field{kqevent.Queue(j.Queue), kqevent.Value("work", j.Work()), kqevent.Zone(f.config.Zone)}
}

// Cancel marks a job as cancelled in the store, through the owner if this process cannot reach
// the store.
func (f *Frontend) Cancel(ctx context.Context, id string) kqcontrol.Outcome {
	start := f.config.Now()
	o := f.persist(ctx, kqmessage.Submit{Cancel: id})
	f.observeLatency("cancel", f.config.Now().Sub(start))
	f.config.Events.Emit(f.config.Now(), kqevent.JobCancelled, kqevent.Job(id), "%s", o)
	return o
}

func (f *Frontend) observeLatency(kind string, d time.Duration) {
	if f.config.ObserveLatency != nil {
		f.config.ObserveLatency(kind, d)
	}
}

// persist stores a request durably: directly if the store is available, and if that does not
// succeed through the owner, which may still reach the store.
func (f *Frontend) persist(ctx context.Context, s kqmessage.Submit) kqcontrol.Outcome {
	storeAvailable := func() bool { return !f.health.isUnavailable(f.config.Now()) }
	o, triedStore := kqcontrol.OutcomeRefused, storeAvailable()
	submitter := kqcontrol.Submitter{Store: f.observed, TimedStore: f.timedStore}
	switch {
	case !triedStore:
	case s.Job != nil:
		o = submitter.StoreJob(ctx, *s.Job, storeAvailable)
	default:
		o = submitter.StoreCancel(ctx, s.Cancel, storeAvailable)
	}
	if o == kqcontrol.OutcomeStored || o == kqcontrol.OutcomeAbsent || ctx.Err() != nil {
		return o
	}
	if triedStore && o == kqcontrol.OutcomeRefused && f.timedStore.IsSlow() {
		// The store answers this process slowly and would also refuse the owner. The owner
		// could not report that within relayTimeout, which would make the outcome unknown.
		return o
	}
	return f.relay(ctx, s, o)
}

// relay sends a request to the owner once and returns the outcome. fallback is the outcome so
// far. It is returned if no owner is connected. If it is not a refusal, an earlier attempt may
// have taken effect, so a refusal by the owner leaves the outcome unknown.
func (f *Frontend) relay(ctx context.Context, s kqmessage.Submit, fallback kqcontrol.Outcome) kqcontrol.Outcome {
	f.mu.Lock()
	send := f.send
	if send == nil || !f.synced {
		f.mu.Unlock()
		return fallback
	}
	f.lastRequest++
	s.Number = f.lastRequest
	reply := make(chan kqcontrol.Outcome, 1)
	f.replies[s.Number] = reply
	f.mu.Unlock()
	defer f.dropReply(s.Number)
	send(kqmessage.ToOwner{Submit: &s})
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	select {
	case o, ok := <-reply:
		if ok && (o != kqcontrol.OutcomeRefused || fallback == kqcontrol.OutcomeRefused) {
			return o
		}
	case <-ctx.Done():
	}
	return kqcontrol.OutcomeUnknown
}

func (f *Frontend) dropReply(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.replies, number)
}

// State returns the state of a job; found is false if there is no such job.
func (f *Frontend) State(ctx context.Context, id string) (s kqflow.State, found bool, err error) {
	f.mu.Lock()
	s, known := f.states[id]
	synced := f.synced
	f.mu.Unlock()
	if known && (synced || s.Final()) {
		return s, true, nil
	}
	r, found, err := f.readState(ctx, id, synced)
	if err != nil && known {
		return s, true, nil
	}
	return r, found, err
}

// readState reads the state of a job from the store. The owner's record of the job is not read
// while the owner is connected: the owner has not reported the job, so it has not started.
func (f *Frontend) readState(ctx context.Context, id string, synced bool) (kqflow.State, bool, error) {
	if f.health.isUnavailable(f.config.Now()) {
		return "", false, ErrUnavailable
	}
	ctx, cancel := f.timedStore.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, _, err := f.observed.Read(ctx, kqcontrol.SubmissionTable, id, kqcontrol.RangeEnd(id))
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
	if synced {
		return state, true, nil
	}
	rows, _, err = f.observed.Read(ctx, kqcontrol.ProgressTable, id, kqcontrol.RangeEnd(id))
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

// Pending returns the number of jobs of a queue that have not started.
func (f *Frontend) Pending(queue string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pending[queue]
}

// EvacuationStatus returns the owner's report of what is still in each evacuated zone; nil if
// there is none.
func (f *Frontend) EvacuationStatus() []kqevacuate.ZoneStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.evacuationStatus)
}
