package kqcommand

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
)

func (a *app) classApply() *cobra.Command {
	var file string
	var dryRun bool
	o := a.newOperatorCommand(&cobra.Command{Use: "apply", Args: cobra.NoArgs, Short: "Apply a file of classes and quotas, all or nothing"})
	o.settings.Text(&file, "file", "", "YAML or JSON file; - reads standard input")
	o.settings.Bool(&dryRun, "dry-run", false, "show what would change without applying it")
	o.settings.Text(&o.author, "author", currentUser(), "name of the operator, recorded in the history")
	o.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := o.settings.Require("file"); err != nil {
			return err
		}
		text, err := readFile(file)
		if err != nil {
			return err
		}
		if _, err := kqconfig.Parse(text); err != nil {
			return wrap(err)
		}
		path := "/v1/config"
		if dryRun {
			path += "?dry_run=true"
		}
		var r kqconfig.ApplyResult
		if err := o.request(cmd.Context(), http.MethodPost, path, text, &r); err != nil {
			return err
		}
		return o.print(r, changeTable(r))
	}
	return o.cmd
}

func changeTable(r kqconfig.ApplyResult) table {
	t := table{head: []string{"KEY", "VERSION", "SEQUENCE", "CHANGE"}}
	for _, c := range r.Changes {
		change := "new"
		switch {
		case c.Unchanged:
			change = "unchanged"
		case c.Before != nil:
			change = describeTarget(*c.Before) + " -> " + describeTarget(c.After)
		}
		if r.DryRun {
			change += " (dry run): " + c.Feasibility
		}
		t.addRow(c.Key, c.After.Version, c.After.Sequence, change)
	}
	return t
}

// describeTarget describes the target of a class or the resources of a quota in one line.
func describeTarget(a kqconfig.Revision) string {
	if a.Quota != nil {
		return a.Quota.Resources.String()
	}
	c := a.Class
	switch c.Kind {
	case kqmodel.KindLatencyCritical:
		return fmt.Sprintf("%s at %v%%", c.Latency, c.Percentile)
	case kqmodel.KindBatch:
		return "finish within " + c.FinishWithin.String()
	}
	return fmt.Sprintf("running %v%% of the time", c.KeepRunning)
}

// configKey returns the configuration key of a name: a name with a slash, such as quota/TEAM, is a
// key already, any other names a class.
func configKey(name string) string {
	if strings.Contains(name, "/") {
		return name
	}
	return kqconfig.ClassKey(name)
}

func revisionTable(all []kqconfig.Revision) table {
	t := table{head: []string{"NAME", "KIND", "TARGET", "VERSION", "SEQUENCE", "AUTHOR", "ACCEPTED"}}
	for _, x := range all {
		name, kind := "", "quota"
		if x.Quota != nil {
			name = kqconfig.QuotaKey(x.Quota.Team)
		} else {
			name, kind = x.Class.Name, string(x.Class.Kind)
		}
		t.addRow(name, kind, describeTarget(x), x.Version, x.Sequence, x.Author, x.AcceptedAt.Format("2006-01-02T15:04:05Z07:00"))
	}
	return t
}

func (a *app) classGet() *cobra.Command {
	o := a.newOperatorCommand(&cobra.Command{Use: "get NAME", Args: cobra.ExactArgs(1), Short: "Read a class, or a quota by the name quota/TEAM"})
	o.cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var x kqconfig.Revision
		if err := o.request(cmd.Context(), http.MethodGet, "/v1/config/"+configKey(args[0]), nil, &x); err != nil {
			return err
		}
		return o.print(x, revisionTable([]kqconfig.Revision{x}))
	}
	return o.cmd
}

func (a *app) classList() *cobra.Command {
	o := a.newOperatorCommand(&cobra.Command{Use: "list", Args: cobra.NoArgs, Short: "List the classes and quotas in force"})
	o.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var all []kqconfig.Revision
		if err := o.request(cmd.Context(), http.MethodGet, "/v1/config", nil, &all); err != nil {
			return err
		}
		return o.print(all, revisionTable(all))
	}
	return o.cmd
}

func (a *app) classHistory() *cobra.Command {
	o := a.newOperatorCommand(&cobra.Command{Use: "history NAME", Args: cobra.ExactArgs(1), Short: "List every version of a class or quota"})
	o.cmd.RunE = func(cmd *cobra.Command, args []string) error {
		all, err := o.history(cmd, args[0])
		if err != nil {
			return err
		}
		return o.print(all, revisionTable(all))
	}
	return o.cmd
}

func (o *operatorCommand) history(cmd *cobra.Command, name string) ([]kqconfig.Revision, error) {
	var all []kqconfig.Revision
	return all, o.request(cmd.Context(), http.MethodGet, "/v1/config/"+configKey(name)+"/history", nil, &all)
}

// versionDiff holds the last two versions of a class or quota.
type versionDiff struct {
	// From is the earlier version; zero if there is only one version.
	From kqconfig.Revision `json:"from"`
	// To is the later version.
	To kqconfig.Revision `json:"to"`
}

func (a *app) classDiff() *cobra.Command {
	o := a.newOperatorCommand(&cobra.Command{Use: "diff NAME", Args: cobra.ExactArgs(1), Short: "Show the last two versions of a class or quota"})
	o.cmd.RunE = func(cmd *cobra.Command, args []string) error {
		all, err := o.history(cmd, args[0])
		if err != nil {
			return err
		}
		d := versionDiff{To: all[len(all)-1]}
		t := table{head: []string{"VERSION", "TARGET", "AUTHOR"}}
		if len(all) > 1 {
			d.From = all[len(all)-2]
			t.addRow(d.From.Version, describeTarget(d.From), d.From.Author)
		}
		t.addRow(d.To.Version, describeTarget(d.To), d.To.Author)
		return o.print(d, t)
	}
	return o.cmd
}
