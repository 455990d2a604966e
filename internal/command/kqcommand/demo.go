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

// demoSettings is the settings of the demo.
type demoSettings struct {
	users    string
	duration time.Duration
	rate     int
	report   string
	faults   bool
	seed     int
}

func (a *app) demo() *command {
	var s demoSettings
	c := newCommand(&cobra.Command{Use: "demo", Args: cobra.NoArgs,
		Short: "Run the whole path in one process on loopback and report what happened"})
	c.settings.Text(&s.users, "users", "kaluvi,guidafranca", "users that take part, separated by commas")
	c.settings.Duration(&s.duration, "duration", 20*time.Second, 2*time.Second, time.Hour, "how long calls are sent")
	c.settings.Int(&s.rate, "rate", 300, 1, 5000, "calls a second of each user")
	c.settings.Text(&s.report, "report", "", "file for the report as JSON")
	c.settings.Bool(&s.faults, "faults", false, "kill a worker and an entry, silence connections, take the store down")
	c.settings.Int(&s.seed, "seed", 1, 0, 1<<30, "seed of calls, service times and faults")
	c.cobra.RunE = func(cmd *cobra.Command, _ []string) error { return a.runDemo(cmd, s) }
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
	r, err := kqdemo.Run(cmd.Context(), kqdemo.Config{Users: users, Duration: s.duration, CallRate: float64(s.rate),
		InjectFaults: s.faults, Seed: uint64(s.seed), Progress: a.out})
	if err != nil {
		return failed(err)
	}
	if err := r.WriteTable(a.out, names); err != nil {
		return failed(err)
	}
	if s.report != "" {
		b, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return failed(err)
		}
		if err := os.WriteFile(s.report, append(b, '\n'), 0o644); err != nil {
			return kqresult.Errorf(kqresult.BadSettings, "--report=%q: %v", s.report, err)
		}
	}
	if r.HasFailures() {
		return errBroken
	}
	return nil
}
