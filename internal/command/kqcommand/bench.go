package kqcommand

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqbench"
)

// benchCommands returns the bench command with its subcommands.
func (a *app) benchCommands() []*cobra.Command {
	return []*cobra.Command{commandGroup("bench", "Measure calls, tasks and capacity", a.benchCalls(), a.benchTasks(), a.benchCapacity())}
}

func (a *app) benchCalls() *cobra.Command {
	var s kqbench.CallsConfig
	var seed int
	var output, loads, policies string
	c := newCommand(&cobra.Command{Use: "calls", Args: cobra.NoArgs, Short: "Measure calls at 50, 80, 95 and 150 % of slot capacity, against baselines"})
	a.commands = append(a.commands, c)
	c.settings.Duration(&s.Duration, "duration", 8*time.Second, time.Second, time.Hour, "how long calls are sent in each run; the default loads and policies make 16 runs")
	c.settings.Int(&seed, "seed", 1, 0, 1<<30, "seed of arrivals and service times")
	c.settings.Text(&loads, "loads", "50,80,95,150", "offered loads in percent of slot capacity, separated by commas")
	c.settings.Text(&policies, "policies", "expected,random,round_robin,least_in_flight", "endpoint selection policies, separated by commas; expected is the default policy of an entry, the others are baselines")
	c.settings.Choice(&output, "output", "table", []string{"table", "json"}, "table for people, json for programs")
	c.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s.Seed = uint64(seed)
		for _, p := range splitList(policies) {
			if !slices.Contains(kqbench.DefaultPolicies, kqroute.Policy(p)) {
				return kqresult.Errorf(kqresult.BadSettings, "--policies: %q is not one of %v", p, kqbench.DefaultPolicies)
			}
			s.Policies = append(s.Policies, kqroute.Policy(p))
		}
		for _, l := range splitList(loads) {
			percent, err := strconv.ParseFloat(l, 64)
			if err != nil || percent <= 0 || percent > 500 {
				return kqresult.Errorf(kqresult.BadSettings, "--loads: %q is not a percentage above 0 and up to 500", l)
			}
			s.LoadFractions = append(s.LoadFractions, percent/100)
		}
		if output == "table" {
			s.Progress = a.errOut
		}
		runs, err := kqbench.MeasureCalls(cmd.Context(), s)
		if err != nil {
			return wrap(err)
		}
		if output == "json" {
			return a.writeJSON(runs)
		}
		return kqbench.WriteCalls(a.out, runs)
	}
	return c.cmd
}

func (a *app) benchTasks() *cobra.Command {
	var s kqbench.TasksConfig
	var output string
	c := newCommand(&cobra.Command{Use: "tasks", Args: cobra.NoArgs, Short: "Measure store writes, urgent starts, takeover, a store outage and interference"})
	a.commands = append(a.commands, c)
	c.settings.Int(&s.SeedCount, "seeds", 100, 10, 10_000, "number of seeds that each distribution is measured with")
	c.settings.Choice(&output, "output", "table", []string{"table", "json"}, "table for people, json for programs")
	c.cmd.RunE = func(*cobra.Command, []string) error {
		if output == "json" {
			return a.writeJSON(kqbench.MeasureTasks(s))
		}
		s.Progress = a.errOut
		return kqbench.WriteTasks(a.out, kqbench.MeasureTasks(s))
	}
	return c.cmd
}

func (a *app) benchCapacity() *cobra.Command {
	var s kqbench.CapacityConfig
	var output string
	c := newCommand(&cobra.Command{Use: "capacity", Args: cobra.NoArgs, Short: "Measure how the cost of each role grows with the number of workers"})
	a.commands = append(a.commands, c)
	c.settings.Duration(&s.Duration, "duration", 10*time.Second, time.Second, time.Hour, "how long each fleet size is measured")
	c.settings.Choice(&output, "output", "table", []string{"table", "json"}, "table for people, json for programs")
	c.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if output == "table" {
			s.Progress = a.errOut
		}
		r, err := kqbench.MeasureCapacity(cmd.Context(), s)
		if err != nil {
			return wrap(err)
		}
		if output == "json" {
			return a.writeJSON(r)
		}
		return kqbench.WriteCapacity(a.out, r)
	}
	return c.cmd
}

func (a *app) writeJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
