package kqcommand

import (
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
)

// zoneCommands returns the commands that evacuate availability zones and withdraw evacuations.
func (a *app) zoneCommands() *cobra.Command {
	return commandGroup("zone", "Evacuate availability zones and withdraw evacuations", a.zoneRequest("evacuate", "Evacuate a zone: start no new task on its workers", http.MethodPut),
		a.zoneRequest("return", "Withdraw the evacuation of a zone", http.MethodDelete), a.zoneList())
}

func zoneTable(vs []kqgate.ZoneView) table {
	t := table{head: []string{"ZONE", "EVACUATED", "SINCE", "WORKERS", "STANDING", "CHECKPOINTING", "ENDING", "STOPPING"}}
	for _, v := range vs {
		since := "-"
		if !v.Since.IsZero() {
			since = v.Since.Format("2006-01-02 15:04:05")
		}
		if remaining := v.Remaining; remaining != nil {
			t.addRow(v.Zone, v.Evacuated, since, remaining.Workers, remaining.Standing, remaining.Checkpointing, remaining.Ending, remaining.Stopping)
		} else {
			t.addRow(v.Zone, v.Evacuated, since, "-", "-", "-", "-", "-")
		}
	}
	return t
}

func (a *app) zoneRequest(use, short, method string) *cobra.Command {
	o := a.newOperatorCommand(&cobra.Command{Use: use + " ZONE", Args: cobra.ExactArgs(1), Short: short})
	o.cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var v kqgate.ZoneView
		if err := o.request(cmd.Context(), method, "/v1/zones/"+url.PathEscape(args[0])+"/evacuation", nil, &v); err != nil {
			return err
		}
		return o.print(v, zoneTable([]kqgate.ZoneView{v}))
	}
	return o.cmd
}

func (a *app) zoneList() *cobra.Command {
	var repeat bool
	o := a.newOperatorCommand(&cobra.Command{Use: "list", Args: cobra.NoArgs, Short: "List the evacuated zones and the tasks that are still running there"})
	o.settings.Bool(&repeat, "watch", false, "repeat the output every second")
	o.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return watch(cmd.Context(), repeat, func() error {
			var vs []kqgate.ZoneView
			if err := o.request(cmd.Context(), http.MethodGet, kqgate.ZonesRoute, nil, &vs); err != nil {
				return err
			}
			return o.print(vs, zoneTable(vs))
		})
	}
	return o.cmd
}
