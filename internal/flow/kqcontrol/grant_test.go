package kqcontrol_test

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// grantee is an agent of the host "host" that keeps the grants that it receives.
type grantee struct {
	session *kqcontrol.Session
	stream  *kqstream.Stream
	mu      sync.Mutex
	grants  map[uint64]time.Duration
}

// newGrantee connects an agent.
func newGrantee(c *kqcontrol.Controller) *grantee {
	x := &grantee{grants: map[uint64]time.Duration{}}
	near, far := net.Pipe()
	x.stream = kqstream.New(far, kqstream.Config{OnMessage: func(_ *kqstream.Stream, b []byte) {
		var m kqmessage.FromOwner
		if err := json.Unmarshal(b, &m); err == nil && m.Grant != nil {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.grants[m.Grant.LeaseRequest] = m.Grant.Duration
		}
	}, OnClose: func(*kqstream.Stream, error) {}})
	x.session = c.Attach(kqstream.New(near, kqstream.Config{OnMessage: func(*kqstream.Stream, []byte) {}, OnClose: func(*kqstream.Stream, error) {}}),
		kqmessage.Hello{Role: kqmessage.RoleAgent, Name: "host", Boot: "b"})
	return x
}

// grant returns the duration of the lease that answers a request, and whether it is answered.
func (x *grantee) grant(request uint64) (d time.Duration, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	d, ok = x.grants[request]
	return d, ok
}

// A worker does not answer its agent, which requests a lease nevertheless. Guards against an owner that
// grants it, although the planner waits for no further lease before it gives the worker's runs up.
func TestAnUnresponsiveWorkerIsGrantedNoLease(t *testing.T) {
	g := NewWithT(t)
	c, err := kqcontrol.Acquire(context.Background(), kqcontrol.Config{Cell: "cell", Name: "owner", Boot: "b", Store: kqrowstore.New(1).Client("owner"), Lease: 7 * time.Second, CrossRackSlowdown: 1,
		Retention: time.Minute, Policy: func() *kqflow.Policy { return nil }, Now: time.Now, WallClock: time.Now, Counter: &kqinvariant.Counter{}}, kqcontrol.OwnerRow{}, 0, nil)
	g.Expect(err).NotTo(HaveOccurred())
	c.Start()
	defer c.Abandon()

	x := newGrantee(c)
	granted := func(request uint64, unresponsive bool) time.Duration {
		b, err := json.Marshal(kqmessage.ToOwner{Registered: request == 1, Worker: &kqplan.WorkerInfo{Worker: "w", Unresponsive: unresponsive}, LeaseRequest: request})
		g.Expect(err).NotTo(HaveOccurred())
		x.session.Receive(b)
		var d time.Duration
		g.Eventually(func() (ok bool) {
			d, ok = x.grant(request)
			return ok
		}, 5*time.Second).Should(BeTrue(), "request %d is answered", request)
		return d
	}
	g.Expect(granted(1, false)).To(BeNumerically(">", 0))
	g.Expect(granted(2, true)).To(BeZero())
	g.Expect(granted(3, false)).To(BeNumerically(">", 0))
}

// An agent requests no lease for a while, and again while the store keeps the write of its last grant waiting.
// Guards against a lease that is granted although that write is under way: the next owner would count from the
// earlier grant and give the run up before its lease has ended.
func TestAHostIsGrantedALeaseWhileItsLastGrantIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rows := kqrowstore.New(1)
		store := rows.Client("owner")
		transact, isStoring, mayStore := store.Transact, make(chan struct{}), make(chan struct{})
		var once sync.Once
		store.Transact = func(ctx context.Context, tx kqrows.Tx) (kqrows.Outcome, error) {
			if strings.Contains(string(tx.Puts[0].Value), `"last_grants"`) {
				once.Do(func() { close(isStoring) })
				<-mayStore
			}
			return transact(ctx, tx)
		}
		c, err := kqcontrol.Acquire(context.Background(), kqcontrol.Config{Cell: leasesCell, Name: "owner", Boot: "b", Store: store, Lease: 7 * time.Second, CrossRackSlowdown: 1,
			Retention: time.Minute, Policy: func() *kqflow.Policy { return nil }, Now: time.Now, WallClock: time.Now, Counter: &kqinvariant.Counter{}}, kqcontrol.OwnerRow{}, 0, nil)
		g.Expect(err).NotTo(HaveOccurred())
		c.Start()
		defer c.Abandon()
		x := newGrantee(c)
		defer x.stream.Close()
		request := func(n uint64) {
			b, err := json.Marshal(kqmessage.ToOwner{Registered: n == 1, LeaseRequest: n})
			g.Expect(err).NotTo(HaveOccurred())
			x.session.Receive(b)
			time.Sleep(200 * time.Millisecond)
		}
		stored := func() (r kqcontrol.LeasesRow) {
			read, _, err := rows.Client("test").Read(context.Background(), kqcontrol.LeaseTable, "", "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(json.Unmarshal(read[0].Value, &r)).To(Succeed())
			return r
		}
		request(1)
		_, ok := x.grant(1)
		g.Expect(ok).To(BeTrue())
		<-isStoring
		request(2)
		_, ok = x.grant(2)
		g.Expect(ok).To(BeFalse(), "before the write is answered")
		close(mayStore)
		time.Sleep(200 * time.Millisecond)
		d, _ := x.grant(2)
		g.Expect(d).To(BeNumerically(">", 0))
		g.Expect(stored().LastGrants).To(BeEmpty())
		g.Expect(stored().Begins).To(HaveKey(c.Epoch()))
	})
}
