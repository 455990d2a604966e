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
	seeds     = flag.Int("seeds", 30, "how many seeds the randomised runs take")
	firstSeed = flag.Uint64("first_seed", 1, "the first seed")
)

const (
	runTime  = 20 * time.Second
	settle   = 2 * time.Minute
	deadline = 6 * time.Second
)

// verdicts is what the callers were told.
type verdicts struct {
	mu       sync.Mutex
	answered int
	notRun   map[string]*kqresult.Error
	unknown  int
	wrong    []string
}

// TestRandomFaults sends calls while connections go silent, requests are lost
// or late, agents die, endpoints break off and callers leave.
func TestRandomFaults(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, seed) })
		})
	}
}

func run(t *testing.T, seed uint64) {
	g := NewWithT(t)
	w := newWorld(seed, 4)
	w.loss, w.late, w.silent, w.broken = 0.02, 0.03, 0.03, 0.01
	v := &verdicts{notRun: map[string]*kqresult.Error{}}
	ctx, stop := context.WithCancel(context.Background())
	var calls, loops sync.WaitGroup
	loops.Go(func() { announce(ctx, w) })
	loops.Go(func() { disturb(ctx, w) })
	time.Sleep(time.Second)
	for n := 0; n < 600; n++ {
		time.Sleep(w.upTo(2 * runTime / 600))
		id := fmt.Sprintf("call-%d", n)
		calls.Go(func() { v.call(w, id, n) })
	}
	calls.Wait()
	time.Sleep(settle)
	stop()
	loops.Wait()
	for _, a := range w.agents {
		a.kill()
		a.dispatcher.Close()
	}
	g.Expect(v.wrong).To(BeEmpty())
	g.Expect(w.counter.Breaches()).To(BeEmpty())
	for id, e := range v.notRun {
		g.Expect(w.begun[id]).To(BeZero(), "%s was refused with %v and ran", id, e)
	}
	for id, n := range w.begun {
		g.Expect(n <= 1 || !oddly(id)).To(BeTrue(), "%s is not idempotent and ran %d times", id, n)
	}
	g.Expect(v.answered).To(BeNumerically(">", 400))
}

// oddly reports whether the call of an identifier is not idempotent.
func oddly(id string) bool {
	var n int
	_, _ = fmt.Sscanf(id, "call-%d", &n)
	return n%2 == 1
}

func announce(ctx context.Context, w *world) {
	for ctx.Err() == nil {
		w.mu.Lock()
		agents := append([]*agent(nil), w.agents...)
		w.mu.Unlock()
		for i, a := range agents {
			leaving := i == 0 && time.Now().Second()%10 < 3
			a.announce(time.Now(), leaving)
		}
		w.caller.Tick(time.Now())
		time.Sleep(300 * time.Millisecond)
	}
}

// disturb restarts an agent now and then.
func disturb(ctx context.Context, w *world) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(2*time.Second + w.upTo(4*time.Second)):
		}
		i := int(w.upTo(time.Duration(len(w.agents))))
		w.mu.Lock()
		a := w.agents[i]
		next := &agent{world: w, index: i, life: a.life}
		w.agents[i] = next
		next.start()
		w.mu.Unlock()
		a.kill()
		a.dispatcher.Close()
	}
}

// call sends one call and checks what comes of it. Some callers leave early.
func (v *verdicts) call(w *world, id string, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if n%17 == 0 {
		time.AfterFunc(w.upTo(60*time.Millisecond), cancel)
	}
	a, err := w.caller.Do(ctx, kqcaller.Request{ID: id, Class: "lockdesk", Idempotent: n%2 == 0, Deadline: time.Now().Add(deadline),
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
		v.check(id, a, body.String(), err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case err == nil:
		v.answered++
	case err.Code.NotRun():
		v.notRun[id] = err
	default:
		v.unknown++
	}
}

// check compares a whole answer with what the endpoint sent.
func (v *verdicts) check(id string, a *kqcaller.Answer, body string, err *kqresult.Error) {
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
		v.mu.Lock()
		defer v.mu.Unlock()
		v.wrong = append(v.wrong, fmt.Sprintf("%s got %d of %s bytes: %.30s", id, len(body), length, body))
	}
}
