package kqcaller

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqadmit"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqretry"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// Config sets up a Caller.
type Config struct {
	// Routes is the endpoints known.
	Routes kqroute.Config
	// Transport reaches the agents.
	Transport Transport
	// Retry bounds the calls sent again.
	Retry kqretry.BudgetConfig
	// Hedge bounds the calls sent twice.
	Hedge kqretry.BudgetConfig
	// Now is the clock.
	Now func() time.Time
	// Events remembers what was decided; may be nil.
	Events *kqevent.Log
	// Counter receives breaches; nil counts none.
	Counter *kqinvariant.Counter
}

// hedgePercentile is the share of calls that are answered before a hedge.
const hedgePercentile = 0.95

// Caller routes the calls of one entry.
type Router struct {
	config Config

	mu        sync.Mutex
	routes    *kqroute.Table
	retry     *kqretry.Budget
	hedge     *kqretry.Budget
	latencies map[string]*kqretry.LatencyWindow
}

// New returns a Caller that knows no endpoint yet.
func New(c Config) *Router {
	return &Router{config: c, routes: kqroute.New(c.Routes), retry: kqretry.NewBudget(c.Retry),
		hedge: kqretry.NewBudget(c.Hedge), latencies: map[string]*kqretry.LatencyWindow{}}
}

// Announce takes over what an agent says of itself.
func (c *Router) ApplyAnnouncement(now time.Time, a kqroute.Announcement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.ApplyAnnouncement(now, a)
}

// Tick drops silent agents and ejects slow endpoints.
func (c *Router) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.Tick(now)
	c.routes.EjectSlow(now)
}

// Views lists the endpoints known.
func (c *Router) Views() []kqroute.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routes.Views()
}

func (c *Router) spendRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retry.Spend()
}

func (c *Router) choose(now time.Time, r kqroute.Request) (kqroute.Pick, *kqresult.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, err := c.routes.Choose(now, r)
	if err == nil {
		c.routes.BeginAttempt(now, p.Ref)
	}
	return p, err
}

func (c *Router) end(now time.Time, ref kqroute.Ref, o kqroute.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.EndAttempt(now, ref, o)
}

func (c *Router) learn(ref kqroute.Ref, l kqadmit.Load) {
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes.UpdateLoad(now, ref, l)
}

// hedgeAfter pays into the budgets and returns when a second attempt is due.
func (c *Router) hedgeAfter(now time.Time, class string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retry.Deposit(now)
	c.hedge.Deposit(now)
	l := c.latencies[class]
	if l == nil {
		return 0, false
	}
	return l.Percentile(hedgePercentile)
}

func (c *Router) spendHedge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hedge.Spend()
}

func (c *Router) answered(class string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.latencies[class]
	if l == nil {
		l = &kqretry.LatencyWindow{}
		c.latencies[class] = l
	}
	l.Add(d)
}

// Reserve chooses the endpoint of a call's first attempt ahead of Do.
func (c *Router) Reserve(now time.Time, r Request) (kqroute.Pick, *kqresult.Error) {
	return c.choose(now, kqroute.Request{Class: r.Class, Deadline: r.Deadline, LatencyTarget: r.LatencyTarget})
}

// GiveBack frees an endpoint that was reserved and is not used.
func (c *Router) Release(now time.Time, ref kqroute.Ref) { c.end(now, ref, kqroute.OutcomeCancelled) }

// exchange returns a call under way with no attempt yet.
func (c *Router) exchange(ctx context.Context, now time.Time, r Request) *exchange {
	ctx, cancel := context.WithCancel(ctx)
	x := &exchange{caller: c, request: r, begun: now, ctx: ctx, cancel: cancel, events: make(chan event)}
	x.plan = kqretry.NewPlan(kqretry.Config{CallID: r.ID, Idempotent: r.Idempotent, Deadline: r.Deadline,
		SpendRetry: c.spendRetry, Counter: c.config.Counter})
	return x
}

// Recall fetches the answer of a call whose first attempt was sent to an
// endpoint at a time, by this entry or another.
func (c *Router) FetchAnswer(ctx context.Context, r Request, ref kqroute.Ref, sentAt time.Time) (*Answer, *kqresult.Error) {
	now := c.config.Now()
	x := c.exchange(ctx, now, r)
	a := &attempt{exchange: x, number: x.plan.AddAttempt(), pick: kqroute.Pick{Ref: ref}, sentAt: sentAt}
	a.ctx, a.cancel = context.WithCancel(x.ctx)
	// The answer is only read: ending the recall must not end the call.
	a.once.Do(func() {})
	f := &fetcher{attempt: a}
	go f.run()
	t := time.NewTimer(r.Deadline.Sub(now))
	defer t.Stop()
	err := kqresult.Errorf(kqresult.OutcomeUnknown, "it is still running")
	select {
	case e := <-x.events:
		if e.head != nil {
			return &Answer{Head: *e.head, Attempt: a.number, exchange: x, attempt: a, stream: e.stream, pending: &e.first}, nil
		}
		err = e.result()
	case <-t.C:
	case <-x.ctx.Done():
	}
	x.cancel()
	return nil, err
}

// Do runs a call and returns its answer once the head is there. The Answer
// must be closed.
func (c *Router) Do(ctx context.Context, r Request) (*Answer, *kqresult.Error) {
	now := c.config.Now()
	x := c.exchange(ctx, now, r)
	a, err := x.drive(now)
	if err != nil {
		x.cancel()
		n := kqevent.CallRefused
		if !err.Code.NotRun() {
			n = kqevent.CallOutcomeUnknown
		}
		c.config.Events.Emit(c.config.Now(), n, kqevent.Call(r.ID), "%s", err)
	}
	return a, err
}
