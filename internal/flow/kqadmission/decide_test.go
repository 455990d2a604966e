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

// report is a job of one task of a processor that takes a second: its worth ends 5.25 s after its first attempt.
func report(first time.Time) kqadmission.Job {
	j := kqflow.Job{ID: "j", Queue: queue.Name, Steps: []kqflow.Step{{Count: 2, Resources: processors(1), Estimate: time.Second}}}
	return kqadmission.NewJob(j, queue, first, "z")
}

func processors(n int64) kqmodel.Resources { return kqmodel.Resources{MilliProcessors: 1000 * n} }

// full is a digest in which all processors run work for some time and others wait before the queue.
func full(ends time.Duration, waiting ...kqadmission.WaitingWork) *kqadmission.Digest {
	return &kqadmission.Digest{Levels: []kqadmission.Level{{Service: "s", Priority: 1, MilliProcessors: 10_000,
		Releases: []kqadmission.Release{{After: ends, MilliProcessors: 10_000}}, Waiting: waiting}},
		Queues: map[string]kqadmission.PerQueue{"report": {OverShare: []kqadmission.Segment{{Zone: "z"}}}}}
}

// urgent is work of more urgent queues, in processor-seconds, of tasks of a second.
func urgent(work float64) kqadmission.WaitingWork {
	return kqadmission.WaitingWork{TaskMilliProcessors: 1000, Work: work, MaxRemainingPath: time.Second}
}

func decide(j kqadmission.Job, d *kqadmission.Digest) kqadmission.Decision {
	return kqadmission.Decide(now, j, queue, kqadmission.ReceivedDigest{Digest: d, ReceivedAt: now})
}

// Ten processors are taken for ten seconds and more urgent work waits: a job that is worth nothing after 5.25 s can do
// nothing with a place in the queue.
func TestAJobThatCannotBeWorthAnythingIsAccepted(t *testing.T) {
	g := NewWithT(t)
	d := decide(report(now), full(16*time.Second, urgent(50)))
	g.Expect(d.Verdict).To(Equal(kqadmission.Reject), d.String())
	g.Expect(d.Wait).To(BeNumerically(">", 4250*time.Millisecond))
	g.Expect(d.RetryAfter).To(BeNumerically(">=", d.RoomIn))
	g.Expect(d.RoomIn).To(Equal(22600*time.Millisecond), "the runs end after about 17.6 s and ten processors need 5 s for 50 processor-seconds")
	g.Expect(d.RetryAfter % time.Second).To(BeZero())
	g.Expect(d.String()).To(And(ContainSubstring("cannot start within"), ContainSubstring("retry after")))
}

// Each of these leaves room or doubt, so none may be rejected.
func TestAJobIsRejectedWithoutCertainty(t *testing.T) {
	base := func() *kqadmission.Digest { return full(16*time.Second, urgent(50)) }
	change := func(c func(*kqadmission.Level)) *kqadmission.Digest { d := base(); c(&d.Levels[0]); return d }
	for name, x := range map[string]struct {
		digest *kqadmission.Digest
		age    time.Duration
		job    func(*kqadmission.Job)
	}{
		"no digest":             {},
		"old digest":            {digest: base(), age: time.Second + time.Millisecond},
		"digest of the future":  {digest: base(), age: -time.Second},
		"rejections held":       {digest: func() *kqadmission.Digest { d := base(); d.RejectionsHeld = true; return d }()},
		"unknown queue":         {digest: func() *kqadmission.Digest { d := base(); d.Queues = nil; return d }()},
		"broken level":          {digest: func() *kqadmission.Digest { d := base(); d.Queues["report"] = kqadmission.PerQueue{Level: 7}; return d }()},
		"another configuration": {digest: change(func(l *kqadmission.Level) { l.Priority = 0 })},
		"no worker":             {digest: change(func(l *kqadmission.Level) { l.MilliProcessors = 0 })},
		"nothing known to end":  {digest: change(func(l *kqadmission.Level) { l.Releases = nil })},
		"room for its task":     {digest: change(func(l *kqadmission.Level) { l.MaxWorkerFree = processors(1) })},
		"larger tasks wait":     {digest: full(8*time.Second, kqadmission.WaitingWork{TaskMilliProcessors: 2000, Work: 500, MaxRemainingPath: time.Second})},
		"late work waits":       {digest: full(8 * time.Second)},
		"peers in time wait":    {digest: full(8*time.Second, kqadmission.WaitingWork{TaskMilliProcessors: 1000, SamePriority: true, MinSlack: 32 * time.Second, Work: 500, MaxRemainingPath: time.Second})},
		"within its share":      {digest: func() *kqadmission.Digest { d := base(); d.Queues["report"] = kqadmission.PerQueue{}; return d }()},
		"another zone's burst":  {digest: base(), job: func(j *kqadmission.Job) { j.Zone = "y" }},
		"no objective":          {digest: base(), job: func(j *kqadmission.Job) { j.Objective = 0 }},
		"filling":               {digest: base(), job: func(j *kqadmission.Job) { j.Fills = true }},
		"worth late":            {digest: full(8*time.Second, urgent(1))},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			j := report(now)
			if x.job != nil {
				x.job(&j)
			}
			d := kqadmission.Decide(now, j, queue, kqadmission.ReceivedDigest{Digest: x.digest, ReceivedAt: now.Add(-x.age)})
			g.Expect(d.Verdict).NotTo(Equal(kqadmission.Reject), d.String())
			g.Expect(d.String()).NotTo(BeEmpty())
		})
	}
}

// A job that comes back late is placed after what is in time, so that counts for it, but only what stays in time until the
// job is worth nothing.
func TestWorkInTimeCountsBeforeALateJobOnly(t *testing.T) {
	g := NewWithT(t)
	peers := func(inTime time.Duration) *kqadmission.Digest {
		return full(time.Second, kqadmission.WaitingWork{TaskMilliProcessors: 1000, SamePriority: true, MinSlack: inTime, Work: 100, MaxRemainingPath: time.Second})
	}
	g.Expect(decide(report(now), peers(8*time.Second)).Verdict).NotTo(Equal(kqadmission.Reject))
	late := report(now.Add(-3 * time.Second))
	g.Expect(decide(late, peers(8*time.Second)).Verdict).To(Equal(kqadmission.Reject))
	g.Expect(decide(late, peers(time.Second)).Verdict).NotTo(Equal(kqadmission.Reject))
}

// A job that will be late but is still worth something is stored, and the owner's order defers it.
func TestALateJobIsDeferred(t *testing.T) {
	g := NewWithT(t)
	d := decide(report(now), full(4*time.Second, urgent(10)))
	g.Expect(d.Verdict).To(Equal(kqadmission.Defer), d.String())
}

// Rejected jobs that come back together meet the same full queue again.
func TestRejectedJobsComeBackTogether(t *testing.T) {
	g := NewWithT(t)
	d := full(16*time.Second, urgent(50))
	d.Returning = 100
	seconds := map[time.Duration]int{}
	for n := range 1000 {
		j := report(now)
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

// pool is a service whose processors are served without any loss by packing, with all work at the part of its estimates that is
// taken to be certain.
type pool struct {
	ends []kqadmission.Release
	work []time.Duration
}

// start returns when a task of one processor starts that comes after all work of one processor each.
func (p pool) start() time.Duration {
	var frees []time.Duration
	for _, e := range p.ends {
		for range e.MilliProcessors / 1000 {
			frees = append(frees, e.After/2)
		}
	}
	for _, w := range p.work {
		slices.Sort(frees)
		frees[0] += w * 8 / 10
	}
	return slices.Min(frees)
}

// Whatever runs and waits, the bound must not be above the time at which a pool without any loss would start the job, and a job
// that could end there while it is worth something must not be rejected.
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
			p.ends = append(p.ends, kqadmission.Release{After: at, MilliProcessors: 1000 * n})
			total += n
		}
		w := kqadmission.WaitingWork{TaskMilliProcessors: 1000}
		for range rng.IntN(60) {
			d := time.Duration(100+rng.IntN(2000)) * time.Millisecond
			p.work = append(p.work, d)
			w.Work, w.MaxRemainingPath = w.Work+d.Seconds(), max(w.MaxRemainingPath, d)
		}
		d := full(0, w)
		d.Levels[0].MilliProcessors, d.Levels[0].Releases = 1000*total, p.ends
		j := report(now.Add(-time.Duration(rng.IntN(1500)) * time.Millisecond))
		x := decide(j, d)
		g.Expect(x.Wait).To(BeNumerically("<=", p.start()+time.Microsecond))
		if x.Verdict == kqadmission.Reject {
			rejected++
			g.Expect(now.Add(p.start() + j.CriticalPath)).To(BeTemporally(">", j.FirstAttemptAt.Add(kqflow.ZeroValueFactor*j.Objective)))
		}
	}
	g.Expect(rejected).To(BeNumerically(">", 500), "the bound must be worth something")
}

// The entry decides on every job of a burst.
func BenchmarkDecide(b *testing.B) {
	d := full(16 * time.Second)
	l := &d.Levels[0]
	l.Releases = nil
	for n := range 9 {
		l.Releases = append(l.Releases, kqadmission.Release{After: time.Duration(n) * time.Second, MilliProcessors: 1000})
		for m := range 9 {
			l.Waiting = append(l.Waiting, kqadmission.WaitingWork{TaskMilliProcessors: 1000, SamePriority: true, MinSlack: time.Duration(m) * time.Second, Work: 5, MaxRemainingPath: time.Second})
		}
	}
	l.Waiting = append(l.Waiting, urgent(500))
	spec := kqflow.Job{ID: "0123456789abcdef", Queue: "report", Steps: []kqflow.Step{{Count: 9, Resources: processors(1), Estimate: time.Second}, {Count: 9, Resources: processors(1), Estimate: time.Second, After: []int{0}}}}
	for b.Loop() {
		kqadmission.Decide(now, kqadmission.NewJob(spec, queue, now, "z"), queue, kqadmission.ReceivedDigest{Digest: d, ReceivedAt: now})
	}
}

// Processors that come free must not be counted later than they do, nor much earlier.
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
