package kqplan_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

var _ = Describe("placement of serving images", func() {
	serving := func(image string, count int, processors int64) kqflow.Step {
		return kqflow.Step{Count: count, Resources: kqmodel.Resources{MilliProcessors: processors * 1000}, Estimate: time.Hour, LongRunning: true, Image: image, TailTarget: 50 * time.Millisecond}
	}

	// placeInTurn submits jobs one after another and returns the images on each worker.
	placeInTurn := func(workers int, steps ...kqflow.Step) map[string]map[string]bool {
		c := newCell(1)
		for n := range workers {
			c.addHost(fmt.Sprint("h", n), fmt.Sprint("w", n), 60)
		}
		on := map[string]map[string]bool{}
		for n, s := range steps {
			c.Submit(c.now, job(fmt.Sprint("j", n), "urgent", c.now, s), nil, 0)
			c.now = c.now.Add(time.Second)
			for w := range workers {
				c.LeaseGranted(c.now, fmt.Sprint("h", w), 7*time.Second)
			}
			c.tickUntilIdle()
			for _, o := range c.takeOrders() {
				worker := string(o.Worker)
				if on[worker] == nil {
					on[worker] = map[string]bool{}
				}
				on[worker][s.Image] = true
			}
		}
		return on
	}

	It("places each image on its own workers while an empty worker is left", func() {
		on := placeInTurn(4, serving("a", 3, 9), serving("b", 3, 9), serving("c", 3, 9), serving("d", 3, 9), serving("a", 1, 9), serving("c", 2, 9))
		Expect(on).To(HaveLen(4))
		for worker, images := range on {
			Expect(images).To(HaveLen(1), worker)
		}
	})

	It("places a further image on the worker with the fewest other images", func() {
		on := placeInTurn(2, serving("a", 1, 10), serving("b", 1, 40), serving("c", 1, 10), serving("d", 1, 10))
		for worker, images := range on {
			Expect(images).To(HaveLen(2), worker)
		}
	})
})
