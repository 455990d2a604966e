package kqplan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// maxDowntime is the longest time for which a long-running task may be down: it must run again
// 6 s after its last run ended, and may take 3 s beyond that.
const maxDowntime = 9 * time.Second

// An earlier owner granted a lease until shortly before the takeover; the new owner grants a shorter one,
// because its own confirmation is older, and starts a run. Guards against giving that run up while the
// earlier lease lasts: a worker ends no run before the latest of its leases.
func TestAShorterLeaseEndsTheWaitForAnEarlierOne(t *testing.T) {
	g := NewWithT(t)
	const lease = 7 * time.Second
	acquiredAt := time.Unix(1000, 0)
	c := newCellWith(kqplan.Config{Epoch: 2, AcquiredAt: acquiredAt, PriorGrantsUntil: func(string) time.Time { return acquiredAt }})
	s := newStep(1, 1)
	s.LongRunning = true
	c.Submit(c.now, job("watch", "urgent", c.now, s), nil, 0)
	c.addHostWithLease("h1", "w1", 8, lease-2*time.Second)
	c.now = acquiredAt.Add(time.Second)
	c.tickUntilIdle()
	g.Expect(c.takeOrders()).To(HaveLen(1))
	c.AgentDisconnected(c.now, "h1")
	c.now = acquiredAt.Add(lease)
	c.tickUntilIdle()
	g.Expect(c.records["watch"].Tasks[0].Runs).To(HaveLen(1))
}

// A worker and its agent disappear, and the owner changes twice before anything is stored. Each
// new owner must wait for a lease that the first owner may have granted. The last owner must
// count that lease from the time after which no owner granted one, not from its own
// acquisition, since the owner in between granted none; otherwise the task would be down for
// too long.
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
	lastGrantAt, record := first.now, first.records["watch"]

	var owner *cell
	for n, acquiredAt := range []time.Time{lastGrantAt.Add(500 * time.Millisecond), lastGrantAt.Add(3 * time.Second)} {
		owner = newCellWith(kqplan.Config{Epoch: uint64(n + 2), AcquiredAt: acquiredAt,
			PriorGrantsUntil: func(string) time.Time { return lastGrantAt.Add(500 * time.Millisecond) }})
		r := record
		owner.Submit(owner.now, kqflow.Submission{Job: submission.Job}, &r, 1)
		owner.addHost("h2", "w2", 8)
		owner.tickUntilIdle()
		g.Expect(owner.takeOrders()).To(BeEmpty())
	}
	owner.now = lastGrantAt.Add(maxDowntime)
	owner.LeaseGranted(owner.now, "h2", 7*time.Second)
	owner.tickUntilIdle()
	g.Expect(owner.takeOrders()).To(HaveLen(1))
}

// An agent reconnects with the next incarnation of its worker, and its lease request waits until the store no
// longer lists the host as one that is granted nothing. Guards against a run that is started there without a
// lease, which lapses at once and counts as a start.
func TestARunIsPlacedOnAHostWhoseLeaseIsWithheld(t *testing.T) {
	g := NewWithT(t)
	c := newCell(1)
	c.addHost("h1", "w1", 8)
	c.AgentDisconnected(c.now, "h1")
	c.WithholdLease("h1")
	c.UpdateWorker(c.now, "h1", kqplan.WorkerInfo{Worker: "w2", Service: "s", Capacity: kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 1 << 40}})
	c.ApplyReport(c.now, "h1", kqplan.Report{Worker: "w2", Complete: true})
	c.AgentConnected(c.now, "h1")
	c.Submit(c.now, job("a", "urgent", c.now, newStep(1, 1)), nil, 0)
	c.tickUntilIdle()
	g.Expect(c.takeOrders()).To(BeEmpty())
	c.LeaseGranted(c.now, "h1", 7*time.Second)
	c.tickUntilIdle()
	g.Expect(c.takeOrders()).To(HaveLen(1))
}
