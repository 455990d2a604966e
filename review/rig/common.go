package main

import "time"

const (
	lockPrefix  = "/lohu930/"
	nightPrefix = "/pufi791/"
)

// lockRoute and nightRoute are queues like those of the site kaluvi-ops.
func lockRoute() route  { return newRoute("r-3hwrr6x", lockPrefix, 0, 250) }
func nightRoute() route { return newRoute("r-73d3zji", nightPrefix, 2, 1000) }

// settleTime is how long a deployment has to start, as before the traffic of a day.
const settleTime = 5 * time.Second

// deploy starts entries and workers and waits until a job is served.
func deploy(c *cell, entries int, sizes []workerSize, routes ...route) error {
	c.store.putManifest(newManifest(3, routes...))
	for range entries {
		if err := c.addEntry(); err != nil {
			return err
		}
	}
	for _, s := range sizes {
		if err := c.addAgent(s); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// repeatSize returns count workers of a size.
func repeatSize(count int, s workerSize) []workerSize {
	out := make([]workerSize, count)
	for i := range out {
		out[i] = s
	}
	return out
}

// small is a worker like those of the site kaluvi-ops.
var small = workerSize{cpu: 64000, memMB: 256000, kind: "a"}

// waitFor waits until a condition holds, at most for a limit, and reports whether it holds.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
