package kqplan_test

import (
	"cmp"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// zoned is a cell of two zones whose workers report what was started there.
type zoned struct {
	*cell
	events *kqevent.Log
	host   map[kqexecution.Incarnation]string
	at     map[kqexecution.Run]kqexecution.Incarnation
	// since is when each run began, lengths how long the tasks of a job without a percent
	// run; a minute if it is not there.
	since   map[kqexecution.Run]time.Time
	lengths map[string]time.Duration
	// percent is the progress that a task reports whatever time goes by.
	percent map[string]float64
	stopped []time.Duration
	began   time.Time
	ends    map[kqexecution.Incarnation]uint64
}

func newZoned(processors int64) *zoned {
	z := &zoned{events: kqevent.New(kqevent.Config{}), host: map[kqexecution.Incarnation]string{"wa1": "a1", "wa2": "a2", "wb1": "b1", "wb2": "b2"}, at: map[kqexecution.Run]kqexecution.Incarnation{}, since: map[kqexecution.Run]time.Time{}, lengths: map[string]time.Duration{}, percent: map[string]float64{}, ends: map[kqexecution.Incarnation]uint64{}}
	z.cell = newCellWith(kqplan.Config{Epoch: 1, Events: z.events})
	for worker, host := range z.host {
		z.inZone(host, worker, host[:1], processors)
	}
	return z
}

// pass lets time go by; workers report and carry out orders.
func (z *zoned) pass(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); {
		z.now = z.now.Add(100 * time.Millisecond)
		z.tickUntilIdle()
		for _, o := range z.takeOrders() {
			z.carryOut(o)
		}
		for worker, host := range z.host {
			r := kqplan.Report{Worker: worker, Complete: true}
			for k, at := range z.at {
				if at == worker {
					p, ok := z.percent[k.Task]
					if !ok {
						p = 100 * float64(z.now.Sub(z.since[k])) / float64(cmp.Or(z.lengths[k.Task[:1]], time.Minute))
					}
					r.Running = append(r.Running, kqexecution.Running{Run: k, Percent: p})
				}
			}
			z.ApplyReport(z.now, host, r)
			z.LeaseGranted(z.now, host, 7*time.Second)
		}
	}
}

func (z *zoned) carryOut(o kqplan.Order) {
	if !o.Stop {
		z.at[o.Run], z.since[o.Run] = o.Worker, z.now
		return
	}
	z.stopped = append(z.stopped, z.now.Sub(z.began))
	delete(z.at, o.Run)
	z.ends[o.Worker]++
	z.reportEnd(z.host[o.Worker], o.Worker, z.ends[o.Worker], o, kqexecution.HowStopped)
}

// in counts the runs at work in a zone.
func (z *zoned) in(zone string) int {
	n := 0
	for _, worker := range z.at {
		if z.host[worker][:1] == zone {
			n++
		}
	}
	return n
}

// start fills a zone: the other one is evacuated meanwhile, for less than anything is
// moved.
func (z *zoned) start(zone, other string, s kqflow.Submission) {
	z.evacuate(other)
	z.Submit(z.now, s, nil, 0)
	z.pass(2 * time.Second)
	Expect(z.in(other)).To(BeZero())
	z.evacuate()
	z.pass(500 * time.Millisecond)
	z.stopped, z.began = nil, z.now
	z.evacuate(zone)
}

func standing(count, mayMiss int) kqflow.Step {
	s := newStep(count, 1)
	s.LongRunning, s.MaxUnavailable, s.Image = true, mayMiss, "desk"
	return s
}

var _ = Describe("a plan with work in an evacuated zone", func() {
	var z *zoned
	BeforeEach(func() { z = newZoned(16) })
	AfterEach(func() { Expect(z.counter.Breaches()).To(BeEmpty()) })

	long := func(checkpoints bool, d time.Duration) kqflow.Step {
		s := newStep(2, 1)
		s.Estimate, s.Checkpoints = d, checkpoints
		return s
	}

	It("stops nothing in the first ten seconds", func() {
		z.start("a", "b", job("j", "urgent", z.now, long(true, time.Minute)))
		z.pass(9900 * time.Millisecond)
		Expect(z.stopped).To(BeEmpty())
		z.pass(5 * time.Second)
		Expect(z.in("a")).To(BeZero())
		Expect(z.in("b")).To(Equal(2))
		Expect(z.events.AboutJob("j")).To(ContainElement(And(HaveField("Number", kqevent.FlowRunMoved), HaveField("Text", ContainSubstring("zone a is evacuated")))))
	})

	// Workers of the zone may be cold, so that what runs there is slow: that is no reason
	// to stop it while the evacuation may be over soon.
	It("moves nothing that is only slow in the first ten seconds", func() {
		z.lengths["j"] = 5 * time.Minute
		z.start("a", "b", job("j", "urgent", z.now, long(false, 10*time.Second)))
		z.pass(9 * time.Second)
		Expect(z.stopped).To(BeEmpty())
		z.pass(3 * time.Second)
		Expect(z.stopped).NotTo(BeEmpty())
	})

	It("leaves tasks that have no checkpoints", func() {
		z.start("a", "b", job("j", "urgent", z.now, long(false, time.Minute)))
		z.pass(15 * time.Second)
		Expect(z.stopped).To(BeEmpty())
	})

	It("leaves tasks that end soon", func() {
		z.lengths["j"] = 20 * time.Second
		z.start("a", "b", job("j", "urgent", z.now, long(true, z.lengths["j"])))
		z.pass(15 * time.Second)
		Expect(z.stopped).To(BeEmpty())
	})

	It("moves standing tasks one by one, and never more than may be away", func() {
		z.start("a", "b", job("j", "urgent", z.now, standing(4, 1)))
		for _, task := range []string{"j.0.0.0", "j.0.0.1", "j.0.0.2", "j.0.0.3"} {
			z.percent[task] = 100
		}
		z.pass(10*time.Second + 500*time.Millisecond)
		Expect(z.stopped).To(HaveLen(1))
		// The moved task serves again only once its progress is complete.
		for k, worker := range z.at {
			if z.host[worker][:1] == "b" {
				z.percent[k.Task] = 50
			}
		}
		z.pass(6 * time.Second)
		Expect(z.stopped).To(HaveLen(1))
		for task := range z.percent {
			z.percent[task] = 100
		}
		z.pass(10 * time.Second)
		Expect(z.in("b")).To(Equal(4))
		for i := range len(z.stopped) - 1 {
			Expect(z.stopped[i+1] - z.stopped[i]).To(BeNumerically(">=", 2*time.Second))
		}
	})

	It("moves no standing task that may not be away, or while another one is lost", func() {
		z.start("a", "b", job("j", "urgent", z.now, standing(2, 0)))
		z.Submit(z.now, job("k", "urgent", z.now, standing(2, 1)), nil, 0)
		for _, task := range []string{"j.0.0.0", "j.0.0.1", "k.0.0.1"} {
			z.percent[task] = 100
		}
		z.pass(20 * time.Second)
		Expect(z.stopped).To(BeEmpty())
	})

	It("moves nothing where the other zones have no room to spare", func() {
		z.start("a", "b", job("j", "urgent", z.now, standing(2, 1), long(true, time.Minute)))
		for _, task := range []string{"j.0.0.0", "j.0.0.1"} {
			z.percent[task] = 100
		}
		s := newStep(2, 14)
		s.Estimate, z.lengths["k"] = time.Hour, time.Hour
		z.Submit(z.now, job("k", "urgent", z.now, s), nil, 0)
		z.pass(20 * time.Second)
		Expect(z.in("b")).To(Equal(2))
		Expect(z.stopped).To(BeEmpty())
	})

	It("moves a whole gang, if all its members have a place", func() {
		s := long(true, time.Minute)
		s.Gang = true
		z.start("a", "b", job("j", "urgent", z.now, s))
		z.pass(14 * time.Second)
		Expect(z.in("a")).To(BeZero())
		Expect(z.in("b")).To(Equal(2))
	})

	It("says what is left there, and warns of a zone without workers and of all zones at once", func() {
		z.start("a", "b", job("j", "urgent", z.now, standing(2, 0), long(true, time.Minute), long(false, time.Minute)))
		z.evacuate("a", "nowhere")
		z.pass(4 * time.Second)
		left := z.ZoneReport(z.now)
		Expect(left).To(HaveLen(2))
		Expect(left[0]).To(And(HaveField("Zone", "a"), HaveField("Workers", 2), HaveField("Standing", 2), HaveField("Checkpointing", 2), HaveField("Ending", 2)))
		Expect(z.events.Counts()).To(HaveKeyWithValue("zone_doubtful", uint64(1)))
		z.evacuate("a", "b")
		z.pass(4 * time.Second)
		Expect(z.events.Counts()["zone_doubtful"]).To(BeNumerically(">=", 2))
	})
})
