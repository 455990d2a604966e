package kqplan_test

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var _ = Describe("room for jobs that come", func() {
	const perSecond, tick = 6, 50 * time.Millisecond
	steady := func(float64) float64 { return 1 }
	wave := func(at float64) float64 { return 1 + 0.55*math.Sin(2*math.Pi*at/15) }
	// play lets quick jobs come, each of which ends at once, and a step that stays every ten seconds; it returns the
	// tasks that were started in order of time.
	play := func(forecasts bool, span time.Duration, rate func(at float64) float64) ([]string, string) {
		var log bytes.Buffer
		c := newCellWith(kqplan.Config{Epoch: 1, Forecasts: forecasts, Events: logTo(&log)})
		c.host("h1", "w1", 200)
		rng := rand.New(rand.NewPCG(1, 1))
		start, ended := c.now, uint64(0)
		var begun []string
		for n := 0; c.now.Sub(start) < span; n++ {
			c.now = c.now.Add(tick)
			c.Granted(c.now, "h1", 7*time.Second)
			at := c.now.Sub(start).Seconds()
			if rng.Float64() < perSecond*tick.Seconds()*rate(at) {
				c.Submit(c.now, job(fmt.Sprint("quick", n), "urgent", c.now, step(1+rng.IntN(9), 1)), nil, 0)
			}
			if n%200 == 199 {
				s := step(20, 1)
				s.Standing = true
				c.Submit(c.now, job(fmt.Sprint("stays", n), "urgent", c.now, s), nil, 0)
			}
			c.settle()
			for _, o := range c.take() {
				begun = append(begun, fmt.Sprintf("%.2f %s", at, o.Run.Task))
				if strings.HasPrefix(o.Run.Task, "quick") {
					ended++
					c.end("h1", "w1", ended, o, kqexecution.HowDone)
				}
			}
		}
		Expect(c.counter.Breaches()).To(BeEmpty())
		return begun, log.String()
	}

	It("is kept as by the mean where demand shows nothing", func() {
		with, log := play(true, 3*time.Minute, steady)
		without, _ := play(false, 3*time.Minute, steady)
		Expect(with).To(Equal(without))
		Expect(log).NotTo(ContainSubstring(`"forecast_used"`))
	})

	It("is kept by the forecast where demand comes in waves", func() {
		with, log := play(true, 2*time.Minute, wave)
		without, off := play(false, 2*time.Minute, wave)
		Expect(with).NotTo(Equal(without))
		Expect(log).To(ContainSubstring(`"forecast_used"`))
		Expect(off).NotTo(ContainSubstring(`"forecast_`))
	})
})
