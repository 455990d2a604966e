package kqplan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// A standing task must be back at work 6 s after its last run, and may be away
// for 3 s beyond that.
const standingAway = 9 * time.Second

// A worker leaves with its agent, and the owner changes twice before anything of
// it is stored: the second owner waits for the lease that the first owner of the
// three may have granted, since the middle one has granted none.
func TestASecondTakeoverWaitsAnewForTheLeaseOfALeftWorker(t *testing.T) {
	g := NewWithT(t)
	first := newCell(1)
	first.addHost("h1", "w1", 8)
	s := newStep(1, 1)
	s.LongRunning = true
	submission := job("watch", "urgent", first.now, s)
	first.Submit(first.now, submission, nil, 0)
	first.now = first.now.Add(time.Second)
	first.LeaseGranted(first.now, "h1", 7*time.Second)
	first.tickUntilIdle()
	g.Expect(first.takeOrders()).To(HaveLen(1))
	left, record := first.now, first.records["watch"]

	var owner *cell
	for n, taken := range []time.Time{left.Add(500 * time.Millisecond), left.Add(3 * time.Second)} {
		owner = newCellWith(kqplan.Config{Epoch: uint64(n + 2), AcquiredAt: taken,
			PriorGrantsUntil: func(string) time.Time { return left.Add(500 * time.Millisecond) }})
		r := record
		owner.Submit(owner.now, kqflow.Submission{Job: submission.Job}, &r, 1)
		owner.addHost("h2", "w2", 8)
		owner.tickUntilIdle()
		g.Expect(owner.takeOrders()).To(BeEmpty())
	}
	owner.now = left.Add(standingAway)
	owner.LeaseGranted(owner.now, "h2", 7*time.Second)
	owner.tickUntilIdle()
	g.Expect(owner.takeOrders()).To(HaveLen(1))
}
