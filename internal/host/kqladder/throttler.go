// Package kqladder decides how far the batch tasks of one host are throttled or suspended to
// protect the services colocated with them. It does no I/O.
package kqladder

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

const (
	// minThrottleInterval is the shortest time between two steps that throttle a task.
	minThrottleInterval = 1 * time.Second
	// minReleaseInterval is the shortest time between two steps that release a task.
	minReleaseInterval = 3 * time.Second
	// releaseDelay is how long all services must have headroom before the first release.
	releaseDelay = 4 * time.Second
	// missRatio and headroomRatio are the ratios of latency to target above which a service
	// misses its target and below which it has headroom. Between them nothing changes.
	missRatio     = 0.95
	headroomRatio = 0.80
	// throttleFactor is the part of its share that a task keeps each time it is throttled.
	throttleFactor = 0.5
	// releaseIncrement is the share that a throttled task gets back at each release.
	releaseIncrement = 0.15
	// minShare is the smallest share; a task whose share falls below it is suspended.
	minShare = 0.12
	// minCalls is the number of calls that a latency measurement needs to be used.
	minCalls = 8
)

// ServiceLatency is the measured latency of a class of service on the host.
type ServiceLatency struct {
	// Class is the name of the class.
	Class string
	// Latency is the latency at the class's percentile.
	Latency time.Duration
	// Target is the class's latency target.
	Target time.Duration
	// Calls is the number of calls measured.
	Calls int64
}

// MissesTarget reports whether enough calls were measured and their latency is above 95 % of
// the target.
func (s ServiceLatency) MissesTarget() bool {
	return s.Calls >= minCalls && float64(s.Latency) > missRatio*float64(s.Target)
}

// hasHeadroom reports whether the latency is below 80 % of its target, or whether too few
// calls were measured.
func (s ServiceLatency) hasHeadroom() bool {
	return s.Calls < minCalls || float64(s.Latency) < headroomRatio*float64(s.Target)
}

// Task is a batch attempt on the host.
type Task struct {
	// ID names the attempt.
	ID kqmodel.AttemptID
	// Interference is the slowdown that the task is expected to cause to the services; 0.1
	// is 10 %.
	Interference float64
	// Processors is the number of processors that the task reserves.
	Processors float64
}

// Setting is how far one task is throttled.
type Setting struct {
	// Share is the share of its processors that the task may use, from 0 to 1.
	Share float64
	// Suspended is true if the task is to be suspended.
	Suspended bool
}

// Throttler holds the settings of the batch tasks of one host. With its zero value no task is
// throttled.
type Throttler struct {
	settings map[kqmodel.AttemptID]Setting
	// changedAt is when a setting was last changed.
	changedAt time.Time
	// noHeadroomAt is when a service last had no headroom.
	noHeadroomAt time.Time
}

// Step updates the settings from the present latencies and returns them. One step changes at
// most one task: it throttles the one with the largest expected effect on the services, or
// releases the one with the smallest expected interference.
func (th *Throttler) Step(now time.Time, services []ServiceLatency, tasks []Task) map[kqmodel.AttemptID]Setting {
	th.syncTasks(tasks)
	missesTarget := slices.ContainsFunc(services, ServiceLatency.MissesTarget)
	allHaveHeadroom := !slices.ContainsFunc(services, func(s ServiceLatency) bool { return !s.hasHeadroom() })
	if !allHaveHeadroom {
		th.noHeadroomAt = now
	}
	switch {
	case missesTarget && now.Sub(th.changedAt) >= minThrottleInterval:
		th.throttleOne(now, tasks)
	case allHaveHeadroom && now.Sub(th.noHeadroomAt) >= releaseDelay && now.Sub(th.changedAt) >= minReleaseInterval:
		th.releaseOne(now, tasks)
	}
	return th.settings
}

// syncTasks drops the settings of tasks that have left the host and adds settings for new
// ones. A new task starts with the share of the most throttled task.
func (th *Throttler) syncTasks(tasks []Task) {
	next := make(map[kqmodel.AttemptID]Setting, len(tasks))
	lowest := 1.0
	for _, t := range tasks {
		if s, ok := th.settings[t.ID]; ok {
			next[t.ID] = s
			lowest = min(lowest, s.Share)
		}
	}
	for _, t := range tasks {
		if _, ok := next[t.ID]; !ok {
			next[t.ID] = Setting{Share: lowest}
		}
	}
	th.settings = next
}

// expectedSlowdown returns the slowdown that a task with its present setting is expected to
// cause to the services. The small amount per processor ranks tasks by size if their
// interference is not known yet.
func (th *Throttler) expectedSlowdown(t Task) float64 {
	const slowdownPerProcessor = 0.001
	s := th.settings[t.ID]
	if s.Suspended {
		return 0
	}
	return (t.Interference + slowdownPerProcessor*t.Processors) * s.Share
}

// throttleOne throttles the task with the largest expected effect on the services, or
// suspends it if its share falls below minShare.
func (th *Throttler) throttleOne(now time.Time, tasks []Task) {
	if len(tasks) == 0 {
		return
	}
	t := slices.MaxFunc(tasks, func(a, b Task) int { return cmp.Compare(th.expectedSlowdown(a), th.expectedSlowdown(b)) })
	s := th.settings[t.ID]
	if s.Suspended {
		return
	}
	s.Share *= throttleFactor
	if s.Share < minShare {
		s.Share, s.Suspended = minShare, true
	}
	th.settings[t.ID] = s
	th.changedAt = now
}

// releaseOne resumes the throttled task with the smallest expected interference, or raises
// its share.
func (th *Throttler) releaseOne(now time.Time, tasks []Task) {
	var throttled []Task
	for _, t := range tasks {
		if s := th.settings[t.ID]; s.Suspended || s.Share < 1 {
			throttled = append(throttled, t)
		}
	}
	if len(throttled) == 0 {
		return
	}
	t := slices.MinFunc(throttled, func(a, b Task) int { return cmp.Compare(a.Interference, b.Interference) })
	s := th.settings[t.ID]
	if s.Suspended {
		s.Suspended = false
	} else {
		s.Share = min(1, s.Share+releaseIncrement)
	}
	th.settings[t.ID] = s
	th.changedAt = now
}
