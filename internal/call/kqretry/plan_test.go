package kqretry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqretry"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "retry plan and budget", suite, reporter)
}

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// callModel tracks what really happened to the attempts of one call.
type callModel struct {
	plan       *kqretry.Plan
	rng        *rand.Rand
	now        time.Time
	open       []uint32
	mayHaveRun map[uint32]bool
	finished   *kqresult.Error
}

var refusals = []kqresult.Code{kqresult.NotRunBusy, kqresult.NotRunOverloaded, kqresult.NotRunDeadline, kqresult.NotRunUnreachable, kqresult.NotRunDraining}

// step ends a random open attempt in a random way, or loses its connection, and carries out the
// plan's next step.
func (m *callModel) step() {
	i := m.rng.IntN(len(m.open))
	a := m.open[i]
	m.now = m.now.Add(time.Duration(m.rng.IntN(50)) * time.Millisecond)
	var s kqretry.Step
	switch m.rng.IntN(5) {
	case 0, 1:
		m.open = append(m.open[:i], m.open[i+1:]...)
		delete(m.mayHaveRun, a)
		s = m.plan.OnNotRun(m.now, a, kqresult.Errorf(refusals[m.rng.IntN(len(refusals))], "refused"))
	case 2, 3:
		s = m.plan.OnConnectionLost(m.now, a)
		if s.Kind != kqretry.StepFetch {
			m.open = append(m.open[:i], m.open[i+1:]...)
		}
	default:
		m.open = append(m.open[:i], m.open[i+1:]...)
		s = m.plan.OnOutcomeUnknown(a, "the outcome cannot be determined")
	}
	switch s.Kind {
	case kqretry.StepDispatch:
		m.dispatch()
	case kqretry.StepFinish:
		m.finished = s.Result
	}
}

func (m *callModel) dispatch() {
	n := m.plan.AddAttempt()
	m.open = append(m.open, n)
	m.mayHaveRun[n] = true
}

var _ = Describe("a call that fails each host that it reaches", func() {
	It("is sent to a third host", func() {
		p := kqretry.NewPlan(kqretry.Config{CallID: "call", Idempotent: true, Deadline: start.Add(time.Minute), SpendRetry: func() bool { return true }})
		p.AddAttempt()
		Expect(p.OnConnectionLost(start, 1).Kind).To(Equal(kqretry.StepDispatch))
		p.AddAttempt()
		for range kqretry.MaxFetches {
			Expect(p.OnConnectionLost(start, 2).Kind).To(Equal(kqretry.StepFetch))
		}
		s := p.OnConnectionLost(start, 2)
		Expect(s.Kind).To(Equal(kqretry.StepFinish))
		Expect(s.Result.Code).To(Equal(kqresult.OutcomeUnknown))
	})
})

var _ = Describe("a plan, with attempts ending in any order", func() {
	It("allows a non-idempotent call one attempt that may run, and reports not_run only if none may have run", func() {
		for seed := uint64(1); seed <= 5000; seed++ {
			rng := rand.New(rand.NewPCG(seed, seed))
			counter := &kqinvariant.Counter{}
			idempotent := seed%2 == 0
			m := &callModel{rng: rng, now: start, mayHaveRun: map[uint32]bool{}, plan: kqretry.NewPlan(kqretry.Config{CallID: "call", Idempotent: idempotent,
				Deadline: start.Add(300 * time.Millisecond), SpendRetry: func() bool { return rng.IntN(4) > 0 }, Counter: counter})}
			m.dispatch()
			for m.finished == nil {
				Expect(len(m.open)).To(BeNumerically(">", 0), "seed %d: no attempt is open and the call has not ended", seed)
				if idempotent && rng.IntN(4) == 0 && m.plan.MayHedge(m.now) {
					m.dispatch()
				}
				m.step()
				if !idempotent {
					Expect(len(m.mayHaveRun)).To(BeNumerically("<=", 1), "seed %d", seed)
				}
			}
			Expect(counter.Breaches()).To(BeEmpty(), "seed %d", seed)
			if m.finished.Code.NotRun() {
				Expect(m.mayHaveRun).To(BeEmpty(), "seed %d: %v", seed, m.finished)
			}
			Expect(m.plan.AttemptCount()).To(BeNumerically("<=", kqretry.MaxAttempts+1), "seed %d", seed)
		}
	})
})

var _ = Describe("a budget", func() {
	It("limits the retries when every call fails", func() {
		b := kqretry.NewBudget(kqretry.DefaultRetryBudget)
		spent := 0
		for i := range 10_000 {
			b.Deposit(start.Add(time.Duration(i) * time.Millisecond))
			if b.Spend() {
				spent++
			}
		}
		// A tenth of 10,000 calls, 2 per second for 10 seconds, and the initial 25 tokens.
		Expect(spent).To(BeNumerically("<=", 1000+20+25))
	})
})
