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
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
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
	// Lease is the longest lease that is granted.
	Lease time.Duration
	// FarFactor is how many times as long a task takes away from its rack.
	FarFactor float64
	// Keep is how long the state of an ended job is kept.
	Keep time.Duration
	// Policy returns the operator's policy as in force in this process.
	Policy func() *kqflow.Policy
	// Took is told how long commits took; may be nil.
	Took func(kind string, d time.Duration)
	// Now is a clock that counts suspensions.
	Now func() time.Time
	// Wall is the time of day.
	Wall func() time.Time
	// Events remembers what was decided; may be nil.
	Events *kqevent.Log
	// Counter receives breaches; may be nil.
	Counter *kqinvariant.Counter
}

const (
	// BeatInterval is the time between two confirmations of the ownership.
	BeatInterval = 400 * time.Millisecond
	beatTimeout  = 1200 * time.Millisecond
	tickInterval = 50 * time.Millisecond
	maxCommits   = 6
	// slowCommit is from which time of a commit on only one is under way: the
	// store takes them one after the other, and a larger batch costs no more.
	slowCommit    = 150 * time.Millisecond
	maxBatch      = 40
	followWait    = 4 * time.Second
	followSlack   = 800 * time.Millisecond
	readTimeout   = 3 * time.Second
	sweepInterval = 2 * time.Second
)

// Controller is the work of a process that owns a cell.
type Controller struct {
	config   Config
	tomb     tomb.Tomb
	row      OwnerRow
	version  uint64
	kick     chan struct{}
	submitAt uint64

	mu          sync.Mutex
	planner     *kqplan.Planner
	sessions    map[string]*Session
	confirmedAt time.Time
	commits     int
	commitTook  time.Duration
	beatenAt    time.Time
	beats       atomic.Uint64
	sweptAt     time.Time
	learnedAt   time.Time
	learned     []kqlearn.Fit
	pending     map[string]int
	pendingAt   time.Time
	wallOffset  time.Duration
}

// Take tries to take a cell whose row was read as old (with its version; 0 if
// there is none) and loads its jobs.
func Take(ctx context.Context, c Config, old OwnerRow, version uint64) (*Controller, error) {
	sent := c.Now()
	row := OwnerRow{Name: c.Name, Boot: c.Boot, Address: c.Address, Epoch: old.Epoch + 1}
	key := OwnerKey(c.Cell)
	o, err := kqrows.Commit(ctx, c.Store, kqrows.Tx{Expected: []kqrows.Expect{{Key: key, Version: version}},
		Puts: []kqrows.Put{{Key: key, Value: encode(row)}}})
	if err != nil {
		return nil, err
	}
	if !o.Committed {
		return nil, ErrLost
	}
	x := &Controller{config: c, row: row, version: o.Version, kick: make(chan struct{}, 1), confirmedAt: sent,
		sessions: map[string]*Session{}, pending: map[string]int{}, wallOffset: c.Now().Sub(c.Wall().Round(0))}
	x.planner = kqplan.New(kqplan.Config{Epoch: row.Epoch, TakenAt: sent, Lease: c.Lease, FarFactor: c.FarFactor, Events: c.Events, Counter: c.Counter})
	if err := x.load(ctx); err != nil {
		return nil, err
	}
	c.Events.Emit(c.Now(), kqevent.OwnerTaken, kqevent.Process(c.Name), "%s with epoch %d after %s (epoch %d): %d jobs not ended, %s after the write",
		c.Cell, row.Epoch, old.Name, old.Epoch, x.planner.Active(), c.Now().Sub(sent).Round(time.Millisecond))
	return x, nil
}

// Start begins to decide.
func (c *Controller) Start() {
	c.tomb.Go(c.run)
}

func (c *Controller) run() error {
	c.tomb.Go((&beater{c}).loop)
	c.tomb.Go((&submissionFeed{c}).loop)
	c.loop()
	return nil
}

// Done is closed when the controller has ended.
func (c *Controller) Done() <-chan struct{} { return c.tomb.Dead() }

// staleAge is after how long without a confirmation an owner sends the entries
// away, so that they look for another.
const staleAge = 1500 * time.Millisecond

// Stale reports whether the store has not confirmed the ownership of late.
func (c *Controller) Stale(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stale(now)
}

func (c *Controller) stale(now time.Time) bool { return now.Sub(c.confirmedAt) > staleAge }

// sendAway ends the sessions of entries; mu is held.
func (c *Controller) sendAway() {
	for _, s := range c.sessions {
		if s.hello.Role == kqmessage.RoleEntry {
			s.stream.Close()
		}
	}
}

// Epoch returns the epoch of the ownership.
func (c *Controller) Epoch() uint64 { return c.row.Epoch }

// load reads the jobs of the cell.
func (c *Controller) load(ctx context.Context) error {
	if p := c.config.Policy(); p != nil {
		c.planner.SetPolicy(p)
	}
	progress, _, err := c.config.Store.Read(ctx, ProgressTable, "", "")
	if err != nil {
		return err
	}
	records := make(map[string]kqrows.Row, len(progress))
	for _, r := range progress {
		records[r.Name] = r
	}
	rows, at, err := c.config.Store.Read(ctx, SubmissionTable, "", "")
	if err != nil {
		return err
	}
	c.submitAt = at
	now := c.config.Now()
	c.restoreLearned(ctx, now)
	for _, r := range rows {
		c.submitted(now, r, records)
	}
	return nil
}

// submitted takes over one stored submission; mu is held or not needed yet.
func (c *Controller) submitted(now time.Time, r kqrows.Row, records map[string]kqrows.Row) {
	s, err := DecodeSubmission(r)
	if err != nil || s.Job.Check() != nil {
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
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.Tick(now)
	for c.commits < c.width() {
		ws := c.planner.Writes(maxBatch)
		if len(ws) == 0 {
			break
		}
		c.commits++
		c.tomb.Go((&commit{c, ws}).run)
	}
	c.publish(now)
	c.sweep(now)
	c.keepLearned(now)
	if c.stale(now) {
		c.sendAway()
	}
}

// width returns how many commits may be under way.
func (c *Controller) width() int {
	if c.commitTook >= slowCommit {
		return 1
	}
	return maxCommits
}

// commit stores one batch of records.
type commit struct {
	controller *Controller
	writes     []kqplan.Write
}

func (x *commit) run() error {
	c := x.controller
	sent := c.config.Now()
	o, err := kqrows.Commit(c.tomb.Context(context.Background()), c.config.Store, x.transaction())
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commits--
	c.commitTook = now.Sub(sent)
	if c.config.Took != nil {
		c.config.Took("commit", c.commitTook)
	}
	switch {
	case err != nil:
		return nil
	case !o.Committed:
		c.rejected(now, o)
		return nil
	}
	c.confirm(sent)
	c.beatenAt = sent
	c.planner.Committed(now, x.writes, o.Version)
	c.publish(now)
	c.wake()
	return nil
}

func (x *commit) transaction() kqrows.Tx {
	c := x.controller
	t := kqrows.Tx{Expected: []kqrows.Expect{{Key: OwnerKey(c.config.Cell), Version: c.version}}, Puts: []kqrows.Put{c.beatPut()}}
	for _, w := range x.writes {
		k := ProgressKey(w.Job)
		t.Expected = append(t.Expected, kqrows.Expect{Key: k, Version: w.Version})
		t.Puts = append(t.Puts, kqrows.Put{Key: k, Value: encode(w.Record)})
	}
	return t
}

// rejected ends the ownership: another process has taken the cell, or rows are
// not as this process left them.
func (c *Controller) rejected(now time.Time, o kqrows.Outcome) {
	r, ok := o.Find(OwnerKey(c.config.Cell))
	c.config.Events.Emit(now, kqevent.OwnerLost, kqevent.Process(c.config.Name), "%s with epoch %d: the row was changed: %t", c.config.Cell,
		c.row.Epoch, !ok || r.Version != c.version)
	c.end()
}

// end stops everything; mu is held.
func (c *Controller) end() {
	c.tomb.Kill(ErrLost)
	for _, s := range c.sessions {
		s.stream.Close()
	}
}

// confirm notes that the ownership stood at a time; mu is held.
func (c *Controller) confirm(sent time.Time) {
	if sent.After(c.confirmedAt) {
		c.confirmedAt = sent
	}
}

// beater confirms the ownership.
type beater struct{ controller *Controller }

func (b *beater) loop() error {
	c := b.controller
	t := time.NewTicker(BeatInterval)
	defer t.Stop()
	for {
		if c.beatDue() {
			c.tomb.Go((&beat{c}).run)
		}
		select {
		case <-c.tomb.Dying():
			return nil
		case <-t.C:
		}
	}
}

// beatDue reports whether no commit has moved the beat of late.
func (c *Controller) beatDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Now().Sub(c.beatenAt) >= BeatInterval/2
}

// beatPut moves the beat, by which others see that the owner is alive.
func (c *Controller) beatPut() kqrows.Put {
	return kqrows.Put{Key: BeatKey(c.config.Cell), Value: encode(beatRow{c.row.Epoch, c.beats.Add(1)})}
}

// beat is one confirmation under way.
type beat struct{ controller *Controller }

type beatRow struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
}

func (b *beat) run() error {
	c := b.controller
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), beatTimeout)
	defer cancel()
	sent := c.config.Now()
	o, err := c.config.Store.Transact(ctx, kqrows.Tx{
		Expected: []kqrows.Expect{{Key: OwnerKey(c.config.Cell), Version: c.version}},
		Puts:     []kqrows.Put{c.beatPut()}})
	if err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Committed {
		c.confirm(sent)
		return nil
	}
	c.rejected(c.config.Now(), o)
	return nil
}

// submissionFeed follows what callers hand in.
type submissionFeed struct{ controller *Controller }

func (f *submissionFeed) loop() error {
	c := f.controller
	ctx := c.tomb.Context(context.Background())
	after := c.submitAt
	for c.tomb.Alive() {
		call, cancel := context.WithTimeout(ctx, followWait+followSlack)
		rows, next, err := c.config.Store.Follow(call, SubmissionTable, after, followWait)
		cancel()
		switch {
		case err == nil:
			after = next
			f.take(rows)
		case eris.Is(err, kqrows.ErrHistoryGone):
			after = f.readAnew(ctx, after)
		default:
			pause(ctx, retryPause)
		}
	}
	return nil
}

const retryPause = 60 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (f *submissionFeed) take(rows []kqrows.Row) {
	if len(rows) == 0 {
		return
	}
	c := f.controller
	now := c.config.Now()
	c.mu.Lock()
	for _, r := range rows {
		if r.Removed {
			c.planner.Forget(r.Name)
			continue
		}
		c.submitted(now, r, nil)
	}
	c.mu.Unlock()
	c.wake()
}

// readAnew reads the whole table after the feed's history was dropped.
func (f *submissionFeed) readAnew(ctx context.Context, after uint64) uint64 {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, at, err := f.controller.config.Store.Read(call, SubmissionTable, "", "")
	if err != nil {
		pause(ctx, retryPause)
		return after
	}
	f.take(rows)
	return at
}

// sweep removes the rows of jobs that ended long ago; mu is held.
func (c *Controller) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	ended := c.planner.Ended(now.Add(-c.config.Keep))
	if len(ended) > 0 {
		c.tomb.Go((&removal{c, ended[:min(len(ended), maxBatch)]}).run)
	}
}

// removal removes the rows of ended jobs.
type removal struct {
	controller *Controller
	jobs       []kqplan.Write
}

func (x *removal) run() error {
	c := x.controller
	t := kqrows.Tx{Expected: []kqrows.Expect{{Key: OwnerKey(c.config.Cell), Version: c.version}}}
	for _, w := range x.jobs {
		t.Removes = append(t.Removes, ProgressKey(w.Job), SubmissionKey(w.Job))
	}
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), readTimeout)
	defer cancel()
	o, err := c.config.Store.Transact(ctx, t)
	if err != nil || !o.Committed {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range x.jobs {
		c.planner.Forget(w.Job)
	}
	return nil
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
		Puts: []kqrows.Put{{Key: key, Value: encode(OwnerRow{Boot: c.config.Boot, Epoch: c.row.Epoch})}}})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Events.Emit(c.config.Now(), kqevent.HandedOver, kqevent.Process(c.config.Name), "%s with epoch %d: %v", c.config.Cell, c.row.Epoch, err)
	for _, s := range c.sessions {
		s.send(handedOver)
	}
	c.tomb.Kill(nil)
}
