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
	stepTime    = 50 * time.Millisecond
	holdEvery   = 4
	reportEvery = 8
	grantEvery  = 10
	lease       = 7 * time.Second
	// stopDelay is how long a stop takes, restoreTime a start from a checkpoint.
	stopDelay   = 200 * time.Millisecond
	restoreTime = 200 * time.Millisecond
	// settle is how long jobs may take after the last one has come.
	settle = 20 * time.Second
	writes = 40
)

// epoch is when every replay begins.
var epoch = time.Unix(1_000_000, 0)

// Config sets up a Replay.
type Config struct {
	// Seed draws the load.
	Seed uint64
	// Load is the load pattern.
	Load Load
	// Unpaced lets filling runs work at full speed whatever they press.
	Unpaced bool
	// Unlearned keeps from the owner what filling runs use, so that it learns
	// nothing of what they press.
	Unlearned bool
	// Weighing is how long it takes the owner to weigh a worker for a task; it decides
	// nothing else meanwhile. 0 takes no time.
	Weighing time.Duration
	// Admission lets entries reject jobs by the owner's digests.
	Admission bool
	// Lenient keeps the entries from rejecting what they would.
	Lenient bool
	// Abrupt lets the owner fill cold workers as others.
	Abrupt bool
}

// Replay is a cell under a load.
type Replay struct {
	config  Config
	source  *source
	planner *kqplan.Planner
	zones   kqevacuate.Zones
	workers []*worker
	byName  map[string]*worker
	jobs    []kqflow.Job
	specs   map[string]kqflow.Job
	ended   map[string]time.Duration
	saved   map[string]time.Duration
	account *account
	cost    Cost
	version uint64
	now     time.Time
	// busyTill is until when the owner is at its latest decisions.
	busyTill time.Time
	// callers hand jobs in, and again if they are rejected.
	callers *callers
}

// New returns a Replay at its beginning.
func New(c Config) *Replay {
	p := &Replay{config: c, source: newSource(c.Load, c.Seed), byName: map[string]*worker{}, specs: map[string]kqflow.Job{}, ended: map[string]time.Duration{}, saved: map[string]time.Duration{},
		account: &account{load: c.Load}, now: epoch, callers: newCallers()}
	p.planner = kqplan.New(kqplan.Config{Epoch: 1, AcquiredAt: epoch, Lease: lease, CrossRackSlowdown: 1, LimitWarmUp: !c.Abrupt})
	p.planner.SetPolicy(policy())
	p.planner.EnableDigests(c.Admission)
	for n := range c.Load.Workers {
		w := newWorker(fmt.Sprintf("host-%02d", n))
		w.zone = c.Load.zone(n)
		p.workers = append(p.workers, w)
		p.byName[w.name] = w
		p.register(w)
	}
	return p
}

func (p *Replay) register(w *worker) {
	p.planner.UpdateWorker(p.now, w.name, p.info(w))
	p.planner.AgentConnected(p.now, w.name)
	p.planner.LeaseGranted(p.now, w.name, lease)
}

// Run plays the load to its end.
func (p *Replay) Run() Result {
	for _, j := range p.source.standing() {
		p.submit(j)
	}
	end := epoch.Add(p.config.Load.Span + settle)
	for n := 0; p.now.Before(end); n++ {
		p.now = p.now.Add(stepTime)
		p.fault()
		p.evacuate()
		for _, j := range p.source.due(p.now.Sub(epoch)) {
			p.submit(j)
		}
		p.callers.again(p)
		for _, w := range p.workers {
			p.advance(w, n)
		}
		p.decide()
	}
	return p.settle()
}

func (p *Replay) submit(j kqflow.Job) {
	p.note(&j)
	p.callers.offer(p, j)
}

// note keeps a job that comes now.
func (p *Replay) note(j *kqflow.Job) {
	j.SubmittedAt = p.now
	p.specs[j.ID] = *j
	if j.Queue == QueueWatch {
		p.account.watch(p.config.Load.Span + settle - p.now.Sub(epoch))
		return
	}
	p.jobs = append(p.jobs, *j)
}

// fault begins and ends what strikes now.
func (p *Replay) fault() {
	at := p.now.Sub(epoch)
	begins := func(from time.Duration) bool { return at >= from && at-stepTime < from }
	for _, l := range p.config.Load.Losses {
		w := p.workers[l.Worker]
		switch {
		case begins(l.From):
			w.gone, w.runs = true, kqordered.Map[kqexecution.Run, *run]{}
			p.planner.AgentDisconnected(p.now, w.name)
		case begins(l.From + l.For):
			w.gone, w.life, w.ends, w.pacer = false, w.life+1, 0, kqpace.New()
			p.register(w)
		}
	}
	for _, s := range p.config.Load.Slowdowns {
		switch {
		case begins(s.From):
			p.workers[s.Worker].slow = s.Factor
		case begins(s.From + s.For):
			p.workers[s.Worker].slow = 1
		}
	}
}

// advance lets a worker work and its agent look and report.
func (p *Replay) advance(w *worker, n int) {
	if w.gone {
		return
	}
	ends := w.step(p, p.now)
	if n%holdEvery == 0 && !p.config.Unpaced {
		w.hold(p.now)
	}
	r := kqplan.Report{Worker: w.incarnation()}
	if n%reportEvery == 0 {
		r = w.report(p.config.Unlearned)
		for _, x := range r.Running {
			p.save(x)
		}
	}
	r.Ended = ends
	if r.Complete || len(ends) > 0 {
		p.listen(func() { p.planner.ApplyReport(p.now, w.name, r) })
	}
	if n%grantEvery == 0 {
		p.listen(func() { p.planner.LeaseGranted(p.now, w.name, lease) })
	}
}

func (p *Replay) save(x kqexecution.RunStatus) {
	if d, err := time.ParseDuration(x.Checkpoint); err == nil {
		p.saved[x.Task] = max(p.saved[x.Task], d)
	}
}

// decide lets the owner plan, commit and order.
func (p *Replay) decide() {
	if p.now.Before(p.busyTill) {
		return
	}
	p.version++
	before := p.planner.CandidatesScored()
	p.deciding(func() {
		p.planner.Tick(p.now)
		p.planner.WritesCommitted(p.now, p.planner.TakeWrites(writes), p.version)
		p.callers.hear(p.now, p.planner.Digest(p.now))
	})
	took := time.Duration(p.planner.CandidatesScored()-before) * p.config.Weighing
	p.planner.RecordTickDuration(p.now, took)
	p.busyTill = p.now.Add(took)
	for _, e := range p.planner.TakeEffects() {
		switch {
		case e.Order != nil:
			p.carryOut(p.byName[e.Host], *e.Order)
		case e.State == kqflow.StateCompleted:
			if _, ok := p.ended[e.Job]; !ok {
				p.ended[e.Job] = p.now.Sub(epoch)
			}
		}
	}
}

// carryOut is what the agent does with an order.
func (p *Replay) carryOut(w *worker, o kqplan.Order) {
	if w.gone || o.Worker != w.incarnation() {
		return
	}
	r := w.runs.Get(o.Run)
	if o.Stop {
		p.stop(w, o.Run, r)
		return
	}
	if r != nil {
		r.press, r.due = o.Interference, p.now.Add(o.TimeLeft)
		return
	}
	r = p.begin(w, o.Run, taskID(o.Run.Task))
	r.press, r.due = o.Interference, p.now.Add(o.TimeLeft)
	if o.Checkpoint != "" {
		r.worked = p.saved[o.Run.Task] - restoreTime
	}
	if o.Fills && !p.config.Unpaced {
		w.pacer.AddRun(r.filling())
		r.percent = w.pacer.Share(o.Run)
		r.paced = r.percent
	}
}

// begin starts a run on a worker.
func (p *Replay) begin(w *worker, k kqexecution.Run, id kqflow.TaskID) *run {
	p.account.result.Starts++
	if p.zones.Has(w.zone) {
		p.account.result.Evacuated++
	}
	r := &run{key: k, length: p.source.lengths[k.Task], percent: 100, paced: 100, phase: p.phase(id), step: p.specs[id.Job].Steps[id.Step]}
	w.runs.Put(k, r)
	return r
}

// phase is that of the swing of a job's load.
func (p *Replay) phase(id kqflow.TaskID) float64 {
	sum := 0.0
	for _, c := range id.Job {
		sum += float64(c) * 0.37
	}
	return sum
}

func (p *Replay) stop(w *worker, k kqexecution.Run, r *run) {
	if r != nil {
		if p.zones.Has(w.zone) {
			p.account.result.Left++
		}
		r.stopAt = p.now.Add(stopDelay)
		return
	}
	p.planner.ApplyReport(p.now, w.name, kqplan.Report{Worker: w.incarnation(), Ended: []kqexecution.RunEnd{{Run: k, Reason: kqexecution.EndAbsent}}})
}

// settle counts the jobs.
func (p *Replay) settle() Result {
	p.account.result.Weighed = p.planner.CandidatesScored()
	mean := p.means()
	work := map[string][]float64{}
	for _, j := range p.jobs {
		work[j.Queue] = append(work[j.Queue], j.Work())
	}
	p.account.bounds = map[string]kqsize.Bounds{}
	for queue, w := range work {
		p.account.bounds[queue] = kqsize.BoundsOf(w)
	}
	p.account.result.Callers = p.callers.account
	p.account.result.Callers.Pending = len(p.callers.retries)
	for _, j := range p.jobs {
		took := time.Duration(-1)
		if e, ok := p.ended[j.ID]; ok {
			took = e - j.SubmittedAt.Sub(epoch)
		}
		p.account.job(j, p.chain(j), took, mean[j.Queue])
	}
	return p.account.result
}

// means returns the mean work of the jobs of each queue.
func (p *Replay) means() map[string]float64 {
	mean, count := map[string]float64{}, map[string]float64{}
	for _, j := range p.jobs {
		count[j.Queue]++
		mean[j.Queue] += (j.Work() - mean[j.Queue]) / count[j.Queue]
	}
	return mean
}

// chain returns the longest chain of what the tasks of a job truly take.
func (p *Replay) chain(j kqflow.Job) time.Duration {
	sum := time.Duration(0)
	for n, s := range j.Steps {
		longest := time.Duration(0)
		for i := range s.Count {
			longest = max(longest, p.source.lengths[kqflow.TaskID{Job: j.ID, Step: n, Index: i}.String()])
		}
		sum += longest
	}
	return sum
}
