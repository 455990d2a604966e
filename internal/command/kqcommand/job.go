package kqcommand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqentry"
)

// jobSettings holds the job that a caller declares on the command line.
type jobSettings struct {
	spec            kqmodel.JobSpec
	urgency         string
	tasks           int
	milliProcessors int
	memoryMegabytes int
	accelerators    int
	runTime         string
}

func (a *app) jobSubmit() *cobra.Command {
	var s jobSettings
	o := a.newOperatorCommand(&cobra.Command{Use: "submit", Args: cobra.NoArgs, Short: "Submit a job of one or many tasks"})
	o.settings.Text(&s.spec.ID, "id", "", "ID of the job, chosen by the caller; submitting the same job again has no effect")
	o.settings.Text(&s.spec.Team, "team", "", "team whose quota the job counts against")
	o.settings.Text(&s.spec.Class, "class", "", "class of kind batch or watcher")
	o.settings.Text(&s.spec.Family, "family", "", "family of jobs with similar behavior; empty means the class")
	o.settings.Int(&s.tasks, "tasks", 1, 1, 1000, "number of tasks")
	o.settings.Int(&s.milliProcessors, "milli-processors", 1000, 1, 1_024_000, "processors of each task, in thousandths of a processor")
	o.settings.Int(&s.memoryMegabytes, "memory-megabytes", 1000, 1, 100_000_000, "memory of each task, in megabytes")
	o.settings.Int(&s.accelerators, "accelerators", 0, 0, 64, "accelerators of each task")
	o.settings.Text(&s.runTime, "run-time", "", "declared run time of each task, such as 30m; empty for a watcher")
	o.settings.Choice(&s.urgency, "urgency", "normal", []string{"normal", "urgent"}, "urgency; urgent tasks are started before normal ones")
	o.settings.Text(&s.spec.Command, "command", "", "command that the worker runtime runs")
	o.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := o.settings.Require("id", "team", "class"); err != nil {
			return err
		}
		body, err := s.encodeSpec()
		if err != nil {
			return err
		}
		var v kqentry.JobView
		if err := o.request(cmd.Context(), http.MethodPost, "/v1/jobs", body, &v); err != nil {
			return err
		}
		return o.print(v, jobTable([]kqentry.JobView{v}))
	}
	return o.cmd
}

func (s *jobSettings) encodeSpec() ([]byte, error) {
	s.spec.Tasks, s.spec.Urgency = uint32(s.tasks), kqmodel.Urgency(s.urgency)
	s.spec.Resources = kqmodel.Resources{MilliProcessors: int64(s.milliProcessors), MemoryBytes: int64(s.memoryMegabytes) * 1_000_000, Accelerators: int64(s.accelerators)}
	if s.runTime != "" {
		if err := s.spec.RunTime.UnmarshalJSON([]byte(`"` + s.runTime + `"`)); err != nil {
			return nil, flagError(nil, fmt.Errorf("--run-time=%q: %w", s.runTime, err))
		}
	}
	return json.Marshal(s.spec)
}

func jobTable(vs []kqentry.JobView) table {
	t := table{head: []string{"JOB", "TEAM", "CLASS", "STATE", "TASKS", "EVICTIONS", "CELL"}}
	for _, v := range vs {
		var states []string
		for s, n := range v.Counts {
			if n > 0 {
				states = append(states, fmt.Sprintf("%s %d", s, n))
			}
		}
		slices.Sort(states)
		t.addRow(v.Job.Spec.ID, v.Job.Spec.Team, v.Job.Spec.Class, v.State, strings.Join(states, ", "), v.Evictions, v.Job.Cell)
	}
	return t
}

// jobRequest returns a command that sends one request about the job named by its argument.
func (a *app) jobRequest(use, short, method string) *cobra.Command {
	o := a.newOperatorCommand(&cobra.Command{Use: use + " ID", Args: cobra.ExactArgs(1), Short: short})
	o.cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var v kqentry.JobView
		if err := o.request(cmd.Context(), method, "/v1/jobs/"+url.PathEscape(args[0]), nil, &v); err != nil {
			return err
		}
		return o.print(v, jobTable([]kqentry.JobView{v}))
	}
	return o.cmd
}

func (a *app) jobGet() *cobra.Command { return a.jobRequest("get", "Read a job", http.MethodGet) }

func (a *app) jobCancel() *cobra.Command {
	return a.jobRequest("cancel", "Cancel a job; may be repeated", http.MethodDelete)
}

func (a *app) jobList() *cobra.Command {
	var team string
	o := a.newOperatorCommand(&cobra.Command{Use: "list", Args: cobra.NoArgs, Short: "List the jobs"})
	o.settings.Text(&team, "team", "", "list only the jobs of this team")
	o.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var vs []kqentry.JobView
		if err := o.request(cmd.Context(), http.MethodGet, "/v1/jobs?team="+url.QueryEscape(team), nil, &vs); err != nil {
			return err
		}
		return o.print(vs, jobTable(vs))
	}
	return o.cmd
}
