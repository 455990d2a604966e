// Package kqexecutor drives the worker of an agent: it sends the owner's orders to the
// worker until the outcome of each is certain, renews the lease that the owner grants, and
// reports running tasks and ended runs to the owner.
package kqexecutor

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqapproval"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// Config is the configuration of an Executor.
type Config struct {
	// Connect returns the operations of an incarnation of the worker.
	Connect func(worker kqexecution.Incarnation) kqexecution.Worker
	// Policy is the policy service. If its RequestTickets is nil, every approval request of the
	// owner is reported to it as unanswered.
	Policy kqapproval.Service
	// RecordDeparture stores what is known of a worker that leaves; a failed attempt is repeated. It may be
	// nil.
	RecordDeparture func(ctx context.Context, d Departure) error
	// MaxLease is the longest lease that the worker accepts.
	MaxLease time.Duration
	// ZonesKnownAt returns the time as of which the zones given to SetZones are known to
	// be correct. If it is nil, the zones are never considered outdated.
	ZonesKnownAt func() time.Time
	// EvacuateWithin is the time within which a request to evacuate a zone must be obeyed;
	// 0 means no limit.
	EvacuateWithin time.Duration
	// Now returns the current time.
	Now func() time.Time
	// Events logs the executor's decisions; may be nil.
	Events *kqevent.Log
	// Counter counts violated invariants; may be nil.
	Counter *kqinvariant.Counter
}

// A poll is a Hold call: it renews the lease and lists the runs and ends on the worker.
const (
	// pollWait is how long the worker may delay its answer to a poll until a run ends;
	// colocatedPollWait replaces it while filling tasks run with latency-critical ones.
	pollWait          = 400 * time.Millisecond
	colocatedPollWait = 200 * time.Millisecond
	// pollSlack is how long a poll may take beyond that delay before it times out.
	pollSlack = 350 * time.Millisecond
	// pollRetryDelay is the delay after a failed poll.
	pollRetryDelay = 100 * time.Millisecond
	// ackWait is how long the next poll waits for the owner to acknowledge reported ends.
	ackWait              = 200 * time.Millisecond
	leaseRequestInterval = 500 * time.Millisecond
	// leaseRequestTimeout is the time after which a lease request that the owner has not
	// answered is repeated. Until then another one would only queue up behind it: an owner
	// that is short of processor time would work through requests that are out of date.
	leaseRequestTimeout = 2 * time.Second
	// orderTimeout limits each other call to the worker.
	orderTimeout    = 250 * time.Millisecond
	orderRetryDelay = 30 * time.Millisecond
	// unresponsiveAfter is the time without an answer after which the worker is reported
	// as unresponsive.
	unresponsiveAfter = 900 * time.Millisecond
	// maxRefusedPolls is the number of polls in a row that fail at once, not by their time limit, after
	// which the worker is reported as unresponsive: no process accepts its connections.
	maxRefusedPolls = 3
	// reportInterval is the minimum time between two complete reports.
	reportInterval = 350 * time.Millisecond
	// minClockRate is the lowest rate of the worker's clock relative to the agent's.
	minClockRate = 0.97
)

// Executor drives one incarnation of the worker at a time, which the comments of this package
// call the current one.
type Executor struct {
	config Config
	tomb   tomb.Tomb
	// wakeup ends a pause of the poll loop.
	wakeup chan struct{}

	mu sync.Mutex
	// info describes the current incarnation, sequence is the number of its latest
	// check-in; info.Worker is empty if there is none.
	info     kqplan.WorkerInfo
	sequence uint64
	// shrunkFrom is the most that the worker's capacity was since its runs last fitted in it; zero if
	// they fit.
	shrunkFrom kqmodel.Resources
	zones      kqevacuate.Zones
	// warmUpUntil is the end of the worker's warm-up as last reported to the owner.
	warmUpUntil time.Time
	// ownerZonesAt is the time as of which the owner confirmed the evacuated zones.
	ownerZonesAt time.Time
	// requestTimes holds the time at which each lease request was sent, on the agent's
	// clock.
	requestTimes map[uint64]time.Time
	// departed holds the incarnations that must not be driven any more.
	departed map[kqexecution.Incarnation]bool
	// latest holds the latest known incarnation of each worker ID that has birth times.
	latest map[string]kqexecution.Incarnation
	// claims holds the unverified leave messages by ID, checks the incarnations that are polled for them, and
	// records the departures that are being stored.
	claims  map[string]leaveClaim
	checks  map[kqexecution.Incarnation]*leaveCheck
	records map[*departureRecord]bool
	// lateStarts holds the starts that a later incarnation may still carry out.
	lateStarts map[kqexecution.Run]lateStart
	worker     kqexecution.Worker
	// polled is true once a poll has been answered since the current incarnation was set
	// or the owner last connected.
	polled bool
	// loggedOmissions holds the omissions of the worker's answers that were logged.
	loggedOmissions map[string]bool
	// clockReadAt is when workerClock was read.
	clockReadAt time.Time
	// answeredAt is when the worker last answered a poll.
	answeredAt time.Time
	// calls records whether the current incarnation answers, workerEnds how earlier ones ended.
	calls      callHealth
	workerEnds []workerEnd
	// refusedPolls counts the latest polls in a row that failed at once.
	refusedPolls int
	// pollBeganAt is when the latest poll was sent.
	pollBeganAt time.Time
	// workerClock is the latest reading of the worker's clock.
	workerClock kqexecution.Clock
	// leaseEnd is the end of the lease on the worker's clock.
	leaseEnd kqexecution.Clock

	// epoch is the highest epoch of the owners connected so far; the fencing token.
	epoch uint64
	// send sends a message to the owner; nil if it is not connected.
	send func(kqmessage.ToOwner)
	// registered is true once the worker and its runs were reported on this connection.
	registered bool
	// synced is true once the owner has sent all of its orders on this connection.
	synced           bool
	lastLeaseRequest uint64
	// leaseRequestedAt is when the latest lease request was sent.
	leaseRequestedAt time.Time
	// requestClocks holds, for each lease request, a lower bound of the worker's clock
	// when the request was sent.
	requestClocks map[uint64]kqexecution.Clock

	runs map[kqexecution.Run]*execution
	// knowsRuns is true once an owner has sent all of its orders for the current incarnation, so that
	// runs lists every run that may be on it.
	knowsRuns bool
	// listed holds the runs that the latest poll listed.
	listed map[kqexecution.Run]bool
	// ends holds the ends that the owner has not acknowledged, by number. lastEnd is the
	// highest number reported, acked the highest number acknowledged.
	ends    map[uint64]kqexecution.RunEnd
	lastEnd uint64
	acked   uint64
	// ackPending is true while the worker may still list acknowledged ends.
	ackPending bool
	// pollUnanswered is true from an unanswered poll to the next answered one: the worker
	// may have restarted in between.
	pollUnanswered bool
	reportedEnds   uint64
	// unreported holds the ends that wait to be reported while the owner is behind.
	unreported []kqexecution.RunEnd
	// reportedAt is when the last complete report was sent.
	reportedAt time.Time
	// polls counts the polls.
	polls uint64
	pacer *kqpace.Pacer
	// colocated is true while filling tasks run with latency-critical ones.
	colocated bool
	paceLog   paceLog
}

// execution is a run that was ordered and has not ended.
type execution struct {
	order kqplan.Order
	// sender sends the run's orders; nil if there is none to send.
	sender *orderSender
	// stopping is true once the owner has ordered a stop.
	stopping bool
	// stoppedAtPoll is the number of the latest poll when the worker acknowledged a stop;
	// 0 if it has not.
	stoppedAtPoll uint64
	// pacePercent is the share of its speed that was last sent for a filling run; -1 if
	// that must be sent again.
	pacePercent int
	// orderedAt is when the order arrived, startedAt when the worker was first known to
	// run it; zero if it is not.
	orderedAt time.Time
	startedAt time.Time
	// attemptedAt is when the first call to start the run was sent.
	attemptedAt time.Time
	// utilization is the share of its size that a filling run uses, deadline is when its
	// job is to end.
	utilization float64
	deadline    time.Time
}

// Start returns a running Executor without a worker and without an owner.
func Start(c Config) *Executor {
	x := &Executor{config: c, wakeup: make(chan struct{}, 1), departed: map[kqexecution.Incarnation]bool{},
		latest: map[string]kqexecution.Incarnation{}, claims: map[string]leaveClaim{}, checks: map[kqexecution.Incarnation]*leaveCheck{}, records: map[*departureRecord]bool{}, lateStarts: map[kqexecution.Run]lateStart{}, runs: map[kqexecution.Run]*execution{},
		listed: map[kqexecution.Run]bool{}, ends: map[uint64]kqexecution.RunEnd{}, requestClocks: map[uint64]kqexecution.Clock{}, requestTimes: map[uint64]time.Time{}, pacer: kqpace.New()}
	x.tomb.Go(x.run)
	return x
}

func (x *Executor) run() error {
	x.tomb.Go((&leaseRequester{x}).loop)
	x.pollLoop()
	return nil
}

// Stop ends the executor's loops. Runs on the worker continue until the lease ends.
func (x *Executor) Stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tomb.Kill(nil)
}

// wake ends a pause of the poll loop.
func (x *Executor) wake() {
	select {
	case x.wakeup <- struct{}{}:
	default:
	}
}

// Drives reports whether worker is the current incarnation.
func (x *Executor) Drives(worker kqexecution.Incarnation) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.info.Worker == worker
}

// Connected sets the connection to an owner of the given epoch. The owner is told at once how earlier
// incarnations of the worker ended: without a worker, nothing else is reported.
func (x *Executor) Connected(epoch uint64, send func(kqmessage.ToOwner)) {
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.epoch = max(x.epoch, epoch)
	x.send, x.registered, x.polled, x.synced = send, false, false, false
	x.requestTimes = map[uint64]time.Time{}
	x.requestClocks = map[uint64]kqexecution.Clock{}
	if ends := x.workerEndsAt(now); len(ends) > 0 {
		x.send(kqmessage.ToOwner{WorkerEnds: ends})
	}
	x.wake()
}

// Disconnected drops the connection to the owner.
func (x *Executor) Disconnected() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.send, x.registered = nil, false
}

// Receive handles a message from the owner.
func (x *Executor) Receive(m kqmessage.FromOwner) {
	m = m.WithoutNil()
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if m.Zones != nil {
		x.applyZones(*m.Zones)
	}
	if m.KnownWorker != nil {
		x.applyKnownWorker(*m.KnownWorker)
	}
	for _, w := range m.ClaimedDepartures {
		if _, ok := x.claims[w.ID()]; !ok {
			x.claims[w.ID()] = leaveClaim{at: now}
		}
		x.checkClaim(now, w)
	}
	if m.Resync {
		x.resync(m.Orders, m.LacksOrders)
	}
	for _, o := range m.Orders {
		x.applyOrder(o)
	}
	for _, a := range m.ApprovalRequests {
		if x.tomb.Alive() {
			x.tomb.Go((&approvalRequest{x, *a}).run)
		}
	}
	if m.Acknowledged > x.acked && (m.AcknowledgedOf == "" || m.AcknowledgedOf == x.info.Worker) {
		x.acknowledge(m.Acknowledged)
	}
	if m.Grant != nil {
		x.applyGrant(*m.Grant)
	}
}

// resync stops the runs that are not among all orders of the owner: an unanswered start may
// still be carried out. It stops none if the orders are incomplete; the owner then stops those that
// it does not know once they are reported. mu is held.
func (x *Executor) resync(orders []*kqplan.Order, incomplete bool) {
	x.synced, x.knowsRuns = true, !incomplete
	if incomplete {
		return
	}
	known := make(map[kqexecution.Run]bool, len(orders))
	for _, o := range orders {
		known[o.Run] = true
	}
	for k, e := range x.runs {
		if !known[k] && !e.stopping {
			o := e.order
			o.Stop = true
			x.applyOrder(&o)
		}
	}
}

// acknowledge drops the ends up to number n, which the owner has recorded; mu is held.
func (x *Executor) acknowledge(n uint64) {
	x.acked, x.ackPending = n, true
	for k := range x.ends {
		if k <= n {
			delete(x.ends, k)
		}
	}
	x.wake()
}

// applyGrant extends the lease. The grant counts on the worker's clock from when the lease
// request was sent. mu is held.
func (x *Executor) applyGrant(g kqmessage.Grant) {
	x.confirmZones(g)
	requested, ok := x.requestClocks[g.LeaseRequest]
	delete(x.requestClocks, g.LeaseRequest)
	if !ok || g.Duration <= 0 {
		return
	}
	x.leaseEnd = max(x.leaseEnd, requested+kqexecution.Clock(min(g.Duration, x.config.MaxLease)))
}

// clockLowerBound returns a lower bound of the worker's clock at a time; mu is held.
func (x *Executor) clockLowerBound(now time.Time) kqexecution.Clock {
	return x.workerClock + kqexecution.Clock(float64(now.Sub(x.clockReadAt))*minClockRate)
}

// leaseRequester requests a lease from the owner if no report has carried a request for the
// leaseRequestInterval. It requests none while the worker is unresponsive: the lease does not reach
// the worker, and the owner gives the worker's runs up only once the last lease that it granted has
// expired.
type leaseRequester struct{ executor *Executor }

func (r *leaseRequester) loop() error {
	t := time.NewTimer(leaseRequestInterval)
	defer t.Stop()
	for {
		select {
		case <-r.executor.tomb.Dying():
			return nil
		case <-t.C:
		}
		t.Reset(r.executor.requestLease())
	}
}

// requestLease requests a lease if no request was sent for the leaseRequestInterval. It returns the
// time until the next one may be due.
func (x *Executor) requestLease() (next time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.config.Now()
	if age := now.Sub(x.leaseRequestedAt); age < leaseRequestInterval {
		return leaseRequestInterval - age
	}
	if x.send != nil && x.registered && x.polled && !x.info.Unresponsive && !x.awaitsGrant(now) {
		x.send(kqmessage.ToOwner{LeaseRequest: x.newLeaseRequest(now, x.clockLowerBound(now))})
	}
	return leaseRequestInterval
}

// newLeaseRequest returns the number of a new lease request, which the caller sends. clock is a
// lower bound of the worker's clock at present. mu is held.
func (x *Executor) newLeaseRequest(now time.Time, clock kqexecution.Clock) uint64 {
	x.lastLeaseRequest++
	x.requestClocks[x.lastLeaseRequest] = clock
	x.requestTimes[x.lastLeaseRequest] = now
	x.leaseRequestedAt = now
	return x.lastLeaseRequest
}

// awaitsGrant reports whether the latest lease request is unanswered and not to be repeated yet;
// mu is held.
func (x *Executor) awaitsGrant(now time.Time) bool {
	sent, ok := x.requestTimes[x.lastLeaseRequest]
	return ok && now.Sub(sent) < leaseRequestTimeout
}

// isOwnerBehind reports whether the owner has left the latest lease request unanswered for a
// report interval. Reports wait meanwhile: what is sent faster than the owner reads it delays the
// lease requests behind it, until all leases end. mu is held.
func (x *Executor) isOwnerBehind(now time.Time) bool {
	sent, ok := x.requestTimes[x.lastLeaseRequest]
	return ok && now.Sub(sent) >= reportInterval && x.awaitsGrant(now)
}

// exceedsCapacity reports whether the ordered runs reserve more than the worker's capacity, which may
// have shrunk since they were ordered. mu is held.
func (x *Executor) exceedsCapacity() bool {
	usage := x.usage()
	if usage.FitsIn(x.info.Capacity) {
		x.shrunkFrom = kqmodel.Resources{}
		return false
	}
	x.config.Counter.Check(usage.FitsIn(x.shrunkFrom), kqinvariant.CapacityExceeded, "worker %s: the ordered runs reserve %s, its capacity is %s", x.info.Worker, usage, x.info.Capacity)
	return true
}

// usage returns the resources that the runs reserve on the worker. Filling runs reserve no
// processors. mu is held.
func (x *Executor) usage() kqmodel.Resources {
	var sum kqmodel.Resources
	for _, e := range x.runs {
		size := e.order.Size
		if e.order.Fills {
			size.MilliProcessors = 0
		}
		sum = sum.Add(size)
	}
	return sum
}
