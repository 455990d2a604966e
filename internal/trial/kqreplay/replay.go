package kqreplay

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqordered"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

const (
	// timeStep is the virtual time between two updates of the simulation.
	timeStep = 50 * time.Millisecond
	// paceEvery, reportEvery and leaseEvery are the intervals, in time steps, at which an agent paces
	// its runs and reports to the owner, and at which the owner renews leases.
	paceEvery   = 4
	reportEvery = 8
	leaseEvery  = 10
	// leaseTime is the duration of a lease.
	leaseTime = 7 * time.Second
	// stopDelay is the time to stop a run, restoreTime the time to restore one from a checkpoint.
	stopDelay   = 200 * time.Millisecond
	restoreTime = 200 * time.Millisecond
	// graceTime is the time that jobs have to complete after the last arrival.
	graceTime = 20 * time.Second
	// maxWrites is the maximum number of writes committed in a scheduling pass.
	maxWrites = 40
)

// replayStart is the virtual time at which every replay starts.
var replayStart = time.Unix(1_000_000, 0)

// Config configures a Replay.
type Config struct {
	// Seed is the seed of the random jobs.
	Seed uint64
	// Load is the load to replay.
	Load Load
	// NoPacing lets filling runs work at full speed regardless of their interference.
	NoPacing bool
	// NoLearning omits the usage of filling runs from the reports to the owner, so that it does not
	// learn their interference.
	NoLearning bool
	// ScoringTime is the virtual time that the owner takes to score one worker for a task. The next
	// scheduling pass starts when the scoring of the previous one is finished. With 0, scoring takes
	// no virtual time.
	ScoringTime time.Duration
	// Admission enables admission control: entries may reject jobs based on the owner's digests.
	Admission bool
	// AcceptRejected submits rejected jobs to the planner anyway, so that a test can compare the
	// decisions with what the jobs earn.
	AcceptRejected bool
	// NoWarmUpLimit lets the owner place as many tasks on workers that are warming up as on others.
	NoWarmUpLimit bool
	// ReportCrashes lets agents report which runs a lost worker had started, so that the owner tries
	// the tasks that had just started before the loss.
	ReportCrashes bool
}

// Replay simulates one cell under a load.
type Replay struct {
	config  Config
	source  *jobSource
	planner *kqplan.Planner
	// zones holds the evacuated zones.
	zones         kqevacuate.Zones
	workers       []*worker
	workersByName map[string]*worker
	// jobs holds the jobs of finite run time in order of arrival, jobsByID also the watch jobs.
	jobs     []kqflow.Job
	jobsByID map[string]kqflow.Job
	// endTimes holds the time from the start of the replay to the completion of each job.
	endTimes map[string]time.Duration
	// checkpoints holds the work that each task has saved.
	checkpoints map[string]time.Duration
	recorder    *resultRecorder
	cost        Cost
	// version is the version of the store, which each scheduling pass increments.
	version uint64
	now     time.Time
	// busyUntil is the time until which the latest scheduling pass takes.
	busyUntil time.Time
	callers   *callers
}

// New returns a Replay that has not started. Its workers are registered with the planner.
func New(c Config) *Replay {
	p := &Replay{config: c, source: newJobSource(c.Load, c.Seed), workersByName: map[string]*worker{}, jobsByID: map[string]kqflow.Job{}, endTimes: map[string]time.Duration{}, checkpoints: map[string]time.Duration{},
		recorder: &resultRecorder{load: c.Load}, now: replayStart, callers: newCallers()}
	p.planner = kqplan.New(kqplan.Config{Epoch: 1, AcquiredAt: replayStart, Lease: leaseTime, CrossRackSlowdown: 1, LimitWarmUp: !c.NoWarmUpLimit})
	p.planner.SetPolicy(policy())
	p.planner.EnableDigests(c.Admission)
	for n := range c.Load.Workers {
		w := newWorker(fmt.Sprintf("host-%02d", n))
		w.zone = c.Load.zoneOf(n)
		p.workers = append(p.workers, w)
		p.workersByName[w.name] = w
		p.registerWorker(w)
	}
	return p
}

func (p *Replay) registerWorker(w *worker) {
	p.planner.UpdateWorker(p.now, w.name, p.workerInfo(w))
	p.planner.AgentConnected(p.now, w.name)
	p.planner.LeaseGranted(p.now, w.name, leaseTime)
}

// Run replays the whole load and returns the result.
func (p *Replay) Run() Result {
	for _, j := range p.source.initialWatchJobs() {
		p.submit(j)
	}
	end := replayStart.Add(p.config.Load.ArrivalSpan + graceTime)
	for n := 0; p.now.Before(end); n++ {
		p.now = p.now.Add(timeStep)
		p.applyFaults()
		p.applyEvacuations()
		for _, j := range p.source.arrivals(p.now.Sub(replayStart)) {
			p.submit(j)
		}
		p.callers.resubmitDue(p)
		for _, w := range p.workers {
			p.advanceWorker(w, n)
		}
		p.runPass()
	}
	return p.collectResult()
}

func (p *Replay) submit(j kqflow.Job) {
	p.addJob(&j)
	p.callers.submit(p, j)
}

// addJob records a job that arrives now.
func (p *Replay) addJob(j *kqflow.Job) {
	j.SubmittedAt = p.now
	p.jobsByID[j.ID] = *j
	if j.Queue == QueueWatch {
		p.recorder.addPossibleServing(p.config.Load.ArrivalSpan + graceTime - p.now.Sub(replayStart))
		return
	}
	p.jobs = append(p.jobs, *j)
}

// crashOf returns the report of the crash of a worker at present.
func (p *Replay) crashOf(w *worker) kqplan.WorkerEnd {
	e := kqplan.WorkerEnd{Worker: w.incarnation(), Crashed: true}
	for _, r := range w.runs.All() {
		e.Runs = append(e.Runs, kqplan.StartedRun{Run: r.key, RunTime: p.now.Sub(r.startedAt)})
	}
	return e
}

// applyFaults starts and ends the losses and slowdowns of workers that are due.
func (p *Replay) applyFaults() {
	at := p.now.Sub(replayStart)
	isNow := func(t time.Duration) bool { return at >= t && at-timeStep < t }
	for _, l := range p.config.Load.Losses {
		w := p.workers[l.Worker]
		switch {
		case isNow(l.Start):
			w.crash = p.crashOf(w)
			w.lost, w.runs = true, kqordered.Map[kqexecution.Run, *run]{}
			p.planner.AgentDisconnected(p.now, w.name)
		case isNow(l.Start + l.Duration):
			if w.crash.SilentFor = l.Duration; p.config.ReportCrashes {
				p.planner.WorkerEnded(p.now, w.name, w.crash)
			}
			w.lost, w.incarnationNumber, w.endCount, w.pacer = false, w.incarnationNumber+1, 0, kqpace.New()
			p.registerWorker(w)
		}
	}
	for _, s := range p.config.Load.Slowdowns {
		switch {
		case isNow(s.Start):
			p.workers[s.Worker].slowdown = s.Factor
		case isNow(s.Start + s.Duration):
			p.workers[s.Worker].slowdown = 1
		}
	}
}

// advanceWorker simulates time step n of a worker and lets its agent pace the filling runs and report
// to the owner at their intervals.
func (p *Replay) advanceWorker(w *worker, n int) {
	if w.lost {
		return
	}
	ends := w.advance(p, p.now)
	if n%paceEvery == 0 && !p.config.NoPacing {
		w.updateShares(p.now)
	}
	r := kqplan.Report{Worker: w.incarnation()}
	if n%reportEvery == 0 {
		r = w.report(p.config.NoLearning)
		for _, status := range r.Running {
			p.saveCheckpoint(status)
		}
	}
	r.Ended = ends
	if r.Complete || len(ends) > 0 {
		p.timeEvent(func() { p.planner.ApplyReport(p.now, w.name, r) })
	}
	if n%leaseEvery == 0 {
		p.timeEvent(func() { p.planner.LeaseGranted(p.now, w.name, leaseTime) })
	}
}

func (p *Replay) saveCheckpoint(status kqexecution.RunStatus) {
	if d, err := time.ParseDuration(status.Checkpoint); err == nil {
		p.checkpoints[status.Task] = max(p.checkpoints[status.Task], d)
	}
}

// runPass makes a scheduling pass of the owner, unless the previous one is still in progress: it
// plans, commits the writes, sends a digest to the entries, and applies the orders to the workers.
func (p *Replay) runPass() {
	if p.now.Before(p.busyUntil) {
		return
	}
	p.version++
	scoredBefore := p.planner.CandidatesScored()
	p.timePass(func() {
		p.planner.Tick(p.now)
		p.planner.WritesCommitted(p.now, p.planner.TakeWrites(maxWrites), p.version)
		p.callers.receiveDigest(p.now, p.planner.Digest(p.now))
	})
	passTime := time.Duration(p.planner.CandidatesScored()-scoredBefore) * p.config.ScoringTime
	p.planner.RecordTickDuration(p.now, passTime)
	p.busyUntil = p.now.Add(passTime)
	for _, e := range p.planner.TakeEffects() {
		switch {
		case e.Order != nil:
			p.applyOrder(p.workersByName[e.Host], *e.Order)
		case e.State == kqflow.StateCompleted:
			if _, ok := p.endTimes[e.Job]; !ok {
				p.endTimes[e.Job] = p.now.Sub(replayStart)
			}
		}
	}
}

// applyOrder starts, updates or stops a run as the agent does on an order. Orders for another
// incarnation of the worker are ignored.
func (p *Replay) applyOrder(w *worker, o kqplan.Order) {
	if w.lost || o.Worker != w.incarnation() {
		return
	}
	r := w.runs.Get(o.Run)
	if o.Stop {
		p.stopRun(w, o.Run, r)
		return
	}
	if r != nil {
		r.interference, r.deadline = o.Interference, p.now.Add(o.TimeLeft)
		return
	}
	r = p.startRun(w, o.Run, parseTaskID(o.Run.Task))
	r.interference, r.deadline = o.Interference, p.now.Add(o.TimeLeft)
	if o.Checkpoint != "" {
		r.workDone = p.checkpoints[o.Run.Task] - restoreTime
	}
	if o.Fills && !p.config.NoPacing {
		w.pacer.AddRun(r.fillingRun())
		r.share = w.pacer.Share(o.Run)
		r.targetShare = r.share
	}
}

// startRun starts a run of the task id on a worker.
func (p *Replay) startRun(w *worker, k kqexecution.Run, id kqflow.TaskID) *run {
	p.recorder.result.Starts++
	if p.zones.Has(w.zone) {
		p.recorder.result.StartedInEvacuated++
	}
	r := &run{key: k, startedAt: p.now, runTime: p.source.runTimes[k.Task], share: 100, targetShare: 100, loadPhase: p.loadPhase(id), step: p.jobsByID[id.Job].Steps[id.Step]}
	w.runs.Put(k, r)
	return r
}

// loadPhase returns the phase of the load wave of a job, in periods. It depends only on the job's id.
func (p *Replay) loadPhase(id kqflow.TaskID) float64 {
	sum := 0.0
	for _, c := range id.Job {
		sum += float64(c) * 0.37
	}
	return sum
}

// stopRun stops a run after stopDelay. If the worker does not have the run, the agent reports it as
// absent.
func (p *Replay) stopRun(w *worker, k kqexecution.Run, r *run) {
	if r != nil {
		if p.zones.Has(w.zone) {
			p.recorder.result.StoppedInEvacuated++
		}
		r.stopAt = p.now.Add(stopDelay)
		return
	}
	p.planner.ApplyReport(p.now, w.name, kqplan.Report{Worker: w.incarnation(), Ended: []kqexecution.RunEnd{{Run: k, Reason: kqexecution.EndAbsent}}})
}

// collectResult records the outcome of all jobs and returns the result.
func (p *Replay) collectResult() Result {
	p.recorder.result.CandidatesScored = p.planner.CandidatesScored()
	meanWork := p.meanWork()
	workByQueue := map[string][]float64{}
	for _, j := range p.jobs {
		workByQueue[j.Queue] = append(workByQueue[j.Queue], j.Work())
	}
	p.recorder.bandBounds = map[string]kqsize.Bounds{}
	for queue, w := range workByQueue {
		p.recorder.bandBounds[queue] = kqsize.BoundsOf(w)
	}
	p.recorder.result.Admission = p.callers.stats
	p.recorder.result.Admission.PendingRetries = len(p.callers.retries)
	for _, j := range p.jobs {
		responseTime := time.Duration(-1)
		if e, ok := p.endTimes[j.ID]; ok {
			responseTime = e - j.SubmittedAt.Sub(replayStart)
		}
		p.recorder.recordOutcome(j, p.criticalPath(j), responseTime, meanWork[j.Queue])
	}
	return p.recorder.result
}

// meanWork returns the mean work of the jobs of each queue, in core-seconds.
func (p *Replay) meanWork() map[string]float64 {
	mean, count := map[string]float64{}, map[string]float64{}
	for _, j := range p.jobs {
		count[j.Queue]++
		mean[j.Queue] += (j.Work() - mean[j.Queue]) / count[j.Queue]
	}
	return mean
}

// criticalPath returns the critical path of a job by the true run times of its tasks: the sum over
// its steps, which run one after the other, of the longest run time.
func (p *Replay) criticalPath(j kqflow.Job) time.Duration {
	sum := time.Duration(0)
	for n, s := range j.Steps {
		longest := time.Duration(0)
		for i := range s.Count {
			longest = max(longest, p.source.runTimes[kqflow.TaskID{Job: j.ID, Step: n, Index: i}.String()])
		}
		sum += longest
	}
	return sum
}
