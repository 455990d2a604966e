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

// Config sets up a demo.
type Config struct {
	// Users is the users that take part.
	Users []kqfleet.User
	// Duration is how long calls are sent.
	Duration time.Duration
	// Rate is the calls a second of each user.
	CallRate float64
	// Faults switches the faults on.
	InjectFaults bool
	// Seed draws calls, service times and faults.
	Seed uint64
	// Progress receives a line each second; nil shows none.
	Progress io.Writer
}

const (
	entries        = 2
	spread         = 0.3
	readyBound     = 20 * time.Second
	finishBound    = 60 * time.Second
	pollInterval   = 100 * time.Millisecond
	jobTasks       = 40
	watcherTasks   = 4
	taskRunTime    = 2 * time.Second
	progressEvery  = time.Second
	taskProcessors = 2000
	taskMemory     = int64(2_000_000_000)
)

// demo is a demo under way.
type demo struct {
	config Config
	fleet  *kqfleet.Fleet
	loads  map[string]*load
	jobs   map[string][]string
	begun  time.Time
}

// Run runs a demo to its end.
func Run(ctx context.Context, c Config) (Report, error) {
	f, err := kqfleet.Start(kqfleet.Config{Users: c.Users, Entries: entries, Seed: c.Seed, Spread: spread, Relays: true,
		Hedge: kqretry.DefaultHedgeBudget, Behaviours: map[string]kqhost.Behaviour{}})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	d := &demo{config: c, fleet: f, loads: map[string]*load{}, jobs: map[string][]string{}}
	if err := d.prepare(ctx); err != nil {
		return Report{}, err
	}
	d.drive(ctx)
	if err := d.finish(ctx); err != nil {
		return Report{}, err
	}
	return d.report(ctx)
}

func (d *demo) client() kqclient.Client {
	return kqclient.Client{EntryAddress: d.fleet.Entries()[0].Addr()}
}

// prepare waits for the fleet, applies the classes and submits the jobs.
func (d *demo) prepare(ctx context.Context) error {
	for i, u := range d.config.Users {
		if err := d.client().Apply(ctx, u.Documents()); err != nil {
			return eris.Wrapf(err, "classes of %s", u.Name)
		}
		d.loads[u.Name] = newLoad(d.fleet, u, d.config.CallRate, d.config.Seed+uint64(i)+100)
	}
	if err := d.await(ctx, readyBound, "the fleet to be ready", d.ready); err != nil {
		return err
	}
	for _, u := range d.config.Users {
		if err := d.submit(ctx, u); err != nil {
			return eris.Wrapf(err, "jobs of %s", u.Name)
		}
	}
	return nil
}

func (d *demo) await(ctx context.Context, bound time.Duration, what string, done func() bool) error {
	end := time.Now().Add(bound)
	for !done() {
		if ctx.Err() != nil || time.Now().After(end) {
			return eris.Errorf("waited %s for %s", bound, what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// ready reports whether every entry sees every endpoint and the configuration.
func (d *demo) ready() bool {
	want := 0
	for _, u := range d.config.Users {
		want += u.Workers
	}
	for _, e := range d.fleet.Entries() {
		s := e.ConfigStatus(time.Now())
		if e.ReadyEndpoints() < want || s.Processes < want+entries || s.LowestSequence < uint64(len(d.config.Users)) {
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
	size := kqmodel.Resources{MilliProcessors: taskProcessors, MemoryBytes: taskMemory}
	specs := []kqmodel.JobSpec{
		{ID: u.Name + "-batch", Team: u.Name, Class: u.Batch, Family: u.Family, Tasks: jobTasks, Resources: size, RunTime: kqmodel.Duration(taskRunTime)},
		{ID: u.Name + "-late-batch", Team: u.Name, Class: u.Batch, Family: u.Family, Tasks: jobTasks, Resources: size,
			RunTime: kqmodel.Duration(d.config.Duration / 2)},
		{ID: u.Name + "-urgent", Team: u.Name, Class: u.Batch, Family: u.Family, Tasks: 2, Resources: size,
			RunTime: kqmodel.Duration(taskRunTime / 2), Urgency: kqmodel.UrgencyUrgent},
		{ID: u.Name + "-watch", Team: u.Name, Class: u.Watcher, Tasks: watcherTasks, Resources: size},
	}
	for _, s := range specs {
		if _, err := d.client().Submit(ctx, s); err != nil {
			return err
		}
		d.jobs[u.Name] = append(d.jobs[u.Name], s.ID)
		d.loads[u.Name].tally.update(func(f *Figures) { f.TasksSubmitted += uint64(s.Tasks) })
	}
	return nil
}

// drive sends the calls, shows the faults and changes the configuration.
func (d *demo) drive(ctx context.Context) {
	d.begun = time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.config.Duration)
	defer cancel()
	var g sync.WaitGroup
	for _, l := range d.loads {
		g.Go(func() { l.run(ctx) })
	}
	if d.config.InjectFaults {
		g.Go(func() { d.faults(ctx) })
	}
	g.Go(func() { d.change(ctx) })
	g.Go(func() { d.progress(ctx) })
	g.Wait()
}

// change applies a new latency target in the middle of the run.
func (d *demo) change(ctx context.Context) {
	if !sleep(ctx, d.config.Duration/5) {
		return
	}
	u := d.config.Users[0]
	doc := fmt.Sprintf("class: %s\nkind: latency_critical\nlatency: 300ms\npercentile: 99\nif_version: 1\n", u.Service)
	if err := d.client().Apply(ctx, doc); err != nil && d.config.Progress != nil {
		fmt.Fprintln(d.config.Progress, "change of configuration:", err)
	}
}

func sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(t):
		return true
	}
}

func (d *demo) progress(ctx context.Context) {
	if d.config.Progress == nil {
		return
	}
	for sleep(ctx, progressEvery) {
		fmt.Fprintf(d.config.Progress, "%4.0fs", time.Since(d.begun).Seconds())
		for _, u := range d.config.Users {
			f := d.loads[u.Name].tally.read()
			fmt.Fprintf(d.config.Progress, "  %s: %d calls, %d answered, p99 %s", u.Name, f.CallsSent, f.CallsAnswered,
				time.Duration(f.LatencyP99*float64(time.Second)).Round(time.Millisecond))
		}
		fmt.Fprintf(d.config.Progress, "  tasks finished %d\n", d.fleet.Ledger.Totals().Finished)
	}
}

// faults shows each fault for a part of the time.
func (d *demo) faults(ctx context.Context) {
	unit := d.config.Duration / 20
	w := d.fleet.Workers[1]
	if !sleep(ctx, 3*unit) {
		return
	}
	d.say("fault: worker %s is killed", w.Name)
	w.Kill()
	if !sleep(ctx, 3*unit) {
		return
	}
	d.say("fault: worker %s is back with a new boot", w.Name)
	if err := w.Boot(); err != nil {
		d.say("worker %s: %v", w.Name, err)
	}
	d.say("fault: entry 2 is killed")
	d.fleet.TakeEntry(1).Kill()
	if !sleep(ctx, 2*unit) {
		return
	}
	if err := d.fleet.StartEntry(1); err != nil {
		d.say("entry 2: %v", err)
	}
	if !sleep(ctx, 2*unit) {
		return
	}
	d.say("fault: %d connections to worker %s go silent", d.fleet.Workers[0].Relay().Silence(), d.fleet.Workers[0].Name)
	if !sleep(ctx, 2*unit) {
		return
	}
	d.say("fault: the store is down")
	state := d.fleet.Store.State()
	state.Down = true
	d.fleet.Store.Set(state)
	sleep(ctx, 4*unit)
	state.Down = false
	d.fleet.Store.Set(state)
	d.say("fault: the store is back")
}

func (d *demo) say(format string, args ...any) {
	if d.config.Progress != nil {
		fmt.Fprintf(d.config.Progress, format+"\n", args...)
	}
}

// finish waits for the batch jobs to end.
func (d *demo) finish(ctx context.Context) error {
	d.say("waiting for the batch jobs")
	return d.await(ctx, finishBound, "the batch jobs to end", func() bool {
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

// report gathers the figures from the stand-ins' own records.
func (d *demo) report(ctx context.Context) (Report, error) {
	r := Report{Users: map[string]Figures{}, DurationSeconds: d.config.Duration.Seconds(), Faults: d.config.InjectFaults}
	all := newCallTally()
	for _, u := range d.config.Users {
		f, err := d.userFigures(ctx, u)
		if err != nil {
			return r, err
		}
		r.Users[u.Name] = f
		r.Total = r.Total.add(f)
		all.latency.Merge(d.loads[u.Name].tally.latency)
	}
	p := all.read()
	r.Total.LatencyP50, r.Total.LatencyP99, r.Total.LatencyP999 = p.LatencyP50, p.LatencyP99, p.LatencyP999
	t := d.fleet.Ledger.Totals()
	r.Total.TasksRunTwice, r.Total.CapacityExceeded = t.RunTwice, t.CapacityExceeded
	r.Total.Violations += d.fleet.Counter.Total()
	for _, b := range d.fleet.Counter.Breaches() {
		r.Breaches = append(r.Breaches, fmt.Sprintf("%s: %s", b.Name, b.Detail))
	}
	for _, e := range d.fleet.Entries() {
		r.Total.ConfigInForceMax = max(r.Total.ConfigInForceMax, e.ConfigStatus(time.Now()).MaxPropagationSeconds)
	}
	for name, f := range r.Users {
		f.ConfigInForceMax = r.Total.ConfigInForceMax
		r.Users[name] = f
	}
	return r, nil
}

func (d *demo) userFigures(ctx context.Context, u kqfleet.User) (Figures, error) {
	f := d.loads[u.Name].tally.read()
	t := d.fleet.Records[u.Name].Totals()
	f.CallsRunTwice = t.RunTwice
	f.Violations += t.SlotsExceeded
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
