package kqquota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqquota"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqstore"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "quota over cells", suite, reporter)
}

// cell is one cell, with the allotments that it last read and the resources that it uses.
type cell struct {
	name     string
	lastRead kqquota.Allotments
	version  uint64
	used     kqmodel.Resources
}

const key = "allotment/team"

var quota = kqmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 640, Accelerators: 16}

// step makes the cell try one change of the allotments that it last read, which may be stale.
func (c *cell) step(rng *rand.Rand, table kqtable.Table) {
	next, changed := kqquota.Shrink(c.lastRead, c.name, c.used)
	want := c.used
	if rng.IntN(3) > 0 {
		want = c.used.Add(kqmodel.Resources{MilliProcessors: rng.Int64N(9000), MemoryBytes: rng.Int64N(90), Accelerators: rng.Int64N(3)})
		next, changed = kqquota.Grow(c.lastRead, c.name, want, quota)
	} else if rng.IntN(2) == 0 {
		c.used = kqmodel.Resources{}
		next, changed = kqquota.Shrink(c.lastRead, c.name, c.used)
	}
	if !changed {
		return
	}
	o, err := table.Transact(context.Background(), kqtable.Transaction{Conditions: []kqtable.Condition{{Key: key, Version: c.version}},
		Writes: []kqtable.Write{{Key: key, Value: kqtable.Encode(next)}}})
	Expect(err).NotTo(HaveOccurred())
	if o.Committed {
		c.lastRead, c.version = next, o.Version
		if want.FitsIn(next.Cells[c.name]) {
			c.used = want
		}
	}
}

func (c *cell) refresh(table kqtable.Table) {
	row, found, err := table.Get(context.Background(), key)
	Expect(err).NotTo(HaveOccurred())
	c.version = row.Version
	if found {
		c.lastRead = kqquota.Allotments{}
		Expect(kqtable.Decode(row, &c.lastRead)).To(Succeed())
	}
}

var _ = Describe("allotments of eight cells with concurrent writes", func() {
	It("never exceed the quota in sum, nor does the usage of the cells", func() {
		for seed := uint64(1); seed <= 200; seed++ {
			rng := rand.New(rand.NewPCG(seed, seed))
			table := kqstore.NewTable(kqfault.New(seed)).Client()
			cells := make([]*cell, 8)
			for i := range cells {
				cells[i] = &cell{name: fmt.Sprint("cell-", i)}
			}
			for range 400 {
				c := cells[rng.IntN(len(cells))]
				if rng.IntN(2) == 0 {
					c.refresh(table)
				}
				c.step(rng, table)
				var held kqmodel.Resources
				for _, o := range cells {
					held = held.Add(o.used)
				}
				Expect(held.FitsIn(quota)).To(BeTrue(), "seed %d: %s used", seed, held)
			}
			c := cells[0]
			c.refresh(table)
			Expect(c.lastRead.Sum().FitsIn(quota)).To(BeTrue(), "seed %d: %s allotted", seed, c.lastRead.Sum())
		}
	})
})
