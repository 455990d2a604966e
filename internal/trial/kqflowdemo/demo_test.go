package kqflowdemo_test

import (
	"context"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowdemo"
)

// Runs the demo without faults over real sockets: all finite flows must complete and no
// invariant may be breached.
func TestFlowsEndOverSockets(t *testing.T) {
	g := NewWithT(t)
	r, err := kqflowdemo.Run(context.Background(), kqflowdemo.Config{Workers: 4, ListenAddress: netip.MustParseAddrPort("127.0.0.1:0"), Seed: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Breaches).To(BeEmpty())
	g.Expect(r.Flows).To(HaveLen(4))
	g.Expect(r.HasFailures()).To(BeFalse())
}
