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

// scoredPerLine returns the number of scored workers of each log line about contention.
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

// scoredWhileWaiting returns how often workers are scored in one second while a number of
// filling jobs wait and serving tasks leave no capacity for them.
func scoredWhileWaiting(jobs int) int64 {
	var log bytes.Buffer
	c := newCellWith(kqplan.Config{Epoch: 1, Events: logTo(&log)})
	const hosts = 77
	advance := func(d time.Duration) {
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
	advance(time.Second)
	for _, o := range c.takeOrders() {
		host := "h" + string(o.Worker[1:])
		c.ApplyReport(c.now, host, kqplan.Report{Worker: o.Worker, Complete: true, Running: []kqexecution.RunStatus{{Run: o.Run, Percent: 100, Measurement: 49}}})
	}
	log.Reset()
	for n := range jobs {
		s := newStep(20, 7)
		s.Fills, s.Image = true, "filling"
		c.Submit(c.now, job(fmt.Sprintf("j%04d", n), "batch", c.now, s), nil, 0)
	}
	for range 22 {
		advance(50 * time.Millisecond)
	}
	lines := scoredPerLine(&log)
	Expect(len(lines)).To(BeNumerically(">=", 2))
	return lines[1]
}

var _ = Describe("scheduling over many workers", func() {
	// The work per second must not grow with the backlog, or the owner would fall behind under
	// the highest load.
	It("scores no more workers per second with ten times as many waiting filling jobs", func() {
		// With 48 jobs each pass reaches its limit: 18 of 24 misses are those of the first jobs, and
		// the other 30 take 5 passes with 6 turns each.
		few, many := scoredWhileWaiting(48), scoredWhileWaiting(480)
		Expect(few).To(BeNumerically(">", 0))
		Expect(many).To(BeNumerically("<=", few))
	})
})
