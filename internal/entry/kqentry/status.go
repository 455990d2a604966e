package kqentry

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uptrace/bunrouter"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqwindow"
)

const (
	statusWindow     = 10 * time.Second
	minLatencyMicros = int64(10)
	maxLatencyMicros = int64(600_000_000)
	latencyDigits    = 2
)

// callStats holds the results and latencies of the recent calls of each class.
type callStats struct {
	mu      sync.Mutex
	classes map[string]*kqwindow.Window[windowStats]
}

// windowStats holds the latencies and result codes of the calls of one time window.
type windowStats struct {
	latency *hdrhistogram.Histogram
	codes   map[kqresult.Code]int64
}

func newWindowStats() windowStats {
	return windowStats{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits), codes: map[kqresult.Code]int64{}}
}

// window returns the time windows of a class and creates them if needed. The caller holds
// mu.
func (o *callStats) window(now time.Time, name string) *kqwindow.Window[windowStats] {
	if o.classes == nil {
		o.classes = map[string]*kqwindow.Window[windowStats]{}
	}
	w := o.classes[name]
	if w == nil {
		w = kqwindow.New(now, statusWindow, newWindowStats)
		o.classes[name] = w
	}
	return w
}

// record adds a finished call. The latency is recorded for successful calls only.
func (o *callStats) record(now time.Time, class string, code kqresult.Code, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.window(now, class).Current(now)
	t.codes[code]++
	if code == kqresult.OK {
		_ = t.latency.RecordValue(min(d.Microseconds(), maxLatencyMicros))
	}
}

// ClassStatus describes a class and whether its calls meet the latency target.
type ClassStatus struct {
	// Class is the class with its targets.
	Class kqmodel.ClassSpec `json:"class"`
	// Endpoints is the number of endpoints that accept calls of the class.
	Endpoints int `json:"endpoints"`
	// Calls is the number of calls that ended in the last 10 to 20 seconds, by result.
	Calls map[string]int64 `json:"calls,omitempty"`
	// LatencySeconds is the latency at the percentile of the class, in seconds, over the
	// same time.
	LatencySeconds float64 `json:"latency_seconds,omitempty"`
	// TargetMet is true if the latency target is met, or if there is no target or no
	// successful call to compare with it.
	TargetMet bool `json:"met"`
	// Mitigation describes how the system reacts to a missed target or to refused calls.
	Mitigation string `json:"doing,omitempty"`
}

// classStatus returns the status of a class from the calls that this entry served.
func (o *callStats) classStatus(now time.Time, spec kqmodel.ClassSpec) ClassStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := ClassStatus{Class: spec, TargetMet: true, Calls: map[string]int64{}}
	current, previous := o.window(now, spec.Name).CurrentAndLast(now)
	h := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	refused := int64(0)
	for _, t := range []windowStats{current, previous} {
		h.Merge(t.latency)
		for code, n := range t.codes {
			s.Calls[code.String()] += n
			if code.NotRun() {
				refused += n
			}
		}
	}
	if h.TotalCount() > 0 && spec.Latency > 0 {
		latency := time.Duration(h.ValueAtQuantile(spec.Percentile)) * time.Microsecond
		s.LatencySeconds = latency.Seconds()
		s.TargetMet = latency <= spec.Latency.Std()
	}
	switch {
	case !s.TargetMet:
		s.Mitigation = "calls avoid slow endpoints, and batch work colocated with them is throttled; see explain worker"
	case refused > 0:
		s.Mitigation = "calls that would miss the target are refused early with retry-after"
	}
	return s
}

// Status describes the system as one entry sees it.
type Status struct {
	// Entry is the ID of the entry.
	Entry string `json:"entry"`
	// StoreUnavailable is true if the last read of the platform's table failed.
	StoreUnavailable bool `json:"store_out"`
	// Workers is the number of live workers.
	Workers int `json:"workers"`
	// Entries is the number of live entries.
	Entries int `json:"entries"`
	// Config describes how far the configuration has spread.
	Config ConfigStatus `json:"config"`
	// Classes lists the status of each class.
	Classes []ClassStatus `json:"classes"`
	// Violations is the number of invariant violations that this process has counted.
	Violations uint64 `json:"invariant_violations"`
}

// status serves GET /v1/status.
func (e *Entry) status(w http.ResponseWriter, _ bunrouter.Request) error {
	now := e.config.Now()
	s := Status{Entry: e.config.ID, Config: e.ConfigStatus(now), Violations: e.config.Counter.Total()}
	e.mu.Lock()
	s.StoreUnavailable = e.storeUnavailable
	e.mu.Unlock()
	for _, p := range e.roster.Live(now) {
		if p.IsEntry {
			s.Entries++
		} else {
			s.Workers++
		}
	}
	ready := map[string]int{}
	for _, v := range e.router.Views() {
		for _, c := range v.Classes {
			if v.State == "ready" {
				ready[c]++
			}
		}
	}
	for _, a := range e.configHolder.All() {
		if a.Class != nil {
			c := e.callStats.classStatus(now, *a.Class)
			c.Endpoints = ready[a.Class.Name]
			s.Classes = append(s.Classes, c)
		}
	}
	return writeJSON(w, http.StatusOK, s)
}
