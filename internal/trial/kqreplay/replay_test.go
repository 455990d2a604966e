package kqreplay_test

import (
	"flag"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqreplay"
)

var (
	seeds    = flag.Uint64("seeds", 6, "number of seeds with which each load is replayed")
	parallel = flag.Int("replays", 3, "number of replays that run at the same time")
)

const (
	// testFleetWorkers is the number of workers to which the load of the large fleet is scaled.
	testFleetWorkers = 80
	// minBatchValue is the minimum fraction of the value of a kind of job that the users accept for the
	// large fleet.
	minBatchValue = 0.3
)

// minEarnedValue is the fraction of the possible value that the users require on days with faults.
const minEarnedValue = 0.61

// meanResult is the mean of the results of several seeds. Values are fractions of the possible value.
type meanResult struct {
	earned, quick, batch, watch float64
	overTarget                  time.Duration
	quickServed, batchServed    servedFractions
	reportServed                servedFractions
}

// servedFractions is the mean fraction of the jobs of a queue that was served, in total and by size
// band.
type servedFractions struct {
	total  float64
	byBand [kqsize.BandCount]float64
}

func (s *servedFractions) add(served kqreplay.ServedByBand, weight float64) {
	s.total += served.Total().Fraction() * weight
	for b, c := range served {
		s.byBand[b] += c.Fraction() * weight
	}
}

// expectAllBandsServed asserts that in each size band the served fraction is at least half of that of
// the whole queue.
func (s *servedFractions) expectAllBandsServed(g *WithT) {
	for b, fraction := range s.byBand {
		g.Expect(fraction).To(BeNumerically(">=", s.total/2), kqsize.Band(b).String())
	}
}

// runSeeds replays a load with each seed and returns the mean of the results.
func runSeeds(t *testing.T, name string, c kqreplay.Config, run func(*kqreplay.Replay) kqreplay.Result) meanResult {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, *parallel)
	results := make([]kqreplay.Result, *seeds)
	for seed := range *seeds {
		c := c
		c.Seed = seed
		slots <- struct{}{}
		wg.Go(func() {
			r := run(kqreplay.New(c))
			mu.Lock()
			results[seed] = r
			mu.Unlock()
			<-slots
		})
	}
	wg.Wait()
	var mean meanResult
	n := float64(*seeds)
	for _, r := range results {
		mean.earned += r.EarnedFraction() / n
		mean.quick += r.Quick.Fraction() / n
		mean.batch += r.Batch.Fraction() / n
		mean.watch += r.Watch.Fraction() / n
		mean.overTarget += r.OverTargetByFilling / time.Duration(*seeds)
		mean.quickServed.add(r.QuickByBand, 1/n)
		mean.batchServed.add(r.BatchByBand, 1/n)
		mean.reportServed.add(r.ReportByBand, 1/n)
	}
	t.Logf("%-24s earned %.4f quick %.3f batch %.3f watch %.3f over target %s, served quick %.3f, batch %.3f", name, mean.earned, mean.quick, mean.batch, mean.watch,
		mean.overTarget.Round(100*time.Millisecond), mean.quickServed, mean.batchServed)
	return mean
}

// Guards against decisions that depend on chance, such as the iteration order of a map: the same
// seed must give the same result.
func TestAReplayRepeatsItself(t *testing.T) {
	g := NewWithT(t)
	c := kqreplay.Config{Seed: 3, Load: kqreplay.ContendedLoad()}
	g.Expect(kqreplay.New(c).Run()).To(Equal(kqreplay.New(c).Run()))
}

// Serving tasks with varying load reserve most of the capacity, and most filling images interfere
// strongly with some serving image. The planner must earn what the users require, and more than the
// baseline.
func TestACrowdedCellEarnsWhatTheUsersAskFor(t *testing.T) {
	g := NewWithT(t)
	c := kqreplay.Config{Load: kqreplay.ContendedLoad()}
	planned := runSeeds(t, "ours", c, (*kqreplay.Replay).Run)
	baseline := runSeeds(t, "first come, first served", c, (*kqreplay.Replay).RunBaseline)
	upperBound := runSeeds(t, "bound", c, (*kqreplay.Replay).UpperBound)
	g.Expect(planned.earned).To(BeNumerically(">=", minEarnedValue))
	g.Expect(planned.earned).To(BeNumerically(">", baseline.earned))
	g.Expect(planned.earned).To(BeNumerically("<=", upperBound.earned))
}

// Filling tasks must be throttled where they interfere, and their interference must be learned:
// otherwise serving tasks are over their latency target most of the time.
func TestPacingAndLearningEachEarnTheirKeep(t *testing.T) {
	g := NewWithT(t)
	planned := runSeeds(t, "ours", kqreplay.Config{Load: kqreplay.ContendedLoad()}, (*kqreplay.Replay).Run)
	noPacing := runSeeds(t, "no pacing", kqreplay.Config{Load: kqreplay.ContendedLoad(), NoPacing: true}, (*kqreplay.Replay).Run)
	noLearning := runSeeds(t, "no learning", kqreplay.Config{Load: kqreplay.ContendedLoad(), NoLearning: true}, (*kqreplay.Replay).Run)
	g.Expect(planned.overTarget).To(BeNumerically("<", noPacing.overTarget/2))
	g.Expect(planned.earned).To(BeNumerically(">", noPacing.earned))
	g.Expect(planned.earned).To(BeNumerically(">", noLearning.earned))
}

// A worker that is slow or lost must cost no more than the work that it would have done, with a
// margin of a factor of two.
func TestLossesUnderLoadCostNoMoreThanTheirShare(t *testing.T) {
	g := NewWithT(t)
	load := kqreplay.ContendedLoad()
	undisturbed := runSeeds(t, "calm", kqreplay.Config{Load: load}, (*kqreplay.Replay).Run)
	load.Losses = []kqreplay.WorkerLoss{{Worker: 2, Start: 8 * time.Second, Duration: 6 * time.Second}, {Worker: 5, Start: 15 * time.Second, Duration: 6 * time.Second}}
	load.Slowdowns = []kqreplay.Slowdown{{Worker: 7, Start: 5 * time.Second, Duration: 8 * time.Second, Factor: 4}}
	disturbed := runSeeds(t, "struck", kqreplay.Config{Load: load}, (*kqreplay.Replay).Run)
	// Two workers are lost for 6 s each, 12 s in total, and one works at a quarter of its speed for
	// 8 s, out of 54 s of 11 workers. Twice that share may be lost.
	const maxLoss = 2 * (12.0 + 8*0.75) / (54 * 11)
	g.Expect(disturbed.earned).To(BeNumerically(">=", undisturbed.earned-maxLoss))
}

// Workers are lost by themselves under a load that needs all of them. Guards against trials of the tasks
// that had just started there which cost the load more than a deployment may fall by.
func TestTrialsAfterLossesCostTheLoad(t *testing.T) {
	const maxFall = 0.03
	load := kqreplay.ContendedLoad()
	for n := range 8 {
		load.Losses = append(load.Losses, kqreplay.WorkerLoss{Worker: n, Start: time.Duration(4+5*n) * time.Second, Duration: 3 * time.Second})
	}
	untried := runSeeds(t, "losses", kqreplay.Config{Load: load}, (*kqreplay.Replay).Run)
	tried := runSeeds(t, "losses, reported", kqreplay.Config{Load: load, ReportCrashes: true}, (*kqreplay.Replay).Run)
	NewWithT(t).Expect(tried.earned).To(BeNumerically(">=", untried.earned-maxFall))
}

// Long-running tasks arrive until no processor is free, while quick jobs of the same priority need a
// sixth of the processors. Guards against long-running tasks that take all free capacity, so that
// quick jobs of some sizes are no longer served.
func TestTasksThatStayTakeTheRoomOfQuickJobs(t *testing.T) {
	g := NewWithT(t)
	planned := runSeeds(t, "ours", kqreplay.Config{Load: kqreplay.LongRunningGrowth()}, (*kqreplay.Replay).Run)
	planned.quickServed.expectAllBandsServed(g)
	g.Expect(planned.quick).To(BeNumerically(">=", minEarnedValue))
}

// All the time, quick jobs need more than the free capacity. Guards against starvation of the largest
// of them, whose tasks wait while smaller jobs take the capacity that becomes free.
func TestTheLargestJobsStarveWhileRoomIsShort(t *testing.T) {
	g := NewWithT(t)
	overloaded := runSeeds(t, "overfull", kqreplay.Config{Load: kqreplay.QuickOverload()}, (*kqreplay.Replay).Run)
	overloaded.quickServed.expectAllBandsServed(g)
	longRunningFull := runSeeds(t, "filled", kqreplay.Config{Load: kqreplay.LongRunningFull()}, (*kqreplay.Replay).Run)
	longRunningFull.quickServed.expectAllBandsServed(g)
}

// Long-running tasks of sixteen images reserve most of a large fleet, and each filling image
// interferes with most of them. If the planner spread serving images over all workers, a worker with
// several of them would have headroom for hardly any filling image.
func TestServingImagesAreSpreadOverAllWorkers(t *testing.T) {
	g := NewWithT(t)
	planned := runSeeds(t, "pressed", kqreplay.Config{Load: kqreplay.HighInterferenceFleet(testFleetWorkers)}, (*kqreplay.Replay).Run)
	g.Expect(planned.batch).To(BeNumerically(">=", minBatchValue))
}

// The owner has a tenth of the processor time that it needs for all its decisions. Filling jobs then
// wait to be scheduled, but quick jobs must not wait behind them.
func TestAnOwnerThatIsBehindDelaysQuickJobsBehindBatchWork(t *testing.T) {
	g := NewWithT(t)
	c := kqreplay.Config{Seed: 1, Load: kqreplay.FleetLoad(testFleetWorkers)}
	onTime := kqreplay.New(c).Run()
	span := c.Load.ArrivalSpan.Seconds()
	c.ScoringTime = time.Duration(10 * span / float64(onTime.CandidatesScored) * float64(time.Second))
	behind := kqreplay.New(c).Run()
	t.Logf("%d candidates scored, %s each: quick %.3f instead of %.3f, batch %.3f instead of %.3f", onTime.CandidatesScored, c.ScoringTime, behind.Quick.Fraction(), onTime.Quick.Fraction(), behind.Batch.Fraction(), onTime.Batch.Fraction())
	g.Expect(behind.Quick.Fraction()).To(BeNumerically(">=", minEarnedValue))
	g.Expect(behind.Quick.Fraction()).To(BeNumerically(">", behind.Batch.Fraction()))
}

// All the time, filling jobs need more capacity than serving tasks leave them. Guards against
// starvation of the largest of them.
func TestTheLargestFillingJobsStarve(t *testing.T) {
	g := NewWithT(t)
	planned := runSeeds(t, "ours", kqreplay.Config{Load: kqreplay.FillingOverload()}, (*kqreplay.Replay).Run)
	planned.batchServed.expectAllBandsServed(g)
}
