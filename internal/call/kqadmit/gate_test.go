package kqadmit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqadmit"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "admission", suite, reporter)
}

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

func newGate(c *kqinvariant.Counter) *kqadmit.Gate {
	return kqadmit.New(kqadmit.Config{Slots: 4, Connections: 12, FirstServiceTime: 20 * time.Millisecond, Counter: c})
}

var _ = Describe("a gate", func() {
	It("loses no call and exceeds neither its slots nor its connections in any order of events", func() {
		for seed := uint64(1); seed <= 500; seed++ {
			rng := rand.New(rand.NewPCG(seed, seed))
			counter := &kqinvariant.Counter{}
			g, now := newGate(counter), start
			running, waiting := map[string]bool{}, map[string]bool{}
			applyFinish := func(next, expired []string) {
				for _, id := range next {
					Expect(waiting[id]).To(BeTrue())
					delete(waiting, id)
					running[id] = true
				}
				for _, id := range expired {
					Expect(waiting[id]).To(BeTrue())
					delete(waiting, id)
				}
			}
			for i := range 300 {
				now = now.Add(time.Duration(rng.IntN(8)) * time.Millisecond)
				id := fmt.Sprint("call-", i)
				switch rng.IntN(4) {
				case 0, 1:
					switch g.Admit(now, kqadmit.Request{ID: id, Deadline: now.Add(time.Duration(rng.IntN(200)) * time.Millisecond), Background: rng.IntN(3) == 0,
						NoQueue: rng.IntN(5) == 0, LatencyTarget: time.Duration(rng.IntN(2)) * 150 * time.Millisecond}).Verdict {
					case kqadmit.Run:
						running[id] = true
					case kqadmit.Wait:
						waiting[id] = true
					}
				case 2:
					for id := range running {
						delete(running, id)
						applyFinish(g.Finish(now, id))
						break
					}
				case 3:
					for id := range waiting {
						Expect(g.CancelQueued(id)).To(BeTrue())
						delete(waiting, id)
						break
					}
				}
				l := g.Load()
				Expect(l.Running).To(Equal(len(running)), "seed %d", seed)
				Expect(l.Queued).To(Equal(len(waiting)), "seed %d", seed)
			}
			Expect(counter.Breaches()).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("starts latency-critical calls before background calls", func() {
		g := newGate(nil)
		far := start.Add(time.Minute)
		for i := range 4 {
			g.Admit(start, kqadmit.Request{ID: fmt.Sprint("running-", i), Deadline: far})
		}
		g.Admit(start, kqadmit.Request{ID: "background", Deadline: far, Background: true})
		g.Admit(start, kqadmit.Request{ID: "urgent", Deadline: far})
		next, _ := g.Finish(start.Add(time.Millisecond), "running-0")
		Expect(next).To(Equal([]string{"urgent"}))
	})

	It("refuses calls that could not be answered in time, with a retry time", func() {
		g := newGate(nil)
		for i := range 8 {
			g.Admit(start, kqadmit.Request{ID: fmt.Sprint(i), Deadline: start.Add(time.Minute)})
		}
		d := g.Admit(start, kqadmit.Request{ID: "late", Deadline: start.Add(10 * time.Millisecond)})
		Expect(d.Refusal.Code).To(Equal(kqresult.NotRunDeadline))
		Expect(d.Refusal.RetryAfter).To(BeNumerically(">", 0))
		d = g.Admit(start, kqadmit.Request{ID: "target", Deadline: start.Add(time.Minute), LatencyTarget: 25 * time.Millisecond})
		Expect(d.Refusal.Code).To(Equal(kqresult.NotRunOverloaded))
		g.Drain()
		d = g.Admit(start, kqadmit.Request{ID: "leaving", Deadline: start.Add(time.Minute)})
		Expect(d.Refusal.Code).To(Equal(kqresult.NotRunDraining))
	})
})
