package kqrows_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// lossyStore is a store that responds in the usual time but loses the responses to some
// writes: a connection on which a response is lost delivers nothing more.
type lossyStore struct {
	mu  sync.Mutex
	rng *rand.Rand
	// attempts counts the writes that arrived, and lostResponses those without a response.
	attempts, lostResponses int
}

func (l *lossyStore) transact(ctx context.Context, _ kqrows.Tx) (kqrows.Outcome, error) {
	l.mu.Lock()
	l.attempts++
	isLost := l.rng.Float64() < 0.35
	if isLost {
		l.lostResponses++
	}
	l.mu.Unlock()
	if isLost {
		<-ctx.Done()
		return kqrows.Outcome{}, kqrows.ErrUnknown
	}
	time.Sleep(4 * time.Millisecond)
	return kqrows.Outcome{Committed: true}, nil
}

// Lost responses must not hold up all commits. Up to six commits may be in flight; with a
// third of the responses lost, attempts that time out only after a second keep all six
// waiting. Each step of a job waits for a commit, and the slack of the most urgent class
// is 250 ms.
func TestLostAnswersHoldUpAllCommits(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			l := &lossyStore{rng: rand.New(rand.NewPCG(seed, 1))}
			timed := kqrows.NewTimedStore(kqrows.Store{Transact: l.transact}, time.Now)
			var group sync.WaitGroup
			var mu sync.Mutex
			took, count := time.Duration(0), 0
			began := time.Now()
			for range 6 {
				group.Go(func() {
					for time.Since(began) < 5*time.Second {
						sent := time.Now()
						o, err := timed.Commit(context.Background(), kqrows.Tx{})
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(o.Committed).To(BeTrue())
						mu.Lock()
						took, count = took+time.Since(sent), count+1
						mu.Unlock()
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			group.Wait()
			g.Expect(l.lostResponses).To(BeNumerically(">", 0))
			g.Expect(took/time.Duration(count)).To(BeNumerically("<", 250*time.Millisecond), "seed %d: %d commits", seed, count)
		})
	}
}

// A slow store carries out writes in order, so that no later write is answered first. A write
// that only waits in the queue must not be sent again: that would lengthen the queue.
func TestAWriteThatOnlyWaitsInOrderIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		turn := make(chan struct{}, 1)
		sent := 0
		timed := kqrows.NewTimedStore(kqrows.Store{Transact: func(context.Context, kqrows.Tx) (kqrows.Outcome, error) {
			turn <- struct{}{}
			defer func() { <-turn }()
			sent++
			time.Sleep(320 * time.Millisecond)
			return kqrows.Outcome{Committed: true}, nil
		}}, time.Now)
		var group sync.WaitGroup
		for n := range 3 {
			group.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				_, err := timed.Commit(context.Background(), kqrows.Tx{})
				g.Expect(err).NotTo(HaveOccurred())
			})
		}
		group.Wait()
		g.Expect(sent).To(Equal(3))
	})
}
