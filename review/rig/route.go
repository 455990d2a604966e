package main

import (
	"syscall"
	"time"
)

func init() { cases["route"] = playRoute }

// playRoute hands in a job that is due later. Then the operator removes its route, and the agent that owns the
// cell is stopped as planned and started again.
func playRoute(c *cell, trouble bool) outcome {
	const dueAfter = 14 * time.Second
	if err := deploy(c, 2, repeatSize(4, small), lockRoute(), nightRoute()); err != nil {
		return notRun("%v", err)
	}
	q := newRequester(c)
	id := jobID(1)
	due := time.Now().Add(dueAfter)
	j := jobBody{Spec: "ms=800", Steps: []jobStep{{Count: 2, CPU: 7000, MemMB: 13000, EstimateMS: 800}}, RepeatCount: 1, StartAtMS: due.UnixMilli()}
	if !q.submit(nightPrefix+id, j) {
		return notRun("the job was not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		c.store.putManifest(newManifest(8, lockRoute()))
	}
	time.Sleep(4 * time.Second)
	owner := c.owner()
	if owner == nil {
		return notRun("no agent owns the cell")
	}
	owner.stop(syscall.SIGTERM)
	time.Sleep(time.Second)
	if err := owner.start(); err != nil {
		return notRun("%v", err)
	}
	time.Sleep(time.Until(due))
	c.record.logf("the job is due")
	time.Sleep(finishTime)
	begun, _ := c.ledger.count(id + ".")
	time.Sleep(idleTime)
	after, done := c.ledger.count(id + ".")
	if begun == 0 && after == 0 {
		return broken("LOST: no task of the accepted job %s has begun %s after it was due and for %s more, with %d runs at work on 4 workers", id, finishTime, idleTime, c.ledger.inProgress())
	}
	return held("the job has run: %d runs, %d done", after, done)
}
