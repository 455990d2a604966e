// Package kqprocess holds what every process serves beside its own work:
// metrics, health and readiness.
package kqprocess

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
)

// NewBoot returns an identifier of this process that no other process has.
func NewBootID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Config sets up a Side.
type Config struct {
	// Ready reports whether the process takes work.
	Ready func() bool
	// Counter is the breaches to show as a metric.
	Counter *kqinvariant.Counter
}

// Side is the metrics, health and readiness of one process.
type Monitor struct {
	// Registry holds the metrics.
	Registry *prometheus.Registry
	config   Config
}

// New returns a Side with the metrics that every process has.
func New(c Config) *Monitor {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "kumquatswitch_invariant_violations_total",
			Help: "Breaches of conditions that the program asserts about itself."},
			func() float64 { return float64(c.Counter.Total()) }))
	return &Monitor{Registry: r, config: c}
}

// Gauge adds a metric whose value is asked for at each scrape.
func (s *Monitor) AddGauge(name, help string, value func() float64) {
	s.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "kumquatswitch_" + name, Help: help}, value))
}

// Routes adds /metrics, /healthz and /readyz.
func (s *Monitor) AddRoutes(r *bunrouter.Router) {
	r.GET("/metrics", bunrouter.HTTPHandler(promhttp.HandlerFor(s.Registry, promhttp.HandlerOpts{})))
	r.GET("/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		_, err := w.Write([]byte("ok\n"))
		return err
	})
	r.GET("/readyz", s.ready)
}

func (s *Monitor) ready(w http.ResponseWriter, _ bunrouter.Request) error {
	if !s.config.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, err := w.Write([]byte("not ready\n"))
		return err
	}
	_, err := w.Write([]byte("ready\n"))
	return err
}
