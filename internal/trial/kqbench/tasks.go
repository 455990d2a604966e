package kqbench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqplace"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqrig"
)

// TasksConfig sets up the bench of tasks.
type TasksConfig struct {
	// Seeds is how many seeds the figures with a distribution take.
	SeedCount int
	// Progress receives a line for each part; nil shows none.
	Progress io.Writer
}

// Shape of the target and of a cell at that size.
const (
	targetCells     = 64
	targetStarts    = 220.0
	cellWorkers     = 25
	writeTime       = 60 * time.Second
	shortTask       = 2 * time.Second
	urgentBound     = 10 * time.Second
	outageTime      = 10 * time.Minute
	outageTasks     = 50
	placementRounds = 2000
)

// TaskFigures is the outcome of the bench of tasks.
type TaskFigures struct {
	// StartsPerSecond is the starts of one cell, times the cells.
	StartsPerSecond float64 `json:"starts_per_second"`
	// WritesPerSecond is the writes of one cell, times the cells.
	WritesPerSecond float64 `json:"store_writes_per_second"`
	// IdleWritesPerSecond is the writes of an idle cell, times the cells.
	IdleWritesPerSecond float64 `json:"idle_store_writes_per_second"`
	// Urgent is the start of urgent work on a full cell.
	Urgent Spread `json:"urgent_start"`
	// UrgentAfterDeath is the same after the owner has died.
	UrgentAfterDeath Spread `json:"urgent_start_after_owner_death"`
	// Ownerless is the time without an owner after its death.
	Ownerless Spread `json:"time_without_owner"`
	// OutageLostShare is the share of the work that a ten-minute store outage
	// made to be done again.
	OutageLostShare float64 `json:"outage_lost_share"`
	// OutageRunning is the tasks that ran at the end of the outage, of 50.
	OutageRunning int `json:"outage_running"`
	// Interference is the runs of the interfering mix.
	Interference []MixRun `json:"interference"`
	// Placements is the time of a placement at several sizes.
	Placements []PlacementTime `json:"placements"`
}

// Spread is a distribution of times, in seconds.
type Spread struct {
	// P50 is the median.
	P50 float64 `json:"p50_seconds"`
	// P99 is the 99th percentile.
	P99 float64 `json:"p99_seconds"`
	// Most is the longest.
	Most float64 `json:"max_seconds"`
	// Count is how many were measured.
	Count int `json:"count"`
}

func spreadOf(ds []time.Duration) Spread {
	return Spread{P50: percentile(ds, 0.5).Seconds(), P99: percentile(ds, 0.99).Seconds(), Most: percentile(ds, 1).Seconds(), Count: len(ds)}
}

// PlacementTime is how long one placement decision takes.
type PlacementTime struct {
	// Workers is how many workers are compared.
	Workers int `json:"workers"`
	// Seconds is the time of one decision.
	Seconds float64 `json:"seconds"`
}

// Tasks runs the bench.
func MeasureTasks(c TasksConfig) TaskFigures {
	var f TaskFigures
	say := func(format string, args ...any) {
		if c.Progress != nil {
			fmt.Fprintf(c.Progress, format+"\n", args...)
		}
	}
	f.StartsPerSecond, f.WritesPerSecond = writes(targetStarts / targetCells)
	_, f.IdleWritesPerSecond = writes(0)
	say("%.0f starts/s over %d cells: %.0f writes/s; idle %.0f", f.StartsPerSecond, targetCells, f.WritesPerSecond, f.IdleWritesPerSecond)
	f.Urgent, _ = urgent(c.SeedCount, false)
	f.UrgentAfterDeath, f.Ownerless = urgent(c.SeedCount, true)
	say("urgent start p99 %.2f s, after the owner's death %.2f s", f.Urgent.P99, f.UrgentAfterDeath.P99)
	f.OutageLostShare, f.OutageRunning = outage()
	say("store outage: %.4f of the work lost, %d of %d tasks running", f.OutageLostShare, f.OutageRunning, outageTasks)
	f.Interference = mix(c.SeedCount)
	for _, n := range []int{11, 100, 1600} {
		f.Placements = append(f.Placements, placement(n))
	}
	return f
}

func rig(seed uint64, workers int) *kqrig.Rig {
	r := kqrig.New(kqrig.Config{Seed: seed, Workers: workers, Interference: true,
		Capacity: kqmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 250_000_000_000}})
	r.RunUntil(20*time.Second, func() bool { return r.Owner() != nil })
	r.Run(2 * time.Second)
	return r
}

func spec(id string, tasks uint32, processors int64, run time.Duration) kqmodel.JobSpec {
	return kqmodel.JobSpec{ID: id, Team: "team", Class: "batch", Tasks: tasks, RunTime: kqmodel.Duration(run), Urgency: kqmodel.UrgencyNormal,
		Resources: kqmodel.Resources{MilliProcessors: processors * 1000, MemoryBytes: 1 << 30}}
}

// writes runs one cell at a rate of starts and scales it to all cells.
func writes(rate float64) (starts, perSecond float64) {
	r := rig(1, cellWorkers)
	before, ran := r.Store.Writes(), r.Ledger.Totals().Starts
	end := r.Now().Add(writeTime)
	for i := 0; r.Now().Before(end); i++ {
		if rate == 0 {
			r.Run(time.Second)
			continue
		}
		r.Submit(spec(fmt.Sprintf("short-%d", i), 1, 1, shortTask), false)
		r.Run(time.Duration(float64(time.Second) / rate))
	}
	s := writeTime.Seconds()
	return float64(r.Ledger.Totals().Starts-ran) / s * targetCells, float64(r.Store.Writes()-before) / s * targetCells
}

// urgent measures how long urgent work waits on a full cell.
func urgent(seeds int, kill bool) (starts, ownerless Spread) {
	var waits, gaps []time.Duration
	for seed := range seeds {
		r := rig(uint64(seed+1), cellWorkers)
		r.Submit(spec("full", cellWorkers*4, 16, time.Hour), false)
		r.RunUntil(20*time.Second, func() bool { return r.Running() == cellWorkers*4 })
		r.Run(time.Duration(seed%17) * 60 * time.Millisecond)
		if kill {
			old, at := r.Owner(), r.Now()
			old.KillAgent()
			u := spec("urgent", 1, 2, time.Second)
			u.Urgency = kqmodel.UrgencyUrgent
			r.Submit(u, false)
			r.RunUntil(urgentBound, func() bool { return r.Owner() != nil })
			gaps = append(gaps, r.Now().Sub(at))
		} else {
			u := spec("urgent", 1, 2, time.Second)
			u.Urgency = kqmodel.UrgencyUrgent
			r.Submit(u, false)
		}
		r.RunUntil(urgentBound, func() bool { return len(r.Starts("urgent")) > 0 })
		waits = append(waits, append(r.Starts("urgent"), urgentBound)[0])
	}
	return spreadOf(waits), spreadOf(gaps)
}

// outage takes the store away for ten minutes from a cell at work.
func outage() (lost float64, running int) {
	r := rig(1, cellWorkers)
	r.Submit(spec("work", outageTasks, 8, 15*time.Minute), false)
	r.RunUntil(20*time.Second, func() bool { return r.Running() == outageTasks })
	r.Store.Down = true
	r.Run(outageTime)
	running = r.Running()
	r.Store.Down = false
	r.RunUntil(30*time.Minute, r.AllEnded)
	t := r.Ledger.Totals()
	return t.LostProgress / t.DoneProgress, running
}

// placement times one decision.
func placement(workers int) PlacementTime {
	ws := make([]kqplace.Worker, workers)
	for i := range ws {
		ws[i] = kqplace.Worker{ID: fmt.Sprint(i), Rack: fmt.Sprint(i / 3), AcceptsTasks: true, ServiceClasses: []string{"service"},
			Capacity: kqmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 250_000_000_000},
			Reserved: kqmodel.Resources{MilliProcessors: int64(i%50) * 1000}}
	}
	q := kqplace.Request{Resources: kqmodel.Resources{MilliProcessors: 2000, MemoryBytes: 1 << 30},
		Interference: func(string) float64 { return 0.01 }}
	from := time.Now()
	for range placementRounds {
		_, _, _ = kqplace.Choose(ws, q)
	}
	return PlacementTime{Workers: workers, Seconds: time.Since(from).Seconds() / placementRounds}
}

// WriteTasks prints the figures as a table.
func WriteTasks(w io.Writer, f TaskFigures) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "store writes a second at %.0f starts a second over %d cells\t%.0f\n", f.StartsPerSecond, targetCells, f.WritesPerSecond)
	fmt.Fprintf(t, "store writes a second of %d idle cells\t%.0f\n", targetCells, f.IdleWritesPerSecond)
	for _, x := range []struct {
		name   string
		spread Spread
	}{{"urgent start on a full cell", f.Urgent}, {"the same after the owner's death", f.UrgentAfterDeath}, {"time without an owner", f.Ownerless}} {
		fmt.Fprintf(t, "%s\tp50 %.2f s, p99 %.2f s, longest %.2f s (%d runs)\n", x.name, x.spread.P50, x.spread.P99, x.spread.Most, x.spread.Count)
	}
	fmt.Fprintf(t, "share of work lost to a ten-minute store outage\t%.4f, %d of %d tasks running at its end\n", f.OutageLostShare, f.OutageRunning, outageTasks)
	for _, m := range f.Interference {
		fmt.Fprintf(t, "interfering mix, %s\ttarget met in %.1f%% of windows, %.1f%% of the throughput of uncontrolled non-violating windows, %.1f evictions a run\n",
			m.Control, m.Met*100, m.Throughput*100, m.Evictions)
	}
	for _, p := range f.Placements {
		fmt.Fprintf(t, "one placement among %d workers\t%s\n", p.Workers, time.Duration(p.Seconds*float64(time.Second)).Round(10*time.Nanosecond))
	}
	return t.Flush()
}
