// Package kqplan is the scheduler of a cell: it decides for the owner which task of which job
// runs on which worker.
//
// The package does no I/O. Every decision takes the present time as an argument. Records to be
// stored leave the Planner as writes (TakeWrites). Orders to hosts and states for entries leave
// it as effects (TakeEffects); an effect that depends on a write is released only once that
// write is committed.
//
// Terms: a finite task ends when its work is done; a long-running task runs until its job is
// cancelled. A serving task is a long-running, latency-critical task with a bound on its tail
// latency; its headroom is that bound divided by the measured tail latency. A filling task is
// best effort: it reserves no processors and uses those that others leave idle; interference is
// the headroom that it takes, at full speed, from serving tasks of an image on the same host. The
// backlog is the number of tasks that are ready to start and wait for capacity. A gang is a step
// whose tasks run only together. Priority 0 is the highest.
package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqlearn"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqordered"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// Config holds the parameters and callbacks of a Planner.
type Config struct {
	// Epoch is the number of this ownership of the cell and serves as its fencing token.
	Epoch uint64
	// AcquiredAt is when the ownership was acquired.
	AcquiredAt time.Time
	// PriorGrantsUntil returns the time after which no earlier owner granted the host a lease;
	// nil means AcquiredAt.
	PriorGrantsUntil func(host string) time.Time
	// Lease is the longest lease that an owner grants to a host.
	Lease time.Duration
	// CrossRackSlowdown is the factor by which a task takes longer outside the rack that holds
	// its data.
	CrossRackSlowdown float64
	// LimitWarmUp is true if a worker that reports that it is warming up gets only part of its
	// capacity assigned.
	LimitWarmUp bool
	// RecordOutcome is called once for each job that has an objective, with its outcome; may be
	// nil.
	RecordOutcome func(JobOutcome)
	// Events logs the decisions; may be nil.
	Events *kqevent.Log
	// Counter counts breaches of invariants; may be nil.
	Counter *kqinvariant.Counter
}

// Planner holds the scheduling state of the owner of a cell. It is not safe for concurrent use.
type Planner struct {
	config Config
	queues map[string]kqflow.Queue
	jobs   kqordered.Map[string, *job]
	hosts  kqordered.Map[string, *host]
	// dirty holds the jobs whose record must be stored.
	dirty kqordered.Map[string, *job]
	// effects holds the released effects that TakeEffects has not returned yet.
	effects []Effect
	// passRequested is true after a change that may allow starts.
	passRequested bool
	// onHold is true while all starts are suspended.
	onHold     bool
	activeJobs int
	// backlog is the number of tasks that wait for capacity; fillingBacklog counts the filling
	// tasks among them.
	backlog        int
	fillingBacklog int
	// fillingSkipped is true if the latest scheduling pass skipped the filling tasks.
	fillingSkipped bool
	// finiteTasksWait is true if the latest pass found no capacity for some finite task that is
	// not a filling task, although a worker could have it.
	finiteTasksWait bool
	lastPassAt      time.Time
	// lastFillingPassAt is the time of the latest pass that included filling tasks.
	// passDuration is the time that the latest pass without them took the owner,
	// fillingPassDuration the same for the latest pass with them.
	lastFillingPassAt   time.Time
	passDuration        time.Duration
	fillingPassDuration time.Duration
	// fillingMissLimit is the number of steps of filling tasks without a suitable host after
	// which a pass stops searching for more of them; fillingRound gives each step its turn.
	fillingMissLimit int
	fillingRound     round[placementKey]
	// moves gives the runs for which progress checks search another host their turns: throttled
	// filling runs or, while the owner is overloaded, any run.
	moves round[kqexecution.Run]
	// noMoveHost holds the tasks for which the current progress check has found no host to move to.
	noMoveHost           map[placementKey]bool
	approvals            map[stepKey]*approval
	approvalsRequestedAt time.Time

	interference          kqlearn.ImageInterference
	interferenceUpdatedAt time.Time
	progressCheckedAt     time.Time
	// hostRotation is the index of the host at which the latest rotated iteration began.
	hostRotation       int
	contentionLoggedAt time.Time
	// scored counts how often a worker was scored for a task; scoredLogged is its value when it
	// was last logged.
	scored       int64
	scoredLogged int64

	queueStats map[string]*queueStats
	// workerEnds holds the incarnations whose end was recorded, with the time of that.
	workerEnds map[kqexecution.Incarnation]time.Time
	// crashes holds the recent crashes of workers, trials the trials that are required or in progress.
	crashes      []workerCrash
	trials       map[stepKey]*trial
	alternatives alternatives
	// gangHolds holds, by service, the capacity that is kept for a waiting gang.
	gangHolds map[string]*gangHold
	evacuation
	warmUp warmUp
	// admission holds the data from which entries accept or reject jobs.
	admission admission
}

// New returns a Planner without jobs, hosts or queues.
func New(c Config) *Planner {
	return &Planner{config: c, queues: map[string]kqflow.Queue{}, approvals: map[stepKey]*approval{}, queueStats: map[string]*queueStats{}, workerEnds: map[kqexecution.Incarnation]time.Time{}, trials: map[stepKey]*trial{}, gangHolds: map[string]*gangHold{}, fillingMissLimit: maxFillingMisses, admission: newAdmission(c.AcquiredAt)}
}

// Epoch returns the owner's epoch.
func (p *Planner) Epoch() uint64 { return p.config.Epoch }

// SetPolicy applies the operator's queues. Jobs whose queue was removed keep its last settings.
func (p *Planner) SetPolicy(policy *kqflow.Policy) {
	for name, q := range policy.Queues {
		p.queues[name] = q
	}
	for _, j := range p.jobs.All() {
		if q, ok := policy.Queues[j.spec.Queue]; ok {
			j.setQueue(q)
		}
	}
	for _, h := range p.hosts.All() {
		h.recountUsage()
	}
	p.passRequested = true
}

// Order is an order to a host to start or to stop a run.
type Order struct {
	// Run is the run to start or to stop.
	Run kqexecution.Run `json:"run"`
	// Stop is true if the run is to be stopped; otherwise it is to be started.
	Stop bool `json:"stop,omitempty"`
	// Worker is the incarnation of the worker that the order is for.
	Worker kqexecution.Incarnation `json:"worker"`
	// Payload and Checkpoint are passed to the task at its start.
	Payload    string `json:"payload,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// PayloadKey names the payload in a message that holds it once for several orders; Payload is then
	// empty.
	PayloadKey string `json:"payload_key,omitempty"`
	// Ticket is the permission of the policy service, if the queue needs one.
	Ticket string `json:"ticket,omitempty"`
	// Size is the part of the worker's capacity that the run uses.
	Size kqmodel.Resources `json:"size,omitzero"`
	// Fills is true if the run is best effort and uses only processors that others leave idle.
	Fills bool `json:"fills,omitempty"`
	// Image is the image that the run executes.
	Image string `json:"image,omitempty"`
	// Interference is the expected loss of headroom of each image of serving tasks on the same
	// host while the run works at full speed.
	Interference map[string]float64 `json:"press,omitempty"`
	// TimeLeft is the time until the job's deadline; it is zero or negative after the deadline.
	TimeLeft time.Duration `json:"left,omitempty"`
	// TailTarget is the bound on the tail latency of a serving task; zero for other tasks.
	TailTarget time.Duration `json:"tail_target,omitempty"`
}

// Effect is a message that may be sent to a host or to the entries.
type Effect struct {
	// Host is the receiver; empty means the entries.
	Host string
	// Order is an order for the host, or nil.
	Order *Order
	// Acknowledged is the number of an end up to which all ends are stored; the host's worker may
	// drop them.
	Acknowledged uint64
	// AcknowledgedOf is the incarnation whose ends Acknowledged refers to.
	AcknowledgedOf kqexecution.Incarnation
	// ApprovalRequest is a request that the host's agent sends to the policy service, or nil.
	ApprovalRequest *ApprovalRequest
	// Job and State are the state of a job that entries show to its caller.
	Job   string
	State kqflow.State
}

// TakeEffects returns the effects released since the last call and clears them.
func (p *Planner) TakeEffects() []Effect {
	out := p.effects
	p.effects = nil
	return out
}

// Submit adds a job as stored by an entry, or cancels it if it is known and has been cancelled.
// record is the progress stored by an earlier owner, or nil, and version the stored version of
// that record.
func (p *Planner) Submit(now time.Time, s kqflow.Submission, record *kqflow.JobRecord, version uint64) {
	if j, ok := p.jobs.Find(s.Job.ID); ok {
		p.cancel(now, j, s.Cancelled)
		return
	}
	s.Job.SubmittedAt = plausibleSubmitTime(now, s.Job.SubmittedAt, record == nil)
	if record == nil {
		p.recordArrival(now, &s.Job)
	}
	j := newJob(s.Job, p.queueOf(s.Job.Queue, record))
	p.jobs.Put(s.Job.ID, j)
	if record != nil {
		p.restoreJob(now, j, *record, version)
	}
	if !j.state.Final() {
		p.activeJobs++
		j.addDueTasks(now)
		p.addToQueueStats(now, j, record == nil)
		if j.version == 0 {
			age := now.Sub(s.Job.SubmittedAt)
			p.config.Events.EmitFields(now, kqevent.FlowPlanned, kqevent.Job(j.spec.ID), j.eventFields(age), "queue %s, steps %s, objective %s, accepted %s ago",
				j.spec.Queue, j.spec.Summary(), j.objective, age.Round(time.Millisecond))
		}
		p.cancel(now, j, s.Cancelled)
	}
	p.effects = append(p.effects, Effect{Job: j.spec.ID, State: j.committedState})
	p.passRequested = true
}

// maxSubmitDelay bounds the time from the acceptance of a job by an entry until an owner first
// reads it. It covers an outage of the store and a change of owner.
const maxSubmitDelay = 15 * time.Second

// plausibleSubmitTime returns the time at which a job was accepted. The wall clock of the
// accepting entry may have been stepped, so a time in the future, or a time of a new job that
// is older than maxSubmitDelay, is replaced by now.
func plausibleSubmitTime(now, submitted time.Time, isNew bool) time.Time {
	if submitted.After(now) || isNew && now.Sub(submitted) > maxSubmitDelay {
		return now
	}
	return submitted
}

// queueOf returns the queue with a name, or the queue as stored in a record if the policy does
// not have it any more.
func (p *Planner) queueOf(name string, r *kqflow.JobRecord) kqflow.Queue {
	if q, ok := p.queues[name]; ok {
		return q
	}
	if r != nil {
		return r.Queue
	}
	return kqflow.Queue{Name: name}
}

// cancel ends a job that its caller has cancelled and stops its runs.
func (p *Planner) cancel(now time.Time, j *job, cancelled bool) {
	if !cancelled || j.state.Final() {
		return
	}
	p.config.Events.Emit(now, kqevent.FlowCancelled, kqevent.Job(j.spec.ID), "%s", j.state)
	p.finish(j, kqflow.StateCancelled)
}

// finish puts a job into a final state and stops its runs.
func (p *Planner) finish(j *job, s kqflow.State) {
	j.state = s
	p.activeJobs--
	for _, t := range j.tasks {
		for _, r := range t.runs {
			p.stop(r)
		}
	}
	p.markDirty(j)
}

// markDirty marks a job as changed, so that its record is stored by the next write.
func (p *Planner) markDirty(j *job) {
	j.revision++
	p.dirty.Put(j.spec.ID, j)
}

// Forget drops an ended, quiescent job whose rows were deleted from the store.
func (p *Planner) Forget(id string) {
	if j, ok := p.jobs.Find(id); ok && j.state.Final() && j.isQuiescent() {
		p.jobs.Delete(id)
	}
}

// States returns the committed state of each job by job ID.
func (p *Planner) States() map[string]kqflow.State {
	out := make(map[string]kqflow.State, p.jobs.Len())
	for id, j := range p.jobs.All() {
		out[id] = j.committedState
	}
	return out
}

// Pending returns the number of jobs of each queue that have not started.
func (p *Planner) Pending() map[string]int {
	out := map[string]int{}
	for _, j := range p.jobs.All() {
		if j.committedState == kqflow.StateQueued && !j.state.Final() {
			out[j.spec.Queue]++
		}
	}
	return out
}

// Learned returns the learned interference between images that share workers.
func (p *Planner) Learned() []kqlearn.PairEstimate { return p.interference.KnownPairs() }

// RestoreLearned loads the interference that an earlier owner learned.
func (p *Planner) RestoreLearned(estimates []kqlearn.PairEstimate) { p.interference.Restore(estimates) }

// ActiveJobs returns the number of jobs that have not ended.
func (p *Planner) ActiveJobs() int { return p.activeJobs }

// SetHold sets whether all starts are suspended.
func (p *Planner) SetHold(on bool) {
	if p.onHold && !on {
		p.passRequested = true
	}
	p.onHold = on
}

// Tick runs the periodic work that is due: it expires leases, adds due occurrences, checks the
// progress of runs, relocates work out of evacuated zones, requests approvals and runs a
// scheduling pass.
func (p *Planner) Tick(now time.Time) {
	p.expireLeases(now)
	p.updateWarmServices(now)
	p.addDueOccurrences(now)
	p.updateTrials(now)
	p.checkProgress(now)
	p.relocateFromEvacuated(now)
	p.updateInterference(now)
	p.requestApprovals(now)
	if p.isPassDue(now) {
		p.passRequested, p.lastPassAt = false, now
		p.placeAll(now)
	}
}

// RecordTickDuration records the time d that the Tick at now took; it is ignored if that Tick
// ran no scheduling pass. An owner whose passes are slow, given the number of its hosts, runs
// fewer of them, so that it keeps up with the messages that it receives.
func (p *Planner) RecordTickDuration(now time.Time, d time.Duration) {
	switch {
	case !p.lastPassAt.Equal(now):
	case p.lastFillingPassAt.Equal(now):
		p.fillingPassDuration = d
		p.fillingMissLimit = adjustMissLimit(p.fillingMissLimit, d)
	default:
		p.passDuration = d
	}
}

// CandidatesScored returns how often a worker was scored for a task. The processor time of the
// owner's decisions grows with this number.
func (p *Planner) CandidatesScored() int64 { return p.scored }

// isPassDue reports whether a scheduling pass is due. It is due after a change that may allow
// starts, and at regular intervals while tasks wait, because capacity may become available
// without an event. It is also due once the filling tasks that the latest pass skipped are due.
func (p *Planner) isPassDue(now time.Time) bool {
	age := now.Sub(p.lastPassAt)
	spacing := p.passSpacing()
	return age >= spacing && (p.passRequested || p.backlog > 0 && age >= maxPassSpacing || p.fillingSkipped && p.isFillingDue(now))
}
