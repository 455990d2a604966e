package kqreplay_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqreplay"
)

// movingLoad is a load on which moves are measured.
type movingLoad struct {
	name string
	load kqreplay.Load
}

// movingLoads lists few and many serving images on workers of 16 and of 32
// processors, with the costs of both deployments.
func movingLoads() []movingLoad {
	var out []movingLoad
	for _, cores := range []float64{16, 32} {
		for _, images := range []int{2, 10} {
			out = append(out, movingLoad{fmt.Sprintf("%d-%d-cheap", int(cores), images), kqreplay.Moving(images, cores, kqreplay.CheapMoves)},
				movingLoad{fmt.Sprintf("%d-%d-dear", int(cores), images), kqreplay.Moving(images, cores, kqreplay.DearMoves)})
		}
	}
	return out
}

// estimate is a mean of several seeds with its standard error.
type estimate struct{ mean, err float64 }

func (e estimate) String() string { return fmt.Sprintf("%.4f±%.4f", e.mean, e.err) }

func estimateOf(results []kqreplay.Result, of func(kqreplay.Result) float64) estimate {
	n, sum, squares := float64(len(results)), 0.0, 0.0
	for _, r := range results {
		sum += of(r)
		squares += of(r) * of(r)
	}
	mean := sum / n
	return estimate{mean, math.Sqrt(max(0, squares/n-mean*mean) / max(1, n-1))}
}

// playAll plays a load with several seeds and returns the results in their order.
func playAll(c kqreplay.Config) []kqreplay.Result {
	var all sync.WaitGroup
	slots := make(chan struct{}, *parallel)
	results := make([]kqreplay.Result, *seeds)
	for seed := range *seeds {
		c := c
		c.Seed = seed
		slots <- struct{}{}
		all.Go(func() {
			results[seed] = kqreplay.New(c).Run()
			<-slots
		})
	}
	all.Wait()
	return results
}

// logMoves logs what moves cost and what the filling class earns.
func logMoves(t *testing.T, name string, results []kqreplay.Result) {
	of := func(f func(kqreplay.Result) float64) estimate { return estimateOf(results, f) }
	t.Logf("%-12s whole %s batch %s served %s largest %s moves %s lost %s s", name,
		of(kqreplay.Result.Whole),
		of(func(r kqreplay.Result) float64 { return r.Batch.Of() }),
		of(func(r kqreplay.Result) float64 { return r.BatchSizes.All().Of() }),
		of(func(r kqreplay.Result) float64 { return r.BatchSizes[kqsize.BandLargest].Of() }),
		of(func(r kqreplay.Result) float64 { return float64(r.Moves) }),
		of(func(r kqreplay.Result) float64 { return r.MoveTime.Seconds() }))
	if *each {
		for seed, r := range results {
			t.Logf("each %s %d %.5f %.5f %.5f %.5f %d %.2f", name, seed, r.Whole(), r.Batch.Of(), r.BatchSizes.All().Of(), r.BatchSizes[kqsize.BandLargest].Of(), r.Moves, r.MoveTime.Seconds())
		}
	}
}

// mostMoveTime is the part of the time lost to moves by pace alone that weighed moves may
// lose.
const mostMoveTime = 0.7

// Runs that serving tasks hold back were stopped by their pace alone, whatever the stop,
// the wait for a place and the restoration cost.
func TestMovesCostWhatWaitingCosts(t *testing.T) {
	g := NewWithT(t)
	var weighed, unweighed time.Duration
	earned := 0.0
	for n, l := range movingLoads() {
		if *seeds <= fewSeeds && n%3 != 0 {
			continue
		}
		ours := playAll(kqreplay.Config{Load: l.load})
		logMoves(t, l.name, ours)
		alone := playAll(kqreplay.Config{Load: l.load, Unweighed: true})
		logMoves(t, l.name+"-alone", alone)
		for i := range ours {
			weighed += ours[i].MoveTime
			unweighed += alone[i].MoveTime
			earned += (ours[i].Whole() - alone[i].Whole()) / float64(len(ours))
		}
	}
	g.Expect(weighed).To(BeNumerically("<", time.Duration(mostMoveTime*float64(unweighed))))
	g.Expect(earned).To(BeNumerically(">", -leastPaired), "less worth is no price for fewer moves")
}

const (
	// fewSeeds is up to how many seeds only some of the loads are played.
	fewSeeds = 6
	// leastPaired is about two standard errors of the sum of the differences of three
	// loads with six seeds.
	leastPaired = 0.03
)
