package kqreplay_test

import (
	"math"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqreplay"
)

// The forecast must cost no worth where demand comes in waves; -seeds says with how many seeds that is played.
func TestTheForecastCostsWorth(t *testing.T) {
	g := NewWithT(t)
	const noise = 0.01
	for name, l := range map[string]kqreplay.Load{"tides": kqreplay.Tides(), "flood": kqreplay.Flood()} {
		with, without := results(l, true), results(l, false)
		for part, of := range map[string]func(kqreplay.Result) float64{"whole": kqreplay.Result.Whole,
			"quick": func(r kqreplay.Result) float64 { return r.Quick.Of() }, "watch": func(r kqreplay.Result) float64 { return r.Watch.Of() }} {
			more, deviation := difference(with, without, of)
			mean, _ := difference(without, nil, of)
			t.Logf("%s %s: %.4f, with the forecast %+.4f (standard error %.4f)", name, part, mean, more, deviation)
			if part == "whole" {
				g.Expect(more).To(BeNumerically(">=", -noise), name)
			}
		}
	}
}

// results plays a load with each seed.
func results(l kqreplay.Load, forecasts bool) []kqreplay.Result {
	out := make([]kqreplay.Result, *seeds)
	slots := make(chan struct{}, *parallel)
	var all sync.WaitGroup
	for seed := range out {
		slots <- struct{}{}
		all.Go(func() {
			out[seed] = kqreplay.New(kqreplay.Config{Seed: uint64(seed), Load: l, Forecasts: forecasts}).Run()
			<-slots
		})
	}
	all.Wait()
	return out
}

// difference returns the mean difference of a figure between results of the same seeds, and its standard error.
func difference(a, b []kqreplay.Result, of func(kqreplay.Result) float64) (mean, deviation float64) {
	sum, squares, n := 0.0, 0.0, float64(len(a))
	for i := range a {
		x := of(a[i])
		if b != nil {
			x -= of(b[i])
		}
		sum, squares = sum+x, squares+x*x
	}
	mean = sum / n
	return mean, math.Sqrt(max(0, squares/n-mean*mean) / (n - 1))
}
