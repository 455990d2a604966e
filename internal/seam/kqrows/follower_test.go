package kqrows_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// The removal of a row is missing from the feed if the store has dropped that part of its
// history. The follower must then get all rows as a complete update, or it would keep the
// removed row.
func TestAfterADroppedHistoryAFollowerIsGivenAllRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := kqrowstore.New(1)
		write := func(x kqrows.Tx) {
			_, err := s.Client("").Transact(context.Background(), x)
			g.Expect(err).NotTo(HaveOccurred())
		}
		key := func(name string) kqrows.Key { return kqrows.Key{Table: "t", Name: name} }
		write(kqrows.Tx{Puts: []kqrows.Put{{Key: key("a")}, {Key: key("b")}}})
		var updates []kqrows.Update
		responses := 0
		ctx, cancel := context.WithCancel(context.Background())
		f := kqrows.Follower{Store: s.Client("f"), Table: "t", MaxPollWait: time.Second, ResponseSlack: time.Second, RetryDelay: 50 * time.Millisecond,
			Apply: func(n kqrows.Update) { updates = append(updates, n) }, RecordResponse: func(time.Time) { responses++ }, Now: time.Now}
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		write(kqrows.Tx{Puts: []kqrows.Put{{Key: key("c")}}})
		time.Sleep(3 * time.Second)
		g.Expect(responses).To(BeNumerically(">=", 4), "responses without rows count as well")
		s.SetFaults("f", kqrowstore.Faults{Refuse: true})
		time.Sleep(2 * time.Second)
		write(kqrows.Tx{Removes: []kqrows.Key{key("a")}})
		s.Compact()
		s.ClearFaults()
		time.Sleep(3 * time.Second)
		cancel()
		<-done
		g.Expect(updates).To(HaveLen(3))
		g.Expect(updates[0].Complete).To(BeTrue())
		g.Expect(updates[0].Rows).To(HaveLen(2))
		g.Expect(updates[1].Complete).To(BeFalse())
		g.Expect(updates[1].Rows).To(HaveLen(1))
		g.Expect(updates[1].Version).To(BeNumerically(">", updates[0].Version))
		g.Expect(updates[2].Complete).To(BeTrue())
		g.Expect(updates[2].Rows).To(ConsistOf(HaveField("Name", "b"), HaveField("Name", "c")))
	})
}
