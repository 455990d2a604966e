package kqrig_test

import (
	"flag"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqrig"
)

var (
	seeds     = flag.Int("seeds", 20, "how many seeds the randomised runs take")
	firstSeed = flag.Uint64("first_seed", 1, "the first seed")
)

const (
	// settleBound is two leases: a silent worker is given up after one.
	settleBound = 40 * time.Minute
)

func newRig(seed uint64, workers int) *kqrig.Rig {
	return kqrig.New(kqrig.Config{Seed: seed, Workers: workers, Interference: true,
		Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30},
		Quotas:   map[string]kqmodel.Resources{"team-1": {MilliProcessors: 40_000, MemoryBytes: 200 << 30}}})
}

var _ = Describe("random faults", func() {
	It("break no promise and lose no job", func() {
		for i := range *seeds {
			seed := *firstSeed + uint64(i)
			r := newRig(seed, 6)
			c := &kqrig.Chaos{Rig: r, Between: 8 * time.Second, Lasting: 20 * time.Second}
			c.Drive(4 * time.Minute)
			Expect(r.Verdict(settleBound)).To(BeEmpty(), "seed %d", seed)
		}
	})
})
