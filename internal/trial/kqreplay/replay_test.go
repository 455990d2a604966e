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
	seeds = flag.Uint64("seeds", 6, "how many seeds each load is played with")
	// parallel is how many replays run at a time.
	parallel = flag.Int("replays", 3, "how many replays run at a time")
)

const (
	// fleet is how many workers of the large fleet are played.
	fleet = 80
	// floor is the least part of a kind of job's worth that the users accept of the
	// large fleet.
	floor = 0.3
)

// target is the part of all worth that the users ask for on days with trouble.
const target = 0.61

// mean is the mean of the results of several seeds.
type mean struct {
	whole, quick, batch, watch float64
	over                       time.Duration
	quickSizes, batchSizes     sizes
	reportSizes                sizes
}

// sizes is the mean part of the jobs of a queue that was served, of all and of
// each size.
type sizes struct {
	all float64
	by  [kqsize.BandCount]float64
}

func (s *sizes) add(of kqreplay.Sizes, weight float64) {
	s.all += of.All().Of() * weight
	for b, c := range of {
		s.by[b] += c.Of() * weight
	}
}

// expectServed asserts that no size of job is served less than half as often as
// the queue.
func (s *sizes) expectServed(g *WithT) {
	for b, share := range s.by {
		g.Expect(share).To(BeNumerically(">=", s.all/2), kqsize.Band(b).String())
	}
}

// play plays a load with several seeds.
func play(t *testing.T, name string, c kqreplay.Config, run func(*kqreplay.Replay) kqreplay.Result) mean {
	var mu sync.Mutex
	var all sync.WaitGroup
	slots := make(chan struct{}, *parallel)
	results := make([]kqreplay.Result, *seeds)
	for seed := range *seeds {
		c := c
		c.Seed = seed
		slots <- struct{}{}
		all.Go(func() {
			r := run(kqreplay.New(c))
			mu.Lock()
			results[seed] = r
			mu.Unlock()
			<-slots
		})
	}
	all.Wait()
	var m mean
	n := float64(*seeds)
	for _, r := range results {
		m.whole += r.Whole() / n
		m.quick += r.Quick.Of() / n
		m.batch += r.Batch.Of() / n
		m.watch += r.Watch.Of() / n
		m.over += r.Over / time.Duration(*seeds)
		m.quickSizes.add(r.QuickSizes, 1/n)
		m.batchSizes.add(r.BatchSizes, 1/n)
		m.reportSizes.add(r.ReportSizes, 1/n)
	}
	t.Logf("%-12s whole %.4f quick %.3f batch %.3f watch %.3f over %s, served quick %.3f, batch %.3f", name, m.whole, m.quick, m.batch, m.watch,
		m.over.Round(100*time.Millisecond), m.quickSizes, m.batchSizes)
	return m
}

func TestAReplayRepeatsItself(t *testing.T) {
	g := NewWithT(t)
	c := kqreplay.Config{Seed: 3, Load: kqreplay.Crowded()}
	g.Expect(kqreplay.New(c).Run()).To(Equal(kqreplay.New(c).Run()))
}

// Most of the room is reserved by serving tasks whose load swings, and most
// images that fill press some image that serves much.
func TestACrowdedCellEarnsWhatTheUsersAskFor(t *testing.T) {
	g := NewWithT(t)
	c := kqreplay.Config{Load: kqreplay.Crowded()}
	ours := play(t, "ours", c, (*kqreplay.Replay).Run)
	first := play(t, "first come", c, (*kqreplay.Replay).RunBaseline)
	bound := play(t, "bound", c, (*kqreplay.Replay).Bound)
	g.Expect(ours.whole).To(BeNumerically(">=", target))
	g.Expect(ours.whole).To(BeNumerically(">", first.whole))
	g.Expect(ours.whole).To(BeNumerically("<=", bound.whole))
}

// What fills must be slowed down where it presses, and what presses must be
// learned, or serving tasks are over their target most of the time.
func TestPacingAndLearningEachEarnTheirKeep(t *testing.T) {
	g := NewWithT(t)
	ours := play(t, "ours", kqreplay.Config{Load: kqreplay.Crowded()}, (*kqreplay.Replay).Run)
	unpaced := play(t, "no pacing", kqreplay.Config{Load: kqreplay.Crowded(), Unpaced: true}, (*kqreplay.Replay).Run)
	unlearned := play(t, "no learning", kqreplay.Config{Load: kqreplay.Crowded(), Unlearned: true}, (*kqreplay.Replay).Run)
	g.Expect(ours.over).To(BeNumerically("<", unpaced.over/2))
	g.Expect(ours.whole).To(BeNumerically(">", unpaced.whole))
	g.Expect(ours.whole).To(BeNumerically(">", unlearned.whole))
}

// Workers that turn slow or are lost take their work with them, but not more.
func TestLossesUnderLoadCostNoMoreThanTheirShare(t *testing.T) {
	g := NewWithT(t)
	load := kqreplay.Crowded()
	calm := play(t, "calm", kqreplay.Config{Load: load}, (*kqreplay.Replay).Run)
	load.Losses = []kqreplay.Loss{{Worker: 2, From: 8 * time.Second, For: 6 * time.Second}, {Worker: 5, From: 15 * time.Second, For: 6 * time.Second}}
	load.Slowdowns = []kqreplay.Slowdown{{Worker: 7, From: 5 * time.Second, For: 8 * time.Second, Factor: 4}}
	struck := play(t, "struck", kqreplay.Config{Load: load}, (*kqreplay.Replay).Run)
	// The workers are away for 12 s, and one works at a quarter for 8 s, of 54 s
	// of 11 workers: twice that may be lost.
	const share = 2 * (12.0 + 8*0.75) / (54 * 11)
	g.Expect(struck.whole).To(BeNumerically(">=", calm.whole-share))
}

// Tasks that stay come until no processor is free, while quick jobs of the same
// priority need a few percent of them.
func TestTasksThatStayTakeTheRoomOfQuickJobs(t *testing.T) {
	g := NewWithT(t)
	ours := play(t, "ours", kqreplay.Config{Load: kqreplay.Filling()}, (*kqreplay.Replay).Run)
	ours.quickSizes.expectServed(g)
	g.Expect(ours.quick).To(BeNumerically(">=", target))
}

// Quick jobs need more room than there is, all the time.
func TestTheLargestJobsStarveWhileRoomIsShort(t *testing.T) {
	g := NewWithT(t)
	overfull := play(t, "overfull", kqreplay.Config{Load: kqreplay.Overfull()}, (*kqreplay.Replay).Run)
	overfull.quickSizes.expectServed(g)
	filled := play(t, "filled", kqreplay.Config{Load: kqreplay.Filled()}, (*kqreplay.Replay).Run)
	filled.quickSizes.expectServed(g)
}

// Tasks of sixteen images stay and reserve most of a large fleet, and each image that
// fills presses most of them: a worker on which several images serve has room for
// hardly any.
func TestServingImagesAreSpreadOverAllWorkers(t *testing.T) {
	g := NewWithT(t)
	ours := play(t, "pressed", kqreplay.Config{Load: kqreplay.Pressed(fleet)}, (*kqreplay.Replay).Run)
	g.Expect(ours.batch).To(BeNumerically(">=", floor))
}

// The owner has a tenth of the processor that it needs for all that it would decide:
// what fills waits for its decisions, and quick jobs do not wait behind it.
func TestAnOwnerThatIsBehindDelaysQuickJobsBehindBatchWork(t *testing.T) {
	g := NewWithT(t)
	c := kqreplay.Config{Seed: 1, Load: kqreplay.Fleet(fleet)}
	full := kqreplay.New(c).Run()
	span := c.Load.Span.Seconds()
	c.Weighing = time.Duration(10 * span / float64(full.Weighed) * float64(time.Second))
	behind := kqreplay.New(c).Run()
	t.Logf("%d weighings, %s each: quick %.3f for %.3f, batch %.3f for %.3f", full.Weighed, c.Weighing, behind.Quick.Of(), full.Quick.Of(), behind.Batch.Of(), full.Batch.Of())
	g.Expect(behind.Quick.Of()).To(BeNumerically(">=", target))
	g.Expect(behind.Quick.Of()).To(BeNumerically(">", behind.Batch.Of()))
}

// Filling jobs need more than serving tasks leave them, all the time.
func TestTheLargestFillingJobsStarve(t *testing.T) {
	g := NewWithT(t)
	ours := play(t, "ours", kqreplay.Config{Load: kqreplay.Overfilled()}, (*kqreplay.Replay).Run)
	ours.batchSizes.expectServed(g)
}
