package kqmessage_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
)

// One entry of a message cannot be decoded. Guards against a stream that is closed for it, again and
// again: an agent repeats its report, and an owner its orders, on each new stream.
func TestOneOddEntryClosesTheStreamAgainAndAgain(t *testing.T) {
	deeplyNested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, odd := range map[string]string{
		"deeply nested":       deeplyNested,
		"deeply nested field": `{"number":` + deeplyNested + `,"worker":` + deeplyNested + `}`,
		"number too large":    `{"number":99999999999999999999,"worker":1e300}`,
		"number negative":     `{"number":-1,"worker":-1}`,
		"text":                `"x"`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const run = `{"run":{"task":"t","number":1},"task":"t","number":1}`
			entries := `[` + run + `,` + odd + `,` + run + `]`
			to, omissions, err := kqmessage.DecodeToOwner([]byte(`{"ask":3,"worker":` + odd + `,"worker_ends":[{"worker":"w"},` + odd + `],"report":{"worker":"w","whole":true,"ended":` + entries + `,"running":` + entries + `}}`))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(omissions).To(HaveLen(4))
			g.Expect(to.LeaseRequest).To(Equal(uint64(3)))
			g.Expect(to.Worker).To(BeNil())
			g.Expect(to.WorkerEnds).To(HaveLen(1))
			g.Expect(to.Report.Ended).To(HaveLen(2))
			g.Expect(to.Report.Running).To(HaveLen(2))
			g.Expect(to.Report.Complete).To(BeFalse(), "a run that is not listed may be at work")

			from, omissions, err := kqmessage.DecodeFromOwner([]byte(`{"resync":true,"orders":` + entries + `,"states":{"a":"running","b":` + deeplyNested + `},"grant":{"ask":7,"left":5}}`))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(omissions).To(HaveLen(2))
			g.Expect(from.Orders).To(HaveLen(2))
			g.Expect(from.LacksOrders).To(BeTrue())
			g.Expect(from.States).To(HaveLen(1))
			g.Expect(from.Grant.LeaseRequest).To(Equal(uint64(7)))
		})
	}
	// The entries of these lists are known by their positions, or make up a whole.
	g := NewWithT(t)
	m, omissions, err := kqmessage.DecodeToOwner([]byte(`{"ask":1,"submit":{"number":1,"job":{"id":"x","steps":[{"count":1},{"count":` + deeplyNested + `}]}},"worker":{"worker":"w","labels":["a",7]}}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(omissions).To(HaveLen(2))
	g.Expect(m).To(Equal(kqmessage.ToOwner{LeaseRequest: 1}), "a job without one of its steps is another job")
	digest, _, err := kqmessage.DecodeFromOwner([]byte(`{"welcome":1,"digest":{"levels":[{"service":7},{"service":"s"}],"queues":{"q":{"level":0}}}}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(digest).To(Equal(kqmessage.FromOwner{Welcome: 1}))
	_, _, err = kqmessage.DecodeFromOwner([]byte(`{"zones":` + deeplyNested + `,"grant":{"ask":7,"left":5}}`))
	g.Expect(err).To(HaveOccurred(), "the grant would confirm zones that are out of date")
	to, omissions, err := kqmessage.DecodeToOwner([]byte(`{"report":{"worker":"w","whole":true}}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(omissions).To(BeEmpty())
	g.Expect(to.Report.Complete).To(BeTrue())
}
