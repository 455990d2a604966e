package kqcommand

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqentry"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqmember"
)

func (a *app) workerList() *cobra.Command {
	o := a.newOperatorCommand(&cobra.Command{Use: "list", Args: cobra.NoArgs, Short: "List the live workers that an entry knows"})
	o.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var ps []kqmember.Process
		if err := o.request(cmd.Context(), http.MethodGet, "/v1/workers", nil, &ps); err != nil {
			return err
		}
		t := table{head: []string{"WORKER", "ZONE", "RACK", "CAPACITY", "TASKS", "DRAINING", "CELL", "OWNER", "CONFIG"}}
		for _, p := range ps {
			t.addRow(p.ID, p.Zone, p.Rack, p.Capacity, p.Tasks, p.Draining, p.Cell, p.Owner, p.ConfigSequence)
		}
		return o.print(ps, t)
	}
	return o.cmd
}

func (a *app) endpointList() *cobra.Command {
	o := a.newOperatorCommand(&cobra.Command{Use: "list", Args: cobra.NoArgs, Short: "List the endpoints that an entry knows"})
	o.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var vs []kqroute.View
		if err := o.request(cmd.Context(), http.MethodGet, "/v1/endpoints", nil, &vs); err != nil {
			return err
		}
		t := table{head: []string{"ENDPOINT", "WORKER", "ZONE", "CLASSES", "STATE", "OPEN", "SLOTS", "SERVICE TIME"}}
		for _, v := range vs {
			t.addRow(v.Endpoint, v.Worker, v.Zone, strings.Join(v.Classes, ","), v.State, v.OpenCalls, v.Slots, toDuration(v.ServiceSeconds))
		}
		return o.print(vs, t)
	}
	return o.cmd
}

// toDuration converts seconds to a duration, rounded to 10 µs.
func toDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(10 * time.Microsecond)
}

func (a *app) configStatus() *cobra.Command {
	o := a.newOperatorCommand(&cobra.Command{Use: "status", Args: cobra.NoArgs, Short: "Show how far the configuration has propagated: the lowest sequence in force and the slowest process"})
	o.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var s kqentry.ConfigStatus
		if err := o.request(cmd.Context(), http.MethodGet, "/v1/config/status", nil, &s); err != nil {
			return err
		}
		t := table{head: []string{"LOWEST", "HIGHEST", "SLOWEST", "PROCESSES", "LONGEST TO BE IN FORCE"}}
		t.addRow(s.LowestSequence, s.HighestSequence, s.SlowestProcess, s.Processes, toDuration(s.MaxPropagationSeconds))
		return o.print(s, t)
	}
	return o.cmd
}

func (a *app) explain() *cobra.Command {
	var repeat bool
	o := a.newOperatorCommand(&cobra.Command{Use: "explain call|task|worker|class|process ID", Args: cobra.ExactArgs(2),
		Short: "Explain the state of a call, task, worker, class or process by its recent events"})
	o.settings.Bool(&repeat, "watch", false, "repeat the output every second")
	o.cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return watch(cmd.Context(), repeat, func() error {
			var es []kqentry.ExplainEvent
			path := fmt.Sprintf("/v1/explain/%s/%s", url.PathEscape(args[0]), args[1])
			if err := o.request(cmd.Context(), http.MethodGet, path, nil, &es); err != nil {
				return err
			}
			t := table{head: []string{"AT", "EVENT", "PROCESS", "WHY"}}
			for _, e := range es {
				t.addRow(e.At.Format("15:04:05.000"), fmt.Sprintf("%d %s", e.Number, e.Name), e.Process, e.Text)
			}
			return o.print(es, t)
		})
	}
	return o.cmd
}

func (a *app) status() *cobra.Command {
	var repeat bool
	o := a.newOperatorCommand(&cobra.Command{Use: "status", Args: cobra.NoArgs, Short: "Show each class with its target and the latency achieved"})
	o.settings.Bool(&repeat, "watch", false, "repeat the output every second")
	o.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return watch(cmd.Context(), repeat, func() error {
			var s kqentry.Status
			if err := o.request(cmd.Context(), http.MethodGet, "/v1/status", nil, &s); err != nil {
				return err
			}
			return o.print(s, statusTable(s))
		})
	}
	return o.cmd
}

func statusTable(s kqentry.Status) table {
	t := table{head: []string{"CLASS", "KIND", "TARGET", "OUTCOME", "ENDPOINTS", "MET", "DOING"}}
	for _, c := range s.Classes {
		target := c.Class.FinishWithin.String()
		outcome := "-"
		if c.Class.Latency > 0 {
			target = fmt.Sprintf("%s at %v%%", c.Class.Latency, c.Class.Percentile)
			outcome = toDuration(c.LatencySeconds).String()
		} else if c.Class.KeepRunning > 0 {
			target = fmt.Sprintf("running %v%%", c.Class.KeepRunning)
		}
		t.addRow(c.Class.Name, c.Class.Kind, target, outcome, c.Endpoints, c.TargetMet, c.Mitigation)
	}
	return t
}
