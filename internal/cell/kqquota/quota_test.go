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

// cell is one cell with what it last read of the allotments and what it holds.
type cell struct {
	name    string
	read    kqquota.Allotments
	version uint64
	used    kqmodel.Resources
}

const key = "allotment/team"

var quota = kqmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 640, Accelerators: 16}

// step lets a cell try one change from what it last read, which may be old.
func (c *cell) step(rng *rand.Rand, table kqtable.Table) {
	next, changed := kqquota.Shrink(c.read, c.name, c.used)
	want := c.used
	if rng.IntN(3) > 0 {
		want = c.used.Add(kqmodel.Resources{MilliProcessors: rng.Int64N(9000), MemoryBytes: rng.Int64N(90), Accelerators: rng.Int64N(3)})
		next, changed = kqquota.Grow(c.read, c.name, want, quota)
	} else if rng.IntN(2) == 0 {
		c.used = kqmodel.Resources{}
		next, changed = kqquota.Shrink(c.read, c.name, c.used)
	}
	if !changed {
		return
	}
	o, err := table.Transact(context.Background(), kqtable.Transaction{Conditions: []kqtable.Condition{{Key: key, Version: c.version}},
		Writes: []kqtable.Write{{Key: key, Value: kqtable.Encode(next)}}})
	Expect(err).NotTo(HaveOccurred())
	if o.Committed {
		c.read, c.version = next, o.Version
		if want.Fits(next.Cells[c.name]) {
			c.used = want
		}
	}
}

func (c *cell) refresh(table kqtable.Table) {
	row, found, err := table.Get(context.Background(), key)
	Expect(err).NotTo(HaveOccurred())
	c.version = row.Version
	if found {
		c.read = kqquota.Allotments{}
		Expect(kqtable.Decode(row, &c.read)).To(Succeed())
	}
}

var _ = Describe("allotments of eight cells that race", func() {
	It("never sum above the quota, nor does what the cells hold", func() {
		for seed := uint64(1); seed <= 200; seed++ {
			rng := rand.New(rand.NewPCG(seed, seed))
			table := kqstore.NewTable(kqfault.New(seed)).Seam()
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
				Expect(held.Fits(quota)).To(BeTrue(), "seed %d: %s held", seed, held)
			}
			c := cells[0]
			c.refresh(table)
			Expect(c.read.Sum().Fits(quota)).To(BeTrue(), "seed %d: %s allotted", seed, c.read.Sum())
		}
	})
})
