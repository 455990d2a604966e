// Package kqladder decides how far the batch tasks of one host are throttled
// or suspended for the sake of the services beside them. It does no I/O.
package kqladder

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

const (
	// downInterval is the shortest time between two steps down.
	downInterval = 1 * time.Second
	// upInterval is the shortest time between two steps up.
	upInterval = 3 * time.Second
	// calmFor is how long services must be well before the first step up.
	calmFor = 4 * time.Second
	// missShare and calmShare of the target bound the band of no change.
	missShare = 0.95
	calmShare = 0.80
	// cut is the share that a throttled task keeps at each step down.
	cut = 0.5
	// rise is the share that a throttled task gets back at each step up.
	rise = 0.15
	// floor is the smallest share; below it a task is suspended.
	floor = 0.12
	// minCalls is how many calls a measurement needs to count.
	minCalls = 8
)

// Service is how a class of service does on the host.
type ServiceLatency struct {
	// Class is the class.
	Class string
	// Latency is the latency at the class's percentile.
	Latency time.Duration
	// Target is the class's latency target.
	Target time.Duration
	// Calls is how many calls were measured.
	Calls int64
}

// Missing reports whether the service is at or over its target.
func (s ServiceLatency) MissesTarget() bool {
	return s.Calls >= minCalls && float64(s.Latency) > missShare*float64(s.Target)
}

func (s ServiceLatency) calm() bool {
	return s.Calls < minCalls || float64(s.Latency) < calmShare*float64(s.Target)
}

// Task is a batch attempt on the host.
type Task struct {
	// ID names the attempt.
	ID kqmodel.AttemptID
	// Interference is the slowdown that the task is expected to cause.
	Interference float64
	// Processors is what the task reserves.
	Processors float64
}

// Setting is what the ladder wants of one task.
type Setting struct {
	// Share is the share of its processors that the task gets, from 0 to 1.
	Share float64
	// Suspended is true if the task is to pause.
	Suspended bool
}

// Ladder holds the settings of the batch tasks of one host; its zero value
// lets all run freely.
type Throttler struct {
	settings  map[kqmodel.AttemptID]Setting
	changedAt time.Time
	missedAt  time.Time
}

// Step brings the settings to the present time and returns them. One step
// touches one task, the one that is expected to matter most.
func (l *Throttler) Step(now time.Time, services []ServiceLatency, tasks []Task) map[kqmodel.AttemptID]Setting {
	l.keep(tasks)
	missing := slices.ContainsFunc(services, ServiceLatency.MissesTarget)
	calm := !slices.ContainsFunc(services, func(s ServiceLatency) bool { return !s.calm() })
	if !calm {
		l.missedAt = now
	}
	switch {
	case missing && now.Sub(l.changedAt) >= downInterval:
		l.down(now, tasks)
	case calm && now.Sub(l.missedAt) >= calmFor && now.Sub(l.changedAt) >= upInterval:
		l.up(now, tasks)
	}
	return l.settings
}

// keep drops the settings of tasks that have gone and adds those of new ones:
// a new task begins at the share of the most throttled one.
func (l *Throttler) keep(tasks []Task) {
	next := make(map[kqmodel.AttemptID]Setting, len(tasks))
	lowest := 1.0
	for _, t := range tasks {
		if s, ok := l.settings[t.ID]; ok {
			next[t.ID] = s
			lowest = min(lowest, s.Share)
		}
	}
	for _, t := range tasks {
		if _, ok := next[t.ID]; !ok {
			next[t.ID] = Setting{Share: lowest}
		}
	}
	l.settings = next
}

// effect is what a task is expected to cost the services now. A task of which
// nothing is known yet is judged by its size.
func (l *Throttler) effect(t Task) float64 {
	const unknown = 0.001
	s := l.settings[t.ID]
	if s.Suspended {
		return 0
	}
	return (t.Interference + unknown*t.Processors) * s.Share
}

// down throttles the task with the largest effect, or suspends it at the floor.
func (l *Throttler) down(now time.Time, tasks []Task) {
	if len(tasks) == 0 {
		return
	}
	t := slices.MaxFunc(tasks, func(a, b Task) int { return cmp.Compare(l.effect(a), l.effect(b)) })
	s := l.settings[t.ID]
	if s.Suspended {
		return
	}
	s.Share *= cut
	if s.Share < floor {
		s.Share, s.Suspended = floor, true
	}
	l.settings[t.ID] = s
	l.changedAt = now
}

// up lets the task with the smallest expected effect have more.
func (l *Throttler) up(now time.Time, tasks []Task) {
	var held []Task
	for _, t := range tasks {
		if s := l.settings[t.ID]; s.Suspended || s.Share < 1 {
			held = append(held, t)
		}
	}
	if len(held) == 0 {
		return
	}
	t := slices.MinFunc(held, func(a, b Task) int { return cmp.Compare(a.Interference, b.Interference) })
	s := l.settings[t.ID]
	if s.Suspended {
		s.Suspended = false
	} else {
		s.Share = min(1, s.Share+rise)
	}
	l.settings[t.ID] = s
	l.changedAt = now
}
