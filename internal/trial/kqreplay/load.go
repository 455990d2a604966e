// Package kqreplay replays load patterns against the decisions of one cell in virtual time: the
// planner of the cell's owner and the pacers of its agents, with simulated workers on which filling
// tasks interfere with colocated serving tasks. A serving task is a long-running latency-critical
// task; a filling task is a best-effort task that uses processors that other tasks leave unused. The
// package uses no sockets, no store and no goroutines, so a minute of load takes well under a second
// and a seed always gives the same result.
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
	// QueueQuick has jobs that run for a finite time on reserved processors.
	QueueQuick = "quick"
	// QueueReport has jobs like those of QueueQuick, with a lower priority.
	QueueReport = "report"
	// QueueBatch has jobs of filling tasks.
	QueueBatch = "batch"
	// QueueWatch has jobs of serving tasks.
	QueueWatch = "watch"

	// service is the name of the pool that all workers and queues belong to.
	service = "service"
)

// JobDistribution describes the random jobs of a queue. Each spread is the standard deviation of the
// logarithm of a log-normal factor with mean 1.
type JobDistribution struct {
	// JobsPerSecond is the mean arrival rate.
	JobsPerSecond float64
	// Steps is the mean number of steps of a job, TasksPerStep the mean number of tasks of a step.
	Steps, TasksPerStep float64
	// Cores is the mean number of processors of a task.
	Cores float64
	// TasksPerStepSpread and CoresSpread are the spreads of TasksPerStep and Cores between steps.
	TasksPerStepSpread, CoresSpread float64
	// RunTime is the mean run time of a task, StepRunTimeSpread its spread between steps,
	// TaskRunTimeSpread its spread between the tasks of a step.
	RunTime                              time.Duration
	StepRunTimeSpread, TaskRunTimeSpread float64
	// EstimateError is the spread between jobs of the ratio of estimated to true run time.
	EstimateError float64
	// Images is the number of different images; each job has one of them.
	Images int
	// Value is the value of a job of mean work; for a watch job, the value of two seconds.
	Value float64
}

// Burst multiplies the arrival rate of one queue or of all queues for some time.
type Burst struct {
	// Queue is the name of the queue; empty means QueueBatch.
	Queue string
	// AllQueues is true if the rates of all queues are multiplied.
	AllQueues bool
	// Start is the time since the start of the replay.
	Start, Duration time.Duration
	// RateFactor is the factor by which the rate is multiplied.
	RateFactor float64
}

// WorkerLoss takes a worker away for some time and ends all its runs.
type WorkerLoss struct {
	// Worker is the index of the worker.
	Worker int
	// Start is the time since the start of the replay.
	Start, Duration time.Duration
}

// Slowdown makes a worker slow for some time.
type Slowdown struct {
	// Worker is the index of the worker.
	Worker int
	// Start is the time since the start of the replay.
	Start, Duration time.Duration
	// Factor is the factor by which work takes longer.
	Factor float64
}

// Load describes the workers of a cell, the jobs that arrive, and the faults during a replay.
type Load struct {
	// Workers is the number of workers, Cores the number of processors of each.
	Workers int
	Cores   float64
	// ArrivalSpan is the time during which jobs arrive.
	ArrivalSpan time.Duration
	// Quick, Report, Batch and Watch describe the jobs of each queue; watch jobs do not end.
	Quick, Report, Batch, Watch JobDistribution
	// RateSwing is the relative amplitude of a sine wave in all arrival rates, RatePeriod its period.
	RateSwing  float64
	RatePeriod time.Duration
	// InitialWatchJobs is the number of watch jobs submitted at the start.
	InitialWatchJobs int
	// ServingLoad is the mean load of serving tasks as a fraction of their processors, ServingSwing
	// the relative amplitude of a sine wave in it, ServingPeriod the period of the wave.
	ServingLoad, ServingSwing float64
	ServingPeriod             time.Duration
	// TargetFactor is the ratio of the latency target to the tail latency without load.
	TargetFactor float64
	// HighInterferenceShare is the share of the pairs of a serving and a filling image with high
	// interference. HighInterference is the mean load that the filling image of such a pair adds if
	// it uses a whole worker.
	HighInterferenceShare, HighInterference float64
	// Bursts, Losses, Slowdowns and Evacuations occur during the replay.
	Bursts      []Burst
	Losses      []WorkerLoss
	Slowdowns   []Slowdown
	Evacuations []Evacuation
	// Zones is the number of availability zones, to which workers are assigned in turn; 0 means one
	// zone without a name.
	Zones int
	// MaxUnavailable is the number of tasks of a watch job that may be unavailable at a time.
	MaxUnavailable int
	// WarmUpTime is the time for which the workers of a zone are slow after its evacuation,
	// WarmUpSlowdown the factor by which work takes longer on them.
	WarmUpTime     time.Duration
	WarmUpSlowdown float64
}

const (
	// maxLowInterference is the maximum load that the filling image of a pair with low interference
	// adds if it uses a whole worker.
	maxLowInterference = 0.15
	// milliPerProcessor converts thousandths of a processor to processors.
	milliPerProcessor = 1000
)

// ContendedLoad returns a load in which serving tasks reserve most of the capacity, so that filling
// tasks must be colocated with them.
func ContendedLoad() Load {
	return Load{Workers: 11, Cores: 36, ArrivalSpan: 34 * time.Second,
		Quick: JobDistribution{JobsPerSecond: 5, Steps: 1.6, TasksPerStep: 6, Cores: 0.48, TasksPerStepSpread: 0.6, CoresSpread: 0.3, RunTime: 800 * time.Millisecond, StepRunTimeSpread: 0.5, TaskRunTimeSpread: 0.3, EstimateError: 0.9, Value: 0.33},
		Batch: JobDistribution{JobsPerSecond: 1.2, Steps: 2, TasksPerStep: 8, Cores: 3.5, TasksPerStepSpread: 0.6, CoresSpread: 0.3, RunTime: 2200 * time.Millisecond, StepRunTimeSpread: 0.5, TaskRunTimeSpread: 0.15, EstimateError: 0.2, Images: 9, Value: 7},
		Watch: JobDistribution{TasksPerStep: 6, Cores: 6.4, TasksPerStepSpread: 0.3, CoresSpread: 0.2, Images: 3, Value: 1.6}, InitialWatchJobs: 9,
		ServingLoad: 0.48, ServingSwing: 0.5, ServingPeriod: 20 * time.Second, TargetFactor: 6, Bursts: []Burst{{Start: 12 * time.Second, Duration: 6 * time.Second, RateFactor: 1.5}}, HighInterferenceShare: 0.55, HighInterference: 3}
}

// FillingOverload returns ContendedLoad with three times as many filling jobs.
func FillingOverload() Load {
	l := ContendedLoad()
	l.Batch.JobsPerSecond *= 3
	return l
}

// LongRunningGrowth returns a load in which long-running tasks arrive until they would reserve every
// processor, while quick jobs need a sixth of the processors.
func LongRunningGrowth() Load {
	return Load{Workers: 20, Cores: 64, ArrivalSpan: 34 * time.Second,
		Quick: JobDistribution{JobsPerSecond: 10, Steps: 1.6, TasksPerStep: 10, Cores: 1.8, TasksPerStepSpread: 0.8, CoresSpread: 0.45, RunTime: 800 * time.Millisecond, StepRunTimeSpread: 0.5, TaskRunTimeSpread: 0.3, EstimateError: 0.2, Value: 0.36},
		Watch: JobDistribution{JobsPerSecond: 0.3, TasksPerStep: 14, Cores: 13, TasksPerStepSpread: 0.3, CoresSpread: 0.2, Images: 10, Value: 1.46}, InitialWatchJobs: 5,
		ServingLoad: 0.45, ServingSwing: 0.6, ServingPeriod: 14 * time.Second, TargetFactor: 5}
}

// QuickOverload returns a load of quick jobs of very different sizes that need more than twice the
// processors that the initial long-running tasks leave them.
func QuickOverload() Load {
	l := LongRunningGrowth()
	l.Watch.JobsPerSecond, l.InitialWatchJobs = 0, 8
	return l
}

// LongRunningFull returns a load of quick jobs that need a tenth of the processors, while
// long-running tasks reserve nearly all of them from the start.
func LongRunningFull() Load {
	l := LongRunningGrowth()
	l.Quick.JobsPerSecond, l.Watch.JobsPerSecond, l.InitialWatchJobs = 6, 0.1, 7
	return l
}

const (
	// fleetWorkers is the number of workers of the users' large fleet. For a fleet of another size,
	// the arrival rates are scaled in proportion.
	fleetWorkers = 160
	// fleetWatchJobs is the number of initial watch jobs of that fleet.
	fleetWatchJobs = 31
)

// FleetLoad returns the load of the users' large fleet, scaled to a number of workers: long-running
// tasks reserve most of the processors and use half of what they reserve, and filling jobs have many
// tasks per step and many images.
func FleetLoad(workers int) Load {
	share := float64(workers) / fleetWorkers
	return Load{Workers: workers, Cores: 75, ArrivalSpan: 34 * time.Second,
		Quick: JobDistribution{JobsPerSecond: 10.5 * share, Steps: 1.6, TasksPerStep: 9.4, Cores: 3.8, TasksPerStepSpread: 0.8, CoresSpread: 0.45, RunTime: time.Second, StepRunTimeSpread: 0.5, TaskRunTimeSpread: 0.15, EstimateError: 0.2, Value: 0.367},
		Batch: JobDistribution{JobsPerSecond: 3.37 * share, Steps: 2, TasksPerStep: 39, Cores: 7, TasksPerStepSpread: 0.6, CoresSpread: 0.3, RunTime: 2200 * time.Millisecond, StepRunTimeSpread: 0.5, TaskRunTimeSpread: 0.15, EstimateError: 0.2, Images: 30, Value: 5.67},
		Watch: JobDistribution{JobsPerSecond: 0.171 * share, TasksPerStep: 24, Cores: 13, TasksPerStepSpread: 0.4, CoresSpread: 0.25, Images: 16, Value: 0.99}, InitialWatchJobs: int(math.Round(fleetWatchJobs * share)),
		ServingLoad: 0.45, ServingSwing: 0.5, ServingPeriod: 14 * time.Second, TargetFactor: 5, Bursts: []Burst{{Start: 11 * time.Second, Duration: 6 * time.Second, RateFactor: 1.4}}, HighInterferenceShare: 0.6, HighInterference: 4.5}
}

// HighInterferenceFleet returns FleetLoad with 1.6 times as many filling jobs, whose images interfere
// more.
func HighInterferenceFleet(workers int) Load {
	l := FleetLoad(workers)
	l.Batch.JobsPerSecond *= 1.6
	l.HighInterference = 7
	return l
}

// jobSource generates the random jobs of a load.
type jobSource struct {
	load Load
	rng  *rand.Rand
	// jobCount is the number of generated jobs; it makes job ids unique.
	jobCount int
	// nextArrival is the arrival time of the next job of each queue.
	nextArrival map[string]time.Duration
	// runTimes holds the true run time of each task.
	runTimes map[string]time.Duration
	// interference holds, for a serving and a filling image, the load that the filling image adds to a
	// serving task if it uses a whole worker.
	interference map[[2]string]float64
}

func newJobSource(l Load, seed uint64) *jobSource {
	s := &jobSource{load: l, rng: rand.New(rand.NewPCG(seed, 7)), nextArrival: map[string]time.Duration{}, runTimes: map[string]time.Duration{}, interference: map[[2]string]float64{}}
	for w := range l.Watch.Images {
		for b := range l.Batch.Images {
			pair := [2]string{imageName(QueueWatch, w), imageName(QueueBatch, b)}
			s.interference[pair] = maxLowInterference * s.rng.Float64()
			if s.rng.Float64() < l.HighInterferenceShare {
				s.interference[pair] = l.HighInterference * (0.4 + 1.2*s.rng.Float64())
			}
		}
	}
	return s
}

func imageName(queue string, n int) string { return fmt.Sprintf("%s-%d", queue, n) }

// randomFactor draws a log-normal factor with mean 1; spread is the standard deviation of its
// logarithm.
func (s *jobSource) randomFactor(spread float64) float64 {
	return math.Exp(spread*s.rng.NormFloat64() - spread*spread/2)
}

// arrivals returns the new jobs that have arrived by a time.
func (s *jobSource) arrivals(at time.Duration) []kqflow.Job {
	var jobs []kqflow.Job
	if at > s.load.ArrivalSpan {
		return nil
	}
	for _, queue := range []string{QueueQuick, QueueReport, QueueBatch, QueueWatch} {
		distribution := s.load.distribution(queue)
		for distribution.JobsPerSecond > 0 && s.nextArrival[queue] <= at {
			jobs = append(jobs, s.newJob(queue, distribution))
			s.nextArrival[queue] += time.Duration(s.rng.ExpFloat64() / (distribution.JobsPerSecond * s.rateFactor(queue, at)) * float64(time.Second))
		}
	}
	return jobs
}

// distribution returns the distribution of the jobs of a queue.
func (l Load) distribution(queue string) JobDistribution {
	return map[string]JobDistribution{QueueQuick: l.Quick, QueueReport: l.Report, QueueBatch: l.Batch, QueueWatch: l.Watch}[queue]
}

// rateFactor returns the factor of the arrival rate of a queue at a time.
func (s *jobSource) rateFactor(queue string, at time.Duration) float64 {
	factor := 1.0
	if s.load.RatePeriod > 0 {
		factor += s.load.RateSwing * math.Sin(2*math.Pi*at.Seconds()/s.load.RatePeriod.Seconds())
	}
	for _, b := range s.load.Bursts {
		if (b.AllQueues || queue == cmp.Or(b.Queue, QueueBatch)) && at >= b.Start && at < b.Start+b.Duration {
			return factor * b.RateFactor
		}
	}
	return factor
}

// newJob generates a job of a queue and the true run times of its tasks.
func (s *jobSource) newJob(queue string, distribution JobDistribution) kqflow.Job {
	if queue == QueueWatch {
		return s.newWatchJob(s.rng.IntN(max(1, distribution.Images)))
	}
	s.jobCount++
	j := kqflow.Job{ID: fmt.Sprintf("%s%d", queue, s.jobCount), Queue: queue}
	imageIndex := s.rng.IntN(max(1, distribution.Images))
	estimateFactor := s.randomFactor(distribution.EstimateError)
	for n := range max(1, int(math.Round(distribution.Steps*s.randomFactor(0.4)))) {
		runTime := float64(distribution.RunTime) * s.randomFactor(distribution.StepRunTimeSpread)
		step := kqflow.Step{Count: max(1, int(math.Round(distribution.TasksPerStep*s.randomFactor(distribution.TasksPerStepSpread)))),
			Resources: kqmodel.Resources{MilliProcessors: int64(milliPerProcessor * distribution.Cores * s.randomFactor(distribution.CoresSpread)), MemoryBytes: 1 << 30},
			Estimate:  time.Duration(runTime * estimateFactor)}
		if n > 0 {
			step.After = []int{n - 1}
		}
		if queue == QueueBatch {
			step.Fills, step.Checkpoints, step.Image = true, true, imageName(queue, imageIndex)
		}
		for i := range step.Count {
			id := kqflow.TaskID{Job: j.ID, Step: n, Index: i}
			s.runTimes[id.String()] = time.Duration(runTime * s.randomFactor(distribution.TaskRunTimeSpread))
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// initialWatchJobs generates the watch jobs that are submitted at the start.
func (s *jobSource) initialWatchJobs() []kqflow.Job {
	var jobs []kqflow.Job
	for n := range s.load.InitialWatchJobs {
		jobs = append(jobs, s.newWatchJob(n%max(1, s.load.Watch.Images)))
	}
	return jobs
}

// newWatchJob generates a watch job of the image with the given index.
func (s *jobSource) newWatchJob(imageIndex int) kqflow.Job {
	distribution := s.load.Watch
	s.jobCount++
	return kqflow.Job{ID: fmt.Sprintf("%s%d", QueueWatch, s.jobCount), Queue: QueueWatch, Steps: []kqflow.Step{{
		Count: max(1, int(math.Round(distribution.TasksPerStep*s.randomFactor(distribution.TasksPerStepSpread)))), Estimate: time.Second,
		Resources: kqmodel.Resources{MilliProcessors: int64(milliPerProcessor * distribution.Cores * s.randomFactor(distribution.CoresSpread)), MemoryBytes: 1 << 30}, LongRunning: true,
		Image: imageName(QueueWatch, imageIndex), TailTarget: time.Duration(s.load.TargetFactor * float64(unloadedTail)), MaxPerWorker: 3, MaxUnavailable: s.load.MaxUnavailable}}}
}

// policy returns the operator's policy for the queues of a replay.
func policy() *kqflow.Policy {
	return &kqflow.Policy{Version: 1, Queues: map[string]kqflow.Queue{
		QueueQuick:  {Name: QueueQuick, Service: service, Priority: 0, MaxAttempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond},
		QueueReport: {Name: QueueReport, Service: service, Priority: 1, MaxAttempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond},
		QueueBatch:  {Name: QueueBatch, Service: service, Priority: 2, MaxAttempts: 3, Stretch: 2, Target: time.Second},
		QueueWatch:  {Name: QueueWatch, Service: service, Priority: 0, MaxAttempts: 3, Stretch: 2.2, Target: 2500 * time.Millisecond}}}
}

// BurstLoad returns a load of quick and report jobs that reserve nine tenths of the processors; quick
// jobs have the higher priority. For 8 s the arrival rates of both are multiplied by factor.
func BurstLoad(factor float64) Load {
	return Load{Workers: 10, Cores: 16, ArrivalSpan: 36 * time.Second,
		Quick:  JobDistribution{JobsPerSecond: 10, Steps: 1.6, TasksPerStep: 6, Cores: 1, TasksPerStepSpread: 0.6, CoresSpread: 0.3, RunTime: 800 * time.Millisecond, StepRunTimeSpread: 0.5, TaskRunTimeSpread: 0.2, EstimateError: 0.2, Value: 0.35},
		Report: JobDistribution{JobsPerSecond: 6, Steps: 1.6, TasksPerStep: 4, Cores: 1.5, TasksPerStepSpread: 0.6, CoresSpread: 0.3, RunTime: time.Second, StepRunTimeSpread: 0.5, TaskRunTimeSpread: 0.2, EstimateError: 0.2, Value: 0.5},
		Watch:  JobDistribution{Images: 1}, ServingLoad: 0.45, ServingSwing: 0.5, ServingPeriod: 14 * time.Second, TargetFactor: 5,
		Bursts: []Burst{{AllQueues: true, Start: 20 * time.Second, Duration: 8 * time.Second, RateFactor: factor}}}
}

// PeriodicLoad returns BurstLoad with arrival rates that follow a sine wave instead of the burst.
func PeriodicLoad() Load {
	l := BurstLoad(1)
	l.RateSwing, l.RatePeriod = 0.55, 15*time.Second
	return l
}

// WorkerLossLoad returns BurstLoad with a factor of 3 on a cell that loses 6 of its 10 workers before
// the burst.
func WorkerLossLoad() Load {
	l := BurstLoad(3)
	for w := range 6 {
		l.Losses = append(l.Losses, WorkerLoss{Worker: w, Start: 16 * time.Second, Duration: 16 * time.Second})
	}
	return l
}
