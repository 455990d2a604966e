package kqcommand

import (
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqbench"
)

// benchCommands returns the measurements.
func (a *app) benchCommands() []*cobra.Command {
	return []*cobra.Command{parent("bench", "Measure the product", a.benchCalls(), a.benchTasks())}
}

func (a *app) benchCalls() *cobra.Command {
	var s kqbench.CallsConfig
	var seed int
	var output string
	c := newCommand(&cobra.Command{Use: "calls", Args: cobra.NoArgs, Short: "Measure calls at 50, 80, 95 and 150 % of slot capacity, against baselines"})
	a.commands = append(a.commands, c)
	c.settings.Duration(&s.Duration, "duration", 8*time.Second, time.Second, time.Hour, "how long calls are sent in each of 16 runs")
	c.settings.Int(&seed, "seed", 1, 0, 1<<30, "seed of arrivals and service times")
	c.settings.Choice(&output, "output", "table", []string{"table", "json"}, "table for people, json for programs")
	c.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		s.Seed = uint64(seed)
		if output == "table" {
			s.Progress = a.err
		}
		runs, err := kqbench.Calls(cmd.Context(), s)
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
	c.settings.Int(&s.Seeds, "seeds", 100, 10, 10_000, "how many seeds the distributions take")
	c.settings.Choice(&output, "output", "table", []string{"table", "json"}, "table for people, json for programs")
	c.cobra.RunE = func(*cobra.Command, []string) error {
		if output == "json" {
			return a.writeJSON(kqbench.Tasks(s))
		}
		s.Progress = a.err
		return kqbench.WriteTasks(a.out, kqbench.Tasks(s))
	}
	return c.cobra
}

func (a *app) writeJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
