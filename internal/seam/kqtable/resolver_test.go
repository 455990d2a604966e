package kqtable_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqstore"
)

func TestTable(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "writes whose responses are lost", suite, reporter)
}

// lossyTable is a table that loses the response to an applied write, loses writes before they
// are applied, is unavailable at times, and lets a rival write in between.
type lossyTable struct {
	kqtable.Table
	rng        *rand.Rand
	writeRival func()
}

func (l *lossyTable) transact(ctx context.Context, t kqtable.Transaction) (kqtable.Outcome, error) {
	switch l.rng.IntN(5) {
	case 0:
		return kqtable.Outcome{}, kqtable.ErrUnavailable
	case 1:
		return kqtable.Outcome{}, kqtable.ErrUnknown
	case 2:
		_, _ = l.Table.Transact(ctx, t)
		if l.rng.IntN(3) == 0 {
			l.writeRival()
		}
		return kqtable.Outcome{}, kqtable.ErrUnknown
	}
	return l.Table.Transact(ctx, t)
}

func (l *lossyTable) get(ctx context.Context, key string) (kqtable.Row, bool, error) {
	if l.rng.IntN(3) == 0 {
		return kqtable.Row{}, false, kqtable.ErrUnavailable
	}
	return l.Table.Get(ctx, key)
}

var _ = Describe("a resolver", func() {
	It("reports a write as committed only if it was applied, and applies it at most once", func() {
		ctx := context.Background()
		for seed := uint64(1); seed <= 2000; seed++ {
			rng := rand.New(rand.NewPCG(seed, seed))
			table := kqstore.NewTable(kqfault.New(seed)).Client()
			write := func(version uint64, value string) kqtable.Transaction {
				return kqtable.Transaction{Conditions: []kqtable.Condition{{Key: "marker", Version: version}},
					Writes: []kqtable.Write{{Key: "marker", Value: []byte(value)}, {Key: value, Value: []byte(value)}}}
			}
			rival := func() {
				row, _, err := table.Get(ctx, "marker")
				Expect(err).NotTo(HaveOccurred())
				_, err = table.Transact(ctx, write(row.Version, "rival"))
				Expect(err).NotTo(HaveOccurred())
			}
			l := &lossyTable{Table: table, rng: rng, writeRival: rival}
			r := kqtable.Resolver{Table: kqtable.Table{Get: l.get, Transact: l.transact}, Wait: func(context.Context, time.Duration) {}}
			if rng.IntN(4) == 0 {
				rival()
			}
			o, err := r.Commit(ctx, write(0, "mine"), "marker")
			_, mine, _ := table.Get(ctx, "mine")
			marker, _, _ := table.Get(ctx, "marker")
			overtaken := string(marker.Value) == "rival"
			switch {
			case err != nil:
				Expect(err).To(Equal(kqtable.ErrUnavailable), "seed %d", seed)
				Expect(mine).To(BeFalse(), "seed %d: reported as not applied, but was applied", seed)
			case o.Committed:
				Expect(mine).To(BeTrue(), "seed %d: reported as committed, but was not applied", seed)
			default:
				Expect(!mine || overtaken).To(BeTrue(), "seed %d: reported as overtaken, but no other write was made", seed)
			}
		}
	})
})
