package kqreplay_test

import (
	"fmt"
	"testing"

	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqreplay"
)

// BenchmarkOwner plays the load of a large fleet of several sizes and shows what
// the owner's decisions cost: each task that is started, each report that comes
// in, and the share of a processor over the whole of the play.
func BenchmarkOwner(b *testing.B) {
	for _, workers := range []int{20, 40, 80, 160, 400, 1600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			ownerCost(b, kqreplay.Config{Seed: 1, Load: kqreplay.Fleet(workers)})
		})
	}
}

// BenchmarkOwnerWithDigests is the same for an owner that sums up what waits for the entries.
func BenchmarkOwnerWithDigests(b *testing.B) {
	for _, workers := range []int{80, 160} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			ownerCost(b, kqreplay.Config{Seed: 1, Load: kqreplay.Fleet(workers), Admission: true})
		})
	}
}

func ownerCost(b *testing.B, config kqreplay.Config) {
	var c kqreplay.Cost
	for range b.N {
		r := kqreplay.New(config)
		r.Run()
		c = c.Add(r.Cost())
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(c.PerStart().Seconds()*1e6, "µs/start")
	b.ReportMetric(c.PerEvent().Seconds()*1e6, "µs/event")
	b.ReportMetric(100*c.Share(), "%processor")
}
