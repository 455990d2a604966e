package kqadmission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
)

// Guards against dating a job from its last rejection: a job that is rejected several times keeps
// the time of its first attempt.
func TestAReturnedJobCountsFromItsLastRejection(t *testing.T) {
	g := NewWithT(t)
	l := kqadmission.NewLedger()
	l.RecordRejected(now, "a", now.Add(-time.Second))
	l.RecordRejected(now.Add(2*time.Second), "a", now.Add(2*time.Second))
	g.Expect(l.Returning(now.Add(3 * time.Second))).To(Equal(1))
	first, ok := l.TakeReturned(now.Add(3*time.Second), "a")
	g.Expect(ok).To(BeTrue())
	g.Expect(first).To(Equal(now.Add(-time.Second)))
	_, ok = l.TakeReturned(now.Add(3*time.Second), "a")
	g.Expect(ok).To(BeFalse())
	g.Expect(l.Returning(now)).To(BeZero())
}

// Guards against a Ledger that grows with the length or the depth of an overload.
func TestALedgerGrowsWithoutBound(t *testing.T) {
	g := NewWithT(t)
	l := kqadmission.NewLedger()
	for n := range 10_000 {
		l.RecordRejected(now, fmt.Sprint(n), now)
		l.MarkUnresolved(now, fmt.Sprint(n))
	}
	g.Expect(l.Returning(now)).To(Equal(4096))
	g.Expect(l.AllUnresolved(now)).To(HaveLen(4096))
	g.Expect(l.UnresolvedFull()).To(BeTrue())
	g.Expect(l.IsUnresolved(now, "9999")).To(BeTrue())
	g.Expect(l.IsUnresolved(now.Add(kqadmission.UnresolvedTTL+1), "9999")).To(BeFalse())
	g.Expect(l.Returning(now.Add(kqadmission.RejectedTTL + 1))).To(BeZero())
	g.Expect(l.AllUnresolved(now.Add(kqadmission.UnresolvedTTL + 1))).To(BeEmpty())
}
