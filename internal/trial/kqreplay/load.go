// Package kqreplay plays load patterns against the decisions of a cell in
// virtual time: the planner of its owner and the pacers of its agents, beside
// workers on which filling tasks disturb serving ones. It needs no sockets, no
// store and no goroutines, so a minute of load takes well under a second and a
// seed always gives the same result.
package kqreplay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// Names of the queues of a replay.
const (
	QueueQuick = "quick"
	// QueueReport is of jobs that end and reserve, less urgent than the quick ones.
	QueueReport = "report"
	QueueBatch  = "batch"
	QueueWatch  = "watch"

	service = "service"
)

// Shape is the jobs of a queue.
type Shape struct {
	// PerSecond is how many jobs come in a second.
	PerSecond float64
	// Steps and Width are the mean number of steps and of tasks in each.
	Steps, Width float64
	// Cores is the mean size of a task.
	Cores float64
	// WidthSpread and CoresSpread are the relative spreads of both between steps.
	WidthSpread, CoresSpread float64
	// Length is the mean time that a task works, Spread the relative spread of
	// it between jobs, Uneven that between tasks of a step.
	Length         time.Duration
	Spread, Uneven float64
	// EstimateError is the relative spread of the estimates.
	EstimateError float64
	// Images is how many images the jobs are of.
	Images int
	// Worth is what a job of mean size is worth; of a watch job, two seconds.
	Worth float64
}

// Burst multiplies the rate of batch jobs, or of one queue or all, for a while.
type Burst struct {
	// Queue names the queue; empty means batch jobs.
	Queue string
	// All is true if the rates of all queues are multiplied.
	All bool
	// From is when it begins, For how long it lasts.
	From, For time.Duration
	// Factor is by how much the rate is multiplied.
	Factor float64
}

// Loss takes a worker away for a while, with all that it runs.
type Loss struct {
	// Worker is its index, From when it goes, For how long.
	Worker    int
	From, For time.Duration
}

// Slowdown makes a worker slow for a while.
type Slowdown struct {
	// Worker is its index, From when it begins, For how long it lasts.
	Worker    int
	From, For time.Duration
	// Factor is how many times as long work takes.
	Factor float64
}

// Load is a load pattern.
type Load struct {
	// Workers is how many workers there are, Cores what each has.
	Workers int
	Cores   float64
	// Span is for how long jobs come.
	Span time.Duration
	// Quick, Report, Batch and Watch are the jobs; Watch jobs stay once they have come.
	Quick, Report, Batch, Watch Shape
	// Wave is the relative swing of all rates, WaveTime its period.
	Wave     float64
	WaveTime time.Duration
	// WatchJobs is how many watch jobs there are from the start.
	WatchJobs int
	// ServingLoad is the mean load of serving tasks, Swing its relative swing and
	// SwingTime the period of that.
	ServingLoad, Swing float64
	SwingTime          time.Duration
	// TargetFactor is the target over the tail latency without load.
	TargetFactor float64
	// HeavyShare is the share of pairs of images that disturb each other much,
	// Press the load that such an image adds if it uses a whole worker.
	HeavyShare, Press float64
	// Bursts, Losses and Slowdowns strike during the replay.
	Bursts      []Burst
	Losses      []Loss
	Slowdowns   []Slowdown
	Evacuations []Evacuation
	// Zones is how many availability zones there are, to which workers belong in turn;
	// 0 means one without a name.
	Zones int
	// MayMiss is how many tasks of a watch job may be away.
	MayMiss int
	// ColdFor is for how long the workers of a zone are slow after its evacuation,
	// ColdFactor how many times as long work takes there.
	ColdFor    time.Duration
	ColdFactor float64
}

const (
	// lightPress is the most load that an image adds, if it uses a whole worker, to
	// one that it hardly disturbs.
	lightPress = 0.15
	// milli is how many thousandths a processor has.
	milli = 1000
)

// Crowded is a load under which most of the room is reserved by serving tasks,
// and what fills must live beside them.
func Crowded() Load {
	return Load{Workers: 11, Cores: 36, Span: 34 * time.Second,
		Quick: Shape{PerSecond: 5, Steps: 1.6, Width: 6, Cores: 0.48, WidthSpread: 0.6, CoresSpread: 0.3, Length: 800 * time.Millisecond, Spread: 0.5, Uneven: 0.3, EstimateError: 0.9, Worth: 0.33},
		Batch: Shape{PerSecond: 1.2, Steps: 2, Width: 8, Cores: 3.5, WidthSpread: 0.6, CoresSpread: 0.3, Length: 2200 * time.Millisecond, Spread: 0.5, Uneven: 0.15, EstimateError: 0.2, Images: 9, Worth: 7},
		Watch: Shape{Width: 6, Cores: 6.4, WidthSpread: 0.3, CoresSpread: 0.2, Images: 3, Worth: 1.6}, WatchJobs: 9,
		ServingLoad: 0.48, Swing: 0.5, SwingTime: 20 * time.Second, TargetFactor: 6, Bursts: []Burst{{From: 12 * time.Second, For: 6 * time.Second, Factor: 1.5}}, HeavyShare: 0.55, Press: 3}
}

// Overfilled is the crowded load with three times as many filling jobs.
func Overfilled() Load {
	l := Crowded()
	l.Batch.PerSecond *= 3
	return l
}

// Filling is a load under which tasks that stay come until they would hold
// every processor, beside quick jobs that need a sixth of them.
func Filling() Load {
	return Load{Workers: 20, Cores: 64, Span: 34 * time.Second,
		Quick: Shape{PerSecond: 10, Steps: 1.6, Width: 10, Cores: 1.8, WidthSpread: 0.8, CoresSpread: 0.45, Length: 800 * time.Millisecond, Spread: 0.5, Uneven: 0.3, EstimateError: 0.2, Worth: 0.36},
		Watch: Shape{PerSecond: 0.3, Width: 14, Cores: 13, WidthSpread: 0.3, CoresSpread: 0.2, Images: 10, Worth: 1.46}, WatchJobs: 5,
		ServingLoad: 0.45, Swing: 0.6, SwingTime: 14 * time.Second, TargetFactor: 5}
}

// Overfull is a load of quick jobs of very different sizes that need more than
// twice the processors that tasks which were there before leave them.
func Overfull() Load {
	l := Filling()
	l.Watch.PerSecond, l.WatchJobs = 0, 8
	return l
}

// Filled is a load of quick jobs that need a tenth of the processors, beside
// tasks that stay and hold nearly all of them from the start.
func Filled() Load {
	l := Filling()
	l.Quick.PerSecond, l.Watch.PerSecond, l.WatchJobs = 6, 0.1, 7
	return l
}

const (
	// fleetWorkers is the size of the users' large fleet, whose rates a fleet of
	// another size takes its share of.
	fleetWorkers = 160
	// fleetWatchJobs is how many watch jobs are there from its start.
	fleetWatchJobs = 31
)

// Fleet is the load of the users' large fleet on a number of workers: tasks that
// stay reserve most of the processors and use half of them, beside wide filling
// jobs of many images.
func Fleet(workers int) Load {
	share := float64(workers) / fleetWorkers
	return Load{Workers: workers, Cores: 75, Span: 34 * time.Second,
		Quick: Shape{PerSecond: 10.5 * share, Steps: 1.6, Width: 9.4, Cores: 3.8, WidthSpread: 0.8, CoresSpread: 0.45, Length: time.Second, Spread: 0.5, Uneven: 0.15, EstimateError: 0.2, Worth: 0.367},
		Batch: Shape{PerSecond: 3.37 * share, Steps: 2, Width: 39, Cores: 7, WidthSpread: 0.6, CoresSpread: 0.3, Length: 2200 * time.Millisecond, Spread: 0.5, Uneven: 0.15, EstimateError: 0.2, Images: 30, Worth: 5.67},
		Watch: Shape{PerSecond: 0.171 * share, Width: 24, Cores: 13, WidthSpread: 0.4, CoresSpread: 0.25, Images: 16, Worth: 0.99}, WatchJobs: int(math.Round(fleetWatchJobs * share)),
		ServingLoad: 0.45, Swing: 0.5, SwingTime: 14 * time.Second, TargetFactor: 5, Bursts: []Burst{{From: 11 * time.Second, For: 6 * time.Second, Factor: 1.4}}, HeavyShare: 0.6, Press: 4.5}
}

// Pressed is the load of the large fleet with 1.6 times as many filling jobs, whose
// images press harder.
func Pressed(workers int) Load {
	l := Fleet(workers)
	l.Batch.PerSecond *= 1.6
	l.Press = 7
	return l
}

// source draws the jobs of a load.
type source struct {
	load Load
	rng  *rand.Rand
	jobs int
	next map[string]time.Duration
	// lengths is the true time that each task works.
	lengths map[string]time.Duration
	press   map[[2]string]float64
}

func newSource(l Load, seed uint64) *source {
	s := &source{load: l, rng: rand.New(rand.NewPCG(seed, 7)), next: map[string]time.Duration{}, lengths: map[string]time.Duration{}, press: map[[2]string]float64{}}
	for w := range l.Watch.Images {
		for b := range l.Batch.Images {
			pair := [2]string{image(QueueWatch, w), image(QueueBatch, b)}
			s.press[pair] = lightPress * s.rng.Float64()
			if s.rng.Float64() < l.HeavyShare {
				s.press[pair] = l.Press * (0.4 + 1.2*s.rng.Float64())
			}
		}
	}
	return s
}

func image(queue string, n int) string { return fmt.Sprintf("%s-%d", queue, n) }

// spread draws a factor around 1.
func (s *source) spread(by float64) float64 {
	return math.Exp(by*s.rng.NormFloat64() - by*by/2)
}

// due returns the jobs that come up to a time.
func (s *source) due(at time.Duration) []kqflow.Job {
	var out []kqflow.Job
	if at > s.load.Span {
		return nil
	}
	for _, queue := range []string{QueueQuick, QueueReport, QueueBatch, QueueWatch} {
		shape := s.load.shape(queue)
		for shape.PerSecond > 0 && s.next[queue] <= at {
			out = append(out, s.job(queue, shape))
			s.next[queue] += time.Duration(s.rng.ExpFloat64() / (shape.PerSecond * s.factor(queue, at)) * float64(time.Second))
		}
	}
	return out
}

// shape returns the jobs of a queue.
func (l Load) shape(queue string) Shape {
	return map[string]Shape{QueueQuick: l.Quick, QueueReport: l.Report, QueueBatch: l.Batch, QueueWatch: l.Watch}[queue]
}

func (s *source) factor(queue string, at time.Duration) float64 {
	wave := 1.0
	if s.load.WaveTime > 0 {
		wave += s.load.Wave * math.Sin(2*math.Pi*at.Seconds()/s.load.WaveTime.Seconds())
	}
	for _, b := range s.load.Bursts {
		if (b.All || queue == cmp.Or(b.Queue, QueueBatch)) && at >= b.From && at < b.From+b.For {
			return wave * b.Factor
		}
	}
	return wave
}

func (s *source) job(queue string, shape Shape) kqflow.Job {
	if queue == QueueWatch {
		return s.watch(s.rng.IntN(max(1, shape.Images)))
	}
	s.jobs++
	j := kqflow.Job{ID: fmt.Sprintf("%s%d", queue, s.jobs), Queue: queue}
	which := s.rng.IntN(max(1, shape.Images))
	wrong := s.spread(shape.EstimateError)
	for n := range max(1, int(math.Round(shape.Steps*s.spread(0.4)))) {
		length := float64(shape.Length) * s.spread(shape.Spread)
		x := kqflow.Step{Count: max(1, int(math.Round(shape.Width*s.spread(shape.WidthSpread)))),
			Resources: kqmodel.Resources{MilliProcessors: int64(milli * shape.Cores * s.spread(shape.CoresSpread)), MemoryBytes: 1 << 30},
			Estimate:  time.Duration(length * wrong)}
		if n > 0 {
			x.After = []int{n - 1}
		}
		if queue == QueueBatch {
			x.Fills, x.Checkpoints, x.Image = true, true, image(queue, which)
		}
		for i := range x.Count {
			id := kqflow.TaskID{Job: j.ID, Step: n, Index: i}
			s.lengths[id.String()] = time.Duration(length * s.spread(shape.Uneven))
		}
		j.Steps = append(j.Steps, x)
	}
	return j
}

// standing returns the watch jobs.
func (s *source) standing() []kqflow.Job {
	var out []kqflow.Job
	for n := range s.load.WatchJobs {
		out = append(out, s.watch(n%max(1, s.load.Watch.Images)))
	}
	return out
}

// watch draws a watch job.
func (s *source) watch(which int) kqflow.Job {
	shape := s.load.Watch
	s.jobs++
	return kqflow.Job{ID: fmt.Sprintf("%s%d", QueueWatch, s.jobs), Queue: QueueWatch, Steps: []kqflow.Step{{
		Count: max(1, int(math.Round(shape.Width*s.spread(shape.WidthSpread)))), Estimate: time.Second,
		Resources: kqmodel.Resources{MilliProcessors: int64(milli * shape.Cores * s.spread(shape.CoresSpread)), MemoryBytes: 1 << 30}, LongRunning: true,
		Image: image(QueueWatch, which), TailTarget: time.Duration(s.load.TargetFactor * float64(baseTail)), MaxPerWorker: 3, MaxUnavailable: s.load.MayMiss}}}
}

// policy is what the operator has set.
func policy() *kqflow.Policy {
	return &kqflow.Policy{Version: 1, Queues: map[string]kqflow.Queue{
		QueueQuick:  {Name: QueueQuick, Service: service, Priority: 0, MaxAttempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond},
		QueueReport: {Name: QueueReport, Service: service, Priority: 1, MaxAttempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond},
		QueueBatch:  {Name: QueueBatch, Service: service, Priority: 2, MaxAttempts: 3, Stretch: 2, Target: time.Second},
		QueueWatch:  {Name: QueueWatch, Service: service, Priority: 0, MaxAttempts: 3, Stretch: 2.2, Target: 2500 * time.Millisecond}}}
}

// Bursting is a load of two classes that reserve nine tenths of the processors, one more urgent than the other; for 8 s
// both ask for a multiple.
func Bursting(factor float64) Load {
	return Load{Workers: 10, Cores: 16, Span: 36 * time.Second,
		Quick:  Shape{PerSecond: 10, Steps: 1.6, Width: 6, Cores: 1, WidthSpread: 0.6, CoresSpread: 0.3, Length: 800 * time.Millisecond, Spread: 0.5, Uneven: 0.2, EstimateError: 0.2, Worth: 0.35},
		Report: Shape{PerSecond: 6, Steps: 1.6, Width: 4, Cores: 1.5, WidthSpread: 0.6, CoresSpread: 0.3, Length: time.Second, Spread: 0.5, Uneven: 0.2, EstimateError: 0.2, Worth: 0.5},
		Watch:  Shape{Images: 1}, ServingLoad: 0.45, Swing: 0.5, SwingTime: 14 * time.Second, TargetFactor: 5,
		Bursts: []Burst{{All: true, From: 20 * time.Second, For: 8 * time.Second, Factor: factor}}}
}

// Waving is the bursting load with waves in place of the burst.
func Waving() Load {
	l := Bursting(1)
	l.Wave, l.WaveTime = 0.55, 15*time.Second
	return l
}

// Halved is the bursting load on a cell that loses more than half of its workers before the burst.
func Halved() Load {
	l := Bursting(3)
	for w := range 6 {
		l.Losses = append(l.Losses, Loss{Worker: w, From: 16 * time.Second, For: 16 * time.Second})
	}
	return l
}
