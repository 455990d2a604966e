package kqfront

import (
	"math/rand/v2"
	"time"
)

const (
	minRetryDelay = time.Second
	maxRetryDelay = 16 * time.Second
)

// RetryAfter returns the delay, in whole seconds, after which a caller should retry when the
// store has been unavailable for outage. It is the outage, but at least minRetryDelay and at most
// maxRetryDelay, times 1+random. random in [0, 1) spreads the callers so that they do not all
// retry in the second in which the store is available again.
func RetryAfter(outage time.Duration, random float64) time.Duration {
	base := min(maxRetryDelay, max(minRetryDelay, outage))
	delay := time.Duration((1 + random) * float64(base))
	return delay.Truncate(time.Second)
}

// RetryAfter returns the delay after which a caller whose request was refused should retry.
func (f *Frontend) RetryAfter() time.Duration {
	return RetryAfter(f.health.unavailableFor(f.config.Now()), rand.Float64())
}
