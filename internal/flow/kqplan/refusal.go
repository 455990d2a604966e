package kqplan

import (
	"maps"
	"time"
)

// refusalBar is the time for which a long-running task is not placed on a host again whose worker has
// refused it. Otherwise a worker that refuses all starts but costs the least, or is the only one with
// free capacity, is chosen each time. It is long enough for preempted runs on another host to stop, and
// short because the only worker may refuse for a moment.
const refusalBar = 2 * time.Second

// barHost bars a host for a long-running task for refusalBar. Finite tasks are not barred: they are
// short, and a wait for the only worker costs them more.
func (t *task) barHost(now time.Time, h *host) {
	if !t.step.LongRunning {
		return
	}
	if t.barredUntil == nil {
		t.barredUntil = map[string]time.Time{}
	}
	t.barredUntil[h.name] = now.Add(refusalBar)
}

// hasBarredHosts reports whether a host is barred for the task. It removes the bars that have ended.
func (t *task) hasBarredHosts(now time.Time) bool {
	maps.DeleteFunc(t.barredUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	return len(t.barredUntil) > 0
}
