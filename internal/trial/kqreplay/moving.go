package kqreplay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmove"
)

// MoveCost is what stopping a run and starting its task elsewhere takes.
type MoveCost struct {
	// Stop is the longest that a stop takes.
	Stop time.Duration
	// Restore is how long a start from a checkpoint takes before work goes on.
	Restore time.Duration
	// Checkpoint is the work between two checkpoints.
	Checkpoint time.Duration
}

var (
	// CheapMoves and DearMoves are the costs of moves of the users' deployments.
	CheapMoves = MoveCost{Stop: 200 * time.Millisecond, Restore: 100 * time.Millisecond, Checkpoint: time.Second}
	DearMoves  = MoveCost{Stop: 900 * time.Millisecond, Restore: 600 * time.Millisecond, Checkpoint: 2 * time.Second}
)

// Wave swings the rate of quick and batch jobs.
type Wave struct {
	// Period is the time between two peaks; 0 means no wave.
	Period time.Duration
	// Swing is the relative height of a peak.
	Swing float64
	// Watch is true if watch jobs come in waves too.
	Watch bool
}

// factor returns the rate against its mean.
func (w Wave) factor(at time.Duration) float64 {
	if w.Period == 0 {
		return 1
	}
	return 1 + w.Swing*math.Sin(2*math.Pi*at.Seconds()/w.Period.Seconds())
}

// Moving is a load of wide filling jobs in waves and bursts, beside serving tasks
// of a number of images on workers of a size, where moves cost what they do on the
// users' deployments.
func Moving(images int, cores float64, cost MoveCost) Load {
	const processors = 640
	taskCores := 3.5
	if cores < 32 {
		taskCores = 1.8
	}
	watchCores := 0.2 * cores
	return Load{Workers: int(processors / cores), Cores: cores, Span: 34 * time.Second,
		Quick: Shape{PerSecond: 8, Steps: 1.6, Width: 6, Cores: 0.48, WidthSpread: 0.6, CoresSpread: 0.3, Length: 800 * time.Millisecond, Spread: 0.5, Uneven: 0.3, EstimateError: 0.9, Worth: 0.33},
		Batch: Shape{PerSecond: 0.8 * 3.5 / taskCores, Steps: 2, Width: 20, Cores: taskCores, WidthSpread: 0.6, CoresSpread: 0.3, Length: 2300 * time.Millisecond, Spread: 0.1, Uneven: 0.15, EstimateError: 0.2, Images: 9, Worth: 7 * taskCores / 3.5},
		Watch: Shape{Width: 6, Cores: watchCores, WidthSpread: 0.3, CoresSpread: 0.2, Images: images, Worth: 1.6}, WatchJobs: int(0.8 * processors / (6 * watchCores)),
		ServingLoad: 0.48, Swing: 0.5, SwingTime: 15 * time.Second, TargetFactor: 6, HeavyShare: 0.55, Press: 3,
		Wave:   Wave{Period: 15 * time.Second, Swing: 0.55},
		Bursts: []Burst{{From: 8 * time.Second, For: 6 * time.Second, Factor: 1.4}, {From: 22 * time.Second, For: 8 * time.Second, Factor: 3}},
		Moves:  cost}
}

// moves returns what the owner is told of the costs of moves.
func (c Config) moves() kqmove.Costs {
	if c.Unweighed {
		return kqmove.Costs{}
	}
	return kqmove.Costs(c.Load.Moves)
}

// mover models what a stop and the next start cost a task.
type mover struct {
	cost MoveCost
	luck *rand.Rand
	// left is when each task that was stopped had to stop work, and done what work
	// it had done by then.
	left map[string]stopped
}

type stopped struct {
	at   time.Time
	work time.Duration
}

func newMover(c Config) *mover {
	return &mover{cost: c.Load.Moves, luck: rand.New(rand.NewPCG(c.Seed, 11)), left: map[string]stopped{}}
}

// modelled reports whether the load says what moves cost.
func (m *mover) modelled() bool { return m.cost.Stop > 0 }

// stopTime draws how long a stop takes: a quarter of its limit at least.
func (m *mover) stopTime() time.Duration {
	if !m.modelled() {
		return stopDelay
	}
	return time.Duration((0.25 + 0.75*m.luck.Float64()) * float64(m.cost.Stop))
}

// restoreTime returns how long a start from a checkpoint takes.
func (m *mover) restoreTime() time.Duration {
	if !m.modelled() {
		return restoreTime
	}
	return m.cost.Restore
}

// saved returns the latest checkpoint of a run, which is empty if there is none.
func (m *mover) saved(r *run) string {
	if !m.modelled() {
		return r.worked.String()
	}
	work := max(r.resumed, r.worked.Truncate(m.cost.Checkpoint))
	if work == 0 {
		return ""
	}
	return work.String()
}

// stops notes that a run has to stop.
func (m *mover) stops(now time.Time, r *run) {
	m.left[r.key.Task] = stopped{at: now, work: r.worked}
}

// resumes returns the time that a task loses by a stop that went before its start.
func (m *mover) resumes(now time.Time, r *run) time.Duration {
	x, ok := m.left[r.key.Task]
	if !ok {
		return 0
	}
	delete(m.left, r.key.Task)
	return now.Sub(x.at) + max(0, x.work-r.worked)
}
