package kqcommand_test

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/kumquatswitch/kumquatswitch/internal/command/kqcommand"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqfront"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

const queueFile = `name: urgent
service: pool
attempts: 4
stretch: 1.5
target: 250ms
`

const flowFile = `id: ledger-close
queue: urgent
steps:
  - count: 2
    resources: {milli_processors: 1000, memory_bytes: 1000000000}
    estimate: 500ms
  - count: 6
    resources: {milli_processors: 1000, memory_bytes: 1000000000}
    estimate: 1s
    after: [0]
    speculative: true
`

// session runs command lines against an entry and records them with their output and exit code.
type session struct {
	out       bytes.Buffer
	entry     string
	directory string
}

func (s *session) writeFile(name, text string) string {
	p := filepath.Join(s.directory, name)
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return p
}

func (s *session) run(args ...string) int {
	var out, err bytes.Buffer
	code := kqcommand.Execute(append(args, "--entry", s.entry), &out, &err)
	line := strings.ReplaceAll(strings.Join(args, " "), s.directory+"/", "")
	fmt.Fprintf(&s.out, "$ kumquatswitch %s\n%s%s(exit code %d)\n\n", line, &out, strings.ReplaceAll(err.String(), s.directory+"/", ""), code)
	return code
}

// TestSessionOfAnOperatorAndACaller runs queue and flow commands against an entry and compares the
// recorded session with the golden file.
func TestSessionOfAnOperatorAndACaller(t *testing.T) {
	store := kqrowstore.New(1).Client("entry")
	policies := kqgate.NewPolicyWatcher(kqgate.PolicyWatcherConfig{Store: store, Now: time.Now})
	defer policies.Close()
	front := kqfront.New(kqfront.Config{Store: store, Now: time.Now, WallClock: time.Now})
	server := httptest.NewServer(kqgate.New(kqgate.Config{Front: front, Policies: policies, Store: store}).Handler())
	defer server.Close()
	s := &session{entry: strings.TrimPrefix(server.URL, "http://"), directory: t.TempDir()}
	g := NewWithT(t)
	g.Eventually(policies.Policy).ShouldNot(BeNil())

	s.run("queue", "apply", "--file", s.writeFile("wrong.yaml", strings.Replace(queueFile, "stretch", "weight", 1)))
	s.run("queue", "apply", "--file", s.writeFile("queue.yaml", queueFile))
	g.Eventually(func() uint64 { return policies.Version("urgent") }).Should(BeNumerically(">", 0))
	s.run("queue", "apply", "--file", s.writeFile("queue.yaml", queueFile))
	s.run("queue", "list")
	s.run("flow", "submit", "--file", s.writeFile("late.yaml", strings.Replace(flowFile, "after: [0]", "after: [1]", 1)))
	s.run("flow", "submit", "--file", s.writeFile("flow.yaml", flowFile))
	s.run("flow", "submit", "--file", s.writeFile("flow.yaml", flowFile))
	s.run("flow", "get", "ledger-close")
	s.run("flow", "cancel", "ledger-close")
	s.run("flow", "get", "ledger-close", "--output", "json")
	s.run("flow", "get", "unknown")
	goldie.New(t).Assert(t, "flow_session", s.out.Bytes())
}
