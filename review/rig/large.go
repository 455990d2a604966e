package main

import (
	"strings"
	"time"
)

func init() { cases["large"] = playLarge }

const (
	// specBytes is the largest spec of a job, largeTasks and usualTasks are the numbers of its tasks.
	specBytes  = 4000
	largeTasks = 2400
	usualTasks = 600
)

// playLarge hands in a job of many small tasks that need the label b, which one worker has, and small jobs that
// need it too. With trouble the job is larger.
func playLarge(c *cell, trouble bool) outcome {
	sizes := repeatSize(8, small)
	sizes[0].kind = "b"
	if err := deploy(c, 2, sizes, lockRoute(), nightRoute()); err != nil {
		return notRun("%v", err)
	}
	q := newRequester(c)
	count := usualTasks
	if trouble {
		count = largeTasks
	}
	spec := "ms=2000 "
	spec += strings.Repeat("x", specBytes-len(spec))
	large := jobID(9000)
	if !q.submit(lockPrefix+large, jobBody{Spec: spec, Steps: []jobStep{{Count: count, CPU: 20, MemMB: 50, EstimateMS: 2000, Constraints: "b"}}}) {
		return notRun("the large job was not accepted")
	}
	var accepted []string
	begin := time.Now()
	for n := 0; time.Since(begin) < trafficTime; n++ {
		id := jobID(n)
		if q.submit(lockPrefix+id, jobBody{Spec: "ms=500", Steps: []jobStep{{Count: 1, CPU: 960, MemMB: 1900, EstimateMS: 500, Constraints: "b"}}}) {
			accepted = append(accepted, id)
		}
		time.Sleep(jobInterval)
	}
	time.Sleep(finishTime + idleTime)
	begun, done := c.ledger.count(large + ".")
	still := notBegun(c, accepted)
	c.record.logf("of the %d tasks of the large job %d runs have begun, %d are done; of %d small jobs %d have not begun; %d runs are at work", count, begun, done, len(accepted), len(still), c.ledger.inProgress())
	if begun == 0 || len(still) > 0 {
		return broken("LOST: the large job has had %d runs, %d of %d small jobs have not begun %s after the traffic; the large job is shown as %s",
			begun, len(still), len(accepted), finishTime+idleTime, q.state(lockPrefix+large))
	}
	return held("the large job has had %d runs, %d done; all %d small jobs have run", begun, done, len(accepted))
}
