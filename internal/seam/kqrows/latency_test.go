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
	usualResponse = 4 * time.Millisecond
	slowResponse  = 100 * usualResponse
	usualTimeout  = time.Second
)

// tracker is a LatencyTracker with its own clock.
type tracker struct {
	*kqrows.LatencyTracker
	now time.Time
}

func newTracker() *tracker { return &tracker{kqrows.NewLatencyTracker(), time.Unix(1000, 0)} }

// roundTrip records a call that is answered after a time.
func (s *tracker) roundTrip(k kqrows.CallKind, took time.Duration) {
	n := s.RecordSent(s.now, k)
	s.now = s.now.Add(took)
	s.RecordResponse(s.now, n)
}

// Timeouts must grow while the store responds slowly, or every call would time out, and must
// return to their usual values with the first quick response.
func TestLimitsStayShortWhileTheStoreIsSlow(t *testing.T) {
	g := NewWithT(t)
	s := newTracker()
	g.Expect(s.Timeout(usualTimeout)).To(Equal(usualTimeout))
	s.roundTrip(kqrows.KindRead, usualResponse)
	g.Expect(s.Timeout(usualTimeout)).To(BeNumerically("<", usualTimeout+20*time.Millisecond))
	g.Expect(s.IsSlow(s.now)).To(BeFalse())
	s.roundTrip(kqrows.KindRead, slowResponse)
	g.Expect(s.Timeout(usualTimeout)).To(Equal(usualTimeout + 3*slowResponse))
	g.Expect(s.Timeout(2500 * time.Millisecond)).To(Equal(3 * time.Second))
	g.Expect(s.Timeout(4 * time.Second)).To(Equal(4 * time.Second))
	g.Expect(s.IsSlow(s.now)).To(BeTrue())
	s.roundTrip(kqrows.KindWrite, usualResponse)
	g.Expect(s.Timeout(usualTimeout)).To(BeNumerically("<", usualTimeout+20*time.Millisecond))
	g.Expect(s.IsSlow(s.now)).To(BeFalse())
}

// A feed that ends its wait late must not make the store count as slow: the owner would hold
// back writes and read more.
func TestAFeedThatWaitsLongIsTakenForASlowStore(t *testing.T) {
	g := NewWithT(t)
	s := newTracker()
	s.roundTrip(kqrows.KindWrite, usualResponse)
	s.now = s.now.Add(slowResponse)
	s.RecordFeedDelay(s.now, slowResponse)
	g.Expect(s.IsSlow(s.now)).To(BeFalse())
	g.Expect(s.Timeout(usualTimeout)).To(Equal(usualTimeout + 3*slowResponse))
}

// A call that waited behind other calls took longer than the store needs to respond, so its
// duration must not lengthen timeouts without bound.
func TestAQueuedWriteLengthensLimitsWithoutBound(t *testing.T) {
	g := NewWithT(t)
	s := newTracker()
	s.roundTrip(kqrows.KindWrite, 20*time.Second)
	g.Expect(s.Timeout(usualTimeout)).To(Equal(usualTimeout + 1500*time.Millisecond))
}

// A response to an old call that arrives after the response to a newer call does not show
// the present response time and must not be counted.
func TestALateAnswerIsTakenForThePresentSpeed(t *testing.T) {
	g := NewWithT(t)
	s := newTracker()
	old := s.RecordSent(s.now, kqrows.KindRead)
	s.now = s.now.Add(slowResponse)
	s.roundTrip(kqrows.KindRead, usualResponse)
	s.RecordResponse(s.now, old)
	g.Expect(s.IsSlow(s.now)).To(BeFalse())
	g.Expect(s.Timeout(usualTimeout)).To(BeNumerically("<", usualTimeout+20*time.Millisecond))
}

// A write that stays unanswered for long must make the store count as slow, so that no more
// writes are sent to the partition. A call that hangs while later calls are answered must
// not.
func TestACallInFlightForLongIsNoSignOfASlowStore(t *testing.T) {
	g := NewWithT(t)
	s := newTracker()
	s.roundTrip(kqrows.KindWrite, usualResponse)
	n := s.RecordSent(s.now, kqrows.KindWrite)
	s.now = s.now.Add(200 * time.Millisecond)
	g.Expect(s.IsSlow(s.now)).To(BeTrue())
	g.Expect(s.Timeout(usualTimeout)).To(BeNumerically("<", usualTimeout+20*time.Millisecond), "a missing response must not lengthen timeouts")
	s.roundTrip(kqrows.KindWrite, usualResponse)
	g.Expect(s.IsSlow(s.now)).To(BeFalse())
	s.Discard(n)
	g.Expect(s.IsSlow(s.now)).To(BeFalse())
}

// hungReadDuration returns the time after which a read that is never answered times out
// while other reads take responseTime each.
func hungReadDuration(responseTime time.Duration) time.Duration {
	startedAt := time.Now()
	respond := func(ctx context.Context) ([]kqrows.Row, uint64, error) {
		select {
		case <-time.After(responseTime):
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
		return respond(ctx)
	}}, time.Now)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := t.WithTimeout(context.Background(), usualTimeout)
		defer cancel()
		_, _, _ = t.Store.Read(ctx, "hangs", "", "")
	}()
	for {
		select {
		case <-done:
			return time.Since(startedAt)
		default:
		}
		_, _, _ = t.Store.Read(context.Background(), "other", "", "")
	}
}

// A connection that has stopped responding must be detected after about a second while the
// store answers other calls in the usual time. While the store is slow, the same call must
// get more time, so that a slow response is not mistaken for a dead connection.
func TestASilentConnectionIsNoticedInItsUsualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(hungReadDuration(usualResponse)).To(BeNumerically("~", usualTimeout, 100*time.Millisecond))
		g.Expect(hungReadDuration(slowResponse)).To(BeNumerically("~", usualTimeout+3*slowResponse, slowResponse+100*time.Millisecond))
	})
}
