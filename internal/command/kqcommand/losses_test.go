package kqcommand_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/command/kqcommand"
)

const lossLog = `{"time":"2026-01-01T00:00:00Z","event":704,"id":"a","queue":"close","objective_ms":2000,"age_ms":500,"steps":[{"count":1,"cores":2,"estimate_ms":1000,"fills":true}]}
host-1 {"time":"2026-01-01T00:00:01Z","event":709,"id":"a.0.0.0","run":1}
host-1 {"time":"2026-01-01T00:00:04Z","event":710,"id":"a.0.0.0","run":1,"how":"done"}
{"time":"2026-01-01T00:00:04Z","event":706,"id":"a"}
`

// TestLossesAreToldFromLogs checks that the losses command splits the time of a late flow by cause,
// and that a file without log lines of flows is an error.
func TestLossesAreToldFromLogs(t *testing.T) {
	g := NewWithT(t)
	analyze := func(text string) (int, string, string) {
		file := filepath.Join(t.TempDir(), "log")
		g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		var out, errOut bytes.Buffer
		code := kqcommand.Execute([]string{"flow", "losses", file}, &out, &errOut)
		return code, out.String(), errOut.String()
	}
	code, out, errOut := analyze(lossLog)
	g.Expect(code).To(BeZero(), errOut)
	g.Expect(out).To(MatchRegexp(`close\s+1\s+0\s+1\s+0\s+0\s+1\.0\s+0\.8`))
	g.Expect(out).To(ContainSubstring("(0.5 s)"), "0.5 s until the owner planned the flow")
	g.Expect(out).To(ContainSubstring("(1.0 s)"), "1 s of waiting for a worker")
	g.Expect(out).To(ContainSubstring("(2.0 s)"), "2 s longer than the estimate")
	code, _, errOut = analyze("no log\n")
	g.Expect(code).NotTo(BeZero())
	g.Expect(errOut).To(ContainSubstring("no planned flow"))
}
