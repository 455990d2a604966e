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

// An operator asks of logs what flows did not earn; a file without any says so.
func TestLossesAreToldFromLogs(t *testing.T) {
	g := NewWithT(t)
	run := func(text string) (int, string, string) {
		file := filepath.Join(t.TempDir(), "log")
		g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		var out, bad bytes.Buffer
		code := kqcommand.Execute([]string{"flow", "losses", file}, &out, &bad)
		return code, out.String(), bad.String()
	}
	code, out, bad := run(lossLog)
	g.Expect(code).To(BeZero(), bad)
	g.Expect(out).To(MatchRegexp(`close\s+1\s+0\s+1\s+0\s+0\s+1\.0\s+0\.8`))
	g.Expect(out).To(ContainSubstring("(0.5 s)"), "half a second until the owner took it")
	g.Expect(out).To(ContainSubstring("(1.0 s)"), "a second of waiting")
	g.Expect(out).To(ContainSubstring("(2.0 s)"), "two seconds beyond the estimate")
	code, _, bad = run("no log\n")
	g.Expect(code).NotTo(BeZero())
	g.Expect(bad).To(ContainSubstring("no flow was taken"))
}
