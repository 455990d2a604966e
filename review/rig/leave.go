package main

import (
	"strings"
	"time"
)

func init() { cases["leave"] = playLeave }

// endsAfter is how long a worker that gets no acknowledgement of its leave message works on: some seconds.
const endsAfter = 3 * time.Second

// workerOf returns the worker on which the first run of a task is at work, nil if there is none.
func (c *cell) workerOf(task string) *worker {
	for _, x := range c.ledger.ofTask(task) {
		for _, w := range c.workers {
			if x.to.IsZero() && strings.HasPrefix(x.worker, w.id) {
				return w
			}
		}
	}
	return nil
}

// playLeave empties a worker and takes it away while a task that lasts is at work on it. With trouble the worker
// is cut off in one direction before it leaves: its messages arrive, calls to it are reset.
func playLeave(c *cell, trouble bool) outcome {
	if err := deploy(c, 2, repeatSize(8, small), lockRoute(), nightRoute()); err != nil {
		return notRun("%v", err)
	}
	q := newRequester(c)
	id := jobID(1)
	task := id + ".0.0.0"
	if !q.submit(lockPrefix+id, jobBody{Spec: "lasts", Steps: []jobStep{{Count: 1, CPU: 13000, MemMB: 26000, LongRunning: true}}}) {
		return notRun("the job was not accepted")
	}
	var w *worker
	if !waitFor(5*time.Second, func() bool { w = c.workerOf(task); return w != nil }) {
		return notRun("the task has not begun")
	}
	time.Sleep(3 * time.Second)
	if !w.drain(6 * time.Second) {
		return notRun("the check-in was not acknowledged")
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.refuseCalls()
		time.Sleep(300 * time.Millisecond)
	}
	acknowledged := w.leave()
	if trouble || !acknowledged {
		// The acknowledgement does not arrive.
		time.Sleep(endsAfter)
	}
	w.stopForGood()
	time.Sleep(3 * time.Second)
	a, b, both := c.ledger.overlap(task, time.Now())
	if both > 0 {
		return broken("TWICE: run %d of task %s on %s and run %d on %s were at work together for %s", a.run, task, a.worker, b.run, b.worker, both.Round(time.Millisecond))
	}
	return held("no two runs of task %s were at work together; runs: %d", task, len(c.ledger.ofTask(task)))
}

// refuseCalls begins a cut in one direction: calls to the worker are reset, what it sends arrives.
func (w *worker) refuseCalls() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuses = true
	w.record.logf("worker %s: is cut off in one direction, calls to it are reset", w.id)
	w.resetConns()
}
