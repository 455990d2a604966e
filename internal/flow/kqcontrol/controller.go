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
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// ErrLost says that another process owns the cell.
var ErrLost = eris.New("control: the ownership is lost")

// Config sets up a Controller.
type Config struct {
	// Cell names the cell.
	Cell string
	// Name names the host of this process.
	Name string
	// Boot names this process.
	Boot string
	// Address is where this process listens for agents and entries.
	Address netip.AddrPort
	// Store is the platform's store.
	Store kqrows.Store
	// Timed is the store with time limits that follow its speed; nil means that the
	// controller makes its own.
	Timed *kqrows.Timed
	// Lease is the longest lease that is granted.
	Lease time.Duration
	// FarFactor is how many times as long a task takes away from its rack.
	CrossRackSlowdown float64
	// Keep is how long the state of an ended job is kept.
	Retention time.Duration
	// Policy returns the operator's policy as in force in this process.
	Policy func() *kqflow.Policy
	// Gradual is true if workers that say that they are cold get part of their room.
	LimitWarmUp bool
	// Evacuation is the requests to evacuate zones.
	Evacuation EvacuationSource
	// Took is told how long commits took; may be nil.
	ObserveLatency func(kind string, d time.Duration)
	// Settled is told once of each job how well it was served; may be nil.
	RecordOutcome func(kqplan.JobOutcome)
	// Processor returns the processor time that the process has used; may be nil.
	// ProcessorLimit is the part of a processor that it may use; 0 if not known.
	ProcessorTime  func() time.Duration
	ProcessorLimit float64
	// Now is a clock that counts suspensions.
	Now func() time.Time
	// Wall is the time of day.
	WallClock func() time.Time
	// Events remembers what was decided; may be nil.
	Events *kqevent.Log
	// Counter receives breaches; may be nil.
	Counter *kqinvariant.Counter
}

const (
	// BeatInterval is the time between two confirmations of the ownership.
	HeartbeatInterval = 400 * time.Millisecond
	beatTimeout       = 1200 * time.Millisecond
	tickInterval      = 50 * time.Millisecond
	maxCommits        = 6
	maxBatch          = 40
	// slowBatch is the same while the store is slow: each record takes two entries of
	// a transaction, the ownership and the beat one each.
	slowBatch     = (kqrows.MaxEntries - 4) / 2
	followWait    = time.Second
	followSlack   = 400 * time.Millisecond
	readTimeout   = 3 * time.Second
	sweepInterval = 2 * time.Second
)

// Controller is the work of a process that owns a cell.
type Controller struct {
	config  Config
	tomb    tomb.Tomb
	row     OwnerRow
	version uint64
	kick    chan struct{}
	// loaded is closed when what earlier owners left has been read.
	loaded   chan struct{}
	submitAt uint64

	mu          sync.Mutex
	planner     *kqplan.Planner
	zones       kqevacuate.Zones
	left        []kqevacuate.ZoneStatus
	sessions    map[string]*Session
	agents      int
	confirmedAt time.Time
	fedAt       time.Time
	writes      writes
	heldBack    []heldBack
	beatenAt    time.Time
	beats       atomic.Uint64
	sweptAt     time.Time
	learnedAt   time.Time
	learned     []kqlearn.Fit
	pending     map[string]int
	pendingAt   time.Time
	wallOffset  time.Duration
	leases      leases
	pulse       pulse
	latest      Stats
}

// Take tries to take a cell whose row was read as old (with its version; 0 if
// there is none) and loads its jobs. Seen are the epochs that were read so far.
func Acquire(ctx context.Context, c Config, old OwnerRow, version uint64, seen kqelect.EpochHistory) (*Controller, error) {
	if c.Timed == nil {
		c.Timed = kqrows.NewTimed(c.Store, c.Now)
	}
	c.Store = c.Timed.Store
	sent := c.Now()
	row := OwnerRow{Name: c.Name, Boot: c.Boot, Address: c.Address, Epoch: old.Epoch + 1, LeasesRecorded: true}
	key := OwnerKey(c.Cell)
	o, err := c.Timed.Try(ctx, kqrows.Tx{Expected: []kqrows.Expect{{Key: key, Version: version}},
		Puts: []kqrows.Put{{Key: key, Value: kqtable.Encode(row)}}})
	if err != nil {
		return nil, err
	}
	if !o.Committed {
		return nil, ErrLost
	}
	x := &Controller{config: c, row: row, version: o.Version, kick: make(chan struct{}, 1), loaded: make(chan struct{}), confirmedAt: sent, fedAt: c.Now(),
		sessions: map[string]*Session{}, pending: map[string]int{}, wallOffset: c.Now().Sub(c.WallClock().Round(0))}
	// The beat goes on while the rows are read, or others take the cell meanwhile.
	x.tomb.Go(x.run)
	left := readLeft(ctx, c)
	if err := left.err(); err != nil {
		x.tomb.Kill(err)
		return nil, err
	}
	x.restoreLeases(left.leases.rows, old, seen)
	x.planner = kqplan.New(kqplan.Config{Epoch: row.Epoch, AcquiredAt: sent, PriorGrantsUntil: func(host string) time.Time { return x.leftAt(host, sent) },
		Lease: c.Lease, CrossRackSlowdown: c.CrossRackSlowdown, LimitWarmUp: c.LimitWarmUp, RecordOutcome: c.RecordOutcome, Events: c.Events, Counter: c.Counter})
	x.load(left)
	c.Events.Emit(c.Now(), kqevent.OwnerTaken, kqevent.Process(c.Name), "%s with epoch %d after %s (epoch %d): %d jobs not ended, %s after the write",
		c.Cell, row.Epoch, old.Name, old.Epoch, x.planner.ActiveJobs(), c.Now().Sub(sent).Round(time.Millisecond))
	return x, nil
}

// Start begins to decide.
func (c *Controller) Start() { close(c.loaded) }

func (c *Controller) run() error {
	c.tomb.Go((&beater{c}).loop)
	c.tomb.Go((&confirmer{controller: c}).loop)
	select {
	case <-c.tomb.Dying():
		return nil
	case <-c.loaded:
	}
	c.tomb.Go((&submissionFeed{c}).loop)
	c.loop()
	return nil
}

// Done is closed when the controller has ended.
func (c *Controller) Done() <-chan struct{} { return c.tomb.Dead() }

// Epoch returns the epoch of the ownership.
func (c *Controller) Epoch() uint64 { return c.row.Epoch }

// load takes over the jobs of the cell.
func (c *Controller) load(l *left) {
	if p := c.config.Policy(); p != nil {
		c.planner.SetPolicy(p)
	}
	records := make(map[string]kqrows.Row, len(l.progress.rows))
	for _, r := range l.progress.rows {
		records[r.Name] = r
	}
	c.submitAt = l.submissions.at
	now := c.config.Now()
	c.loadZones(now, l.zones)
	c.restoreLearned(now, l.learned)
	for _, r := range l.submissions.rows {
		c.submitted(now, r, records)
	}
}

// submitted takes over one stored submission; mu is held or not needed yet.
func (c *Controller) submitted(now time.Time, r kqrows.Row, records map[string]kqrows.Row) {
	s, err := DecodeSubmission(r)
	if err != nil || s.Job.Validate() != nil {
		c.config.Events.Emit(now, kqevent.RowUnreadable, kqevent.Job(r.Name), "submission: %v", err)
		return
	}
	// The time of day of the submission on this process's clock.
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
		c.config.Events.Emit(now, kqevent.RowUnreadable, kqevent.Job(r.Name), "progress: %v", err)
		return
	}
	c.planner.Submit(now, s, &record, stored.Version)
}

// SetPolicy takes over a new policy.
func (c *Controller) SetPolicy(p *kqflow.Policy) {
	c.mu.Lock()
	c.planner.SetPolicy(p)
	c.mu.Unlock()
	c.wake()
}

func (c *Controller) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// loop decides and has the decisions stored.
func (c *Controller) loop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return
		case <-c.kick:
		case <-t.C:
		}
		c.step()
	}
}

func (c *Controller) step() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	defer func() { c.pulse.decided(now, c.config.Now()) }()
	c.logPulse(now)
	c.planner.SetHold(!c.isFed(now) || c.config.Evacuation.outdated(now))
	c.planner.Tick(now)
	c.planner.RecordTickDuration(now, c.config.Now().Sub(now))
	c.write(now)
	c.publish(now)
	if c.stale(now) {
		c.sendAway()
	}
}

// end stops everything; mu is held.
func (c *Controller) end() {
	c.tomb.Kill(ErrLost)
	for _, s := range c.sessions {
		s.stream.Close()
	}
}

// Abandon ends the work without a word, as the death of the process would.
func (c *Controller) Abandon() {
	c.mu.Lock()
	c.end()
	c.mu.Unlock()
	_ = c.tomb.Wait()
}

// handOverTimeout bounds the write that gives the cell up.
const handOverTimeout = 700 * time.Millisecond

// HandOver gives the cell up, so that another process takes it at once.
func (c *Controller) HandOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	key := OwnerKey(c.config.Cell)
	_, err := kqrows.Commit(ctx, c.config.Store, kqrows.Tx{Expected: []kqrows.Expect{{Key: key, Version: c.version}},
		Puts: []kqrows.Put{{Key: key, Value: kqtable.Encode(OwnerRow{Boot: c.config.Boot, Epoch: c.row.Epoch, LeasesRecorded: true})}}})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Events.Emit(c.config.Now(), kqevent.HandedOver, kqevent.Process(c.config.Name), "%s with epoch %d: %v", c.config.Cell, c.row.Epoch, err)
	for _, s := range c.sessions {
		s.send(handedOver)
	}
	c.tomb.Kill(nil)
}
