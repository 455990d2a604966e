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

// Config configures a Router.
type Config struct {
	// Routes configures the table of endpoints.
	Routes kqroute.Config
	// Transport sends requests to the agents.
	Transport Transport
	// Retry is the budget for retries.
	Retry kqretry.BudgetConfig
	// Hedge is the budget for hedged (duplicated) attempts.
	Hedge kqretry.BudgetConfig
	// Now returns the present time.
	Now func() time.Time
	// Events records the decisions; may be nil.
	Events *kqevent.Log
	// Counter counts invariant violations; may be nil.
	Counter *kqinvariant.Counter
}

// hedgePercentile is the latency percentile of a class after which an idempotent call is hedged:
// 95% of the calls are answered before.
const hedgePercentile = 0.95

// Router routes the calls of one entry to endpoints, with retries, hedges and fetches. It is safe
// for concurrent use.
type Router struct {
	config Config

	mu          sync.Mutex
	routes      *kqroute.Table
	retryBudget *kqretry.Budget
	hedgeBudget *kqretry.Budget
	latencies   map[string]*kqretry.LatencyWindow
}

// New returns a Router that knows no endpoints yet.
func New(c Config) *Router {
	return &Router{config: c, routes: kqroute.New(c.Routes), retryBudget: kqretry.NewBudget(c.Retry),
		hedgeBudget: kqretry.NewBudget(c.Hedge), latencies: map[string]*kqretry.LatencyWindow{}}
}

// ApplyAnnouncement updates the endpoints of an agent from its announcement.
func (rt *Router) ApplyAnnouncement(now time.Time, a kqroute.Announcement) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.routes.ApplyAnnouncement(now, a)
}

// Tick removes the endpoints of agents that stopped reporting and ejects slow endpoints.
func (rt *Router) Tick(now time.Time) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.routes.Tick(now)
	rt.routes.EjectSlow(now)
}

// Views lists the known endpoints.
func (rt *Router) Views() []kqroute.View {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.routes.Views()
}

func (rt *Router) spendRetry() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.retryBudget.Spend()
}

// choose picks an endpoint and counts the attempt as open there.
func (rt *Router) choose(now time.Time, r kqroute.Request) (kqroute.Pick, *kqresult.Error) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	p, err := rt.routes.Choose(now, r)
	if err == nil {
		rt.routes.BeginAttempt(now, p.Ref)
	}
	return p, err
}

func (rt *Router) end(now time.Time, ref kqroute.Ref, o kqroute.Outcome) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.routes.EndAttempt(now, ref, o)
}

func (rt *Router) updateLoad(ref kqroute.Ref, l kqadmit.Load) {
	now := rt.config.Now()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.routes.UpdateLoad(now, ref, l)
}

// hedgeDelay deposits for one call into both budgets and returns the delay of a hedged attempt.
// The result is false while the class has too few latencies.
func (rt *Router) hedgeDelay(now time.Time, class string) (time.Duration, bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.retryBudget.Deposit(now)
	rt.hedgeBudget.Deposit(now)
	l := rt.latencies[class]
	if l == nil {
		return 0, false
	}
	return l.Percentile(hedgePercentile)
}

func (rt *Router) spendHedge() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.hedgeBudget.Spend()
}

// recordLatency adds the time from the start of a call to the head of its answer.
func (rt *Router) recordLatency(class string, d time.Duration) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	l := rt.latencies[class]
	if l == nil {
		l = &kqretry.LatencyWindow{}
		rt.latencies[class] = l
	}
	l.Add(d)
}

// Reserve chooses the endpoint of a call's first attempt before Do is called. Put the result into
// Request.Reserved or pass it to Release.
func (rt *Router) Reserve(now time.Time, r Request) (kqroute.Pick, *kqresult.Error) {
	return rt.choose(now, kqroute.Request{Class: r.Class, Deadline: r.Deadline, LatencyTarget: r.LatencyTarget})
}

// Release undoes a reservation that is not used.
func (rt *Router) Release(now time.Time, ref kqroute.Ref) { rt.end(now, ref, kqroute.OutcomeCancelled) }

// newExchange returns the state of a call with no attempt yet.
func (rt *Router) newExchange(ctx context.Context, now time.Time, r Request) *exchange {
	ctx, cancel := context.WithCancel(ctx)
	x := &exchange{router: rt, request: r, startedAt: now, ctx: ctx, cancel: cancel, events: make(chan attemptEvent)}
	x.plan = kqretry.NewPlan(kqretry.Config{CallID: r.ID, Idempotent: r.Idempotent, Deadline: r.Deadline,
		SpendRetry: rt.spendRetry, Counter: rt.config.Counter})
	return x
}

// FetchAnswer fetches the answer of a call whose first attempt was sent to ref at sentAt, by this
// entry or another one.
func (rt *Router) FetchAnswer(ctx context.Context, r Request, ref kqroute.Ref, sentAt time.Time) (*Answer, *kqresult.Error) {
	now := rt.config.Now()
	x := rt.newExchange(ctx, now, r)
	a := &attempt{exchange: x, number: x.plan.AddAttempt(), pick: kqroute.Pick{Ref: ref}, sentAt: sentAt}
	a.ctx, a.cancel = context.WithCancel(x.ctx)
	// Mark the attempt as ended: aborting the fetch must not cancel the call.
	a.endOnce.Do(func() {})
	f := &fetcher{attempt: a}
	go f.run()
	t := time.NewTimer(r.Deadline.Sub(now))
	defer t.Stop()
	err := kqresult.Errorf(kqresult.OutcomeUnknown, "the call is still running")
	select {
	case e := <-x.events:
		if e.head != nil {
			return &Answer{Head: *e.head, Attempt: a.number, exchange: x, attempt: a, stream: e.stream, buffered: &e.firstPart}, nil
		}
		err = e.asError()
	case <-t.C:
	case <-x.ctx.Done():
	}
	x.cancel()
	return nil, err
}

// Do runs a call and returns its answer as soon as the head has arrived. The caller must close
// the Answer.
func (rt *Router) Do(ctx context.Context, r Request) (*Answer, *kqresult.Error) {
	now := rt.config.Now()
	x := rt.newExchange(ctx, now, r)
	a, err := x.run(now)
	if err != nil {
		x.cancel()
		n := kqevent.CallRefused
		if !err.Code.NotRun() {
			n = kqevent.CallOutcomeUnknown
		}
		rt.config.Events.Emit(rt.config.Now(), n, kqevent.Call(r.ID), "%s", err)
	}
	return a, err
}
