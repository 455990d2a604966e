package kqcommand_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/kumquatswitch/kumquatswitch/internal/command/kqcommand"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
)

// TestReferencePages guards against reference pages in docs that differ from the code. The flag
// -update rewrites the pages.
func TestReferencePages(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../../../docs"), goldie.WithNameSuffix(".md"))
	t.Run("codes", func(t *testing.T) { g.Assert(t, "RESULT-CODES", []byte(resultCodesPage())) })
	t.Run("events", func(t *testing.T) { g.Assert(t, "EVENTS", []byte(eventsPage())) })
	t.Run("settings", func(t *testing.T) { g.Assert(t, "SETTINGS", []byte(settingsPage())) })
}

func TestNumbersAreUniqueAndInOrder(t *testing.T) {
	if !slices.IsSortedFunc(kqresult.Registry, func(a, b kqresult.Info) int { return int(a.Code) - int(b.Code) }) {
		t.Error("result codes are not in order")
	}
	if !slices.IsSortedFunc(kqevent.Catalogue, func(a, b kqevent.Info) int { return int(a.Number) - int(b.Number) }) {
		t.Error("events are not in order")
	}
}

func resultCodesPage() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nCallers and operators get these in the `Kq-Result` header and in the JSON body. Codes from 100 to 199\n" +
		"promise that a call did not run. A test checks this page against the code.\n\n" +
		"| code | name | HTTP status | meaning | what to do |\n|---|---|---|---|---|\n")
	for _, i := range kqresult.Registry {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", i.Code, i.Name, i.Status, i.Meaning, i.Action)
	}
	return b.String()
}

func eventsPage() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEach process logs these as JSON lines with the fields `time`, `level`, `msg` (the name), `event` (the number),\n" +
		"`process`, `kind`, `id` and `text`, and remembers the latest 4,096 for `explain`. Events of calls are logged at\n" +
		"level debug. A test checks this page against the code.\n\n| event | name | when |\n|---|---|---|\n")
	for _, i := range kqevent.Catalogue {
		fmt.Fprintf(&b, "| %d | `%s` | %s |\n", i.Number, i.Name, i.Meaning)
	}
	return b.String()
}

func settingsPage() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nEach setting is a flag and an environment variable; a flag takes precedence over its variable. If a value is\n" +
		"invalid, the process names it and the expected values and exits with code 2. A test checks this page against the code.\n")
	all := kqcommand.Settings()
	names := make([]string, 0, len(all))
	for n := range all {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(&b, "\n## %s\n\n| flag | variable | default | expected | what it does |\n|---|---|---|---|---|\n", n)
		for _, s := range all[n] {
			def := s.Default
			if s.Name == "author" {
				def = "the user's name"
			}
			fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s | %s |\n", s.Name, s.Env, def, s.Expected, s.Usage)
		}
	}
	b.WriteString("\n## Limits on clients\n\nThey follow from the memory and the descriptors that a process has: `limits.memoryMb` and `limits.maxFds` in the\n" +
		"users' settings file, else `--memory-megabytes` and the kernel's limit (RLIMIT_NOFILE); without a value, the memory of the host.\n\n" +
		"| limit | value | when it is reached |\n|---|---|---|\n")
	for _, l := range kqserver.Catalogue {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", l.Name, l.Value, l.Reached)
	}
	return b.String()
}
