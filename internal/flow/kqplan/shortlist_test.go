package kqplan_test

import (
	"bytes"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

var _ = Describe("a scheduling pass over a wide step", func() {
	const hosts, wide = 160, 120

	// newFleet returns a cell of many equal workers.
	newFleet := func(log *bytes.Buffer) *cell {
		c := newCellWith(kqplan.Config{Epoch: 1, Events: logTo(log)})
		for n := range hosts {
			c.addHost(fmt.Sprintf("h%03d", n), fmt.Sprintf("w%03d", n), 64)
		}
		return c
	}

	// All tasks of a step have the same requirements, and a start changes one worker only. Scoring
	// every worker for each task would make a pass over a wide step slow.
	It("scores each worker about once and not once for each task", func() {
		var log bytes.Buffer
		c := newFleet(&log)
		// A task that does not fit makes the pass log how many candidates it scored.
		huge := kqflow.Step{Count: 1, Resources: kqmodel.Resources{MilliProcessors: 65_000}, Estimate: time.Second}
		c.Submit(c.now, job("huge", "urgent", c.now, huge), nil, 0)
		c.Submit(c.now, job("wide", "urgent", c.now, kqflow.Step{Count: wide, Resources: kqmodel.Resources{MilliProcessors: 8_000}, Estimate: time.Second}), nil, 0)
		c.now = c.now.Add(time.Second)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(wide))
		lines := scoredPerLine(&log)
		Expect(lines).NotTo(BeEmpty())
		Expect(lines[0]).To(BeNumerically("<=", 4*hosts))
	})

	It("spreads the tasks as if the workers were scored for each of them", func() {
		var log bytes.Buffer
		c := newFleet(&log)
		c.Submit(c.now, job("wide", "urgent", c.now, kqflow.Step{Count: 2 * hosts, Resources: kqmodel.Resources{MilliProcessors: 8_000}, Estimate: time.Second}), nil, 0)
		c.tickUntilIdle()
		on := map[string]int{}
		for _, o := range c.takeOrders() {
			on[string(o.Worker)]++
		}
		Expect(on).To(HaveLen(hosts))
		for _, n := range on {
			Expect(n).To(Equal(2))
		}
	})
})
