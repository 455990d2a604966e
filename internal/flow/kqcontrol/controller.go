package kqcontrol

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqlearn"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqelect"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// ErrLost is returned if the ownership of the cell was lost, or not acquired, since another
// process changed its row.
var ErrLost = eris.New("control: the ownership of the cell is lost")

// Config holds the settings and dependencies of a Controller.
type Config struct {
	// Cell names the cell.
	Cell string
	// Name is the name of this process's host.
	Name string
	// Boot identifies this process; it differs after each restart.
	Boot string
	// Address is the address at which this process accepts agents and entries.
	Address netip.AddrPort
	// Store is the platform's store.
	Store kqrows.Store
	// TimedStore is the store with time limits that adapt to its speed; nil means that the
	// controller creates its own.
	TimedStore *kqrows.TimedStore
	// Lease is the maximum duration of a lease.
	Lease time.Duration
	// CrossRackSlowdown is how many times as long a task takes outside its rack.
	CrossRackSlowdown float64
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// Operator holds the operator's policy and evacuated zones; nil means that the controller creates
	// its own.
	Operator *OperatorState
	// Policy returns the operator's policy that this process currently applies, nil if there is none.
	// It is read once, before the stored state is loaded.
	Policy func() *kqflow.Policy
	// LimitWarmUp is true if workers that report that they are warming up get only part of
	// their capacity.
	LimitWarmUp bool
	// Evacuation gives the requests to evacuate zones.
	Evacuation EvacuationSource
	// ObserveLatency receives the duration of each commit; may be nil.
	ObserveLatency func(kind string, d time.Duration)
	// RecordOutcome receives, once per job, how well the job was served; may be nil.
	RecordOutcome func(kqplan.JobOutcome)
	// ProcessorTime returns the processor time that the process has used; may be nil.
	// ProcessorLimit is the number of processors, or the fraction of one, that the process
	// may use; 0 if not known.
	ProcessorTime  func() time.Duration
	ProcessorLimit float64
	// Now returns the time of a clock that continues while the machine is suspended.
	Now func() time.Time
	// WallClock returns the time of day.
	WallClock func() time.Time
	// Events is the event log; may be nil.
	Events *kqevent.Log
	// Counter counts violated invariants; may be nil.
	Counter *kqinvariant.Counter
}

const (
	// HeartbeatInterval is the interval at which the owner writes its heartbeat, which
	// confirms the ownership.
	HeartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = 1200 * time.Millisecond
	tickInterval      = 50 * time.Millisecond
	// maxMessageTime limits the time that a slow step leaves for messages before the next one.
	maxMessageTime       = time.Second
	maxConcurrentCommits = 6
	maxBatchRecords      = 40
	// slowBatchRecords replaces maxBatchRecords while the store is slow: as many records
	// as a transaction holds. Each record takes two entries, the ownership and the
	// heartbeat one each.
	slowBatchRecords = (kqrows.MaxEntries - 4) / 2
	// followWait is how long one call of the submission feed waits for changes, followSlack
	// the extra time allowed for its answer.
	followWait    = time.Second
	followSlack   = 400 * time.Millisecond
	readTimeout   = 3 * time.Second
	sweepInterval = 2 * time.Second
)

// Controller runs the cell that this process owns: it schedules jobs, stores the decisions
// and serves the connected agents and entries.
type Controller struct {
	config  Config
	tomb    tomb.Tomb
	row     OwnerRow
	version uint64
	wakeup  chan struct{}
	// loaded is closed once the state that earlier owners stored has been loaded.
	loaded chan struct{}
	// submissionsVersion is the version of the store from which the submission feed starts.
	submissionsVersion uint64

	// confirmation has its own lock.
	confirmation confirmation
	// receiving is held while a message is handled. Messages are handled one at a time, so that
	// those of many sessions do not compete with the scheduling loop for mu and for the processor.
	receiving sync.Mutex

	// mu guards the fields below, except for heartbeats and wallOffset.
	mu           sync.Mutex
	planner      *kqplan.Planner
	policy       *kqflow.Policy
	zones        kqevacuate.Zones
	zoneStatuses []kqevacuate.ZoneStatus
	// sessions holds the session of each connected host by the host's name.
	sessions   map[string]*Session
	agentCount int
	// lastFeedAt is when the submission feed last answered.
	lastFeedAt time.Time
	writes     writes
	// shortened holds the jobs whose latest record lacks checkpoints.
	shortened   map[string]bool
	heldCommits []heldCommit
	// heartbeats counts the heartbeats written.
	heartbeats atomic.Uint64
	sweptAt    time.Time
	learnedAt  time.Time
	learned    []kqlearn.PairEstimate
	pending    map[string]int
	pendingAt  time.Time
	// wallOffset converts a time of day to the clock of Config.Now.
	wallOffset  time.Duration
	leases      leases
	departures  departures
	stats       statsCollector
	latestStats Stats
}

// Acquire tries to acquire the ownership of a cell and loads its jobs. Old is the ownership
// row as last read, version its version (0 if there is none), and epochs the epochs of
// owners that were read so far. It returns ErrLost if the row has changed since.
func Acquire(ctx context.Context, c Config, old OwnerRow, version uint64, epochs kqelect.EpochHistory) (*Controller, error) {
	if c.TimedStore == nil {
		c.TimedStore = kqrows.NewTimedStore(c.Store, c.Now)
	}
	c.Store = c.TimedStore.Store
	if c.Operator == nil {
		c.Operator = &OperatorState{}
	}
	sent := c.Now()
	row := OwnerRow{Name: c.Name, Boot: c.Boot, Address: c.Address, Epoch: old.Epoch + 1, LeasesRecorded: true}
	key := OwnerKey(c.Cell)
	o, err := c.TimedStore.TryCommit(ctx, kqrows.Tx{Conditions: []kqrows.Condition{{Key: key, Version: version}},
		Puts: []kqrows.Put{{Key: key, Value: kqtable.Encode(row)}}})
	if err != nil {
		return nil, err
	}
	if !o.Committed {
		return nil, ErrLost
	}
	acquiredAt := c.Now()
	x := &Controller{config: c, row: row, version: o.Version, wakeup: make(chan struct{}, 1), loaded: make(chan struct{}), confirmation: confirmation{confirmedAt: sent}, lastFeedAt: c.Now(),
		sessions: map[string]*Session{}, shortened: map[string]bool{}, pending: map[string]int{}, wallOffset: c.Now().Sub(c.WallClock().Round(0))}
	// Heartbeats are written while the rows are read; without them another process would
	// acquire the cell.
	x.tomb.Go(x.run)
	stored := readStoredState(ctx, c)
	if err := stored.err(); err != nil {
		x.tomb.Kill(err)
		return nil, err
	}
	x.confirmation.progressed(c.Now())
	x.restoreLeases(stored.leases.rows, old, epochs, acquiredAt)
	x.planner = kqplan.New(kqplan.Config{Epoch: row.Epoch, AcquiredAt: sent, PriorGrantsUntil: x.priorGrantsUntil,
		Lease: c.Lease, CrossRackSlowdown: c.CrossRackSlowdown, LimitWarmUp: c.LimitWarmUp, RecordOutcome: c.RecordOutcome, Events: c.Events, Counter: c.Counter})
	x.load(stored)
	c.Events.Emit(c.Now(), kqevent.OwnershipAcquired, kqevent.Process(c.Name), "cell %s, epoch %d, acquired after %s (epoch %d): %d unfinished jobs loaded, %s after the write",
		c.Cell, row.Epoch, old.Name, old.Epoch, x.planner.ActiveJobs(), c.Now().Sub(sent).Round(time.Millisecond))
	return x, nil
}

// Start starts scheduling.
func (c *Controller) Start() { close(c.loaded) }

func (c *Controller) run() error {
	c.tomb.Go((&heartbeater{c}).loop)
	c.tomb.Go((&confirmer{controller: c}).loop)
	select {
	case <-c.tomb.Dying():
		return nil
	case <-c.loaded:
	}
	c.tomb.Go(c.followSubmissions().loop)
	c.tomb.Go(c.followDepartures().loop)
	c.loop()
	if c.tomb.Err() == ErrLost {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closeSessions()
	}
	return nil
}

// Done is closed when the controller has ended.
func (c *Controller) Done() <-chan struct{} { return c.tomb.Dead() }

// Epoch returns the epoch of the ownership.
func (c *Controller) Epoch() uint64 { return c.row.Epoch }

// load applies the policy and the stored state of the cell to the planner.
func (c *Controller) load(state *storedState) {
	now := c.config.Now()
	c.config.Operator.SetPolicy(c.config.Policy())
	if f := c.config.Evacuation.Zones; f != nil {
		c.config.Operator.SetZones(now, f())
	}
	c.applyOperatorState(now)
	records := make(map[string]kqrows.Row, len(state.progress.rows))
	for _, r := range state.progress.rows {
		records[r.Name] = r
	}
	c.submissionsVersion = state.submissions.at
	now = c.config.Now()
	c.zones, _ = c.zones.ApplyNotice(now, state.zones.notice)
	c.planner.SetZones(now, c.zones)
	c.restoreLearned(now, state.learned)
	for _, r := range state.submissions.rows {
		c.applySubmission(now, r, records)
		c.confirmation.progressed(c.config.Now())
	}
	c.departures = departures{version: state.departures.at, readAt: map[string]time.Time{}, claims: map[kqexecution.Incarnation]bool{}}
	c.applyDepartures(now, state.departures.rows)
}

// applySubmission passes a stored submission, with the job's record if there is one in
// records, to the planner. mu is held, or the controller is still loading.
func (c *Controller) applySubmission(now time.Time, r kqrows.Row, records map[string]kqrows.Row) {
	s, err := DecodeSubmission(r)
	if err != nil || s.Job.Validate() != nil {
		c.config.Events.Emit(now, kqevent.RowUnreadable, kqevent.Job(r.Name), "unreadable or invalid submission: %v", err)
		return
	}
	// Converts the stored times of day to this process's clock.
	s.Job.SubmittedAt = s.Job.SubmittedAt.Add(c.wallOffset)
	if !s.Job.FirstAt.IsZero() {
		s.Job.FirstAt = s.Job.FirstAt.Add(c.wallOffset)
	}
	stored, ok := records[r.Name]
	if !ok {
		c.planner.Submit(now, s, nil, 0)
		return
	}
	record, err := DecodeRecord(stored)
	if err != nil {
		c.config.Events.Emit(now, kqevent.RowUnreadable, kqevent.Job(r.Name), "unreadable progress: %v", err)
		return
	}
	c.planner.Submit(now, s, &record, stored.Version)
}

// OperatorStateChanged triggers a step that applies the new state of Config.Operator. It does not wait
// for the controller, which may be busy.
func (c *Controller) OperatorStateChanged() { c.wake() }

// wake triggers a step without waiting for the next tick.
func (c *Controller) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// loop runs a step at each tick and each wakeup until the controller stops.
func (c *Controller) loop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return
		case <-c.wakeup:
		case <-t.C:
		}
		c.leaveTimeForMessages(c.step())
	}
}

// leaveTimeForMessages waits after a step that took longer than a tick for as long as the step took.
// Otherwise the steps of an owner that is short of processor time follow each other, and between two
// of them only one message is handled, whatever it asks for.
func (c *Controller) leaveTimeForMessages(took time.Duration) {
	if took <= tickInterval {
		return
	}
	t := time.NewTimer(min(took, maxMessageTime))
	defer t.Stop()
	select {
	case <-c.tomb.Dying():
	case <-t.C:
	}
}

// step runs one pass of the scheduling loop: it lets the planner decide, sends writes and
// publishes stored decisions. It returns how long that took.
func (c *Controller) step() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	c.logStats(now)
	// The age of the zones is read before the zones, so that no zone is newer than it says.
	isOutdated := c.config.Evacuation.isOutdated(now)
	c.applyOperatorState(now)
	c.planner.SetHold(!c.isFeedCurrent(now) || isOutdated)
	c.planner.Tick(now)
	c.planner.RecordTickDuration(now, c.config.Now().Sub(now))
	c.write(now)
	c.publish(now)
	if c.isStale(now) {
		c.disconnectEntries()
	}
	ended := c.config.Now()
	c.confirmation.progressed(ended)
	c.stats.passDone(now, ended)
	return ended.Sub(now)
}

// stop ends the controller and closes all sessions; mu is held.
func (c *Controller) stop() {
	c.tomb.Kill(ErrLost)
	c.closeSessions()
}

// closeSessions closes the streams of all sessions; mu is held.
func (c *Controller) closeSessions() {
	for _, s := range c.sessions {
		s.stream.Close()
	}
}

// Superseded ends the controller of an ownership that has passed to another process. It does not wait,
// since the scheduling loop may hang.
func (c *Controller) Superseded() { c.tomb.Kill(ErrLost) }

// Abandon stops the controller without handing the cell over, as the death of the process
// would.
func (c *Controller) Abandon() {
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	_ = c.tomb.Wait()
}

// handOverTimeout limits the write that releases the cell.
const handOverTimeout = 700 * time.Millisecond

// HandOver releases the cell, so that another process can acquire it without waiting for a
// heartbeat timeout, and notifies the sessions.
func (c *Controller) HandOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	key := OwnerKey(c.config.Cell)
	_, err := kqrows.Commit(ctx, c.config.Store, kqrows.Tx{Conditions: []kqrows.Condition{{Key: key, Version: c.version}},
		Puts: []kqrows.Put{{Key: key, Value: kqtable.Encode(OwnerRow{Boot: c.config.Boot, Epoch: c.row.Epoch, LeasesRecorded: true})}}})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Events.Emit(c.config.Now(), kqevent.OwnershipHandedOver, kqevent.Process(c.config.Name), "cell %s, epoch %d, handover error: %v", c.config.Cell, c.row.Epoch, err)
	for _, s := range c.sessions {
		s.send(handedOver)
	}
	c.tomb.Kill(nil)
}
