package kqrows_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// cell is a store of one row that loses requests and answers, carries requests
// out late, and goes silent.
type cell struct {
	rng     *rand.Rand
	value   string
	version uint64
	late    []kqrows.Tx
}

func (c *cell) apply(t kqrows.Tx) kqrows.Outcome {
	if t.Conditions[0].Version != c.version {
		return kqrows.Outcome{Current: []kqrows.Row{{Key: t.Conditions[0].Key, Value: []byte(c.value), Version: c.version}}}
	}
	c.version++
	c.value = string(t.Puts[0].Value)
	return kqrows.Outcome{Committed: true, Version: c.version}
}

func (c *cell) transact(ctx context.Context, t kqrows.Tx) (kqrows.Outcome, error) {
	for _, l := range c.late {
		c.apply(l)
	}
	c.late = nil
	switch c.rng.IntN(7) {
	case 0:
		return kqrows.Outcome{}, kqrows.ErrRefused
	case 1:
		return kqrows.Outcome{}, kqrows.ErrUnknown
	case 2:
		c.apply(t)
		return kqrows.Outcome{}, kqrows.ErrUnknown
	case 3:
		c.late = append(c.late, t)
		return kqrows.Outcome{}, kqrows.ErrUnknown
	case 4:
		<-ctx.Done()
		return kqrows.Outcome{}, kqrows.ErrUnknown
	}
	return c.apply(t), nil
}

// A commit must end although the store loses answers, applies requests late and
// leaves connections silent, and must tell truly whose write took effect.
func TestCommitEndsAndTellsWhoseWriteItWas(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			c := &cell{rng: rand.New(rand.NewPCG(seed, 1)), value: "old", version: 4}
			rival := c.rng.IntN(4) == 0
			if rival {
				c.value, c.version = "rival", 5
			}
			key := kqrows.Key{Table: "t", Name: "r"}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
			defer cancel()
			o, err := kqrows.Commit(ctx, kqrows.Store{Transact: c.transact}, kqrows.Tx{
				Conditions: []kqrows.Condition{{Key: key, Version: 4}}, Puts: []kqrows.Put{{Key: key, Value: []byte("mine")}}})
			g.Expect(err).NotTo(HaveOccurred(), fmt.Sprintf("seed %d", seed))
			g.Expect(o.Committed).To(Equal(!rival), fmt.Sprintf("seed %d", seed))
			g.Expect(c.value == "mine").To(Equal(!rival), fmt.Sprintf("seed %d", seed))
			if o.Committed {
				g.Expect(o.Version).To(Equal(c.version))
			}
		})
	}
}
