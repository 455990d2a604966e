package kqloss_test

import (
	"bytes"
	"testing"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqloss"
)

// FuzzLog reads logs that may be truncated or mixed with the output of other processes.
func FuzzLog(f *testing.F) {
	f.Add([]byte(`{"time":"2026-01-02T03:04:05Z","event":704,"id":"a","queue":"q","objective_ms":10,"age_ms":1,"steps":[{"count":2,"cores":1,"estimate_ms":5},{"count":1,"cores":1,"estimate_ms":5,"after":[0]}]}
{"time":"2026-01-02T03:04:06Z","event":709,"id":"a.0.0.0","run":1}
{"time":"2026-01-02T03:04:07Z","event":710,"id":"a.0.0.0","run":1,"how":"done"}
`))
	f.Add([]byte(`{"event":704,"id":"a","steps":[{"count":1,"after":[1]},{"count":1,"after":[0]}]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var a kqloss.Analyzer
		if a.Read(bytes.NewReader(b)) == nil {
			a.Report()
		}
	})
}
