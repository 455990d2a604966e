package main

import "time"

func init() { cases["reserve"] = playReserve }

// largeCPU is what a task of the large job needs: almost all of a usual worker.
const largeCPU = 62000

// playReserve hands in a job with one large task. It fits on each worker; the largest worker is lost for good
// before.
func playReserve(c *cell, trouble bool) outcome {
	sizes := repeatSize(8, small)
	sizes[0].cpu, sizes[0].memMB = sizes[0].cpu*3/2, sizes[0].memMB*3/2
	if err := deploy(c, 2, sizes, lockRoute(), nightRoute()); err != nil {
		return notRun("%v", err)
	}
	q := newRequester(c)
	if trouble {
		c.workers[0].stopForGood()
		time.Sleep(12 * time.Second)
	}
	id := jobID(1)
	if !q.submit(nightPrefix+id, jobBody{Spec: "ms=2700", Steps: []jobStep{{Count: 1, CPU: largeCPU, MemMB: 100000, EstimateMS: 2700}}}) {
		return notRun("the job was not accepted")
	}
	time.Sleep(finishTime)
	before, _ := c.ledger.count(id + ".")
	time.Sleep(idleTime)
	begun, done := c.ledger.count(id + ".")
	state := q.state(nightPrefix + id)
	if before == 0 && begun == 0 {
		return broken("LOST: the task of the accepted job %s needs %d thousandths of a core and has not begun %s after it was handed in and for %s more, with %d runs at work on seven workers of %d each; it is shown as %s",
			id, largeCPU, finishTime, idleTime, c.ledger.inProgress(), small.cpu, state)
	}
	return held("the job has run: %d runs, %d done; it is shown as %s", begun, done, state)
}
