package kqrows_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

const (
	usualAnswer = 4 * time.Millisecond
	slowAnswer  = 100 * usualAnswer
	usualLimit  = time.Second
)

// speed is a Speed with its own clock.
type speed struct {
	*kqrows.LatencyTracker
	now time.Time
}

func newSpeed() *speed { return &speed{kqrows.NewLatencyTracker(), time.Unix(1000, 0)} }

// answered has one call answered after a time.
func (s *speed) answered(k kqrows.CallKind, took time.Duration) {
	n := s.RecordSent(s.now, k)
	s.now = s.now.Add(took)
	s.RecordResponse(s.now, n)
}

// Time limits must follow a store that answers slowly, and be the usual ones again with
// its first quick answer.
func TestLimitsStayShortWhileTheStoreIsSlow(t *testing.T) {
	g := NewWithT(t)
	s := newSpeed()
	g.Expect(s.Timeout(usualLimit)).To(Equal(usualLimit))
	s.answered(kqrows.KindRead, usualAnswer)
	g.Expect(s.Timeout(usualLimit)).To(BeNumerically("<", usualLimit+20*time.Millisecond))
	g.Expect(s.IsSlow(s.now)).To(BeFalse())
	s.answered(kqrows.KindRead, slowAnswer)
	g.Expect(s.Timeout(usualLimit)).To(Equal(usualLimit + 3*slowAnswer))
	g.Expect(s.Timeout(2500 * time.Millisecond)).To(Equal(3 * time.Second))
	g.Expect(s.Timeout(4 * time.Second)).To(Equal(4 * time.Second))
	g.Expect(s.IsSlow(s.now)).To(BeTrue())
	s.answered(kqrows.KindWrite, usualAnswer)
	g.Expect(s.Timeout(usualLimit)).To(BeNumerically("<", usualLimit+20*time.Millisecond))
	g.Expect(s.IsSlow(s.now)).To(BeFalse())
}

// A feed that ends its wait late must not make the owner hold writes back and read more.
func TestAFeedThatWaitsLongIsTakenForASlowStore(t *testing.T) {
	g := NewWithT(t)
	s := newSpeed()
	s.answered(kqrows.KindWrite, usualAnswer)
	s.now = s.now.Add(slowAnswer)
	s.RecordFeedDelay(s.now, slowAnswer)
	g.Expect(s.IsSlow(s.now)).To(BeFalse())
	g.Expect(s.Timeout(usualLimit)).To(Equal(usualLimit + 3*slowAnswer))
}

// A call that has waited behind others says little of the store's speed.
func TestAQueuedWriteLengthensLimitsWithoutBound(t *testing.T) {
	g := NewWithT(t)
	s := newSpeed()
	s.answered(kqrows.KindWrite, 20*time.Second)
	g.Expect(s.Timeout(usualLimit)).To(Equal(usualLimit + 1500*time.Millisecond))
}

// An answer to an old call that comes after one to a newer call is not the store's
// speed of now.
func TestALateAnswerIsTakenForThePresentSpeed(t *testing.T) {
	g := NewWithT(t)
	s := newSpeed()
	old := s.RecordSent(s.now, kqrows.KindRead)
	s.now = s.now.Add(slowAnswer)
	s.answered(kqrows.KindRead, usualAnswer)
	s.RecordResponse(s.now, old)
	g.Expect(s.IsSlow(s.now)).To(BeFalse())
	g.Expect(s.Timeout(usualLimit)).To(BeNumerically("<", usualLimit+20*time.Millisecond))
}

// Writes must not be added to a partition that has left one unanswered for long. A
// call that hangs while later ones are answered says nothing of the store.
func TestACallInFlightForLongIsNoSignOfASlowStore(t *testing.T) {
	g := NewWithT(t)
	s := newSpeed()
	s.answered(kqrows.KindWrite, usualAnswer)
	n := s.RecordSent(s.now, kqrows.KindWrite)
	s.now = s.now.Add(200 * time.Millisecond)
	g.Expect(s.IsSlow(s.now)).To(BeTrue())
	g.Expect(s.Timeout(usualLimit)).To(BeNumerically("<", usualLimit+20*time.Millisecond), "silence is no answer")
	s.answered(kqrows.KindWrite, usualAnswer)
	g.Expect(s.IsSlow(s.now)).To(BeFalse())
	s.Discard(n)
	g.Expect(s.IsSlow(s.now)).To(BeFalse())
}

// hung returns after how long a read that is never answered ends, while other reads
// take a time each.
func hung(others time.Duration) time.Duration {
	began := time.Now()
	answer := func(ctx context.Context) ([]kqrows.Row, uint64, error) {
		select {
		case <-time.After(others):
			return nil, 1, nil
		case <-ctx.Done():
			return nil, 0, kqrows.ErrUnknown
		}
	}
	t := kqrows.NewTimedStore(kqrows.Store{Read: func(ctx context.Context, table, _, _ string) ([]kqrows.Row, uint64, error) {
		if table == "hangs" {
			<-ctx.Done()
			return nil, 0, kqrows.ErrUnknown
		}
		return answer(ctx)
	}}, time.Now)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := t.WithTimeout(context.Background(), usualLimit)
		defer cancel()
		_, _, _ = t.Store.Read(ctx, "hangs", "", "")
	}()
	for {
		select {
		case <-done:
			return time.Since(began)
		default:
		}
		_, _, _ = t.Store.Read(context.Background(), "other", "", "")
	}
}

// A connection that has gone silent must be noticed in about a second while the store
// answers others as usual, and not be taken for silent while the store is slow.
func TestASilentConnectionIsNoticedInItsUsualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(hung(usualAnswer)).To(BeNumerically("~", usualLimit, 100*time.Millisecond))
		g.Expect(hung(slowAnswer)).To(BeNumerically("~", usualLimit+3*slowAnswer, slowAnswer+100*time.Millisecond))
	})
}
