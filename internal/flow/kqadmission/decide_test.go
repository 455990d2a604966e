package kqadmission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

var (
	now   = time.Unix(5000, 0)
	queue = kqflow.Queue{Name: "report", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond}
)

// newJob returns a job of two tasks that each take one processor for a second. Its objective is
// 1.75 s (1.5 times 1 s, plus 250 ms), and it has no value three objectives, 5.25 s, after its
// first attempt.
func newJob(firstAttemptAt time.Time) kqadmission.Job {
	j := kqflow.Job{ID: "j", Queue: queue.Name, Steps: []kqflow.Step{{Count: 2, Resources: processors(1), Estimate: time.Second}}}
	return kqadmission.NewJob(j, queue, firstAttemptAt, "z")
}

func processors(n int64) kqmodel.Resources { return kqmodel.Resources{MilliProcessors: 1000 * n} }

// busyDigest returns a digest in which ten processors are busy for releaseAfter and the given work
// waits.
func busyDigest(releaseAfter time.Duration, waiting ...kqadmission.WaitingWork) *kqadmission.Digest {
	return &kqadmission.Digest{Levels: []kqadmission.Level{{Service: "s", Priority: 1, MilliProcessors: 10_000,
		Releases: []kqadmission.Release{{After: releaseAfter, MilliProcessors: 10_000}}, Waiting: waiting}},
		Queues: map[string]kqadmission.PerQueue{"report": {OverShare: []kqadmission.Segment{{Zone: "z"}}}}}
}

// urgentWork returns waiting work of more urgent queues, in processor-seconds, made of tasks of one
// second on one processor.
func urgentWork(work float64) kqadmission.WaitingWork {
	return kqadmission.WaitingWork{TaskMilliProcessors: 1000, Work: work, MaxRemainingPath: time.Second}
}

func decide(j kqadmission.Job, d *kqadmission.Digest) kqadmission.Decision {
	return kqadmission.Decide(now, j, queue, kqadmission.ReceivedDigest{Digest: d, ReceivedAt: now})
}

// Guards against accepting a job that cannot complete before it has no value: all ten processors
// are busy for an estimated 16 s, more urgent work waits, and the job has no value after 5.25 s.
func TestAJobThatCannotBeWorthAnythingIsAccepted(t *testing.T) {
	g := NewWithT(t)
	d := decide(newJob(now), busyDigest(16*time.Second, urgentWork(50)))
	g.Expect(d.Verdict).To(Equal(kqadmission.Reject), d.String())
	g.Expect(d.Wait).To(BeNumerically(">", 4250*time.Millisecond))
	g.Expect(d.RetryAfter).To(BeNumerically(">=", d.RoomIn))
	g.Expect(d.RoomIn).To(Equal(22600*time.Millisecond), "the runs end after 1.1 times 16 s, and ten processors need 5 s for 50 processor-seconds")
	g.Expect(d.RetryAfter % time.Second).To(BeZero())
	g.Expect(d.String()).To(And(ContainSubstring("cannot start within"), ContainSubstring("retry after")))
}

// Guards against rejecting a job that might still complete in time to have value. In each case the
// digest is missing or unusable, there may be free capacity, or the job is exempt from rejection.
func TestAJobIsRejectedWithoutCertainty(t *testing.T) {
	busy := func() *kqadmission.Digest { return busyDigest(16*time.Second, urgentWork(50)) }
	change := func(c func(*kqadmission.Level)) *kqadmission.Digest { d := busy(); c(&d.Levels[0]); return d }
	for name, c := range map[string]struct {
		digest *kqadmission.Digest
		age    time.Duration
		job    func(*kqadmission.Job)
	}{
		"no digest":                   {},
		"old digest":                  {digest: busy(), age: time.Second + time.Millisecond},
		"digest from the future":      {digest: busy(), age: -time.Second},
		"rejections held":             {digest: func() *kqadmission.Digest { d := busy(); d.RejectionsHeld = true; return d }()},
		"unknown queue":               {digest: func() *kqadmission.Digest { d := busy(); d.Queues = nil; return d }()},
		"level out of range":          {digest: func() *kqadmission.Digest { d := busy(); d.Queues["report"] = kqadmission.PerQueue{Level: 7}; return d }()},
		"another configuration":       {digest: change(func(l *kqadmission.Level) { l.Priority = 0 })},
		"no worker":                   {digest: change(func(l *kqadmission.Level) { l.MilliProcessors = 0 })},
		"no known release":            {digest: change(func(l *kqadmission.Level) { l.Releases = nil })},
		"free capacity for its task":  {digest: change(func(l *kqadmission.Level) { l.MaxWorkerFree = processors(1) })},
		"larger tasks wait":           {digest: busyDigest(8*time.Second, kqadmission.WaitingWork{TaskMilliProcessors: 2000, Work: 500, MaxRemainingPath: time.Second})},
		"late work waits":             {digest: busyDigest(8 * time.Second)},
		"same priority in time waits": {digest: busyDigest(8*time.Second, kqadmission.WaitingWork{TaskMilliProcessors: 1000, SamePriority: true, MinSlack: 32 * time.Second, Work: 500, MaxRemainingPath: time.Second})},
		"within its share":            {digest: func() *kqadmission.Digest { d := busy(); d.Queues["report"] = kqadmission.PerQueue{}; return d }()},
		"another zone's burst":        {digest: busy(), job: func(j *kqadmission.Job) { j.Zone = "y" }},
		"no objective":                {digest: busy(), job: func(j *kqadmission.Job) { j.Objective = 0 }},
		"filling":                     {digest: busy(), job: func(j *kqadmission.Job) { j.Fills = true }},
		"late but has value":          {digest: busyDigest(8*time.Second, urgentWork(1))},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			j := newJob(now)
			if c.job != nil {
				c.job(&j)
			}
			d := kqadmission.Decide(now, j, queue, kqadmission.ReceivedDigest{Digest: c.digest, ReceivedAt: now.Add(-c.age)})
			g.Expect(d.Verdict).NotTo(Equal(kqadmission.Reject), d.String())
			g.Expect(d.String()).NotTo(BeEmpty())
		})
	}
}

// A late job is scheduled after the work of the same priority that can meet its objective, so that
// work counts toward its wait, but only if it stays in time until the job has no value.
func TestWorkInTimeCountsBeforeALateJobOnly(t *testing.T) {
	g := NewWithT(t)
	samePriority := func(slack time.Duration) *kqadmission.Digest {
		return busyDigest(time.Second, kqadmission.WaitingWork{TaskMilliProcessors: 1000, SamePriority: true, MinSlack: slack, Work: 100, MaxRemainingPath: time.Second})
	}
	g.Expect(decide(newJob(now), samePriority(8*time.Second)).Verdict).NotTo(Equal(kqadmission.Reject))
	late := newJob(now.Add(-3 * time.Second))
	g.Expect(decide(late, samePriority(8*time.Second)).Verdict).To(Equal(kqadmission.Reject))
	g.Expect(decide(late, samePriority(time.Second)).Verdict).NotTo(Equal(kqadmission.Reject))
}

// A job that will be late but still has value is deferred, not rejected.
func TestALateJobIsDeferred(t *testing.T) {
	g := NewWithT(t)
	d := decide(newJob(now), busyDigest(4*time.Second, urgentWork(10)))
	g.Expect(d.Verdict).To(Equal(kqadmission.Defer), d.String())
}

// Guards against retries that are not spread over time: jobs rejected at the same time would return
// together and meet the same full queue again.
func TestRejectedJobsComeBackTogether(t *testing.T) {
	g := NewWithT(t)
	d := busyDigest(16*time.Second, urgentWork(50))
	d.Returning = 100
	seconds := map[time.Duration]int{}
	for n := range 1000 {
		j := newJob(now)
		j.ID = fmt.Sprintf("%016x", n)
		x := decide(j, d)
		g.Expect(x.RetryAfter).To(BeNumerically(">=", x.RoomIn))
		g.Expect(decide(j, d)).To(Equal(x), "the same job gets the same answer")
		seconds[x.RetryAfter]++
	}
	g.Expect(len(seconds)).To(BeNumerically(">=", 9))
	for s, n := range seconds {
		g.Expect(n).To(BeNumerically("<", 200), s.String())
	}
}

// pool is an ideal service without fragmentation, in which all work takes only the fraction of its
// estimate that is assumed to be certain.
type pool struct {
	releases []kqadmission.Release
	runTimes []time.Duration
}

// start returns the time until a task of one processor starts after all other work, whose tasks
// take one processor each.
func (p pool) start() time.Duration {
	var freeAt []time.Duration
	for _, e := range p.releases {
		for range e.MilliProcessors / 1000 {
			freeAt = append(freeAt, e.After/2)
		}
	}
	for _, w := range p.runTimes {
		slices.Sort(freeAt)
		freeAt[0] += w * 8 / 10
	}
	return slices.Min(freeAt)
}

// Guards against a bound of the wait that is too high: for random running and waiting work it must
// not exceed the time at which an ideal pool starts the job, and a job that would complete there
// before it has no value must not be rejected.
func TestTheBoundIsAboveAnIdealSchedule(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	rejected := 0
	for range 20_000 {
		var p pool
		at, total := time.Duration(0), int64(0)
		for range 1 + rng.IntN(4) {
			at += time.Duration(rng.IntN(6000)) * time.Millisecond
			n := int64(1 + rng.IntN(5))
			p.releases = append(p.releases, kqadmission.Release{After: at, MilliProcessors: 1000 * n})
			total += n
		}
		w := kqadmission.WaitingWork{TaskMilliProcessors: 1000}
		for range rng.IntN(60) {
			d := time.Duration(100+rng.IntN(2000)) * time.Millisecond
			p.runTimes = append(p.runTimes, d)
			w.Work, w.MaxRemainingPath = w.Work+d.Seconds(), max(w.MaxRemainingPath, d)
		}
		d := busyDigest(0, w)
		d.Levels[0].MilliProcessors, d.Levels[0].Releases = 1000*total, p.releases
		j := newJob(now.Add(-time.Duration(rng.IntN(1500)) * time.Millisecond))
		x := decide(j, d)
		g.Expect(x.Wait).To(BeNumerically("<=", p.start()+time.Microsecond))
		if x.Verdict == kqadmission.Reject {
			rejected++
			g.Expect(now.Add(p.start() + j.CriticalPath)).To(BeTemporally(">", j.FirstAttemptAt.Add(kqflow.ZeroValueFactor*j.Objective)))
		}
	}
	g.Expect(rejected).To(BeNumerically(">", 500), "the bound must be tight enough to reject jobs")
}

// An entry makes this decision for every job of a burst.
func BenchmarkDecide(b *testing.B) {
	d := busyDigest(16 * time.Second)
	l := &d.Levels[0]
	l.Releases = nil
	for n := range 9 {
		l.Releases = append(l.Releases, kqadmission.Release{After: time.Duration(n) * time.Second, MilliProcessors: 1000})
		for m := range 9 {
			l.Waiting = append(l.Waiting, kqadmission.WaitingWork{TaskMilliProcessors: 1000, SamePriority: true, MinSlack: time.Duration(m) * time.Second, Work: 5, MaxRemainingPath: time.Second})
		}
	}
	l.Waiting = append(l.Waiting, urgentWork(500))
	spec := kqflow.Job{ID: "0123456789abcdef", Queue: "report", Steps: []kqflow.Step{{Count: 9, Resources: processors(1), Estimate: time.Second}, {Count: 9, Resources: processors(1), Estimate: time.Second, After: []int{0}}}}
	for b.Loop() {
		kqadmission.Decide(now, kqadmission.NewJob(spec, queue, now, "z"), queue, kqadmission.ReceivedDigest{Digest: d, ReceivedAt: now})
	}
}

// Guards against counting processors as free later than they become free, or much earlier.
func TestAnEndIsCountedLate(t *testing.T) {
	g := NewWithT(t)
	for d := time.Duration(0); d < 3*time.Minute; d += 37 * time.Millisecond {
		b := kqadmission.ReleaseBound(d)
		g.Expect(b).To(BeNumerically("<=", d))
		if d >= 125*time.Millisecond {
			g.Expect(b.Seconds()).To(BeNumerically(">=", 0.8*d.Seconds()), d.String())
		}
		g.Expect(kqadmission.SlackBound(d)).To(BeNumerically("<=", d))
	}
	g.Expect(kqadmission.ReleaseBound(-time.Second)).To(BeZero())
}
