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

// TasksConfig configures MeasureTasks.
type TasksConfig struct {
	// SeedCount is the number of seeds that each Distribution is measured with.
	SeedCount int
	// Progress receives a line after each measurement; may be nil.
	Progress io.Writer
}

const (
	// The target size: cells, task starts per second of all cells, and workers of each cell.
	targetCells           = 64
	targetStartsPerSecond = 220.0
	cellWorkers           = 25

	writesDuration = 60 * time.Second
	shortRunTime   = 2 * time.Second
	// urgentTimeout is recorded for an urgent task that does not start within it.
	urgentTimeout   = 10 * time.Second
	outageDuration  = 10 * time.Minute
	outageTasks     = 50
	placementRounds = 2000
)

// TaskFigures holds the results of MeasureTasks.
type TaskFigures struct {
	// StartsPerSecond is the rate of task starts of one cell, times targetCells.
	StartsPerSecond float64 `json:"starts_per_second"`
	// WritesPerSecond is the rate of store writes of one cell, times targetCells.
	WritesPerSecond float64 `json:"store_writes_per_second"`
	// IdleWritesPerSecond is the rate of store writes of an idle cell, times targetCells.
	IdleWritesPerSecond float64 `json:"idle_store_writes_per_second"`
	// UrgentStart is the time from the submission of an urgent task to its start on a full cell.
	UrgentStart Distribution `json:"urgent_start"`
	// UrgentStartAfterDeath is the same for a task submitted right after the owner was killed.
	UrgentStartAfterDeath Distribution `json:"urgent_start_after_owner_death"`
	// OwnerlessTime is the time from the death of an owner until the cell has another.
	OwnerlessTime Distribution `json:"time_without_owner"`
	// OutageLostShare is the work that had to be repeated because of a ten-minute store outage, as a
	// share of the work done.
	OutageLostShare float64 `json:"outage_lost_share"`
	// OutageRunning is the number of tasks, of 50, that ran at the end of the outage.
	OutageRunning int `json:"outage_running"`
	// Interference holds the results of each control on a mix of interfering tasks.
	Interference []MixFigures `json:"interference"`
	// Placements holds the time of a placement decision for several numbers of workers.
	Placements []PlacementTime `json:"placements"`
}

// Distribution summarizes a set of times, in seconds.
type Distribution struct {
	// P50 is the median.
	P50 float64 `json:"p50_seconds"`
	// P99 is the 99th percentile.
	P99 float64 `json:"p99_seconds"`
	// Max is the longest time.
	Max float64 `json:"max_seconds"`
	// Count is the number of times measured.
	Count int `json:"count"`
}

func distributionOf(ds []time.Duration) Distribution {
	return Distribution{P50: percentile(ds, 0.5).Seconds(), P99: percentile(ds, 0.99).Seconds(), Max: percentile(ds, 1).Seconds(), Count: len(ds)}
}

// PlacementTime holds the time of a placement decision.
type PlacementTime struct {
	// Workers is the number of candidate workers.
	Workers int `json:"workers"`
	// Seconds is the mean time of one decision.
	Seconds float64 `json:"seconds"`
}

// MeasureTasks runs all measurements of tasks.
func MeasureTasks(c TasksConfig) TaskFigures {
	var f TaskFigures
	progress := func(format string, args ...any) {
		if c.Progress != nil {
			fmt.Fprintf(c.Progress, format+"\n", args...)
		}
	}
	f.StartsPerSecond, f.WritesPerSecond = measureWrites(targetStartsPerSecond / targetCells)
	_, f.IdleWritesPerSecond = measureWrites(0)
	progress("%.0f starts/s over %d cells: %.0f writes/s; idle %.0f", f.StartsPerSecond, targetCells, f.WritesPerSecond, f.IdleWritesPerSecond)
	f.UrgentStart, _ = measureUrgentStart(c.SeedCount, false)
	f.UrgentStartAfterDeath, f.OwnerlessTime = measureUrgentStart(c.SeedCount, true)
	progress("urgent start p99 %.2f s, after the owner's death %.2f s", f.UrgentStart.P99, f.UrgentStartAfterDeath.P99)
	f.OutageLostShare, f.OutageRunning = measureOutage()
	progress("store outage: %.4f of the work lost, %d of %d tasks running", f.OutageLostShare, f.OutageRunning, outageTasks)
	f.Interference = measureMix(c.SeedCount)
	for _, n := range []int{11, 100, 1600} {
		f.Placements = append(f.Placements, measurePlacement(n))
	}
	return f
}

// newRig returns a rig whose cell has had an owner for 2 s.
func newRig(seed uint64, workers int) *kqrig.Rig {
	r := kqrig.New(kqrig.Config{Seed: seed, Workers: workers, Interference: true,
		Capacity: kqmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 250_000_000_000}})
	r.RunUntil(20*time.Second, func() bool { return r.Owner() != nil })
	r.Run(2 * time.Second)
	return r
}

// newJobSpec returns a batch job of normal urgency with 1 GiB of memory for each task.
func newJobSpec(id string, tasks uint32, processors int64, run time.Duration) kqmodel.JobSpec {
	return kqmodel.JobSpec{ID: id, Team: "team", Class: "batch", Tasks: tasks, RunTime: kqmodel.Duration(run), Urgency: kqmodel.UrgencyNormal,
		Resources: kqmodel.Resources{MilliProcessors: processors * 1000, MemoryBytes: 1 << 30}}
}

// measureWrites runs one cell at a rate of task starts and returns the rates of starts and of store
// writes, scaled to all cells.
func measureWrites(startsPerSecond float64) (startRate, writeRate float64) {
	r := newRig(1, cellWorkers)
	writesBefore, startsBefore := r.Store.WriteCount(), r.Ledger.Totals().Starts
	end := r.Now().Add(writesDuration)
	for i := 0; r.Now().Before(end); i++ {
		if startsPerSecond == 0 {
			r.Run(time.Second)
			continue
		}
		r.Submit(newJobSpec(fmt.Sprintf("short-%d", i), 1, 1, shortRunTime), false)
		r.Run(time.Duration(float64(time.Second) / startsPerSecond))
	}
	s := writesDuration.Seconds()
	return float64(r.Ledger.Totals().Starts-startsBefore) / s * targetCells, float64(r.Store.WriteCount()-writesBefore) / s * targetCells
}

// measureUrgentStart measures how long an urgent task waits on a full cell and, with killOwner, after
// the owner was killed, and how long the cell has no owner.
func measureUrgentStart(seeds int, killOwner bool) (urgentStart, ownerlessTime Distribution) {
	var waits, ownerlessTimes []time.Duration
	for seed := range seeds {
		r := newRig(uint64(seed+1), cellWorkers)
		r.Submit(newJobSpec("full", cellWorkers*4, 16, time.Hour), false)
		r.RunUntil(20*time.Second, func() bool { return r.RunningCount() == cellWorkers*4 })
		r.Run(time.Duration(seed%17) * 60 * time.Millisecond)
		if killOwner {
			owner, killedAt := r.Owner(), r.Now()
			owner.KillAgent()
			u := newJobSpec("urgent", 1, 2, time.Second)
			u.Urgency = kqmodel.UrgencyUrgent
			r.Submit(u, false)
			r.RunUntil(urgentTimeout, func() bool { return r.Owner() != nil })
			ownerlessTimes = append(ownerlessTimes, r.Now().Sub(killedAt))
		} else {
			u := newJobSpec("urgent", 1, 2, time.Second)
			u.Urgency = kqmodel.UrgencyUrgent
			r.Submit(u, false)
		}
		r.RunUntil(urgentTimeout, func() bool { return len(r.StartDelays("urgent")) > 0 })
		waits = append(waits, append(r.StartDelays("urgent"), urgentTimeout)[0])
	}
	return distributionOf(waits), distributionOf(ownerlessTimes)
}

// measureOutage makes the store unavailable for ten minutes while the cell runs tasks.
func measureOutage() (lostShare float64, running int) {
	r := newRig(1, cellWorkers)
	r.Submit(newJobSpec("work", outageTasks, 8, 15*time.Minute), false)
	r.RunUntil(20*time.Second, func() bool { return r.RunningCount() == outageTasks })
	r.Store.Down = true
	r.Run(outageDuration)
	running = r.RunningCount()
	r.Store.Down = false
	r.RunUntil(30*time.Minute, r.AllEnded)
	t := r.Ledger.Totals()
	return t.LostProgress / t.DoneProgress, running
}

// measurePlacement measures the mean time of one placement decision.
func measurePlacement(workers int) PlacementTime {
	ws := make([]kqplace.Worker, workers)
	for i := range ws {
		ws[i] = kqplace.Worker{ID: fmt.Sprint(i), Rack: fmt.Sprint(i / 3), AcceptsTasks: true, ServiceClasses: []string{"service"},
			Capacity: kqmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 250_000_000_000},
			Reserved: kqmodel.Resources{MilliProcessors: int64(i%50) * 1000}}
	}
	q := kqplace.Request{Resources: kqmodel.Resources{MilliProcessors: 2000, MemoryBytes: 1 << 30},
		Interference: func(string) float64 { return 0.01 }}
	startedAt := time.Now()
	for range placementRounds {
		_, _, _ = kqplace.Choose(ws, q)
	}
	return PlacementTime{Workers: workers, Seconds: time.Since(startedAt).Seconds() / placementRounds}
}

// WriteTasks writes the results as a table.
func WriteTasks(w io.Writer, f TaskFigures) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "store writes a second at %.0f starts a second over %d cells\t%.0f\n", f.StartsPerSecond, targetCells, f.WritesPerSecond)
	fmt.Fprintf(t, "store writes a second of %d idle cells\t%.0f\n", targetCells, f.IdleWritesPerSecond)
	for _, x := range []struct {
		name         string
		distribution Distribution
	}{{"urgent start on a full cell", f.UrgentStart}, {"the same after the owner's death", f.UrgentStartAfterDeath}, {"time without an owner", f.OwnerlessTime}} {
		fmt.Fprintf(t, "%s\tp50 %.2f s, p99 %.2f s, longest %.2f s (%d runs)\n", x.name, x.distribution.P50, x.distribution.P99, x.distribution.Max, x.distribution.Count)
	}
	fmt.Fprintf(t, "share of work lost to a ten-minute store outage\t%.4f, %d of %d tasks running at its end\n", f.OutageLostShare, f.OutageRunning, outageTasks)
	for _, m := range f.Interference {
		fmt.Fprintf(t, "interfering mix, %s\ttarget met in %.1f%% of windows, %.1f%% of the throughput of uncontrolled non-violating windows, %.1f evictions a run\n",
			m.Control, m.TargetMetShare*100, m.ThroughputShare*100, m.Evictions)
	}
	for _, p := range f.Placements {
		fmt.Fprintf(t, "one placement among %d workers\t%s\n", p.Workers, time.Duration(p.Seconds*float64(time.Second)).Round(10*time.Nanosecond))
	}
	return t.Flush()
}
