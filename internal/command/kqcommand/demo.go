package kqcommand

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqdemo"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqfleet"
)

// demoSettings holds the settings of the demo command.
type demoSettings struct {
	users        string
	duration     time.Duration
	callRate     int
	reportFile   string
	injectFaults bool
	seed         int
}

func (a *app) demo() *command {
	var s demoSettings
	c := newCommand(&cobra.Command{Use: "demo", Args: cobra.NoArgs,
		Short: "Run a whole fleet in one process on loopback and report the results"})
	c.settings.Text(&s.users, "users", "kaluvi,guidafranca", "users whose workers are started and whose calls are sent, separated by commas")
	c.settings.Duration(&s.duration, "duration", 20*time.Second, 2*time.Second, time.Hour, "how long calls are sent")
	c.settings.Int(&s.callRate, "rate", 300, 1, 5000, "calls per second of each user")
	c.settings.Text(&s.reportFile, "report", "", "file to write the report to, as JSON; empty writes none")
	c.settings.Bool(&s.injectFaults, "faults", false, "inject faults: kill a worker and an entry, silence connections, make the store unavailable")
	c.settings.Int(&s.seed, "seed", 1, 0, 1<<30, "seed of the random calls, service times and faults")
	c.cmd.RunE = func(cmd *cobra.Command, _ []string) error { return a.runDemo(cmd, s) }
	return c
}

func (a *app) runDemo(cmd *cobra.Command, s demoSettings) error {
	var users []kqfleet.User
	names := strings.Split(s.users, ",")
	for _, n := range names {
		u, err := kqfleet.FindUser(n)
		if err != nil {
			return kqresult.Errorf(kqresult.BadSettings, "--users=%q: %v", s.users, err)
		}
		users = append(users, u)
	}
	r, err := kqdemo.Run(cmd.Context(), kqdemo.Config{Users: users, Duration: s.duration, CallRate: float64(s.callRate),
		InjectFaults: s.injectFaults, Seed: uint64(s.seed), Progress: a.out})
	if err != nil {
		return wrap(err)
	}
	if err := r.WriteTable(a.out, names); err != nil {
		return wrap(err)
	}
	if s.reportFile != "" {
		b, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return wrap(err)
		}
		if err := os.WriteFile(s.reportFile, append(b, '\n'), 0o644); err != nil {
			return kqresult.Errorf(kqresult.BadSettings, "--report=%q: %v", s.reportFile, err)
		}
	}
	if r.HasFailures() {
		return errTrialFailed
	}
	return nil
}
