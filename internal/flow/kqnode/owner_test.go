package kqnode_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqnode"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

const (
	cell                 = "cell"
	leaseRequestInterval = 300 * time.Millisecond
)

// agent is a node over TCP whose agent requests a lease each leaseRequestInterval.
type agent struct {
	node         *kqnode.Node
	address      netip.AddrPort
	connections  atomic.Int64
	disconnected atomic.Int64
	holdsLock    atomic.Int64
	loadTime     atomic.Int64
}

// startAgent starts an agent with a lease of 7 s, see startAgentWithLease.
func startAgent(t *testing.T, store kqrows.Store, name string, loadTime time.Duration) *agent {
	t.Helper()
	return startAgentWithLease(t, store, name, loadTime, 7*time.Second)
}

// startAgentWithLease starts an agent. While holdsLock is not 0, each pass of its controller holds the
// lock for that time; loadTime is how long it takes to load the cell.
func startAgentWithLease(t *testing.T, store kqrows.Store, name string, loadTime, lease time.Duration) *agent {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &agent{address: l.Addr().(*net.TCPAddr).AddrPort()}
	a.loadTime.Store(int64(loadTime))
	dialer := net.Dialer{Timeout: 500 * time.Millisecond}
	n, err := kqnode.Start(kqnode.Config{Role: kqmessage.RoleAgent, ListenAddress: a.address,
		Network: &kqnode.Network{Listen: func(netip.AddrPort) (net.Listener, error) { return l, nil },
			Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
				return dialer.DialContext(ctx, "tcp", to.String())
			}},
		Control: kqcontrol.Config{Cell: cell, Name: name, Boot: name + "1", Address: a.address, Store: store, Lease: lease, CrossRackSlowdown: 1, Retention: time.Minute,
			Policy: func() *kqflow.Policy { time.Sleep(time.Duration(a.loadTime.Load())); return nil },
			Evacuation: kqcontrol.EvacuationSource{KnownAt: func() time.Time {
				time.Sleep(time.Duration(a.holdsLock.Load()))
				return time.Now()
			}},
			Now: time.Now, WallClock: time.Now, Counter: &kqinvariant.Counter{}},
		Connected: func(_ uint64, send func(kqmessage.ToOwner)) {
			connection := a.connections.Add(1)
			go func() {
				for request := uint64(1); a.connections.Load() == connection && request < 100; request++ {
					send(kqmessage.ToOwner{LeaseRequest: request})
					time.Sleep(leaseRequestInterval)
				}
			}()
		},
		Disconnected: func() { a.disconnected.Add(1) },
		Receive:      func(kqmessage.FromOwner) {}})
	if err != nil {
		t.Fatal(err)
	}
	a.node = n
	t.Cleanup(func() {
		a.holdsLock.Store(0)
		n.Kill()
	})
	return a
}

// startCell starts an owner and another agent that is connected to it.
func startCell(t *testing.T, g *WithT) (owner, other *agent) {
	t.Helper()
	return startCellWithLease(t, g, 7*time.Second)
}

func startCellWithLease(t *testing.T, g *WithT, lease time.Duration) (owner, other *agent) {
	t.Helper()
	store := kqrowstore.New(1)
	owner = startAgentWithLease(t, store.Client("a"), "a", 0, lease)
	g.Eventually(owner.node.IsOwner).WithTimeout(3 * time.Second).Should(BeTrue())
	other = startAgentWithLease(t, store.Client("b"), "b", 0, lease)
	for _, a := range []*agent{owner, other} {
		g.Eventually(a.connections.Load).WithTimeout(3 * time.Second).Should(BeEquivalentTo(1))
	}
	time.Sleep(time.Second)
	return owner, other
}

// The owner's scheduling loop hangs with its lock held, and its process goes on. Guards against
// heartbeats that keep an owner in place which grants no leases any more.
func TestAnOwnerThatHangsIsNeverReplaced(t *testing.T) {
	g := NewWithT(t)
	owner, other := startCell(t, g)
	owner.holdsLock.Store(int64(8 * time.Second))
	began := time.Now()
	g.Eventually(other.node.IsOwner).WithTimeout(6*time.Second).Should(BeTrue(), "no lease outlives the seventh second")
	t.Log("replaced after", time.Since(began).Round(10*time.Millisecond))
}

// The owner hangs, then its successor, while the first process goes on. Guards against a process that
// takes its own hanging controller for the owner of the cell and therefore never replaces a later one.
func TestAProcessWhoseControllerHangsNeverOwnsTheCellAgain(t *testing.T) {
	g := NewWithT(t)
	owner, other := startCellWithLease(t, g, 2*time.Second)
	const hang = 10 * time.Second
	owner.holdsLock.Store(int64(hang))
	g.Eventually(other.node.IsOwner).WithTimeout(hang / 2).Should(BeTrue())
	owner.holdsLock.Store(0)
	g.Eventually(owner.node.IsOwner).WithTimeout(time.Second).Should(BeFalse())
	other.holdsLock.Store(int64(hang))
	g.Eventually(owner.node.IsOwner).WithTimeout(hang / 2).Should(BeTrue())
}

// The owner's lock is held for longer than kqstream.SilenceTimeout. Guards against the pipe of the
// owner's own agent, which holds no message back, being closed while TCP connections outlast it.
func TestAnOwnersOwnAgentIsCutOffByALongPass(t *testing.T) {
	g := NewWithT(t)
	owner, other := startCell(t, g)
	owner.holdsLock.Store(int64(2500 * time.Millisecond))
	time.Sleep(100 * time.Millisecond)
	owner.holdsLock.Store(0)
	time.Sleep(4 * time.Second)
	g.Expect(other.disconnected.Load()).To(BeZero(), "an agent over TCP")
	g.Expect(owner.disconnected.Load()).To(BeZero(), "the owner's own agent")
}

// A peer gives up several streams while the owner loads, then waits on one more, as agents of earlier
// versions do and those whose owner sends no stream heartbeat for a while. Guards against sessions of
// the streams that were given up, which close the one that is in use.
func TestStreamsGivenUpWhileTheOwnerLoadsEndTheNextOne(t *testing.T) {
	g := NewWithT(t)
	const loadTime = 3 * time.Second
	store := kqrowstore.New(1)
	owner := startAgent(t, store.Client("a"), "a", loadTime)
	time.Sleep(500 * time.Millisecond)
	closed := make(chan struct{})
	connect := func(onClose func()) *kqstream.Stream {
		conn, err := net.Dial("tcp", owner.address.String())
		g.Expect(err).NotTo(HaveOccurred())
		s := kqstream.New(conn, kqstream.Config{OnMessage: func(*kqstream.Stream, []byte) {}, OnClose: func(*kqstream.Stream, error) { onClose() }})
		s.Send(kqmessage.ToOwner{Hello: &kqmessage.Hello{Role: kqmessage.RoleAgent, Name: "c", Boot: "c1"}})
		time.Sleep(50 * time.Millisecond)
		return s
	}
	for range 30 {
		connect(func() {}).Close()
	}
	inUse := connect(func() { close(closed) })
	defer inUse.Close()
	g.Eventually(owner.node.IsOwner).WithTimeout(2 * loadTime).Should(BeTrue())
	g.Consistently(closed).WithTimeout(time.Second).ShouldNot(BeClosed())
}

// A process is told to stop while it loads the cell. Guards against a cell that nobody owns until its
// heartbeat is missed.
func TestAProcessThatStopsWhileItReadsTheCellKeepsIt(t *testing.T) {
	g := NewWithT(t)
	s := kqrowstore.New(1)
	client := s.Client("a")
	read := client.Read
	isReading := make(chan struct{})
	client.Read = func(ctx context.Context, table, from, to string) ([]kqrows.Row, uint64, error) {
		if table != kqcontrol.CellTable {
			select {
			case <-isReading:
			default:
				close(isReading)
			}
			<-ctx.Done()
			return nil, 0, kqrows.ErrUnknown
		}
		return read(ctx, table, from, to)
	}
	a := startAgent(t, client, "a", 0)
	g.Eventually(isReading).WithTimeout(3 * time.Second).Should(BeClosed())
	time.Sleep(100 * time.Millisecond)
	a.node.Shutdown()
	g.Eventually(func() string {
		rows, _, err := s.Client("b").Read(context.Background(), kqcontrol.CellTable, kqcontrol.OwnerKey(cell).Name, kqcontrol.RangeEnd(kqcontrol.OwnerKey(cell).Name))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(rows).To(HaveLen(1))
		owner, err := kqcontrol.DecodeOwner(rows[0])
		g.Expect(err).NotTo(HaveOccurred())
		return owner.Name
	}).WithTimeout(2 * time.Second).Should(BeEmpty())
}
