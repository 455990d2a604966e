package kqcommand

import (
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
)

// zoneCommands evacuate availability zones and return them.
func (a *app) zoneCommands() *cobra.Command {
	return parent("zone", "Evacuation of availability zones", a.zoneRequest("evacuate", "Start nothing new on the workers of a zone", http.MethodPut),
		a.zoneRequest("return", "Withdraw the evacuation of a zone", http.MethodDelete), a.zoneList())
}

func zoneTable(vs []kqgate.ZoneView) table {
	t := table{head: []string{"ZONE", "EVACUATED", "SINCE", "WORKERS", "STANDING", "CHECKPOINTING", "ENDING", "STOPPING"}}
	for _, v := range vs {
		since := "-"
		if !v.Since.IsZero() {
			since = v.Since.Format("2006-01-02 15:04:05")
		}
		if l := v.Remaining; l != nil {
			t.add(v.Zone, v.Evacuated, since, l.Workers, l.Standing, l.Checkpointing, l.Ending, l.Stopping)
		} else {
			t.add(v.Zone, v.Evacuated, since, "-", "-", "-", "-", "-")
		}
	}
	return t
}

func (a *app) zoneRequest(use, short, method string) *cobra.Command {
	o := a.operator(&cobra.Command{Use: use + " ZONE", Args: cobra.ExactArgs(1), Short: short})
	o.cobra.RunE = func(cmd *cobra.Command, args []string) error {
		var v kqgate.ZoneView
		if err := o.request(cmd.Context(), method, "/v1/zones/"+url.PathEscape(args[0])+"/evacuation", nil, &v); err != nil {
			return err
		}
		return o.print(v, zoneTable([]kqgate.ZoneView{v}))
	}
	return o.cobra
}

func (a *app) zoneList() *cobra.Command {
	var follow bool
	o := a.operator(&cobra.Command{Use: "list", Args: cobra.NoArgs, Short: "List the evacuated zones and what is still at work there"})
	o.settings.Bool(&follow, "watch", false, "show it again each second")
	o.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		return watch(cmd.Context(), follow, func() error {
			var vs []kqgate.ZoneView
			if err := o.request(cmd.Context(), http.MethodGet, kqgate.ZonesRoute, nil, &vs); err != nil {
				return err
			}
			return o.print(vs, zoneTable(vs))
		})
	}
	return o.cobra
}
