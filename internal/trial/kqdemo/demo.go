package kqdemo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqretry"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqclient"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqhost"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqfleet"
)

// Config configures a demo.
type Config struct {
	// Users lists the users whose workers are started and whose calls are sent.
	Users []kqfleet.User
	// Duration is how long calls are sent.
	Duration time.Duration
	// CallRate is the calls per second of each user.
	CallRate float64
	// InjectFaults kills a worker and an entry, silences connections and makes the store unavailable
	// during the demo.
	InjectFaults bool
	// Seed seeds the calls, service times and faults.
	Seed uint64
	// Progress receives a line every second; may be nil.
	Progress io.Writer
}

const (
	entryCount          = 2
	serviceLogStdDev    = 0.3 // standard deviation of the logarithm of service times
	readyTimeout        = 20 * time.Second
	finishTimeout       = 60 * time.Second
	pollInterval        = 100 * time.Millisecond
	batchTasks          = 40
	watcherTasks        = 4
	taskRunTime         = 2 * time.Second
	progressInterval    = time.Second
	taskMilliProcessors = 2000
	taskMemoryBytes     = int64(2_000_000_000)
)

// demo is the state of a running demo. Its generators and the IDs of its jobs are keyed by the name
// of the user.
type demo struct {
	config     Config
	fleet      *kqfleet.Fleet
	generators map[string]*callGenerator
	jobs       map[string][]string
	startedAt  time.Time
}

// Run runs a demo to its end and returns its report.
func Run(ctx context.Context, c Config) (Report, error) {
	f, err := kqfleet.Start(kqfleet.Config{Users: c.Users, Entries: entryCount, Seed: c.Seed, LogStdDev: serviceLogStdDev, Relays: true,
		Hedge: kqretry.DefaultHedgeBudget, Behaviours: map[string]kqhost.Behaviour{}})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	d := &demo{config: c, fleet: f, generators: map[string]*callGenerator{}, jobs: map[string][]string{}}
	if err := d.prepare(ctx); err != nil {
		return Report{}, err
	}
	d.runWorkload(ctx)
	if err := d.finish(ctx); err != nil {
		return Report{}, err
	}
	return d.report(ctx)
}

func (d *demo) client() kqclient.Client {
	return kqclient.Client{EntryAddress: d.fleet.Entries()[0].Addr()}
}

// prepare applies the classes, waits until the fleet is ready and submits the jobs.
func (d *demo) prepare(ctx context.Context) error {
	for i, u := range d.config.Users {
		if err := d.client().Apply(ctx, u.Documents()); err != nil {
			return eris.Wrapf(err, "apply the classes of %s", u.Name)
		}
		d.generators[u.Name] = newCallGenerator(d.fleet, u, d.config.CallRate, d.config.Seed+uint64(i)+100)
	}
	if err := d.waitFor(ctx, readyTimeout, "the fleet to be ready", d.ready); err != nil {
		return err
	}
	for _, u := range d.config.Users {
		if err := d.submit(ctx, u); err != nil {
			return eris.Wrapf(err, "submit the jobs of %s", u.Name)
		}
	}
	return nil
}

func (d *demo) waitFor(ctx context.Context, timeout time.Duration, condition string, done func() bool) error {
	end := time.Now().Add(timeout)
	for !done() {
		if ctx.Err() != nil || time.Now().After(end) {
			return eris.Errorf("timed out after %s waiting for %s", timeout, condition)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// ready reports whether every entry knows every endpoint and process and the configuration, and every
// worker knows an owner.
func (d *demo) ready() bool {
	endpointCount := 0
	for _, u := range d.config.Users {
		endpointCount += u.Workers
	}
	for _, e := range d.fleet.Entries() {
		s := e.ConfigStatus(time.Now())
		if e.ReadyEndpoints() < endpointCount || s.Processes < endpointCount+entryCount || s.LowestSequence < uint64(len(d.config.Users)) {
			return false
		}
	}
	for _, w := range d.fleet.Workers {
		if row, _ := w.Agent().Owner(); row.Epoch == 0 {
			return false
		}
	}
	return true
}

func (d *demo) submit(ctx context.Context, u kqfleet.User) error {
	size := kqmodel.Resources{MilliProcessors: taskMilliProcessors, MemoryBytes: taskMemoryBytes}
	specs := []kqmodel.JobSpec{
		{ID: u.Name + "-batch", Team: u.Name, Class: u.BatchClass, Family: u.Family, Tasks: batchTasks, Resources: size, RunTime: kqmodel.Duration(taskRunTime)},
		{ID: u.Name + "-late-batch", Team: u.Name, Class: u.BatchClass, Family: u.Family, Tasks: batchTasks, Resources: size,
			RunTime: kqmodel.Duration(d.config.Duration / 2)},
		{ID: u.Name + "-urgent", Team: u.Name, Class: u.BatchClass, Family: u.Family, Tasks: 2, Resources: size,
			RunTime: kqmodel.Duration(taskRunTime / 2), Urgency: kqmodel.UrgencyUrgent},
		{ID: u.Name + "-watch", Team: u.Name, Class: u.WatcherClass, Tasks: watcherTasks, Resources: size},
	}
	for _, s := range specs {
		if _, err := d.client().Submit(ctx, s); err != nil {
			return err
		}
		d.jobs[u.Name] = append(d.jobs[u.Name], s.ID)
		d.generators[u.Name].stats.update(func(f *Figures) { f.TasksSubmitted += uint64(s.Tasks) })
	}
	return nil
}

// runWorkload sends the calls for the duration of the demo and meanwhile injects the faults and
// changes the configuration.
func (d *demo) runWorkload(ctx context.Context) {
	d.startedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.config.Duration)
	defer cancel()
	var g sync.WaitGroup
	for _, generator := range d.generators {
		g.Go(func() { generator.run(ctx) })
	}
	if d.config.InjectFaults {
		g.Go(func() { d.injectFaults(ctx) })
	}
	g.Go(func() { d.changeTarget(ctx) })
	g.Go(func() { d.reportProgress(ctx) })
	g.Wait()
}

// changeTarget applies a new latency target to a class after a fifth of the duration, so that its
// propagation to all processes is measured.
func (d *demo) changeTarget(ctx context.Context) {
	if !sleep(ctx, d.config.Duration/5) {
		return
	}
	u := d.config.Users[0]
	doc := fmt.Sprintf("class: %s\nkind: latency_critical\nlatency: 300ms\npercentile: 99\nif_version: 1\n", u.ServiceClass)
	if err := d.client().Apply(ctx, doc); err != nil && d.config.Progress != nil {
		fmt.Fprintln(d.config.Progress, "the change of the latency target failed:", err)
	}
}

// sleep waits for t and returns true, or returns false when ctx ends.
func sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(t):
		return true
	}
}

func (d *demo) reportProgress(ctx context.Context) {
	if d.config.Progress == nil {
		return
	}
	for sleep(ctx, progressInterval) {
		fmt.Fprintf(d.config.Progress, "%4.0fs", time.Since(d.startedAt).Seconds())
		for _, u := range d.config.Users {
			f := d.generators[u.Name].stats.snapshot()
			fmt.Fprintf(d.config.Progress, "  %s: %d calls, %d answered, p99 %s", u.Name, f.CallsSent, f.CallsAnswered,
				time.Duration(f.LatencyP99*float64(time.Second)).Round(time.Millisecond))
		}
		fmt.Fprintf(d.config.Progress, "  tasks finished %d\n", d.fleet.Ledger.Totals().Finished)
	}
}

// injectFaults injects one fault after the other. A twentieth of the duration is the unit of time.
func (d *demo) injectFaults(ctx context.Context) {
	interval := d.config.Duration / 20
	worker := d.fleet.Workers[1]
	if !sleep(ctx, 3*interval) {
		return
	}
	d.logf("fault: worker %s is killed", worker.Name)
	worker.Kill()
	if !sleep(ctx, 3*interval) {
		return
	}
	d.logf("fault: worker %s is restarted with a new boot ID", worker.Name)
	if err := worker.Boot(); err != nil {
		d.logf("worker %s: %v", worker.Name, err)
	}
	d.logf("fault: entry 2 is killed")
	d.fleet.RemoveEntry(1).Kill()
	if !sleep(ctx, 2*interval) {
		return
	}
	if err := d.fleet.StartEntry(1); err != nil {
		d.logf("entry 2: %v", err)
	}
	if !sleep(ctx, 2*interval) {
		return
	}
	d.logf("fault: %d connections to worker %s go silent", d.fleet.Workers[0].Relay().Silence(), d.fleet.Workers[0].Name)
	if !sleep(ctx, 2*interval) {
		return
	}
	d.logf("fault: the store is unavailable")
	faults := d.fleet.StoreFaults.State()
	faults.Down = true
	d.fleet.StoreFaults.Set(faults)
	sleep(ctx, 4*interval)
	faults.Down = false
	d.fleet.StoreFaults.Set(faults)
	d.logf("fault: the store is available again")
}

func (d *demo) logf(format string, args ...any) {
	if d.config.Progress != nil {
		fmt.Fprintf(d.config.Progress, format+"\n", args...)
	}
}

// finish waits until all jobs but those of watchers are finished.
func (d *demo) finish(ctx context.Context) error {
	d.logf("waiting for the batch jobs")
	return d.waitFor(ctx, finishTimeout, "the batch jobs to end", func() bool {
		for _, u := range d.config.Users {
			for _, id := range d.jobs[u.Name] {
				v, err := d.client().Job(ctx, id)
				if err != nil || (!v.Job.Watcher && v.State != "finished") {
					return false
				}
			}
		}
		return true
	})
}

// report collects the figures from the callers and from the ledgers of the stand-ins, which record
// what really ran.
func (d *demo) report(ctx context.Context) (Report, error) {
	r := Report{Users: map[string]Figures{}, DurationSeconds: d.config.Duration.Seconds(), FaultsInjected: d.config.InjectFaults}
	totalStats := newCallStats()
	for _, u := range d.config.Users {
		f, err := d.userFigures(ctx, u)
		if err != nil {
			return r, err
		}
		r.Users[u.Name] = f
		r.Total = r.Total.plus(f)
		totalStats.latencies.Merge(d.generators[u.Name].stats.latencies)
	}
	percentiles := totalStats.snapshot()
	r.Total.LatencyP50, r.Total.LatencyP99, r.Total.LatencyP999 = percentiles.LatencyP50, percentiles.LatencyP99, percentiles.LatencyP999
	totals := d.fleet.Ledger.Totals()
	r.Total.TasksRunTwice, r.Total.CapacityExceeded = totals.RunTwice, totals.CapacityExceeded
	r.Total.Violations += d.fleet.Counter.Total()
	for _, b := range d.fleet.Counter.Breaches() {
		r.Breaches = append(r.Breaches, fmt.Sprintf("%s: %s", b.Name, b.Detail))
	}
	for _, e := range d.fleet.Entries() {
		r.Total.MaxConfigPropagation = max(r.Total.MaxConfigPropagation, e.ConfigStatus(time.Now()).MaxPropagationSeconds)
	}
	for name, f := range r.Users {
		f.MaxConfigPropagation = r.Total.MaxConfigPropagation
		r.Users[name] = f
	}
	return r, nil
}

func (d *demo) userFigures(ctx context.Context, u kqfleet.User) (Figures, error) {
	f := d.generators[u.Name].stats.snapshot()
	totals := d.fleet.CallLedgers[u.Name].Totals()
	f.CallsRunTwice = totals.RunTwice
	f.Violations += totals.SlotsExceeded
	for _, id := range d.jobs[u.Name] {
		v, err := d.client().Job(ctx, id)
		if err != nil {
			return f, err
		}
		f.Evictions += uint64(v.Evictions)
		for i := range v.Job.Spec.Tasks {
			finished := d.fleet.Ledger.Finished(kqmodel.TaskID{Job: id, Index: i})
			switch {
			case finished:
				f.TasksFinished++
			case !v.Job.Watcher:
				f.TasksLost++
			}
		}
	}
	return f, nil
}
