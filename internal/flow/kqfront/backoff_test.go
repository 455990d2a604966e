package kqfront_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqfront"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

const (
	callers = 4000
	outage  = 30 * time.Second
	// thinkTime is the time over which callers first come, evenly.
	thinkTime = 10 * time.Second
)

// returns plays callers that come back when they are told until the store is back,
// and returns how many then meet it in its busiest second, and their calls in all.
func returns(after func(out time.Duration) time.Duration) (busiest, calls int) {
	perSecond := map[int]int{}
	for n := range callers {
		at := thinkTime * time.Duration(n) / callers
		for ; at < outage; at += after(at) {
			calls++
		}
		perSecond[int(at/time.Second)]++
	}
	for _, n := range perSecond {
		busiest = max(busiest, n)
	}
	return busiest, calls
}

// Callers that were refused during an outage must not all meet the store in the
// second in which it is back.
func TestAStoreThatIsBackIsMetByAllCallersAtOnce(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	fixed, fixedCalls := returns(func(time.Duration) time.Duration { return time.Second })
	ours, oursCalls := returns(func(out time.Duration) time.Duration { return kqfront.RetryAfter(out, rng.Float64()) })
	g.Expect(fixed).To(Equal(callers))
	g.Expect(ours).To(BeNumerically("<", callers/6))
	g.Expect(oursCalls).To(BeNumerically("<", fixedCalls/4))
}

func TestCallersAreAskedBackLaterTheLongerTheStoreIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newEntry()
		g.Expect(e.RetryAfter()).To(Equal(time.Second), "the store is not out")
		e.store.SetFaults("entry", kqrowstore.Faults{Silent: true})
		e.submit()
		time.Sleep(10 * time.Second)
		g.Expect(e.RetryAfter()).To(And(BeNumerically(">=", 10*time.Second), BeNumerically("<=", 26*time.Second)))
		time.Sleep(time.Hour)
		g.Expect(e.RetryAfter()).To(BeNumerically("<=", 32*time.Second))
		e.store.Heal()
		time.Sleep(2 * time.Second)
		g.Expect(e.RetryAfter()).To(Equal(time.Second), "the store is back")
	})
}
