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

// lossy is a store that answers as fast as usual and loses the answers of some writes:
// a channel on which an answer is lost delivers nothing further.
type lossy struct {
	mu  sync.Mutex
	rng *rand.Rand
	// sent is how many attempts came, lost how many of them were not answered.
	sent, lost int
}

func (l *lossy) transact(ctx context.Context, _ kqrows.Tx) (kqrows.Outcome, error) {
	l.mu.Lock()
	l.sent++
	isLost := l.rng.Float64() < 0.35
	if isLost {
		l.lost++
	}
	l.mu.Unlock()
	if isLost {
		<-ctx.Done()
		return kqrows.Outcome{}, kqrows.ErrUnknown
	}
	time.Sleep(4 * time.Millisecond)
	return kqrows.Outcome{Committed: true}, nil
}

// Six commits may be in flight. With a third of the answers lost, attempts that wait for
// a second leave all of them waiting, and each step of a job waits for a commit: the
// slack of the most urgent class is 250 ms.
func TestLostAnswersHoldUpAllCommits(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			l := &lossy{rng: rand.New(rand.NewPCG(seed, 1))}
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
			g.Expect(l.lost).To(BeNumerically(">", 0))
			g.Expect(took/time.Duration(count)).To(BeNumerically("<", 250*time.Millisecond), "seed %d: %d commits", seed, count)
		})
	}
}

// A store that is slow answers writes in order, so that none is overtaken: sending one
// again would only lengthen the queue.
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
