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
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// takeoverTimeout is the time that node gives a takeover.
const takeoverTimeout = 6 * time.Second

// One read of a takeover is never answered, as on a connection that drops all packets; the store
// answers all other calls. Guards against a takeover that waits for that answer until it times out:
// the cell has no owner meanwhile, and the heartbeats keep other processes from acquiring it.
func TestATakeoverWaitsForAReadThatIsNeverAnswered(t *testing.T) {
	for _, table := range []string{kqcontrol.ProgressTable, kqcontrol.SubmissionTable, kqcontrol.LearnedTable, kqcontrol.LeaseTable} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			store := kqrowstore.New(1).Client("owner")
			read, isLost := store.Read, false
			store.Read = func(ctx context.Context, from, first, end string) ([]kqrows.Row, uint64, error) {
				if from == table && !isLost {
					isLost = true
					<-ctx.Done()
					return nil, 0, kqrows.ErrUnknown
				}
				return read(ctx, from, first, end)
			}
			ctx, cancel := context.WithTimeout(context.Background(), takeoverTimeout)
			defer cancel()
			began := time.Now()
			c, err := kqcontrol.Acquire(ctx, kqcontrol.Config{Cell: leasesCell, Name: "owner", Boot: "b", Store: store, Lease: 7 * time.Second, CrossRackSlowdown: 1,
				Retention: time.Minute, Policy: func() *kqflow.Policy { return nil }, Now: time.Now, WallClock: time.Now, Counter: &kqinvariant.Counter{}}, kqcontrol.OwnerRow{}, 0, nil)
			g.Expect(err).NotTo(HaveOccurred(), table)
			g.Expect(time.Since(began)).To(BeNumerically("<=", 3*time.Second), table)
			c.Start()
			c.Abandon()
		})
	}
}
