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

// jobSettings is what a caller declares of a job on the command line.
type jobSettings struct {
	spec       kqmodel.JobSpec
	urgency    string
	tasks      int
	processors int
	memory     int
	accels     int
	runTime    string
}

func (a *app) jobSubmit() *cobra.Command {
	var s jobSettings
	o := a.operator(&cobra.Command{Use: "submit", Args: cobra.NoArgs, Short: "Submit a job of one or many tasks"})
	o.settings.Text(&s.spec.ID, "id", "", "the caller's name of the job; the same job may be sent again")
	o.settings.Text(&s.spec.Team, "team", "", "team that the job counts for")
	o.settings.Text(&s.spec.Class, "class", "", "class of kind batch or watcher")
	o.settings.Text(&s.spec.Family, "family", "", "jobs that behave alike; empty means the class")
	o.settings.Int(&s.tasks, "tasks", 1, 1, 1000, "how many tasks")
	o.settings.Int(&s.processors, "milli-processors", 1000, 1, 1_024_000, "processors of each task, in thousandths")
	o.settings.Int(&s.memory, "memory-megabytes", 1000, 1, 100_000_000, "memory of each task")
	o.settings.Int(&s.accels, "accelerators", 0, 0, 64, "accelerators of each task")
	o.settings.Text(&s.runTime, "run-time", "", "declared run time of each task, such as 30m; none for a watcher")
	o.settings.Choice(&s.urgency, "urgency", "normal", []string{"normal", "urgent"}, "urgent work goes first")
	o.settings.Text(&s.spec.Command, "command", "", "what the worker runtime runs")
	o.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := o.settings.Require("id", "team", "class"); err != nil {
			return err
		}
		body, err := s.body()
		if err != nil {
			return err
		}
		var v kqentry.JobView
		if err := o.request(cmd.Context(), http.MethodPost, "/v1/jobs", body, &v); err != nil {
			return err
		}
		return o.print(v, jobTable([]kqentry.JobView{v}))
	}
	return o.cobra
}

func (s *jobSettings) body() ([]byte, error) {
	s.spec.Tasks, s.spec.Urgency = uint32(s.tasks), kqmodel.Urgency(s.urgency)
	s.spec.Resources = kqmodel.Resources{MilliProcessors: int64(s.processors), MemoryBytes: int64(s.memory) * 1_000_000, Accelerators: int64(s.accels)}
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
		t.add(v.Job.Spec.ID, v.Job.Spec.Team, v.Job.Spec.Class, v.State, strings.Join(states, ", "), v.Evictions, v.Job.Cell)
	}
	return t
}

// jobRequest returns a command that names one job.
func (a *app) jobRequest(use, short, method string) *cobra.Command {
	o := a.operator(&cobra.Command{Use: use + " ID", Args: cobra.ExactArgs(1), Short: short})
	o.cobra.RunE = func(cmd *cobra.Command, args []string) error {
		var v kqentry.JobView
		if err := o.request(cmd.Context(), method, "/v1/jobs/"+url.PathEscape(args[0]), nil, &v); err != nil {
			return err
		}
		return o.print(v, jobTable([]kqentry.JobView{v}))
	}
	return o.cobra
}

func (a *app) jobGet() *cobra.Command { return a.jobRequest("get", "Read a job", http.MethodGet) }

func (a *app) jobCancel() *cobra.Command {
	return a.jobRequest("cancel", "Cancel a job; may be sent again", http.MethodDelete)
}

func (a *app) jobList() *cobra.Command {
	var team string
	o := a.operator(&cobra.Command{Use: "list", Args: cobra.NoArgs, Short: "List the jobs"})
	o.settings.Text(&team, "team", "", "only the jobs of this team")
	o.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		var vs []kqentry.JobView
		if err := o.request(cmd.Context(), http.MethodGet, "/v1/jobs?team="+url.QueryEscape(team), nil, &vs); err != nil {
			return err
		}
		return o.print(vs, jobTable(vs))
	}
	return o.cobra
}
