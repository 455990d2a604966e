package kqreplay_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqreplay"
)

// admissionSeedCount is the number of seeds with which each load is replayed.
const admissionSeedCount = 3

// inaccurateEstimates returns a load in which the callers' estimates of run times are off by a factor
// of two and more.
func inaccurateEstimates() kqreplay.Load {
	l := kqreplay.BurstLoad(8)
	l.Quick.EstimateError, l.Report.EstimateError = 0.9, 0.9
	return l
}

// An entry may reject only jobs that would earn nothing. To check this, the entries decide, but
// rejected jobs run anyway.
func TestARejectedJobWouldHaveEarned(t *testing.T) {
	rejected := 0
	for name, l := range map[string]kqreplay.Load{"burst": kqreplay.BurstLoad(3), "deep burst": kqreplay.BurstLoad(8), "misjudged": inaccurateEstimates(), "halved": kqreplay.WorkerLossLoad(), "wave": kqreplay.PeriodicLoad()} {
		for seed := range uint64(admissionSeedCount) {
			g := NewWithT(t)
			p := kqreplay.New(kqreplay.Config{Seed: seed, Load: l, Admission: true, AcceptRejected: true})
			r := p.Run().Admission
			t.Logf("%-10s seed %d: of %d jobs %v", name, seed, r.Jobs, r.Verdicts)
			rejected += len(r.RejectedJobs)
			for _, id := range r.RejectedJobs {
				g.Expect(p.EarnedShare(id)).To(BeZero(), "%s, seed %d: %s", name, seed, id)
			}
		}
	}
	NewWithT(t).Expect(rejected).To(BeNumerically(">", 50), "the loads must cause rejections")
}

// Rejections must not reduce the earned value, and must not reduce the served fraction of any size
// band of either queue.
func TestAdmissionCostsWorth(t *testing.T) {
	for name, l := range map[string]kqreplay.Load{"burst": kqreplay.BurstLoad(3), "halved": kqreplay.WorkerLossLoad(), "wave": kqreplay.PeriodicLoad()} {
		g := NewWithT(t)
		off := runSeeds(t, name+" off", kqreplay.Config{Load: l}, (*kqreplay.Replay).Run)
		on := runSeeds(t, name+" on", kqreplay.Config{Load: l, Admission: true}, (*kqreplay.Replay).Run)
		const noise = 0.005
		g.Expect(on.earned).To(BeNumerically(">=", off.earned-noise), name)
		for b := range kqsize.BandCount {
			g.Expect(on.quickServed.byBand[b]).To(BeNumerically(">=", off.quickServed.byBand[b]-noise), "%s: quick jobs of size %s", name, b)
			g.Expect(on.reportServed.byBand[b]).To(BeNumerically(">=", off.reportServed.byBand[b]-noise), "%s: reports of size %s", name, b)
		}
	}
}

// A cell that has lost most of its workers rejects jobs for seconds. The rejections must be spread
// over the callers of all zones and must not affect the queue with the higher priority, and nearly
// all jobs that are submitted again after the given time must be accepted.
func TestRejectionsAreUneven(t *testing.T) {
	g := NewWithT(t)
	l := kqreplay.WorkerLossLoad()
	l.Bursts[0].RateFactor = 5
	rejectedByZone, rejected, acceptedOnRetry, neverAccepted := map[string]int{}, 0, 0, 0
	for seed := range uint64(admissionSeedCount) {
		r := kqreplay.New(kqreplay.Config{Seed: seed, Load: l, Admission: true}).Run().Admission
		t.Logf("seed %d: of %d jobs %v, by zone %v, accepted on retry %d, longest retry time %s", seed, r.Jobs, r.Verdicts, r.RejectedByZone, r.AcceptedOnRetry, r.MaxRetryAfter)
		for z, n := range r.RejectedByZone {
			rejectedByZone[z] += n
		}
		rejected, acceptedOnRetry, neverAccepted = rejected+r.Verdicts[kqadmission.Reject], acceptedOnRetry+r.AcceptedOnRetry, neverAccepted+len(r.RejectedJobs)-r.PendingRetries
		g.Expect(r.RejectedByQueue).To(HaveLen(1))
		g.Expect(r.RejectedByQueue).To(HaveKey(kqreplay.QueueReport))
	}
	g.Expect(rejected).To(BeNumerically(">", 30))
	for z, n := range rejectedByZone {
		g.Expect(n).To(BeNumerically("<", rejected/2), z)
	}
	g.Expect(neverAccepted).To(BeNumerically("<=", acceptedOnRetry/20))
}

// A burst of one queue must not cause rejections in another: quick jobs arrive eight times as often,
// report jobs as usual. Report jobs wait behind them, but no job is rejected.
func TestAClassPaysForTheBurstOfAnother(t *testing.T) {
	g := NewWithT(t)
	l := kqreplay.BurstLoad(8)
	l.Bursts[0].AllQueues, l.Bursts[0].Queue = false, kqreplay.QueueQuick
	for seed := range uint64(admissionSeedCount) {
		r := kqreplay.New(kqreplay.Config{Seed: seed, Load: l, Admission: true}).Run().Admission
		t.Logf("seed %d: of %d jobs %v", seed, r.Jobs, r.Verdicts)
		g.Expect(r.Verdicts[kqadmission.Reject]).To(BeZero())
	}
}
