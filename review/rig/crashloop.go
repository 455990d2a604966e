package main

import "time"

func init() { cases["crashloop"] = playCrashLoop }

const (
	// crashes is how often the worker crashes, upTime how long after its start, and downTime how long it is away.
	crashes  = 5
	upTime   = 2 * time.Second
	downTime = time.Second
)

// playCrashLoop hands in a job whose task only one worker may run. That worker crashes several times, each time a
// while after its start, and is sound from then on.
func playCrashLoop(c *cell, trouble bool) outcome {
	sizes := repeatSize(8, small)
	sizes[0].kind = "b"
	if err := deploy(c, 2, sizes, lockRoute(), nightRoute()); err != nil {
		return notRun("%v", err)
	}
	q := newRequester(c)
	id := jobID(1)
	if !q.submit(nightPrefix+id, jobBody{Spec: "ms=6000", Steps: []jobStep{{Count: 1, CPU: 7000, MemMB: 13000, EstimateMS: 6000, Constraints: "b"}}}) {
		return notRun("the job was not accepted")
	}
	if trouble {
		time.Sleep(upTime)
		for range crashes {
			c.workers[0].crash(downTime)
			time.Sleep(downTime + upTime)
		}
	}
	state := ""
	waitFor(30*time.Second, func() bool {
		time.Sleep(time.Second)
		state = q.state(nightPrefix + id)
		return state == "failed" || state == "completed"
	})
	failed := 0
	for _, r := range c.ledger.ofTask(id + ".0.0.0") {
		if r.how == "failed" {
			failed++
		}
	}
	if state == "failed" && failed == 0 {
		return broken("LOST: job %s is shown as failed; of its %d runs none has ended failed", id, len(c.ledger.ofTask(id+".0.0.0")))
	}
	return held("job %s is shown as %q; %d runs have ended failed", id, state, failed)
}
