package main

import "time"

func init() { cases["latehold"] = playLateHold }

const (
	// lateBy is how long after it was sent a call without an answer is carried out; the pages name 2 to 12 s.
	lateBy = 9 * time.Second
	// cutTime is how long the worker is cut off.
	cutTime = 12 * time.Second
)

// lasting is a job with one task that lasts, on a worker with the label b. No two fit on one worker.
func lasting() jobBody {
	return jobBody{Spec: "lasts", Steps: []jobStep{{Count: 1, CPU: 40000, MemMB: 26000, LongRunning: true, Constraints: "b"}}}
}

// playLateHold crashes one of two workers with the label b while a hold waits for its answer. It starts again
// under its id, gets a task, and is cut off; the hold is carried out late by the second life.
func playLateHold(c *cell, trouble bool) outcome {
	sizes := repeatSize(8, small)
	for i := range sizes {
		sizes[i].births, sizes[i].age = true, 8*time.Minute
	}
	sizes[0].kind, sizes[1].kind = "b", "b"
	if err := deploy(c, 2, sizes, lockRoute(), nightRoute()); err != nil {
		return notRun("%v", err)
	}
	q := newRequester(c)
	first, second := jobID(1), jobID(2)
	w := c.workers[0]
	if trouble && !w.crashInHold(time.Second, lateBy) {
		return notRun("no hold waited for its answer")
	}
	if !q.submit(lockPrefix+first, lasting()) || !waitFor(5*time.Second, func() bool { return c.workerOf(first+".0.0.0") != nil }) {
		return notRun("the first job was not accepted or has not begun")
	}
	time.Sleep(2 * time.Second)
	task := second + ".0.0.0"
	if !q.submit(lockPrefix+second, lasting()) || !waitFor(5*time.Second, func() bool { return c.workerOf(task) != nil }) {
		return notRun("the second job was not accepted or has not begun")
	}
	if trouble && c.workerOf(task) != w {
		return notRun("the task runs on another worker")
	}
	q.send(q.entry(), "DELETE", lockPrefix+first, nil)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		w.cut()
		time.Sleep(cutTime)
		w.heal()
	}
	time.Sleep(4 * time.Second)
	a, b, both := c.ledger.overlap(task, time.Now())
	if both > 0 {
		return broken("TWICE: run %d of task %s on %s and run %d on %s were at work together for %s", a.run, task, a.worker, b.run, b.worker, both.Round(time.Millisecond))
	}
	return held("no two runs of task %s were at work together; runs: %d", task, len(c.ledger.ofTask(task)))
}
