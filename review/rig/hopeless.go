package main

import (
	"fmt"
	"time"
)

func init() { cases["hopeless"] = playHopeless }

// hopelessSteps is the number of steps of the job that can never be done.
const hopelessSteps = 25

// hopelessJob is a job whose tasks need more memory than any worker has.
func hopelessJob() jobBody {
	j := jobBody{Spec: "lasts"}
	for n := range hopelessSteps {
		j.Steps = append(j.Steps, jobStep{Count: 1, CPU: 8000, MemMB: 2 * small.memMB, LongRunning: true, Fills: true, Image: fmt.Sprintf("report-%d", n)})
	}
	return j
}

// playHopeless hands in jobs that fill, and with trouble one job before them that can never be done.
func playHopeless(c *cell, trouble bool) outcome {
	const workers = 8
	if err := deploy(c, 2, repeatSize(workers, small), lockRoute(), nightRoute()); err != nil {
		return notRun("%v", err)
	}
	q := newRequester(c)
	var accepted []string
	begin := time.Now()
	for n := 0; time.Since(begin) < trafficTime; n++ {
		if trouble && n == hopelessAfter && !q.submit(nightPrefix+jobID(9000), hopelessJob()) {
			return notRun("the job that can never be done was not accepted")
		}
		id := jobID(n)
		if q.submit(nightPrefix+id, jobBody{Spec: "ms=1000", Steps: []jobStep{{Count: 2, CPU: 7000, MemMB: 13000, EstimateMS: 1000, Fills: true, Image: "settle"}}}) {
			accepted = append(accepted, id)
		}
		time.Sleep(jobInterval)
	}
	c.record.logf("the traffic has ended: %d jobs that fill were accepted", len(accepted))
	time.Sleep(finishTime)
	waiting := notBegun(c, accepted)
	c.record.logf("finish_s after the traffic: of %d accepted jobs %d have not begun, %d runs are at work on %d workers", len(accepted), len(waiting), c.ledger.inProgress(), workers)
	time.Sleep(idleTime)
	still := notBegun(c, waiting)
	if len(still) > 0 {
		return broken("LOST: %d of %d accepted jobs have nothing running %s after the traffic and for %s more, with %d runs at work on %d workers; job %s is shown as %s",
			len(still), len(accepted), finishTime, idleTime, c.ledger.inProgress(), workers, still[0], q.state(nightPrefix+still[0]))
	}
	return held("all %d accepted jobs have run", len(accepted))
}

// hopelessAfter is the number of jobs before the one that can never be done.
const hopelessAfter = 12
