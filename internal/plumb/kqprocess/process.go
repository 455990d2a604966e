// Package kqprocess provides the metrics, health and readiness routes of every process.
package kqprocess

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
)

// NewBootID returns a random ID that identifies this process; it changes with every start.
func NewBootID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// softLimitPercent is the part of the memory limit of a process that the Go runtime gets as its soft limit. The rest is
// for what the kernel holds for the process.
const softLimitPercent = 70

// LimitMemory lets the Go runtime collect garbage before the process reaches its memory limit, in bytes. It does nothing
// if there is no limit, 0.
func LimitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(bytes / 100 * softLimitPercent)
	}
}

// Config configures a Monitor.
type Config struct {
	// Ready reports whether the process accepts work.
	Ready func() bool
	// Counter counts the invariant violations, which are exported as a metric.
	Counter *kqinvariant.Counter
}

// Monitor serves the metrics, health and readiness of a process.
type Monitor struct {
	// Registry holds the metrics of the process.
	Registry *prometheus.Registry
	config   Config
}

// New returns a Monitor with the metrics that every process has: those of the Go runtime, of the
// process and of invariant violations.
func New(c Config) *Monitor {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "kumquatswitch_invariant_violations_total",
			Help: "Violations of invariants that the program checks at run time."},
			func() float64 { return float64(c.Counter.Total()) }))
	return &Monitor{Registry: r, config: c}
}

// AddGauge adds a gauge; value is called at each scrape. The prefix kumquatswitch_ is added to
// name.
func (m *Monitor) AddGauge(name, help string, value func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "kumquatswitch_" + name, Help: help}, value))
}

// AddRoutes adds the routes /metrics, /healthz and /readyz to r.
func (m *Monitor) AddRoutes(r *bunrouter.Router) {
	r.GET("/metrics", bunrouter.HTTPHandler(promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})))
	r.GET("/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		_, err := w.Write([]byte("ok\n"))
		return err
	})
	r.GET("/readyz", m.ready)
}

func (m *Monitor) ready(w http.ResponseWriter, _ bunrouter.Request) error {
	if !m.config.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, err := w.Write([]byte("not ready\n"))
		return err
	}
	_, err := w.Write([]byte("ready\n"))
	return err
}
