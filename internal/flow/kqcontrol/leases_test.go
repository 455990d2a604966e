package kqcontrol_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

const leasesCell = "cell"

// lateStore withholds the first write of the LeasesRow: its outcome is unknown to the
// caller, and the test applies it later.
type lateStore struct {
	kqrows.Store

	mu     sync.Mutex
	lateTx *kqrows.Tx
}

func newLateStore(s kqrows.Store) *lateStore {
	x := &lateStore{Store: s}
	x.Store.Transact = func(ctx context.Context, t kqrows.Tx) (kqrows.Outcome, error) {
		if len(t.Puts) > 0 && t.Puts[0].Key == kqcontrol.LeasesKey(leasesCell) {
			x.mu.Lock()
			first := x.lateTx == nil
			if first {
				x.lateTx = &t
			}
			x.mu.Unlock()
			if first {
				return kqrows.Outcome{}, kqrows.ErrUnknown
			}
		}
		return s.Transact(ctx, t)
	}
	return x
}

// joinAgent connects an agent that registers and requests a lease.
func joinAgent(g Gomega, c *kqcontrol.Controller, name string) *kqcontrol.Session {
	near, far := net.Pipe()
	go func() {
		b := make([]byte, 4096)
		for {
			if _, err := far.Read(b); err != nil {
				return
			}
		}
	}()
	s := c.Attach(kqstream.New(near, kqstream.Config{OnMessage: func(*kqstream.Stream, []byte) {}, OnClose: func(*kqstream.Stream, error) {}}),
		kqmessage.Hello{Role: kqmessage.RoleAgent, Name: name, Boot: "b"})
	b, err := json.Marshal(kqmessage.ToOwner{Registered: true, LeaseRequest: 1})
	g.Expect(err).NotTo(HaveOccurred())
	s.Receive(b)
	return s
}

// leasedHosts returns the hosts of the stored LeasesRow with their epochs.
func leasedHosts(g Gomega, s kqrows.Store) map[string]uint64 {
	rows, _, err := s.Read(context.Background(), kqcontrol.LeaseTable, "", "")
	g.Expect(err).NotTo(HaveOccurred())
	var r kqcontrol.LeasesRow
	if len(rows) > 0 {
		g.Expect(json.Unmarshal(rows[0].Value, &r)).To(Succeed())
	}
	return r.Hosts
}

// Guards against a write of the LeasesRow that the store applies late, after a newer one:
// it would remove hosts that were granted leases meanwhile, and the next owner would start
// their tasks elsewhere while they still run.
func TestALateWriteTakesGrantedHostsOutOfTheLeases(t *testing.T) {
	g := NewWithT(t)
	rows := kqrowstore.New(1)
	late := newLateStore(rows.Client("owner"))
	c, err := kqcontrol.Acquire(context.Background(), kqcontrol.Config{Cell: leasesCell, Name: "owner", Boot: "b", Store: late.Store, Lease: 7 * time.Second, CrossRackSlowdown: 1,
		Retention: time.Minute, Policy: func() *kqflow.Policy { return nil }, Now: time.Now, WallClock: time.Now, Counter: &kqinvariant.Counter{}}, kqcontrol.OwnerRow{}, 0, nil)
	g.Expect(err).NotTo(HaveOccurred())
	c.Start()
	defer c.Abandon()
	for n := range 3 {
		joinAgent(g, c, fmt.Sprint("host-", n))
		time.Sleep(20 * time.Millisecond)
	}
	g.Eventually(func() map[string]uint64 { return leasedHosts(g, rows.Client("test")) }, 5*time.Second).Should(HaveLen(3))
	_, err = rows.Client("owner").Transact(context.Background(), *late.lateTx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(leasedHosts(g, rows.Client("test"))).To(HaveLen(3))
}

// The last grant of a host is due, the owner is suspended before it writes the row, and finds no usable clock:
// the row stays as it is. The first attempt is lost, and another process takes over. Guards against a deposed
// owner that takes the row, which has the value that it sent, for its own write and thus its ownership for
// confirmed.
func TestADeposedOwnerTakesAnUnchangedLeasesRowForItsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rows := kqrowstore.New(1)
		store := rows.Client("owner")
		transact := store.Transact
		var suspended atomic.Int64
		var armed atomic.Bool
		var attempts atomic.Int32
		store.Transact = func(ctx context.Context, tx kqrows.Tx) (kqrows.Outcome, error) {
			if suspended.Load() == 0 {
				return transact(ctx, tx)
			}
			if len(tx.Puts) > 0 && tx.Puts[0].Key == kqcontrol.LeasesKey(leasesCell) {
				switch attempts.Add(1) {
				case 1:
					_, err := rows.Client("next").Transact(ctx, kqrows.Tx{Puts: []kqrows.Put{{Key: kqcontrol.OwnerKey(leasesCell), Value: kqtable.Encode(kqcontrol.OwnerRow{Name: "next", Epoch: 2})}}})
					g.Expect(err).NotTo(HaveOccurred())
					return kqrows.Outcome{}, kqrows.ErrUnknown
				case 2:
					return transact(ctx, tx)
				}
			}
			<-ctx.Done()
			return kqrows.Outcome{}, kqrows.ErrUnknown
		}
		wallClock := func() time.Time {
			if armed.CompareAndSwap(true, false) {
				suspended.Store(int64(3 * time.Second))
			}
			return time.Now()
		}
		c, err := kqcontrol.Acquire(context.Background(), kqcontrol.Config{Cell: leasesCell, Name: "owner", Boot: "b", Store: store, Lease: 7 * time.Second, CrossRackSlowdown: 1,
			Retention: time.Minute, Policy: func() *kqflow.Policy { return nil }, Now: func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) },
			WallClock: wallClock, Counter: &kqinvariant.Counter{}}, kqcontrol.OwnerRow{}, 0, nil)
		g.Expect(err).NotTo(HaveOccurred())
		c.Start()
		defer c.Abandon()
		x := newGrantee(c)
		defer x.stream.Close()
		b, err := json.Marshal(kqmessage.ToOwner{Registered: true, LeaseRequest: 1})
		g.Expect(err).NotTo(HaveOccurred())
		x.session.Receive(b)
		time.Sleep(500 * time.Millisecond)
		armed.Store(true)
		c.Detach(x.session)
		time.Sleep(time.Second)
		g.Expect(attempts.Load()).To(BeEquivalentTo(2), "it writes on after the store has rejected its write")
	})
}
