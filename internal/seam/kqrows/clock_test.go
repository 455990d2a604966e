package kqrows_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// A store takes long before and after it reads its clock. Guards against conversions that take a time for
// earlier than it is, or that go by a reading which is too old.
func TestTimesOnTheStoresClockAreTakenForEarlier(t *testing.T) {
	for _, c := range []struct{ before, after time.Duration }{{0, 0}, {300 * time.Millisecond, 0}, {0, 300 * time.Millisecond}, {time.Second, time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			began := time.Now()
			timed := kqrows.NewTimedStore(kqrows.Store{Transact: func(context.Context, kqrows.Tx) (kqrows.Outcome, error) {
				time.Sleep(c.before)
				o := kqrows.Outcome{Committed: true, Clock: time.Hour + time.Since(began)}
				time.Sleep(c.after)
				return o, nil
			}}, time.Now)
			_, ok := timed.ClockAt(time.Now())
			g.Expect(ok).To(BeFalse())
			_, _ = timed.Store.Transact(context.Background(), kqrows.Tx{})
			for _, d := range []time.Duration{-5 * time.Second, 0, time.Second} {
				at := time.Now().Add(d)
				clock, ok := timed.ClockAt(at)
				g.Expect(ok).To(BeTrue())
				g.Expect(clock - time.Hour - at.Sub(began)).To(Equal(c.before))
				local, ok := timed.TimeOf(time.Hour + at.Sub(began))
				g.Expect(ok).To(BeTrue())
				g.Expect(local.Sub(at)).To(Equal(c.after))
			}
			time.Sleep(3 * time.Second)
			_, ok = timed.ClockAt(time.Now())
			g.Expect(ok).To(BeFalse())
		})
	}
}
