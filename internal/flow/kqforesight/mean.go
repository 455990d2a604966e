package kqforesight

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of DecayingMean.
	decayTime = 10 * time.Second
	// minObserved is the minimum time over which the first work is averaged.
	minObserved = 2 * time.Second
)

// DecayingMean is the mean demand over about the last 10 s, weighted exponentially by age.
type DecayingMean struct {
	// weightedSum is the work weighted by its age at updatedAt, in processor-seconds.
	weightedSum float64
	updatedAt   time.Time
	firstAt     time.Time
}

// AddWork adds work that arrives now, in processor-seconds.
func (m *DecayingMean) AddWork(now time.Time, work float64) {
	if m.firstAt.IsZero() {
		m.firstAt = now
	}
	m.weightedSum, m.updatedAt = m.decayedSum(now)+work, now
}

// decayedSum returns the work weighted by its present age.
func (m *DecayingMean) decayedSum(now time.Time) float64 {
	if m.weightedSum == 0 {
		return 0
	}
	return m.weightedSum * math.Exp(-now.Sub(m.updatedAt).Seconds()/decayTime.Seconds())
}

// Processors returns the mean demand in processors.
func (m *DecayingMean) Processors(now time.Time) float64 {
	observed := max(minObserved, now.Sub(m.firstAt))
	return m.decayedSum(now) / (decayTime.Seconds() * (1 - math.Exp(-observed.Seconds()/decayTime.Seconds())))
}
