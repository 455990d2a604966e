// Package kqexecutor drives the worker beside an agent: it carries out the
// owner's orders until each has a certain outcome, renews the lease that the
// owner grants, and reports what runs and what has ended.
package kqexecutor

import (
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

// Config sets up an Executor.
type Config struct {
	// Connect returns the operations of an incarnation of the worker.
	Connect func(worker kqexecution.Incarnation) kqexecution.Worker
	// Policy is the policy service; it may be missing.
	Policy kqapproval.Service
	// MaxLease is the longest lease that the worker takes.
	MaxLease time.Duration
	// ZonesKnownAt returns as of when the zones that SetZones was given are right; may
	// be nil. EvacuateWithin is the time after which a request to evacuate a zone must
	// be obeyed; 0 if there is no bound.
	ZonesKnownAt   func() time.Time
	EvacuateWithin time.Duration
	// Now is the clock.
	Now func() time.Time
	// Events remembers what was decided; may be nil.
	Events *kqevent.Log
	// Counter receives breaches; may be nil.
	Counter *kqinvariant.Counter
}

const (
	holdWait      = 400 * time.Millisecond
	watchWait     = 200 * time.Millisecond
	holdSlack     = 350 * time.Millisecond
	holdPause     = 100 * time.Millisecond
	notedWait     = 200 * time.Millisecond
	askInterval   = 500 * time.Millisecond
	orderTimeout  = 250 * time.Millisecond
	orderPause    = 30 * time.Millisecond
	unwellAfter   = 900 * time.Millisecond
	reportSpacing = 350 * time.Millisecond
	// clockShare bounds from below how fast the worker's clock runs.
	clockShare = 0.97
)

// Executor drives one worker at a time, incarnation after incarnation.
type Executor struct {
	config Config
	tomb   tomb.Tomb
	kick   chan struct{}

	mu       sync.Mutex
	info     kqplan.WorkerInfo
	sequence uint64
	zones    kqevacuate.Zones
	// coldTill is until when the worker is slow, as the owner was told.
	coldTill time.Time
	// toldAt is as of when the owner's word on zones is right, askedAt when each
	// question for a lease was asked.
	toldAt  time.Time
	askedAt map[uint64]time.Time
	gone    map[kqexecution.Incarnation]bool
	// latest is the latest incarnation that is known of each id with births.
	latest map[string]kqexecution.Incarnation
	// late are the starts that may still be carried out though they were not
	// answered.
	late     map[kqexecution.Run]lateStart
	worker   kqexecution.Worker
	held     bool
	heldAt   time.Time
	answerAt time.Time
	clock    kqexecution.Clock
	until    kqexecution.Clock

	epoch      uint64
	send       func(kqmessage.ToOwner)
	registered bool
	synced     bool
	asks       uint64
	askClocks  map[uint64]kqexecution.Clock

	runs    map[kqexecution.Run]*entry
	listed  map[kqexecution.Run]bool
	ends    map[uint64]kqexecution.End
	lastEnd uint64
	noted   uint64
	// unforgotten is true while the worker may list ends that were noted.
	unforgotten bool
	// unsure is true from a hold that was not answered until the next that is: the
	// worker may have begun anew.
	unsure   bool
	told     uint64
	reported time.Time
	holds    uint64
	pacer    *kqpace.Pacer
	watching bool
	watch    watch
}

// entry is a run that was ordered and has not ended.
type entry struct {
	order     kqplan.Order
	delivery  *delivery
	stopping  bool
	stoppedAt uint64
	paced     int
	// orderedAt is when the order came, beganAt when the worker was known to have
	// begun; zero if it is not.
	orderedAt time.Time
	beganAt   time.Time
	// use is the share of its size that a filling run has used lately, due when
	// its job is to end.
	use float64
	due time.Time
}

// Start begins to drive.
func Start(c Config) *Executor {
	x := &Executor{config: c, kick: make(chan struct{}, 1), gone: map[kqexecution.Incarnation]bool{},
		latest: map[string]kqexecution.Incarnation{}, late: map[kqexecution.Run]lateStart{}, runs: map[kqexecution.Run]*entry{},
		listed: map[kqexecution.Run]bool{}, ends: map[uint64]kqexecution.End{}, askClocks: map[uint64]kqexecution.Clock{}, askedAt: map[uint64]time.Time{}, pacer: kqpace.New()}
	x.tomb.Go(x.run)
	return x
}

func (x *Executor) run() error {
	x.tomb.Go((&asker{x}).loop)
	x.loop()
	return nil
}

// Stop ends the driving; what runs goes on under its lease.
func (x *Executor) Stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tomb.Kill(nil)
}

func (x *Executor) wake() {
	select {
	case x.kick <- struct{}{}:
	default:
	}
}

// Has reports whether an incarnation is the one that is driven.
func (x *Executor) Drives(worker kqexecution.Incarnation) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.info.Worker == worker
}

// Linked takes over a stream with an owner.
func (x *Executor) Connected(epoch uint64, send func(kqmessage.ToOwner)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.epoch = max(x.epoch, epoch)
	x.send, x.registered, x.held, x.synced = send, false, false, false
	x.askedAt = map[uint64]time.Time{}
	x.askClocks = map[uint64]kqexecution.Clock{}
	x.wake()
}

// Unlinked notes that the stream has ended.
func (x *Executor) Disconnected() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.send, x.registered = nil, false
}

// Receive takes a message of the owner.
func (x *Executor) Receive(m kqmessage.FromOwner) {
	m = m.WithoutNil()
	x.mu.Lock()
	defer x.mu.Unlock()
	if m.Zones != nil {
		x.takeZones(*m.Zones)
	}
	if m.KnownWorker != nil {
		x.know(*m.KnownWorker)
	}
	if m.Resync {
		x.resync(m.Orders)
	}
	for _, o := range m.Orders {
		x.order(o)
	}
	for _, a := range m.ApprovalRequests {
		if x.tomb.Alive() {
			x.tomb.Go((&question{x, *a}).run)
		}
	}
	if m.Acknowledged > x.noted && (m.AcknowledgedOf == "" || m.AcknowledgedOf == x.info.Worker) {
		x.note(m.Acknowledged)
	}
	if m.Grant != nil {
		x.granted(*m.Grant)
	}
}

// resync drops what the owner does not know of: a start that was not answered
// may still be carried out, so it is stopped.
func (x *Executor) resync(orders []*kqplan.Order) {
	x.synced = true
	stands := make(map[kqexecution.Run]bool, len(orders))
	for _, o := range orders {
		stands[o.Run] = true
	}
	for k, e := range x.runs {
		if !stands[k] && !e.stopping {
			o := e.order
			o.Stop = true
			x.order(&o)
		}
	}
}

func (x *Executor) note(n uint64) {
	x.noted, x.unforgotten = n, true
	for k := range x.ends {
		if k <= n {
			delete(x.ends, k)
		}
	}
	x.wake()
}

// granted extends the lease, counted on the worker's clock from when the agent
// asked.
func (x *Executor) granted(g kqmessage.Grant) {
	x.confirmZones(g)
	asked, ok := x.askClocks[g.LeaseRequest]
	delete(x.askClocks, g.LeaseRequest)
	if !ok || g.Duration <= 0 {
		return
	}
	x.until = max(x.until, asked+kqexecution.Clock(min(g.Duration, x.config.MaxLease)))
}

// estimate returns a reading that the worker's clock has passed certainly.
func (x *Executor) estimate(now time.Time) kqexecution.Clock {
	return x.clock + kqexecution.Clock(float64(now.Sub(x.heldAt))*clockShare)
}

// asker asks the owner for leases.
type asker struct{ executor *Executor }

func (a *asker) loop() error {
	t := time.NewTicker(askInterval)
	defer t.Stop()
	for {
		select {
		case <-a.executor.tomb.Dying():
			return nil
		case <-t.C:
		}
		a.executor.ask()
	}
}

func (x *Executor) ask() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.send == nil || !x.registered || !x.held {
		return
	}
	x.asks++
	x.askClocks[x.asks] = x.estimate(x.config.Now())
	x.askedAt[x.asks] = x.config.Now()
	x.send(kqmessage.ToOwner{LeaseRequest: x.asks})
}

// used returns what the runs take of the worker.
func (x *Executor) used() kqmodel.Resources {
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
