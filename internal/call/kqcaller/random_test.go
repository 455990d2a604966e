package kqcaller_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqcaller"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

var (
	seeds     = flag.Int("seeds", 30, "number of seeds of the randomized runs")
	firstSeed = flag.Uint64("first_seed", 1, "the first seed")
)

const (
	runTime     = 20 * time.Second
	drainTime   = 2 * time.Minute
	callTimeout = 6 * time.Second
)

// results collects the outcomes that the callers received.
type results struct {
	mu       sync.Mutex
	answered int
	notRun   map[string]*kqresult.Error
	unknown  int
	wrong    []string
}

// TestRandomFaults sends calls while connections go silent, requests are lost or delayed, agents
// restart, endpoints break off and callers cancel. It fails if a call reported as not run has run,
// if a non-idempotent call runs twice, if an answer without an error differs from the one that was
// sent, if an invariant is violated, or if 400 or fewer of the 600 calls are answered.
func TestRandomFaults(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSimulation(t, seed) })
		})
	}
}

func runSimulation(t *testing.T, seed uint64) {
	g := NewWithT(t)
	sim := newSimulation(seed, 4)
	sim.lossRate, sim.delayRate, sim.silentRate, sim.breakRate = 0.02, 0.03, 0.03, 0.01
	res := &results{notRun: map[string]*kqresult.Error{}}
	ctx, stop := context.WithCancel(context.Background())
	var calls, loops sync.WaitGroup
	loops.Go(func() { announceLoop(ctx, sim) })
	loops.Go(func() { restartAgents(ctx, sim) })
	time.Sleep(time.Second)
	for n := 0; n < 600; n++ {
		time.Sleep(sim.randomBelow(2 * runTime / 600))
		id := fmt.Sprintf("call-%d", n)
		calls.Go(func() { res.call(sim, id, n) })
	}
	calls.Wait()
	time.Sleep(drainTime)
	stop()
	loops.Wait()
	for _, a := range sim.agents {
		a.kill()
		a.dispatcher.Close()
	}
	g.Expect(res.wrong).To(BeEmpty())
	g.Expect(sim.counter.Breaches()).To(BeEmpty())
	for id, e := range res.notRun {
		g.Expect(sim.runCounts[id]).To(BeZero(), "%s was refused with %v and ran", id, e)
	}
	for id, n := range sim.runCounts {
		g.Expect(n <= 1 || !isNonIdempotent(id)).To(BeTrue(), "%s is not idempotent and ran %d times", id, n)
	}
	g.Expect(res.answered).To(BeNumerically(">", 400))
}

// isNonIdempotent reports whether the call with the identifier is not idempotent: the odd numbers.
func isNonIdempotent(id string) bool {
	var n int
	_, _ = fmt.Sscanf(id, "call-%d", &n)
	return n%2 == 1
}

// announceLoop announces every agent each 300 ms. The first agent's endpoint is leaving for 3 of
// every 10 seconds.
func announceLoop(ctx context.Context, sim *simulation) {
	for ctx.Err() == nil {
		sim.mu.Lock()
		agents := append([]*agent(nil), sim.agents...)
		sim.mu.Unlock()
		for i, a := range agents {
			leaving := i == 0 && time.Now().Second()%10 < 3
			a.announce(time.Now(), leaving)
		}
		sim.router.Tick(time.Now())
		time.Sleep(300 * time.Millisecond)
	}
}

// restartAgents replaces a random agent by a new process every 2 to 6 seconds.
func restartAgents(ctx context.Context, sim *simulation) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(2*time.Second + sim.randomBelow(4*time.Second)):
		}
		i := int(sim.randomBelow(time.Duration(len(sim.agents))))
		sim.mu.Lock()
		a := sim.agents[i]
		successor := &agent{simulation: sim, index: i, incarnation: a.incarnation}
		sim.agents[i] = successor
		successor.start()
		sim.mu.Unlock()
		a.kill()
		a.dispatcher.Close()
	}
}

// call sends one call, reads its answer and records the result. Every 17th caller cancels within
// 60 ms.
func (res *results) call(sim *simulation, id string, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if n%17 == 0 {
		time.AfterFunc(sim.randomBelow(60*time.Millisecond), cancel)
	}
	a, err := sim.router.Do(ctx, kqcaller.Request{ID: id, Class: "lockdesk", Idempotent: n%2 == 0, Deadline: time.Now().Add(callTimeout),
		LatencyTarget: 2 * time.Second, Method: "POST", Path: "/unlock"})
	if err == nil {
		var body strings.Builder
		for {
			b, e := a.Next()
			if e != nil {
				err = e
				break
			}
			if b == nil {
				break
			}
			body.Write(b)
		}
		defer a.Close()
		res.check(id, a, body.String(), err)
	}
	res.mu.Lock()
	defer res.mu.Unlock()
	switch {
	case err == nil:
		res.answered++
	case err.Code.NotRun():
		res.notRun[id] = err
	default:
		res.unknown++
	}
}

// check compares a complete answer with the one that the endpoint sent.
func (res *results) check(id string, a *kqcaller.Answer, body string, err *kqresult.Error) {
	if err != nil {
		return
	}
	length := ""
	for _, h := range a.Head.Headers {
		if h.Name == "X-Length" {
			length = h.Values[0]
		}
	}
	if !strings.HasPrefix(body, "answer of "+id) || fmt.Sprint(len(body)) != length {
		res.mu.Lock()
		defer res.mu.Unlock()
		res.wrong = append(res.wrong, fmt.Sprintf("%s got %d of %s bytes: %.30s", id, len(body), length, body))
	}
}
