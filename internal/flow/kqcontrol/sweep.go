package kqcontrol

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// sweep removes the rows of jobs that ended more than Config.Retention ago; mu is held.
func (c *Controller) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	c.sweepDepartures(now)
	ended := c.planner.EndedJobs(now.Add(-c.config.Retention))
	if len(ended) > 0 {
		c.confirmation.writeSent()
		c.tomb.Go((&removal{c, ended[:min(len(ended), maxBatchRecords)]}).run)
	}
}

// removal is one transaction that removes the rows of ended jobs.
type removal struct {
	controller *Controller
	jobs       []kqplan.Write
}

func (x *removal) run() error {
	c := x.controller
	t := kqrows.Tx{Conditions: []kqrows.Condition{{Key: OwnerKey(c.config.Cell), Version: c.version}}}
	for _, w := range x.jobs {
		t.Removes = append(t.Removes, ProgressKey(w.Job), SubmissionKey(w.Job))
	}
	ctx, cancel := c.config.TimedStore.WithTimeout(c.tomb.Context(context.Background()), readTimeout)
	defer cancel()
	o, err := c.config.Store.Transact(ctx, t)
	c.confirmation.writeAnswered()
	c.slotFreed()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || !o.Committed {
		return nil
	}
	for _, w := range x.jobs {
		c.planner.Forget(w.Job)
	}
	return nil
}
