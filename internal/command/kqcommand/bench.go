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

// benchCommands returns the measurements.
func (a *app) benchCommands() []*cobra.Command {
	return []*cobra.Command{parent("bench", "Measure the product", a.benchCalls(), a.benchTasks(), a.benchCapacity())}
}

func (a *app) benchCalls() *cobra.Command {
	var s kqbench.CallsConfig
	var seed int
	var output, loads, policies string
	c := newCommand(&cobra.Command{Use: "calls", Args: cobra.NoArgs, Short: "Measure calls at 50, 80, 95 and 150 % of slot capacity, against baselines"})
	a.commands = append(a.commands, c)
	c.settings.Duration(&s.Duration, "duration", 8*time.Second, time.Second, time.Hour, "how long calls are sent in each of 16 runs")
	c.settings.Int(&seed, "seed", 1, 0, 1<<30, "seed of arrivals and service times")
	c.settings.Text(&loads, "loads", "50,80,95,150", "percent of slot capacity, separated by commas")
	c.settings.Text(&policies, "policies", "expected,random,round_robin,least_in_flight", "the product and its baselines, separated by commas")
	c.settings.Choice(&output, "output", "table", []string{"table", "json"}, "table for people, json for programs")
	c.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		s.Seed = uint64(seed)
		for _, p := range splitList(policies) {
			if !slices.Contains(kqbench.DefaultPolicies, kqroute.Policy(p)) {
				return kqresult.Errorf(kqresult.BadSettings, "--policies: %q is none of %v", p, kqbench.DefaultPolicies)
			}
			s.Policies = append(s.Policies, kqroute.Policy(p))
		}
		for _, l := range splitList(loads) {
			percent, err := strconv.ParseFloat(l, 64)
			if err != nil || percent <= 0 || percent > 500 {
				return kqresult.Errorf(kqresult.BadSettings, "--loads: %q is no percentage from 0 to 500", l)
			}
			s.LoadFractions = append(s.LoadFractions, percent/100)
		}
		if output == "table" {
			s.Progress = a.err
		}
		runs, err := kqbench.MeasureCalls(cmd.Context(), s)
		if err != nil {
			return failed(err)
		}
		if output == "json" {
			return a.writeJSON(runs)
		}
		return kqbench.WriteCalls(a.out, runs)
	}
	return c.cobra
}

func (a *app) benchTasks() *cobra.Command {
	var s kqbench.TasksConfig
	var output string
	c := newCommand(&cobra.Command{Use: "tasks", Args: cobra.NoArgs, Short: "Measure writes, urgent starts, takeover, a store outage and interference"})
	a.commands = append(a.commands, c)
	c.settings.Int(&s.SeedCount, "seeds", 100, 10, 10_000, "how many seeds the distributions take")
	c.settings.Choice(&output, "output", "table", []string{"table", "json"}, "table for people, json for programs")
	c.cobra.RunE = func(*cobra.Command, []string) error {
		if output == "json" {
			return a.writeJSON(kqbench.MeasureTasks(s))
		}
		s.Progress = a.err
		return kqbench.WriteTasks(a.out, kqbench.MeasureTasks(s))
	}
	return c.cobra
}

func (a *app) benchCapacity() *cobra.Command {
	var s kqbench.CapacityConfig
	var output string
	c := newCommand(&cobra.Command{Use: "capacity", Args: cobra.NoArgs, Short: "Measure how the cost of each role grows with the workers"})
	a.commands = append(a.commands, c)
	c.settings.Duration(&s.Duration, "duration", 10*time.Second, time.Second, time.Hour, "how long each size is measured")
	c.settings.Choice(&output, "output", "table", []string{"table", "json"}, "table for people, json for programs")
	c.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		if output == "table" {
			s.Progress = a.err
		}
		r, err := kqbench.MeasureCapacity(cmd.Context(), s)
		if err != nil {
			return failed(err)
		}
		if output == "json" {
			return a.writeJSON(r)
		}
		return kqbench.WriteCapacity(a.out, r)
	}
	return c.cobra
}

func (a *app) writeJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
