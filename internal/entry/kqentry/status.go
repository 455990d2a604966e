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
	statusWindow  = 10 * time.Second
	lowestMicros  = int64(10)
	highestMicros = int64(600_000_000)
	statusDigits  = 2
)

// outcomes keeps what became of the calls of each class.
type outcomes struct {
	mu      sync.Mutex
	classes map[string]*kqwindow.Window[tally]
}

// tally is the calls of one window.
type tally struct {
	latency *hdrhistogram.Histogram
	codes   map[kqresult.Code]int64
}

func newTally() tally {
	return tally{latency: hdrhistogram.New(lowestMicros, highestMicros, statusDigits), codes: map[kqresult.Code]int64{}}
}

// class returns the window of a class; mu is held.
func (o *outcomes) class(now time.Time, name string) *kqwindow.Window[tally] {
	if o.classes == nil {
		o.classes = map[string]*kqwindow.Window[tally]{}
	}
	w := o.classes[name]
	if w == nil {
		w = kqwindow.New(now, statusWindow, newTally)
		o.classes[name] = w
	}
	return w
}

// ended counts a call.
func (o *outcomes) ended(now time.Time, class string, code kqresult.Code, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.class(now, class).At(now)
	t.codes[code]++
	if code == kqresult.OK {
		_ = t.latency.RecordValue(min(d.Microseconds(), highestMicros))
	}
}

// ClassStatus is the target of a class and how it is met.
type ClassStatus struct {
	// Class is the class with its targets.
	Class kqmodel.ClassSpec `json:"class"`
	// Endpoints is how many endpoints take calls.
	Endpoints int `json:"endpoints"`
	// Calls is how many calls ended in the last 10 to 20 seconds, by result.
	Calls map[string]int64 `json:"calls,omitempty"`
	// LatencySeconds is the latency at the class's percentile.
	LatencySeconds float64 `json:"latency_seconds,omitempty"`
	// Met is true if the target is met, or nothing was measured.
	TargetMet bool `json:"met"`
	// Doing says what is done about a miss.
	Mitigation string `json:"doing,omitempty"`
}

// classStatus measures one class as this entry saw it.
func (o *outcomes) classStatus(now time.Time, spec kqmodel.ClassSpec) ClassStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := ClassStatus{Class: spec, TargetMet: true, Calls: map[string]int64{}}
	present, last := o.class(now, spec.Name).Both(now)
	h := hdrhistogram.New(lowestMicros, highestMicros, statusDigits)
	refused := int64(0)
	for _, t := range []tally{present, last} {
		h.Merge(t.latency)
		for code, n := range t.codes {
			s.Calls[code.String()] += n
			if code.NotRun() {
				refused += n
			}
		}
	}
	if h.TotalCount() > 0 && spec.Latency > 0 {
		at := time.Duration(h.ValueAtQuantile(spec.Percentile)) * time.Microsecond
		s.LatencySeconds = at.Seconds()
		s.TargetMet = at <= spec.Latency.Std()
	}
	switch {
	case !s.TargetMet:
		s.Mitigation = "calls avoid slow endpoints and batch work beside them is throttled; see explain worker"
	case refused > 0:
		s.Mitigation = "calls that would miss the target are refused early with retry-after"
	}
	return s
}

// Status is the state of the system as one entry sees it.
type Status struct {
	// Entry names the entry.
	Entry string `json:"entry"`
	// StoreOut is true if the platform's table does not answer.
	StoreUnavailable bool `json:"store_out"`
	// Workers is how many workers are live.
	Workers int `json:"workers"`
	// Entries is how many entries are live.
	Entries int `json:"entries"`
	// Config is how far the configuration has come.
	Config ConfigStatus `json:"config"`
	// Classes is how each class does.
	Classes []ClassStatus `json:"classes"`
	// Violations is how many breaches of invariants this process has seen.
	Violations uint64 `json:"invariant_violations"`
}

// status serves GET /v1/status.
func (e *Entry) status(w http.ResponseWriter, _ bunrouter.Request) error {
	now := e.config.Now()
	s := Status{Entry: e.config.ID, Config: e.ConfigStatus(now), Violations: e.config.Counter.Total()}
	e.mu.Lock()
	s.StoreUnavailable = e.storeOut
	e.mu.Unlock()
	for _, p := range e.roster.Live(now) {
		if p.IsEntry {
			s.Entries++
		} else {
			s.Workers++
		}
	}
	ready := map[string]int{}
	for _, v := range e.caller.Views() {
		for _, c := range v.Classes {
			if v.State == "ready" {
				ready[c]++
			}
		}
	}
	for _, a := range e.holder.All() {
		if a.Class != nil {
			c := e.outcomes.classStatus(now, *a.Class)
			c.Endpoints = ready[a.Class.Name]
			s.Classes = append(s.Classes, c)
		}
	}
	return writeJSON(w, http.StatusOK, s)
}
