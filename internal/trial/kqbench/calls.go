package kqbench

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqretry"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqclient"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqfleet"
)

// CallsConfig sets up the bench of calls.
type CallsConfig struct {
	// Duration is how long calls are sent in each run.
	Duration time.Duration
	// Loads is the shares of slot capacity at which calls are sent.
	LoadFractions []float64
	// Policies is how endpoints are chosen, in turn.
	Policies []kqroute.Policy
	// Seed draws arrivals and service times.
	Seed uint64
	// Progress receives a line for each run; nil shows none.
	Progress io.Writer
}

const (
	benchWorkers = 11
	benchSlots   = 8
	benchEntries = 2
	benchMedian  = 60 * time.Millisecond
	benchSpread  = 0.3
	benchSlowed  = 1
	benchFactor  = 3.0
	benchTarget  = 400 * time.Millisecond
	benchLink    = 1500 * time.Microsecond
	benchWarmUp  = 3 * time.Second
	benchReady   = 30 * time.Second
	benchPoll    = 100 * time.Millisecond
	boundCalls   = 200_000
)

// DefaultLoads is the shares of slot capacity that are measured.
var DefaultLoadFractions = []float64{0.5, 0.8, 0.95, 1.5}

// DefaultPolicies is the product and its baselines.
var DefaultPolicies = []kqroute.Policy{kqroute.PolicyExpectedTime, kqroute.PolicyRandom, kqroute.PolicyRoundRobin, kqroute.PolicyLeastInFlight}

// CallRun is the figures of one run.
type CallRun struct {
	// Policy is how endpoints were chosen.
	Policy string `json:"policy"`
	// Load is the share of slot capacity at which calls were sent.
	Load float64 `json:"load"`
	// P50 is the median latency of answered calls, in seconds.
	P50 float64 `json:"latency_p50_seconds"`
	// P99 is the 99th percentile, in seconds.
	P99 float64 `json:"latency_p99_seconds"`
	// P999 is the 99.9th percentile, in seconds.
	P999 float64 `json:"latency_p999_seconds"`
	// Sent is how many calls were sent.
	Sent int `json:"sent"`
	// Answered is how many were answered.
	Answered int `json:"answered"`
	// Refused is how many were refused as not run.
	Refused int `json:"refused"`
	// Unknown is how many have an unknown outcome.
	Unknown int `json:"unknown"`
	// Goodput is answers within the target as a share of what the slots can do.
	Goodput float64 `json:"goodput_of_capacity"`
	// RefusalP99 is the time from the sending of a call to its refusal, in
	// seconds.
	RefusalP99 float64 `json:"refusal_p99_seconds"`
	// AddedP50 is the median of what our hops and the wait for a slot add to the
	// time in the endpoint, in seconds.
	AddedP50 float64 `json:"added_p50_seconds"`
	// AddedP99 is the 99th percentile of it, in seconds.
	AddedP99 float64 `json:"added_p99_seconds"`
	// ProcessorPerCall is the processor time of the whole process, with callers
	// and endpoints, for each call, in seconds.
	ProcessorPerCall float64 `json:"processor_seconds_per_call"`
	// BoundP99 is the 99th percentile of a single shared queue with perfect
	// knowledge, in seconds; 0 where it has no steady state.
	BoundP99 float64 `json:"bound_p99_seconds"`
	// Violations is breaches of invariants.
	Violations uint64 `json:"invariant_violations"`
}

// Calls runs the bench and returns a run for each policy and load.
func MeasureCalls(ctx context.Context, c CallsConfig) ([]CallRun, error) {
	// Without links, so that the accuracy of their timers does not count as
	// ours, and with no slowed worker in the way of the median.
	bare, err := runCalls(ctx, c, kqroute.PolicyExpectedTime, DefaultLoadFractions[0], 0)
	if err != nil {
		return nil, err
	}
	bare.Policy = "expected, no links"
	out := []CallRun{bare}
	for _, load := range c.LoadFractions {
		for _, p := range c.Policies {
			r, err := runCalls(ctx, c, p, load, benchLink)
			if err != nil {
				return out, err
			}
			out = append(out, r)
			if c.Progress != nil {
				fmt.Fprintf(c.Progress, "%s at %.0f%%: p99 %.0f ms, goodput %.1f%%\n", p, load*100, r.P99*1000, r.Goodput*100)
			}
		}
	}
	return out, nil
}

// meanService is the mean of the log-normal service time.
func meanService() float64 { return benchMedian.Seconds() * math.Exp(benchSpread*benchSpread/2) }

// capacity is what all slots can answer in a second, the slowed ones included.
func capacity() float64 {
	fast, slow := float64((benchWorkers-benchSlowed)*benchSlots), float64(benchSlowed*benchSlots)
	return (fast + slow/benchFactor) / meanService()
}

// callRun is one run under way.
type callRun struct {
	config CallsConfig
	fleet  *kqfleet.Fleet
	user   kqfleet.User
	client *http.Client
	rate   float64
	links  time.Duration

	mu       sync.Mutex
	latency  []time.Duration
	added    []time.Duration
	refusals []time.Duration
	unknown  int
	sent     int
	inTime   int
}

func runCalls(ctx context.Context, c CallsConfig, p kqroute.Policy, load float64, links time.Duration) (CallRun, error) {
	u, err := kqfleet.FindUser("kaluvi")
	if err != nil {
		return CallRun{}, err
	}
	u.ServiceTime, u.Workers = benchMedian, benchWorkers
	hedge := kqretry.BudgetConfig{}
	if p == kqroute.PolicyExpectedTime {
		hedge = kqretry.DefaultHedgeBudget
	}
	f, err := kqfleet.Start(kqfleet.Config{Users: []kqfleet.User{u}, Entries: benchEntries, Seed: c.Seed, Spread: benchSpread,
		Relays: links > 0, LinkDelay: links, Policy: p, Hedge: hedge})
	if err != nil {
		return CallRun{}, err
	}
	defer f.Close()
	r := &callRun{config: c, fleet: f, user: u, links: links, rate: load * benchWorkers * benchSlots / meanService(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}}
	defer r.client.CloseIdleConnections()
	if err := r.prepare(ctx); err != nil {
		return CallRun{}, err
	}
	r.send(ctx, benchWarmUp)
	r.reset()
	before := processorTime()
	r.send(ctx, c.Duration)
	return r.figures(p, load, processorTime()-before), nil
}

// prepare applies the class and waits for the fleet.
func (r *callRun) prepare(ctx context.Context) error {
	doc := fmt.Sprintf("class: %s\nkind: latency_critical\nlatency: %s\npercentile: 99\nif_version: 0\n", r.user.Service, benchTarget)
	if err := (kqclient.Client{EntryAddress: r.fleet.Entries()[0].Addr()}).Apply(ctx, doc); err != nil {
		return err
	}
	r.fleet.SetSlowdown(r.fleet.Workers[0].Name, benchFactor)
	for end := time.Now().Add(benchReady); time.Now().Before(end); time.Sleep(benchPoll) {
		if r.ready() {
			return nil
		}
	}
	return eris.New("the fleet was not ready in time")
}

func (r *callRun) ready() bool {
	for _, e := range r.fleet.Entries() {
		if !e.Ready() || e.ReadyEndpoints() < benchWorkers {
			return false
		}
	}
	return true
}

func (r *callRun) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latency, r.added, r.refusals, r.unknown, r.sent, r.inTime = nil, nil, nil, 0, 0, 0
}

// send sends calls in an open loop for a time: a late answer delays no call,
// and each latency counts from when the call was due.
func (r *callRun) send(ctx context.Context, d time.Duration) {
	rng := rand.New(rand.NewPCG(r.config.Seed, 11))
	entries := r.fleet.Entries()
	var g sync.WaitGroup
	next := time.Now()
	for end := next.Add(d); next.Before(end) && ctx.Err() == nil; {
		next = next.Add(time.Duration(rng.ExpFloat64() / r.rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		r.sent++
		x := &benchCall{run: r, due: next, url: fmt.Sprintf("http://%s/v1/call/%s/unlock", entries[r.sent%len(entries)].Addr(), r.user.Service)}
		g.Go(x.send)
	}
	g.Wait()
}

// benchCall is one call of the bench.
type benchCall struct {
	run *callRun
	due time.Time
	url string
}

func (x *benchCall) send() {
	r := x.run
	sent := time.Now()
	a, err := r.client.Get(x.url)
	if err != nil {
		r.mu.Lock()
		r.unknown++
		r.mu.Unlock()
		return
	}
	_, err = io.Copy(io.Discard, a.Body)
	a.Body.Close()
	took, own := time.Since(x.due), time.Since(sent)
	service, _ := time.ParseDuration(a.Header.Get("X-Service-Time"))
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil || a.StatusCode == http.StatusBadGateway:
		r.unknown++
	case a.Header.Get("Kq-Result") != "":
		r.refusals = append(r.refusals, own)
	default:
		r.latency = append(r.latency, took)
		r.added = append(r.added, own-service-2*r.links)
		if took <= benchTarget {
			r.inTime++
		}
	}
}

func (r *callRun) figures(p kqroute.Policy, load float64, processor time.Duration) CallRun {
	at := func(ds []time.Duration, p float64) float64 { return percentile(ds, p).Seconds() }
	f := CallRun{Policy: string(p), Load: load, P50: at(r.latency, 0.5), P99: at(r.latency, 0.99), P999: at(r.latency, 0.999),
		Sent: r.sent, Answered: len(r.latency), Refused: len(r.refusals), Unknown: r.unknown,
		Goodput:    float64(r.inTime) / r.config.Duration.Seconds() / capacity(),
		RefusalP99: at(r.refusals, 0.99), AddedP50: at(r.added, 0.5), AddedP99: at(r.added, 0.99),
		ProcessorPerCall: processor.Seconds() / float64(max(1, r.sent)), Violations: r.fleet.Counter.Total()}
	if r.links == 0 {
		return f
	}
	if load < 1 {
		b := queueBound{rate: r.rate, fast: (benchWorkers - benchSlowed) * benchSlots, slow: benchSlowed * benchSlots, factor: benchFactor,
			median: benchMedian, spread: benchSpread, seed: r.config.Seed, calls: boundCalls}
		f.BoundP99 = (percentile(b.latencies(), 0.99) + 2*benchLink).Seconds()
	}
	return f
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// WriteCalls prints the runs as a table.
func WriteCalls(w io.Writer, runs []CallRun) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "load\tpolicy\tp50 ms\tp99 ms\tp99.9 ms\tbound p99 ms\tgoodput %\trefused\tunknown\trefusal p99 ms\tadded p50 ms\tadded p99 ms\tprocessor ms/call\t")
	for _, r := range runs {
		fmt.Fprintf(t, "%.0f%%\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", r.Load*100, r.Policy, r.P50*1e3, r.P99*1e3,
			r.P999*1e3, r.BoundP99*1e3, r.Goodput*100, r.Refused, r.Unknown, r.RefusalP99*1e3, r.AddedP50*1e3, r.AddedP99*1e3, r.ProcessorPerCall*1e3)
	}
	return t.Flush()
}
