package kqelect_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqelect"
)

func TestElect(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "acquiring a cell", suite, reporter)
}

var _ = Describe("an observer", func() {
	const answer = 4 * time.Millisecond
	begin := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	var o *kqelect.Observer
	BeforeEach(func() { o = kqelect.New(kqelect.Config{Name: "a", Boot: "a1", Candidate: true}) })

	It("acquires a cell without an owner, and a cell owned by an earlier process of its host", func() {
		o.Observe(begin, kqelect.Owner{}, answer)
		Expect(o.Next(begin)).To(Equal(kqelect.ActionAcquire))
		o.Observe(begin, kqelect.Owner{Name: "a", Boot: "a0", Version: 3}, answer)
		Expect(o.Next(begin)).To(Equal(kqelect.ActionAcquire))
	})

	It("dials an owner with a changing heartbeat, also after a failed connection", func() {
		o.Observe(begin, kqelect.Owner{Name: "b", Boot: "b1", Version: 3, HeartbeatVersion: 4}, answer)
		Expect(o.Next(begin)).To(Equal(kqelect.ActionDial))
		o.ConnectFailed()
		o.Observe(at(150*time.Millisecond), kqelect.Owner{Name: "b", Boot: "b1", Version: 3, HeartbeatVersion: 4}, answer)
		Expect(o.Next(at(150 * time.Millisecond))).To(Equal(kqelect.ActionWait))
		o.Observe(at(300*time.Millisecond), kqelect.Owner{Name: "b", Boot: "b1", Version: 3, HeartbeatVersion: 5}, answer)
		Expect(o.Next(at(300 * time.Millisecond))).To(Equal(kqelect.ActionDial))
	})

	It("acquires the cell after a heartbeat timeout, sooner if the owner cannot be reached", func() {
		owner := kqelect.Owner{Name: "b", Boot: "b1", Version: 3, HeartbeatVersion: 4}
		o.Observe(begin, owner, answer)
		o.Observe(at(600*time.Millisecond), owner, answer)
		Expect(o.Next(at(600 * time.Millisecond))).To(Equal(kqelect.ActionDial))
		o.ConnectFailed()
		Expect(o.Next(at(600 * time.Millisecond))).To(Equal(kqelect.ActionAcquire))
		o.Connected()
		o.Observe(at(1200*time.Millisecond), owner, answer)
		Expect(o.Next(at(1200 * time.Millisecond))).To(Equal(kqelect.ActionAcquire))
	})

	It("does not count time during which the store could not be read as time without a heartbeat", func() {
		owner := kqelect.Owner{Name: "b", Boot: "b1", Version: 3, HeartbeatVersion: 4}
		o.Observe(begin, owner, answer)
		o.Observe(at(5*time.Second), owner, answer)
		Expect(o.Next(at(5 * time.Second))).To(Equal(kqelect.ActionDial))
	})

	It("acquires its own cell again if it could not load it", func() {
		o.Observe(begin, kqelect.Owner{Name: "a", Boot: "a1", Version: 3}, answer)
		Expect(o.Next(begin)).To(Equal(kqelect.ActionDial))
		o.ConnectFailed()
		Expect(o.Next(begin)).To(Equal(kqelect.ActionAcquire))
	})

	It("replaces a connected owner only if it reports no confirmation and its heartbeat is stalled", func() {
		owner := kqelect.Owner{Name: "b", Boot: "b1", Version: 3, HeartbeatVersion: 4}
		o.Observe(begin, owner, answer)
		unconfirmed := kqelect.OwnerReport{At: begin, ConfirmationAge: 1200 * time.Millisecond}
		Expect(o.ShouldReplace(begin, unconfirmed)).To(BeFalse())
		o.Observe(at(800*time.Millisecond), owner, answer)
		Expect(o.ShouldReplace(at(800*time.Millisecond), unconfirmed)).To(BeFalse())
		o.Observe(at(850*time.Millisecond), owner, answer)
		Expect(o.ShouldReplace(at(850*time.Millisecond), kqelect.OwnerReport{At: begin})).To(BeFalse())
		Expect(o.ShouldReplace(at(850*time.Millisecond), unconfirmed)).To(BeTrue())
		owner.HeartbeatVersion = 5
		o.Observe(at(900*time.Millisecond), owner, answer)
		Expect(o.ShouldReplace(at(900*time.Millisecond), unconfirmed)).To(BeFalse())
	})

	It("replaces a connected owner whose reports are late only once its heartbeat is stalled", func() {
		owner := kqelect.Owner{Name: "b", Boot: "b1", Version: 3, HeartbeatVersion: 4}
		confirmed := kqelect.OwnerReport{At: begin.Add(-3 * time.Second), ConfirmationAge: 400 * time.Millisecond}
		o.Observe(begin, owner, answer)
		o.Observe(at(600*time.Millisecond), owner, answer)
		Expect(o.ShouldReplace(at(600*time.Millisecond), confirmed)).To(BeFalse())
		o.Observe(at(800*time.Millisecond), owner, answer)
		Expect(o.ShouldReplace(at(800*time.Millisecond), confirmed)).To(BeFalse())
		o.Observe(at(850*time.Millisecond), owner, answer)
		Expect(o.ShouldReplace(at(850*time.Millisecond), confirmed)).To(BeTrue())
	})

	// An owner whose writes are late confirms its ownership by reads and reports that.
	It("does not replace a connected owner that the store has just confirmed by its own report", func() {
		owner := kqelect.Owner{Name: "b", Boot: "b1", Version: 3, HeartbeatVersion: 4}
		o.Observe(begin, owner, answer)
		o.Observe(at(700*time.Millisecond), owner, answer)
		o.Observe(at(1302*time.Millisecond), owner, answer)
		confirmed := kqelect.OwnerReport{At: at(1197 * time.Millisecond), ConfirmationAge: 759 * time.Millisecond}
		Expect(o.ShouldReplace(at(1302*time.Millisecond), confirmed)).To(BeFalse())
	})

	It("does not replace a connected owner because of a report that is out of date", func() {
		owner := kqelect.Owner{Name: "b", Boot: "b1", Version: 3, HeartbeatVersion: 4}
		unconfirmed := kqelect.OwnerReport{At: begin.Add(-time.Second), ConfirmationAge: 1200 * time.Millisecond}
		o.Observe(begin, owner, answer)
		o.Observe(at(450*time.Millisecond), owner, answer)
		Expect(o.ShouldReplace(at(450*time.Millisecond), unconfirmed)).To(BeFalse())
		o.Observe(at(1200*time.Millisecond), owner, answer)
		Expect(o.ShouldReplace(at(1200*time.Millisecond), unconfirmed)).To(BeTrue())
	})

	It("never acquires a cell without being a candidate", func() {
		e := kqelect.New(kqelect.Config{Name: "e", Boot: "e1"})
		e.Observe(begin, kqelect.Owner{}, answer)
		Expect(e.Next(begin)).To(Equal(kqelect.ActionWait))
		e.Observe(at(100*time.Millisecond), kqelect.Owner{Name: "b", Boot: "b1", Version: 3}, answer)
		e.ConnectFailed()
		Expect(e.Next(at(5 * time.Second))).To(Equal(kqelect.ActionDial))
	})
})

var _ = Describe("an epoch history", func() {
	begin := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return begin.Add(d) }

	It("returns when an epoch above another was first read", func() {
		var s kqelect.EpochHistory
		for n, epoch := range []uint64{0, 3, 3, 5, 4} {
			s = s.Record(at(time.Duration(n)*time.Second), epoch)
		}
		for _, x := range []struct {
			epoch uint64
			at    time.Duration
		}{{0, time.Second}, {2, time.Second}, {3, 3 * time.Second}, {4, 3 * time.Second}} {
			first, ok := s.FirstAbove(x.epoch)
			Expect(ok).To(BeTrue())
			Expect(first).To(Equal(at(x.at)), "after epoch %d", x.epoch)
		}
		_, ok := s.FirstAbove(5)
		Expect(ok).To(BeFalse())
	})

	It("drops the oldest epochs, and does not change a history that was returned earlier", func() {
		var s kqelect.EpochHistory
		for n := range uint64(100) {
			s = s.Record(at(time.Duration(n)*time.Second), n+1)
		}
		Expect(len(s)).To(BeNumerically("<", 20))
		kept := slices.Clone(s)
		s.Record(begin, 1000)
		Expect(s).To(Equal(kept))
		first, _ := s.FirstAbove(1)
		Expect(first).To(Equal(s[0].At), "later than the actual time, so that no lease is presumed expired too early")
	})
})
