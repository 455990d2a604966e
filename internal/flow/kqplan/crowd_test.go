package kqplan_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// weighed returns what the lines about waiting tasks say of the owner's work.
func scoredPerLine(log *bytes.Buffer) []int64 {
	var out []int64
	for d := json.NewDecoder(log); d.More(); {
		var l struct {
			Msg   string            `json:"msg"`
			Crowd kqplan.Contention `json:"crowd"`
		}
		Expect(d.Decode(&l)).To(Succeed())
		if l.Msg == "flow_crowded" {
			out = append(out, l.Crowd.Scored)
		}
	}
	return out
}

// crowded returns how often workers are weighed in a second in which a number of
// filling jobs wait beside serving tasks that leave no room.
func scoredWhileWaiting(jobs int) int64 {
	var log bytes.Buffer
	c := newCellWith(kqplan.Config{Epoch: 1, Events: logTo(&log)})
	const hosts = 77
	beat := func(d time.Duration) {
		c.now = c.now.Add(d)
		for n := range hosts {
			c.LeaseGranted(c.now, fmt.Sprint("h", n), 7*time.Second)
		}
		c.tickUntilIdle()
	}
	for n := range hosts {
		c.addHost(fmt.Sprint("h", n), fmt.Sprint("w", n), 64)
	}
	serving := kqflow.Step{Count: hosts, Resources: kqmodel.Resources{MilliProcessors: 50_000}, LongRunning: true, MaxPerWorker: 1, Image: "serving", TailTarget: 50 * time.Millisecond}
	c.Submit(c.now, job("serving", "urgent", c.now, serving), nil, 0)
	beat(time.Second)
	for _, o := range c.takeOrders() {
		host := "h" + string(o.Worker[1:])
		c.ApplyReport(c.now, host, kqplan.Report{Worker: o.Worker, Complete: true, Running: []kqexecution.Running{{Run: o.Run, Percent: 100, Measure: 49}}})
	}
	log.Reset()
	for n := range jobs {
		s := newStep(20, 7)
		s.Fills, s.Image = true, "filling"
		c.Submit(c.now, job(fmt.Sprintf("j%04d", n), "batch", c.now, s), nil, 0)
	}
	for range 22 {
		beat(50 * time.Millisecond)
	}
	lines := scoredPerLine(&log)
	Expect(len(lines)).To(BeNumerically(">=", 2))
	return lines[1]
}

var _ = Describe("an owner with many workers", func() {
	// The work of a second must not grow with what waits, or the owner falls behind
	// when most is asked of it.
	It("weighs no more workers while ten times as many filling jobs wait", func() {
		few, many := scoredWhileWaiting(40), scoredWhileWaiting(400)
		Expect(few).To(BeNumerically(">", 0))
		Expect(many).To(BeNumerically("<=", few))
	})
})
