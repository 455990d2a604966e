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
	// arrivalSpan is the time over which the first calls of all callers are spread evenly.
	arrivalSpan = 10 * time.Second
)

// simulateRetries simulates callers that retry after the returned delay until the store is
// available again. It returns the number of calls in the busiest second after that, and of all
// refused calls.
func simulateRetries(retryAfter func(outage time.Duration) time.Duration) (busiest, calls int) {
	perSecond := map[int]int{}
	for n := range callers {
		at := arrivalSpan * time.Duration(n) / callers
		for ; at < outage; at += retryAfter(at) {
			calls++
		}
		perSecond[int(at/time.Second)]++
	}
	for _, n := range perSecond {
		busiest = max(busiest, n)
	}
	return busiest, calls
}

// Guards against callers that were refused during an outage and all retry in the second in which
// the store is available again.
func TestAStoreThatIsBackIsMetByAllCallersAtOnce(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	fixed, fixedCalls := simulateRetries(func(time.Duration) time.Duration { return time.Second })
	jittered, jitteredCalls := simulateRetries(func(outage time.Duration) time.Duration { return kqfront.RetryAfter(outage, rng.Float64()) })
	g.Expect(fixed).To(Equal(callers))
	g.Expect(jittered).To(BeNumerically("<", callers/6))
	g.Expect(jitteredCalls).To(BeNumerically("<", fixedCalls/4))
}

func TestCallersAreAskedBackLaterTheLongerTheStoreIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newEntry()
		g.Expect(e.RetryAfter()).To(Equal(time.Second), "the store is available")
		e.store.SetFaults("entry", kqrowstore.Faults{Silent: true})
		e.submit()
		time.Sleep(10 * time.Second)
		g.Expect(e.RetryAfter()).To(And(BeNumerically(">=", 10*time.Second), BeNumerically("<=", 26*time.Second)))
		time.Sleep(time.Hour)
		g.Expect(e.RetryAfter()).To(BeNumerically("<=", 32*time.Second))
		e.store.ClearFaults()
		time.Sleep(2 * time.Second)
		g.Expect(e.RetryAfter()).To(Equal(time.Second), "the store is available again")
	})
}
