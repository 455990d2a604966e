package kqplan_test

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// logTo returns an event log that writes its lines to a buffer.
func logTo(b *bytes.Buffer) *kqevent.Log {
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(b), zapcore.InfoLevel))
	return kqevent.New(kqevent.Config{Process: "p", Logger: logger})
}

var _ = Describe("the outcome of jobs", func() {
	It("is recorded once for each job, with its size band", func() {
		var got []kqplan.JobOutcome
		var log bytes.Buffer
		c := newCellWith(kqplan.Config{Epoch: 1, RecordOutcome: func(s kqplan.JobOutcome) { got = append(got, s) }, Events: logTo(&log)})
		c.addHost("h1", "w1", 100)
		for n := range 11 {
			c.Submit(c.now, job(fmt.Sprintf("small%02d", n), "urgent", c.now, newStep(1, 1)), nil, 0)
		}
		c.Submit(c.now, job("large", "urgent", c.now, newStep(20, 1)), nil, 0)
		c.Submit(c.now, job("wide", "urgent", c.now, newStep(1, 200)), nil, 0)
		c.tickUntilIdle()
		for n, o := range c.takeOrders() {
			if n == 0 {
				c.reportEnd("h1", "w1", 1, o, kqexecution.EndFailed)
				continue
			}
			c.reportEnd("h1", "w1", uint64(n+1), o, kqexecution.EndDone)
		}
		c.tickUntilIdle()
		c.now = c.now.Add(10 * time.Second)
		c.LeaseGranted(c.now, "h1", 7*time.Second)
		c.tickUntilIdle()
		c.tickUntilIdle()
		Expect(got).To(HaveLen(13))
		Expect(got).To(ContainElement(kqplan.JobOutcome{Queue: "urgent", Band: kqsize.BandLargest, Outcome: kqplan.OutcomeInTime}))
		Expect(got).To(ContainElement(kqplan.JobOutcome{Queue: "urgent", Band: kqsize.BandLargest, Outcome: kqplan.OutcomeTooLate}))
		Expect(strings.Count(log.String(), `"flow_too_late"`)).To(Equal(2))
		Expect(log.String()).To(ContainSubstring(`"crowd":{"capacity":100000,`))
	})
})
