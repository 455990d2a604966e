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
	seeds     = flag.Int("seeds", 20, "number of seeds that the randomised tests run with")
	firstSeed = flag.Uint64("first_seed", 1, "first seed; the others follow it")
)

const (
	// endTimeout is two leases: the tasks of an unresponsive worker are started elsewhere after
	// one.
	endTimeout = 40 * time.Minute
)

// newRig returns a rig whose workers have 16 processors and 64 GiB each and in which only
// team-1 has a quota, 40 processors and 200 GiB.
func newRig(seed uint64, workers int) *kqrig.Rig {
	return kqrig.New(kqrig.Config{Seed: seed, Workers: workers, Interference: true,
		Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30},
		Quotas:   map[string]kqmodel.Resources{"team-1": {MilliProcessors: 40_000, MemoryBytes: 200 << 30}}})
}

// Guards against faults of the ownership, lease and commit protocols that show only when
// several faults overlap: a task that runs twice, a job that is lost or never ends.
var _ = Describe("random faults", func() {
	It("violate no invariant and lose no job", func() {
		for i := range *seeds {
			seed := *firstSeed + uint64(i)
			r := newRig(seed, 6)
			c := &kqrig.Chaos{Rig: r, MeanInterval: 8 * time.Second, MeanDuration: 20 * time.Second}
			c.Drive(4 * time.Minute)
			Expect(r.RunToEnd(endTimeout)).To(BeEmpty(), "seed %d", seed)
		}
	})
})
