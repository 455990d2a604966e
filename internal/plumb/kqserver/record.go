package kqserver

import (
	"bytes"
	"log"
	"maps"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// Reasons for which a connection is closed without an answer.
const (
	closedMemoryLimit     = "memory_limit"
	closedConnectionLimit = "connection_limit"
	closedSlowHeader      = "slow_header"
	closedSlowReader      = "slow_reader"
)

// counts holds the numbers of refused requests, by the name of the result, and of closed connections, by the reason.
type counts struct {
	refused map[string]uint64
	closed  map[string]uint64
}

// recordRefused counts and logs a refused request.
func (s *Server) recordRefused(now time.Time, x *exchange, why *kqresult.Error) {
	g := s.guard
	g.mu.Lock()
	g.counts.refused[why.Code.String()]++
	g.mu.Unlock()
	g.config.Events.Emit(now, kqevent.RequestRefused, kqevent.Process(g.config.Process), "%s %.100s from %s: %s", x.request.Method, x.request.URL.Path, x.request.RemoteAddr, why.Error())
}

// recordClosed counts and logs a connection that is closed without an answer.
func (s *Server) recordClosed(now time.Time, c *conn, reason string, code kqresult.Code) {
	g := s.guard
	g.mu.Lock()
	g.counts.closed[reason]++
	g.mu.Unlock()
	g.config.Events.Emit(now, kqevent.ConnectionClosed, kqevent.Process(g.config.Process), "connection of %s to %s: %s, %d %s", c.RemoteAddr(), c.LocalAddr(), reason, code, code)
}

// errorLog logs what the HTTP library reports: failed handshakes and panics of handlers.
type errorLog struct{ guard *Guard }

// logger returns a logger for the HTTP library; nil, its default, if events are not logged.
func (l errorLog) logger() *log.Logger {
	if l.guard.config.Events == nil {
		return nil
	}
	return log.New(l, "", 0)
}

// Write logs a message.
func (l errorLog) Write(message []byte) (int, error) {
	l.guard.config.Events.Emit(time.Now(), kqevent.ServerError, kqevent.Process(l.guard.config.Process), "%s", bytes.TrimSpace(message))
	return len(message), nil
}

var (
	refusedDesc     = prometheus.NewDesc("kumquatswitch_server_refused_total", "Requests that were refused because they were incomplete, by result.", []string{"result"}, nil)
	closedDesc      = prometheus.NewDesc("kumquatswitch_server_closed_total", "Connections that were closed without an answer, by reason.", []string{"reason"}, nil)
	connectionsDesc = prometheus.NewDesc("kumquatswitch_server_connections", "Open connections of clients.", nil, nil)
	heldDesc        = prometheus.NewDesc("kumquatswitch_server_request_bytes", "Memory that the requests of clients are taken to occupy.", nil, nil)
)

// Describe implements prometheus.Collector.
func (g *Guard) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{refusedDesc, closedDesc, connectionsDesc, heldDesc} {
		c <- d
	}
}

// Collect implements prometheus.Collector.
func (g *Guard) Collect(c chan<- prometheus.Metric) {
	g.mu.Lock()
	refused, closed := maps.Clone(g.counts.refused), maps.Clone(g.counts.closed)
	held, connections := g.held, g.connections
	g.mu.Unlock()
	for name, n := range refused {
		c <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(n), name)
	}
	for reason, n := range closed {
		c <- prometheus.MustNewConstMetric(closedDesc, prometheus.CounterValue, float64(n), reason)
	}
	c <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(connections))
	c <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(held))
}
