package kqcontrol_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// Guards against a cancellation that took effect but is reported as refused: the store
// applies the first write without an answer and refuses all later calls, so the outcome is
// unknown.
func TestACancellationThatTookEffectIsCalledRefused(t *testing.T) {
	g := NewWithT(t)
	sound := kqrowstore.New(1).Client("entry")
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	j := kqflow.Job{ID: "00000000000000aa", Queue: "q", Steps: []kqflow.Step{{Count: 1}}}
	g.Expect(kqcontrol.StoreJob(ctx, sound, j, kqcontrol.RetryAlways)).To(Equal(kqcontrol.OutcomeStored))

	failing, writes := sound, 0
	failing.Read = func(ctx context.Context, table, from, to string) ([]kqrows.Row, uint64, error) {
		if writes > 0 {
			return nil, 0, kqrows.ErrRefused
		}
		return sound.Read(ctx, table, from, to)
	}
	failing.Transact = func(ctx context.Context, t kqrows.Tx) (kqrows.Outcome, error) {
		writes++
		_, err := sound.Transact(ctx, t)
		g.Expect(err).NotTo(HaveOccurred())
		return kqrows.Outcome{}, kqrows.ErrUnknown
	}
	g.Expect(kqcontrol.StoreCancel(ctx, failing, j.ID, kqcontrol.RetryAlways)).To(Equal(kqcontrol.OutcomeUnknown))
	g.Expect(kqcontrol.StoreCancel(context.Background(), sound, j.ID, kqcontrol.RetryAlways)).To(Equal(kqcontrol.OutcomeStored))

	refusing := sound
	refusing.Read = func(context.Context, string, string, string) ([]kqrows.Row, uint64, error) {
		return nil, 0, kqrows.ErrRefused
	}
	g.Expect(kqcontrol.StoreCancel(context.Background(), refusing, j.ID, kqcontrol.RetryAlways)).To(Equal(kqcontrol.OutcomeRefused))
}
