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
	o := a.operator(&cobra.Command{Use: "apply", Args: cobra.NoArgs, Short: "Apply a file of classes and quotas, whole or not at all"})
	o.settings.Text(&file, "file", "", "YAML or JSON file; - reads standard input")
	o.settings.Bool(&dryRun, "dry-run", false, "say what would change and change nothing")
	o.settings.Text(&o.author, "author", currentUser(), "name of the operator for the history")
	o.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := o.settings.Require("file"); err != nil {
			return err
		}
		text, err := readFile(file)
		if err != nil {
			return err
		}
		if _, err := kqconfig.Parse(text); err != nil {
			return failed(err)
		}
		path := "/v1/config"
		if dryRun {
			path += "?dry_run=true"
		}
		var r kqconfig.ApplyResult
		if err := o.request(cmd.Context(), http.MethodPost, path, text, &r); err != nil {
			return err
		}
		return o.print(r, changes(r))
	}
	return o.cobra
}

func changes(r kqconfig.ApplyResult) table {
	t := table{head: []string{"KEY", "VERSION", "SEQUENCE", "CHANGE"}}
	for _, c := range r.Changes {
		what := "new"
		switch {
		case c.Unchanged:
			what = "unchanged"
		case c.Before != nil:
			what = targets(*c.Before) + " -> " + targets(c.After)
		}
		if r.DryRun {
			what += " (dry run): " + c.Feasibility
		}
		t.add(c.Key, c.After.Version, c.After.Sequence, what)
	}
	return t
}

// targets describes what is in force in one line.
func targets(a kqconfig.Revision) string {
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

// configKey completes the name of a class; quota/TEAM is taken as it is.
func configKey(name string) string {
	if strings.Contains(name, "/") {
		return name
	}
	return kqconfig.ClassKey(name)
}

func acceptedTable(all []kqconfig.Revision) table {
	t := table{head: []string{"NAME", "KIND", "TARGET", "VERSION", "SEQUENCE", "AUTHOR", "ACCEPTED"}}
	for _, x := range all {
		name, kind := "", "quota"
		if x.Quota != nil {
			name = kqconfig.QuotaKey(x.Quota.Team)
		} else {
			name, kind = x.Class.Name, string(x.Class.Kind)
		}
		t.add(name, kind, targets(x), x.Version, x.Sequence, x.Author, x.AcceptedAt.Format("2006-01-02T15:04:05Z07:00"))
	}
	return t
}

func (a *app) classGet() *cobra.Command {
	o := a.operator(&cobra.Command{Use: "get NAME", Args: cobra.ExactArgs(1), Short: "Read a class, or a quota as quota/TEAM"})
	o.cobra.RunE = func(cmd *cobra.Command, args []string) error {
		var x kqconfig.Revision
		if err := o.request(cmd.Context(), http.MethodGet, "/v1/config/"+configKey(args[0]), nil, &x); err != nil {
			return err
		}
		return o.print(x, acceptedTable([]kqconfig.Revision{x}))
	}
	return o.cobra
}

func (a *app) classList() *cobra.Command {
	o := a.operator(&cobra.Command{Use: "list", Args: cobra.NoArgs, Short: "List the classes and quotas in force"})
	o.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		var all []kqconfig.Revision
		if err := o.request(cmd.Context(), http.MethodGet, "/v1/config", nil, &all); err != nil {
			return err
		}
		return o.print(all, acceptedTable(all))
	}
	return o.cobra
}

func (a *app) classHistory() *cobra.Command {
	o := a.operator(&cobra.Command{Use: "history NAME", Args: cobra.ExactArgs(1), Short: "List every version of a class"})
	o.cobra.RunE = func(cmd *cobra.Command, args []string) error {
		all, err := o.history(cmd, args[0])
		if err != nil {
			return err
		}
		return o.print(all, acceptedTable(all))
	}
	return o.cobra
}

func (o *operator) history(cmd *cobra.Command, name string) ([]kqconfig.Revision, error) {
	var all []kqconfig.Revision
	return all, o.request(cmd.Context(), http.MethodGet, "/v1/config/"+configKey(name)+"/history", nil, &all)
}

// versionDiff is what changed between two versions of a class.
type versionDiff struct {
	// From is the earlier version.
	From kqconfig.Revision `json:"from"`
	// To is the later version.
	To kqconfig.Revision `json:"to"`
}

func (a *app) classDiff() *cobra.Command {
	o := a.operator(&cobra.Command{Use: "diff NAME", Args: cobra.ExactArgs(1), Short: "Show what the last change of a class changed"})
	o.cobra.RunE = func(cmd *cobra.Command, args []string) error {
		all, err := o.history(cmd, args[0])
		if err != nil {
			return err
		}
		d := versionDiff{To: all[len(all)-1]}
		t := table{head: []string{"VERSION", "TARGET", "AUTHOR"}}
		if len(all) > 1 {
			d.From = all[len(all)-2]
			t.add(d.From.Version, targets(d.From), d.From.Author)
		}
		t.add(d.To.Version, targets(d.To), d.To.Author)
		return o.print(d, t)
	}
	return o.cobra
}
