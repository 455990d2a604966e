package kqreplay_test

import (
	"fmt"
	"testing"

	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqreplay"
)

// BenchmarkOwner replays the load of the large fleet at several sizes and reports the cost of the
// owner's decisions: the time per started run and per event, which is a report or a lease grant, and
// the share of a processor over the whole replay.
func BenchmarkOwner(b *testing.B) {
	for _, workers := range []int{20, 40, 80, 160, 400, 1600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			reportOwnerCost(b, kqreplay.Config{Seed: 1, Load: kqreplay.FleetLoad(workers)})
		})
	}
}

// BenchmarkOwnerWithDigests is BenchmarkOwner with an owner that also computes load digests for the
// entries.
func BenchmarkOwnerWithDigests(b *testing.B) {
	for _, workers := range []int{80, 160} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			reportOwnerCost(b, kqreplay.Config{Seed: 1, Load: kqreplay.FleetLoad(workers), Admission: true})
		})
	}
}

func reportOwnerCost(b *testing.B, config kqreplay.Config) {
	var cost kqreplay.Cost
	for range b.N {
		r := kqreplay.New(config)
		r.Run()
		cost = cost.Add(r.Cost())
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(cost.PerStart().Seconds()*1e6, "µs/start")
	b.ReportMetric(cost.PerEvent().Seconds()*1e6, "µs/event")
	b.ReportMetric(100*cost.ProcessorShare(), "%processor")
}
