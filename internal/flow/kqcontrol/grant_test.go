package kqcontrol_test

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// A worker does not answer its agent, which requests a lease nevertheless. Guards against an owner that
// grants it, although the planner waits for no further lease before it gives the worker's runs up.
func TestAnUnresponsiveWorkerIsGrantedNoLease(t *testing.T) {
	g := NewWithT(t)
	c, err := kqcontrol.Acquire(context.Background(), kqcontrol.Config{Cell: "cell", Name: "owner", Boot: "b", Store: kqrowstore.New(1).Client("owner"), Lease: 7 * time.Second, CrossRackSlowdown: 1,
		Retention: time.Minute, Policy: func() *kqflow.Policy { return nil }, Now: time.Now, WallClock: time.Now, Counter: &kqinvariant.Counter{}}, kqcontrol.OwnerRow{}, 0, nil)
	g.Expect(err).NotTo(HaveOccurred())
	c.Start()
	defer c.Abandon()

	var mu sync.Mutex
	grants := map[uint64]time.Duration{}
	near, far := net.Pipe()
	kqstream.New(far, kqstream.Config{OnMessage: func(_ *kqstream.Stream, b []byte) {
		var m kqmessage.FromOwner
		if err := json.Unmarshal(b, &m); err == nil && m.Grant != nil {
			mu.Lock()
			defer mu.Unlock()
			grants[m.Grant.LeaseRequest] = m.Grant.Duration
		}
	}, OnClose: func(*kqstream.Stream, error) {}})
	s := c.Attach(kqstream.New(near, kqstream.Config{OnMessage: func(*kqstream.Stream, []byte) {}, OnClose: func(*kqstream.Stream, error) {}}),
		kqmessage.Hello{Role: kqmessage.RoleAgent, Name: "host", Boot: "b"})
	granted := func(request uint64, unresponsive bool) time.Duration {
		b, err := json.Marshal(kqmessage.ToOwner{Registered: request == 1, Worker: &kqplan.WorkerInfo{Worker: "w", Unresponsive: unresponsive}, LeaseRequest: request})
		g.Expect(err).NotTo(HaveOccurred())
		s.Receive(b)
		var d time.Duration
		g.Eventually(func() bool {
			mu.Lock()
			defer mu.Unlock()
			var ok bool
			d, ok = grants[request]
			return ok
		}, 5*time.Second).Should(BeTrue(), "request %d is answered", request)
		return d
	}
	g.Expect(granted(1, false)).To(BeNumerically(">", 0))
	g.Expect(granted(2, true)).To(BeZero())
	g.Expect(granted(3, false)).To(BeNumerically(">", 0))
}
