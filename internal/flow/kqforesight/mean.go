package kqforesight

import (
	"math"
	"time"
)

const (
	// meanTime is over about what time Mean weighs what came.
	meanTime = 10 * time.Second
	// leastSeen bounds from below over what time the first work is taken to have
	// come.
	leastSeen = 2 * time.Second
)

// Mean is the mean demand of about the last 10 s.
type DecayingMean struct {
	value float64
	at    time.Time
	since time.Time
}

// Add takes over work that has come, in processor-seconds.
func (m *DecayingMean) AddWork(now time.Time, work float64) {
	if m.since.IsZero() {
		m.since = now
	}
	m.value, m.at = m.sum(now)+work, now
}

// sum returns what came, weighted by its age.
func (m *DecayingMean) sum(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/meanTime.Seconds())
}

// Processors returns the mean number of processors that the work takes.
func (m *DecayingMean) Processors(now time.Time) float64 {
	seen := max(leastSeen, now.Sub(m.since))
	return m.sum(now) / (meanTime.Seconds() * (1 - math.Exp(-seen.Seconds()/meanTime.Seconds())))
}
