package kqentry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// metrics holds the Prometheus metrics of the calls of an entry.
type metrics struct {
	calls   *prometheus.CounterVec
	latency *prometheus.HistogramVec
}

func newMetrics(r *prometheus.Registry) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kumquatswitch_calls_total",
			Help: "Calls that ended, by class and result code."}, []string{"class", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "kumquatswitch_call_seconds",
			Help: "Time until the head of the answer.", NativeHistogramBucketFactor: 1.1}, []string{"class"}),
	}
	r.MustRegister(m.calls, m.latency)
	return m
}

// recordCall counts a finished call; class is a class in force or "unknown". The latency
// is recorded for successful calls only.
func (m *metrics) recordCall(class string, c kqresult.Code, d time.Duration) {
	m.calls.WithLabelValues(class, strconv.Itoa(int(c))).Inc()
	if c == kqresult.OK {
		m.latency.WithLabelValues(class).Observe(d.Seconds())
	}
}
