package kqreplay_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqreplay"
)

// admissionSeeds is how many seeds each load of these tests is played with.
const admissionSeeds = 3

// misjudged is a load whose callers' estimates are off by a factor of two and more.
func misjudged() kqreplay.Load {
	l := kqreplay.Bursting(8)
	l.Quick.EstimateError, l.Report.EstimateError = 0.9, 0.9
	return l
}

// The entries decide but store what they would reject, so that it shows what that would have earned.
func TestARejectedJobWouldHaveEarned(t *testing.T) {
	rejected := 0
	for name, l := range map[string]kqreplay.Load{"burst": kqreplay.Bursting(3), "deep burst": kqreplay.Bursting(8), "misjudged": misjudged(), "halved": kqreplay.Halved(), "wave": kqreplay.Waving()} {
		for seed := range uint64(admissionSeeds) {
			g := NewWithT(t)
			p := kqreplay.New(kqreplay.Config{Seed: seed, Load: l, Admission: true, Lenient: true})
			r := p.Run().Callers
			t.Logf("%-10s seed %d: of %d jobs %v", name, seed, r.Offered, r.Verdicts)
			rejected += len(r.Rejected)
			for _, id := range r.Rejected {
				g.Expect(p.Earned(id)).To(BeZero(), "%s, seed %d: %s", name, seed, id)
			}
		}
	}
	NewWithT(t).Expect(rejected).To(BeNumerically(">", 50), "the loads must give something to reject")
}

// Rejections must cost no worth, and no size, class or zone more than others.
func TestAdmissionCostsWorth(t *testing.T) {
	for name, l := range map[string]kqreplay.Load{"burst": kqreplay.Bursting(3), "halved": kqreplay.Halved(), "wave": kqreplay.Waving()} {
		g := NewWithT(t)
		off := play(t, name+" off", kqreplay.Config{Load: l}, (*kqreplay.Replay).Run)
		on := play(t, name+" on", kqreplay.Config{Load: l, Admission: true}, (*kqreplay.Replay).Run)
		const noise = 0.005
		g.Expect(on.whole).To(BeNumerically(">=", off.whole-noise), name)
		for b := range kqsize.BandCount {
			g.Expect(on.quickSizes.by[b]).To(BeNumerically(">=", off.quickSizes.by[b]-noise), "%s: quick jobs of size %s", name, b)
			g.Expect(on.reportSizes.by[b]).To(BeNumerically(">=", off.reportSizes.by[b]-noise), "%s: reports of size %s", name, b)
		}
	}
}

// A cell that has lost most of its workers rejects for seconds: callers of every zone bear that, the more urgent class does not,
// and what is rejected finds room when it comes back as told.
func TestRejectionsAreUneven(t *testing.T) {
	g := NewWithT(t)
	l := kqreplay.Halved()
	l.Bursts[0].Factor = 5
	zones, rejected, returned, lost := map[string]int{}, 0, 0, 0
	for seed := range uint64(admissionSeeds) {
		r := kqreplay.New(kqreplay.Config{Seed: seed, Load: l, Admission: true}).Run().Callers
		t.Logf("seed %d: of %d jobs %v, by zone %v, returned %d, longest %s", seed, r.Offered, r.Verdicts, r.Zones, r.Returned, r.Longest)
		for z, n := range r.Zones {
			zones[z] += n
		}
		rejected, returned, lost = rejected+r.Verdicts[kqadmission.Reject], returned+r.Returned, lost+len(r.Rejected)-r.Pending
		g.Expect(r.Queues).To(HaveLen(1))
		g.Expect(r.Queues).To(HaveKey(kqreplay.QueueReport))
	}
	g.Expect(rejected).To(BeNumerically(">", 30))
	for z, n := range zones {
		g.Expect(n).To(BeNumerically("<", rejected/2), z)
	}
	g.Expect(lost).To(BeNumerically("<=", returned/20))
}

// Quick jobs come eight times as often, and reports as usual: reports wait behind them, but none is rejected.
func TestAClassPaysForTheBurstOfAnother(t *testing.T) {
	g := NewWithT(t)
	l := kqreplay.Bursting(8)
	l.Bursts[0].All, l.Bursts[0].Queue = false, kqreplay.QueueQuick
	for seed := range uint64(admissionSeeds) {
		r := kqreplay.New(kqreplay.Config{Seed: seed, Load: l, Admission: true}).Run().Callers
		t.Logf("seed %d: of %d jobs %v", seed, r.Offered, r.Verdicts)
		g.Expect(r.Verdicts[kqadmission.Reject]).To(BeZero())
	}
}
