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

// flakyStore is a store of one row that loses requests and responses, applies requests
// late, and leaves requests without a response.
type flakyStore struct {
	rng     *rand.Rand
	value   string
	version uint64
	delayed []kqrows.Tx
}

func (c *flakyStore) apply(t kqrows.Tx) kqrows.Outcome {
	if t.Conditions[0].Version != c.version {
		return kqrows.Outcome{Current: []kqrows.Row{{Key: t.Conditions[0].Key, Value: []byte(c.value), Version: c.version}}}
	}
	c.version++
	c.value = string(t.Puts[0].Value)
	return kqrows.Outcome{Committed: true, Version: c.version}
}

func (c *flakyStore) transact(ctx context.Context, t kqrows.Tx) (kqrows.Outcome, error) {
	for _, l := range c.delayed {
		c.apply(l)
	}
	c.delayed = nil
	switch c.rng.IntN(7) {
	case 0:
		return kqrows.Outcome{}, kqrows.ErrRefused
	case 1:
		return kqrows.Outcome{}, kqrows.ErrUnknown
	case 2:
		c.apply(t)
		return kqrows.Outcome{}, kqrows.ErrUnknown
	case 3:
		c.delayed = append(c.delayed, t)
		return kqrows.Outcome{}, kqrows.ErrUnknown
	case 4:
		<-ctx.Done()
		return kqrows.Outcome{}, kqrows.ErrUnknown
	}
	return c.apply(t), nil
}

// A commit must end even if the store loses responses, applies requests late or stops
// responding, and must report correctly whether its own write or a rival's was applied.
func TestCommitEndsAndTellsWhoseWriteItWas(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			c := &flakyStore{rng: rand.New(rand.NewPCG(seed, 1)), value: "old", version: 4}
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
