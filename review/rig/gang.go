package main

import "time"

func init() { cases["gangs"] = playGangs }

const (
	// trafficTime is how long small jobs are handed in.
	trafficTime = 24 * time.Second
	// jobInterval is the time between two small jobs.
	jobInterval = 400 * time.Millisecond
	// finishTime is finish_s: the jobs are asked for that long after the end of the traffic.
	finishTime = 14 * time.Second
	// lossAfter is the number of small jobs before the loss of the worker.
	lossAfter = 16
	// idleTime is how long a job may have nothing running while its turn has come and there is room.
	idleTime = 3 * time.Second
)

// recurringGang is a job that recurs every three seconds. Its tasks work only together, on workers with the label
// b.
func recurringGang(at time.Time) jobBody {
	return jobBody{Spec: "ms=800 gang=4", RepeatCount: 8, StartAtMS: at.UnixMilli(), IntervalMS: 3000,
		Steps: []jobStep{{Count: 4, CPU: 960, MemMB: 1900, EstimateMS: 800, Gang: true, Constraints: "b"}}}
}

// playGangs hands in small jobs beside a recurring gang. The only worker with the label that the gang needs is
// lost for good.
func playGangs(c *cell, trouble bool) outcome {
	const workers = 8
	sizes := repeatSize(workers, small)
	sizes[0].kind = "b"
	if err := deploy(c, 2, sizes, lockRoute(), nightRoute()); err != nil {
		return notRun("%v", err)
	}
	q := newRequester(c)
	var accepted []string
	begin := time.Now()
	gang := jobID(9000)
	if !q.submit(lockPrefix+gang, recurringGang(begin)) {
		return notRun("the gang was not accepted")
	}
	for n := 0; time.Since(begin) < trafficTime; n++ {
		if trouble && n == lossAfter {
			c.workers[0].stopForGood()
		}
		id := jobID(n)
		if q.submit(nightPrefix+id, jobBody{Spec: "ms=1000", Steps: []jobStep{{Count: 2, CPU: 2000, MemMB: 4000, EstimateMS: 1000}}}) {
			accepted = append(accepted, id)
		}
		time.Sleep(jobInterval)
	}
	begun, done := c.ledger.count(gang + ".")
	c.record.logf("the traffic has ended: %d small jobs were accepted; the gang has had %d runs, %d done", len(accepted), begun, done)
	time.Sleep(finishTime)
	waiting := notBegun(c, accepted)
	c.record.logf("finish_s after the traffic: of %d accepted small jobs %d have not begun, %d runs are at work on %d workers", len(accepted), len(waiting), c.ledger.inProgress(), workers)
	time.Sleep(idleTime)
	still := notBegun(c, waiting)
	if len(still) > 0 {
		state := q.state(nightPrefix + still[0])
		return broken("LOST: %d of %d accepted small jobs have nothing running %s after the traffic and for %s more, with %d runs at work; job %s is shown as %s",
			len(still), len(accepted), finishTime, idleTime, c.ledger.inProgress(), still[0], state)
	}
	return held("all %d accepted small jobs have run", len(accepted))
}

// notBegun returns the jobs of which no task has begun.
func notBegun(c *cell, ids []string) (out []string) {
	for _, id := range ids {
		if begun, _ := c.ledger.count(id + "."); begun == 0 {
			out = append(out, id)
		}
	}
	return out
}
