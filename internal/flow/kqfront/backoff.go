package kqfront

import (
	"math/rand/v2"
	"time"
)

const (
	leastReturn = time.Second
	mostReturn  = 16 * time.Second
)

// ReturnAfter returns when to ask callers back, in whole seconds, while the store
// has been out for some time: about as long again, spread by a draw from [0, 1),
// so that not all of them meet the store in the second in which it is back.
func RetryAfter(out time.Duration, draw float64) time.Duration {
	base := min(mostReturn, max(leastReturn, out))
	spread := time.Duration((1 + draw) * float64(base))
	return spread.Truncate(time.Second)
}

// ReturnAfter returns when to ask a caller back whose request was refused.
func (f *Frontend) RetryAfter() time.Duration {
	return RetryAfter(f.health.outFor(f.config.Now()), rand.Float64())
}
