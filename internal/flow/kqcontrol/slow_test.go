package kqcontrol_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// stallingStore is a store that, once isStalled is set, takes 300 ms for a read and never
// answers a write.
type stallingStore struct {
	rows      *kqrowstore.Store
	isStalled bool
}

func (b *stallingStore) store() kqrows.Store {
	s := b.rows.Client("owner")
	transact, read := s.Transact, s.Read
	s.Transact = func(ctx context.Context, t kqrows.Tx) (kqrows.Outcome, error) {
		if b.isStalled {
			<-ctx.Done()
			return kqrows.Outcome{}, kqrows.ErrUnknown
		}
		return transact(ctx, t)
	}
	s.Read = func(ctx context.Context, table, from, to string) ([]kqrows.Row, uint64, error) {
		if b.isStalled {
			kqtable.Sleep(ctx, 300*time.Millisecond)
		}
		return read(ctx, table, from, to)
	}
	return s
}

// acquire starts a controller that owns the cell, and then stalls the store.
func (b *stallingStore) acquire(g Gomega) *kqcontrol.Controller {
	c, err := kqcontrol.Acquire(context.Background(), kqcontrol.Config{Cell: leasesCell, Name: "owner", Boot: "b", Store: b.store(), Lease: 7 * time.Second, CrossRackSlowdown: 1,
		Retention: time.Minute, Policy: func() *kqflow.Policy { return nil }, Now: time.Now, WallClock: time.Now, Counter: &kqinvariant.Counter{}}, kqcontrol.OwnerRow{}, 0, nil)
	g.Expect(err).NotTo(HaveOccurred())
	c.Start()
	time.Sleep(time.Second)
	b.isStalled = true
	return c
}

// Guards against an owner that loses its confirmation while its writes wait in the store:
// reads of its row must confirm it.
func TestAnOwnerWhoseWritesWaitIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := &stallingStore{rows: kqrowstore.New(1)}
		c := b.acquire(g)
		defer c.Abandon()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(c.Stale(time.Now())).To(BeFalse())
		}
	})
}

// Guards against a read that confirms the ownership although it finds another owner's row:
// it must stop the controller.
func TestAnOwnerWhoseRowIsAnothersGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := &stallingStore{rows: kqrowstore.New(1)}
		c := b.acquire(g)
		defer c.Abandon()
		key := kqcontrol.OwnerKey(leasesCell)
		other := b.rows.Client("other")
		rows, _, err := other.Read(context.Background(), key.Table, key.Name, kqcontrol.RangeEnd(key.Name))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = other.Transact(context.Background(), kqrows.Tx{Conditions: []kqrows.Condition{{Key: key, Version: rows[0].Version}},
			Puts: []kqrows.Put{{Key: key, Value: kqtable.Encode(kqcontrol.OwnerRow{Name: "other", Epoch: 2})}}})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(1200 * time.Millisecond)
		g.Expect(c.Done()).To(BeClosed())
	})
}
