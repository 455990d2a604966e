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

// CallsConfig configures MeasureCalls.
type CallsConfig struct {
	// Duration is how long calls are sent in each run.
	Duration time.Duration
	// LoadFractions lists the offered loads, as fractions of the slot capacity without the slowdown.
	LoadFractions []float64
	// Policies lists the endpoint selection policies; each is measured at each load.
	Policies []kqroute.Policy
	// Seed seeds the arrivals and service times.
	Seed uint64
	// Progress receives a line after each run; may be nil.
	Progress io.Writer
}

// Fleet and workload of each run. The service times of calls are log-normal with the median
// benchServiceTime; benchStdDev is the standard deviation of their logarithm. On benchSlowedWorkers
// workers they are benchSlowdown times as long. benchRelayDelay is the one-way delay of the relays
// between entries and agents.
const (
	benchWorkers       = 11
	benchSlots         = 8
	benchEntries       = 2
	benchServiceTime   = 60 * time.Millisecond
	benchStdDev        = 0.3
	benchSlowedWorkers = 1
	benchSlowdown      = 3.0
	benchLatencyTarget = 400 * time.Millisecond
	benchRelayDelay    = 1500 * time.Microsecond
	benchWarmUpTime    = 3 * time.Second
	benchReadyTimeout  = 30 * time.Second
	benchPollInterval  = 100 * time.Millisecond
	idealQueueCalls    = 200_000
)

// DefaultLoadFractions lists the default offered loads, as fractions of the slot capacity. The first
// is also the load of the run without relays.
var DefaultLoadFractions = []float64{0.5, 0.8, 0.95, 1.5}

// DefaultPolicies lists the default policy of an entry, PolicyExpectedTime, and the baselines.
var DefaultPolicies = []kqroute.Policy{kqroute.PolicyExpectedTime, kqroute.PolicyRandom, kqroute.PolicyRoundRobin, kqroute.PolicyLeastInFlight}

// CallFigures holds the results of one run.
type CallFigures struct {
	// Policy is the endpoint selection policy.
	Policy string `json:"policy"`
	// Load is the offered load as a fraction of the slot capacity.
	Load float64 `json:"load"`
	// P50 is the median latency of answered calls, in seconds.
	P50 float64 `json:"latency_p50_seconds"`
	// P99 is the 99th percentile, in seconds.
	P99 float64 `json:"latency_p99_seconds"`
	// P999 is the 99.9th percentile, in seconds.
	P999 float64 `json:"latency_p999_seconds"`
	// Sent is the number of calls sent.
	Sent int `json:"sent"`
	// Answered is the number of calls answered.
	Answered int `json:"answered"`
	// Refused is the number of calls refused without having run.
	Refused int `json:"refused"`
	// Unknown is the number of calls with an unknown outcome.
	Unknown int `json:"unknown"`
	// Goodput is the rate of answers within the latency target, divided by the rate that all slots
	// can answer.
	Goodput float64 `json:"goodput_of_capacity"`
	// RefusalP99 is the 99th percentile of the time from the sending of a call to its refusal, in
	// seconds.
	RefusalP99 float64 `json:"refusal_p99_seconds"`
	// AddedLatencyP50 is the median of the latency that entry, agent and the wait for a slot add to
	// the time in the endpoint, without the delay of the relays, in seconds.
	AddedLatencyP50 float64 `json:"added_p50_seconds"`
	// AddedLatencyP99 is the 99th percentile of the added latency, in seconds.
	AddedLatencyP99 float64 `json:"added_p99_seconds"`
	// ProcessorPerCall is the processor time of the whole process per call, callers and endpoints
	// included, in seconds.
	ProcessorPerCall float64 `json:"processor_seconds_per_call"`
	// IdealP99 is the 99th percentile of the latency with a single shared queue with perfect
	// knowledge, used as a lower bound on P99, in seconds. It is 0 at loads from 1, at which that
	// queue has no steady state, and in the run without relays.
	IdealP99 float64 `json:"bound_p99_seconds"`
	// Violations is the number of invariant violations.
	Violations uint64 `json:"invariant_violations"`
}

// MeasureCalls returns the results of a run without relays and of one run for each load and
// policy.
func MeasureCalls(ctx context.Context, c CallsConfig) ([]CallFigures, error) {
	// The added latency is read from a run without relays, because the inaccuracy of their timers
	// would count as added latency. The slowed worker does not affect its median.
	withoutRelays, err := runCallBench(ctx, c, kqroute.PolicyExpectedTime, DefaultLoadFractions[0], 0)
	if err != nil {
		return nil, err
	}
	withoutRelays.Policy = "expected, no links"
	out := []CallFigures{withoutRelays}
	for _, load := range c.LoadFractions {
		for _, p := range c.Policies {
			r, err := runCallBench(ctx, c, p, load, benchRelayDelay)
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

// meanSeconds returns the mean of the log-normal service time, in seconds.
func meanSeconds() float64 { return benchServiceTime.Seconds() * math.Exp(benchStdDev*benchStdDev/2) }

// callCapacity returns the calls per second that all slots can answer, the slowed ones included.
func callCapacity() float64 {
	fast, slow := float64((benchWorkers-benchSlowedWorkers)*benchSlots), float64(benchSlowedWorkers*benchSlots)
	return (fast + slow/benchSlowdown) / meanSeconds()
}

// callBench is the state of one run.
type callBench struct {
	config         CallsConfig
	fleet          *kqfleet.Fleet
	user           kqfleet.User
	client         *http.Client
	callsPerSecond float64
	relayDelay     time.Duration

	mu             sync.Mutex
	latencies      []time.Duration
	addedLatencies []time.Duration
	refusalTimes   []time.Duration
	unknownCount   int
	sentCount      int
	inTimeCount    int
}

func runCallBench(ctx context.Context, c CallsConfig, p kqroute.Policy, load float64, relayDelay time.Duration) (CallFigures, error) {
	u, err := kqfleet.FindUser("kaluvi")
	if err != nil {
		return CallFigures{}, err
	}
	u.ServiceTime, u.Workers = benchServiceTime, benchWorkers
	hedge := kqretry.BudgetConfig{}
	if p == kqroute.PolicyExpectedTime {
		hedge = kqretry.DefaultHedgeBudget
	}
	f, err := kqfleet.Start(kqfleet.Config{Users: []kqfleet.User{u}, Entries: benchEntries, Seed: c.Seed, LogStdDev: benchStdDev,
		Relays: relayDelay > 0, RelayDelay: relayDelay, Policy: p, Hedge: hedge})
	if err != nil {
		return CallFigures{}, err
	}
	defer f.Close()
	b := &callBench{config: c, fleet: f, user: u, relayDelay: relayDelay, callsPerSecond: load * benchWorkers * benchSlots / meanSeconds(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}}
	defer b.client.CloseIdleConnections()
	if err := b.prepare(ctx); err != nil {
		return CallFigures{}, err
	}
	b.send(ctx, benchWarmUpTime)
	b.reset()
	processorBefore := processorTime()
	b.send(ctx, c.Duration)
	return b.figures(p, load, processorTime()-processorBefore), nil
}

// prepare applies the class, slows a worker down and waits until all entries know all endpoints.
func (b *callBench) prepare(ctx context.Context) error {
	doc := fmt.Sprintf("class: %s\nkind: latency_critical\nlatency: %s\npercentile: 99\nif_version: 0\n", b.user.ServiceClass, benchLatencyTarget)
	if err := (kqclient.Client{EntryAddress: b.fleet.Entries()[0].Addr()}).Apply(ctx, doc); err != nil {
		return err
	}
	b.fleet.SetSlowdown(b.fleet.Workers[0].Name, benchSlowdown)
	for end := time.Now().Add(benchReadyTimeout); time.Now().Before(end); time.Sleep(benchPollInterval) {
		if b.ready() {
			return nil
		}
	}
	return eris.New("timed out waiting for all entries to know all endpoints")
}

func (b *callBench) ready() bool {
	for _, e := range b.fleet.Entries() {
		if !e.Ready() || e.ReadyEndpoints() < benchWorkers {
			return false
		}
	}
	return true
}

func (b *callBench) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latencies, b.addedLatencies, b.refusalTimes, b.unknownCount, b.sentCount, b.inTimeCount = nil, nil, nil, 0, 0, 0
}

// send sends calls in an open loop for a duration and waits for their answers: a late answer delays
// no other call, and each latency counts from the time at which the call was due.
func (b *callBench) send(ctx context.Context, duration time.Duration) {
	rng := rand.New(rand.NewPCG(b.config.Seed, 11))
	entries := b.fleet.Entries()
	var g sync.WaitGroup
	next := time.Now()
	for end := next.Add(duration); next.Before(end) && ctx.Err() == nil; {
		next = next.Add(time.Duration(rng.ExpFloat64() / b.callsPerSecond * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		b.sentCount++
		x := &benchCall{bench: b, due: next, url: fmt.Sprintf("http://%s/v1/call/%s/unlock", entries[b.sentCount%len(entries)].Addr(), b.user.ServiceClass)}
		g.Go(x.send)
	}
	g.Wait()
}

// benchCall is one call of the bench.
type benchCall struct {
	bench *callBench
	due   time.Time
	url   string
}

func (x *benchCall) send() {
	b := x.bench
	sent := time.Now()
	resp, err := b.client.Get(x.url)
	if err != nil {
		b.mu.Lock()
		b.unknownCount++
		b.mu.Unlock()
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	latency, sinceSent := time.Since(x.due), time.Since(sent)
	serviceTime, _ := time.ParseDuration(resp.Header.Get("X-Service-Time"))
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err != nil || resp.StatusCode == http.StatusBadGateway:
		b.unknownCount++
	case resp.Header.Get("Kq-Result") != "":
		b.refusalTimes = append(b.refusalTimes, sinceSent)
	default:
		b.latencies = append(b.latencies, latency)
		b.addedLatencies = append(b.addedLatencies, sinceSent-serviceTime-2*b.relayDelay)
		if latency <= benchLatencyTarget {
			b.inTimeCount++
		}
	}
}

func (b *callBench) figures(p kqroute.Policy, load float64, processor time.Duration) CallFigures {
	secondsAt := func(ds []time.Duration, p float64) float64 { return percentile(ds, p).Seconds() }
	f := CallFigures{Policy: string(p), Load: load, P50: secondsAt(b.latencies, 0.5), P99: secondsAt(b.latencies, 0.99), P999: secondsAt(b.latencies, 0.999),
		Sent: b.sentCount, Answered: len(b.latencies), Refused: len(b.refusalTimes), Unknown: b.unknownCount,
		Goodput:    float64(b.inTimeCount) / b.config.Duration.Seconds() / callCapacity(),
		RefusalP99: secondsAt(b.refusalTimes, 0.99), AddedLatencyP50: secondsAt(b.addedLatencies, 0.5), AddedLatencyP99: secondsAt(b.addedLatencies, 0.99),
		ProcessorPerCall: processor.Seconds() / float64(max(1, b.sentCount)), Violations: b.fleet.Counter.Total()}
	if b.relayDelay == 0 {
		return f
	}
	if load < 1 {
		queue := idealQueue{callsPerSecond: b.callsPerSecond, fastSlots: (benchWorkers - benchSlowedWorkers) * benchSlots, slowSlots: benchSlowedWorkers * benchSlots, slowdown: benchSlowdown,
			medianServiceTime: benchServiceTime, logStdDev: benchStdDev, seed: b.config.Seed, callCount: idealQueueCalls}
		f.IdealP99 = (percentile(queue.latencies(), 0.99) + 2*benchRelayDelay).Seconds()
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

// WriteCalls writes the results as a table, with times in milliseconds.
func WriteCalls(w io.Writer, runs []CallFigures) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "load\tpolicy\tp50 ms\tp99 ms\tp99.9 ms\tbound p99 ms\tgoodput %\trefused\tunknown\trefusal p99 ms\tadded p50 ms\tadded p99 ms\tprocessor ms/call\t")
	for _, r := range runs {
		fmt.Fprintf(t, "%.0f%%\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", r.Load*100, r.Policy, r.P50*1e3, r.P99*1e3,
			r.P999*1e3, r.IdealP99*1e3, r.Goodput*100, r.Refused, r.Unknown, r.RefusalP99*1e3, r.AddedLatencyP50*1e3, r.AddedLatencyP99*1e3, r.ProcessorPerCall*1e3)
	}
	return t.Flush()
}
