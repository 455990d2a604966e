package kqcommand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowdemo"
)

// flowCommands speak to the API of jobs of steps.
func (a *app) flowCommands() []*cobra.Command {
	return []*cobra.Command{
		parent("flow", "Jobs of steps", a.flowSubmit(), a.flowRequest("get", "Read the state of a flow", http.MethodGet),
			a.flowRequest("cancel", "Cancel a flow; may be sent again", http.MethodDelete), a.flowExplain(), a.flowLosses(), a.flowDemo()),
		parent("queue", "Classes of work for jobs of steps", a.queueApply(), a.queueList()),
		a.zoneCommands(),
	}
}

// decodeFile reads a YAML or JSON file; an unknown field is an error.
func decodeFile(file string, v any) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	b, err := yaml.YAMLToJSON(text)
	if err != nil {
		return kqresult.Errorf(kqresult.BadDocument, "%s: %v", file, err)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return kqresult.Errorf(kqresult.BadDocument, "%s: %v", file, err)
	}
	return nil
}

func flowTable(v kqgate.FlowView) table {
	t := table{head: []string{"FLOW", "STATE"}}
	t.add(v.ID, v.State)
	return t
}

func (a *app) flowSubmit() *cobra.Command {
	var file string
	o := a.operator(&cobra.Command{Use: "submit", Args: cobra.NoArgs, Short: "Submit a job of steps; the same flow may be sent again"})
	o.settings.Text(&file, "file", "", "YAML or JSON file of one flow; - reads standard input")
	o.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := o.settings.Require("file"); err != nil {
			return err
		}
		var f kqgate.FlowSpec
		if err := decodeFile(file, &f); err != nil {
			return err
		}
		if _, bad := f.Job(); bad != nil {
			return bad
		}
		body, err := json.Marshal(f)
		if err != nil {
			return err
		}
		var v kqgate.FlowView
		if err := o.request(cmd.Context(), http.MethodPost, "/v1/flows", body, &v); err != nil {
			return err
		}
		return o.print(v, flowTable(v))
	}
	return o.cobra
}

// flowRequest returns a command that names one flow.
func (a *app) flowRequest(use, short, method string) *cobra.Command {
	o := a.operator(&cobra.Command{Use: use + " ID", Args: cobra.ExactArgs(1), Short: short})
	o.cobra.RunE = func(cmd *cobra.Command, args []string) error {
		var v kqgate.FlowView
		if err := o.request(cmd.Context(), method, "/v1/flows/"+url.PathEscape(args[0]), nil, &v); err != nil {
			return err
		}
		return o.print(v, flowTable(v))
	}
	return o.cobra
}

// flowExplain gathers what processes remember of a flow: one that stands or has
// gone says nothing, the others still do.
func (a *app) flowExplain() *cobra.Command {
	var processes []netip.AddrPort
	o := a.operator(&cobra.Command{Use: "explain ID", Args: cobra.ExactArgs(1), Short: "Tell what was decided about a flow and its tasks"})
	o.settings.AddrPorts(&processes, "processes", "", "metrics addresses of the processes to ask; none means the entry")
	o.cobra.RunE = func(cmd *cobra.Command, args []string) error {
		if len(processes) == 0 {
			processes = []netip.AddrPort{o.entry}
		}
		var all []kqgate.ExplainEvent
		var last error
		for _, p := range processes {
			var es []kqgate.ExplainEvent
			o.entry = p
			if err := o.request(cmd.Context(), http.MethodGet, "/v1/explain/flow/"+url.PathEscape(args[0]), nil, &es); err != nil {
				last = err
			}
			all = append(all, es...)
		}
		if len(all) == 0 && last != nil {
			return last
		}
		slices.SortStableFunc(all, func(a, b kqgate.ExplainEvent) int { return a.At.Compare(b.At) })
		t := table{head: []string{"AT", "EVENT", "PROCESS", "FLOW OR TASK", "WHY"}}
		for _, e := range all {
			t.add(e.At.Format("15:04:05.000"), fmt.Sprintf("%d %s", e.Number, e.Name), e.Process, e.ID, e.Text)
		}
		return o.print(all, t)
	}
	return o.cobra
}

func queueTable(vs []kqgate.QueueView) table {
	t := table{head: []string{"QUEUE", "SERVICE", "PRIORITY", "ATTEMPTS", "STRETCH", "TARGET", "PENDING", "ROOM IN", "VERSION"}}
	for _, v := range vs {
		t.add(v.Name, v.Service, v.Priority, v.MaxAttempts, v.Stretch, v.Target, v.Pending, v.ExpectedWait, v.Version)
	}
	return t
}

func (a *app) queueApply() *cobra.Command {
	var file string
	o := a.operator(&cobra.Command{Use: "apply", Args: cobra.NoArgs, Short: "Create or change a queue"})
	o.settings.Text(&file, "file", "", "YAML or JSON file of one queue, with if_version to change it; - reads standard input")
	o.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := o.settings.Require("file"); err != nil {
			return err
		}
		var q kqgate.QueueChange
		if err := decodeFile(file, &q); err != nil {
			return err
		}
		body, err := json.Marshal(q)
		if err != nil {
			return err
		}
		var v kqgate.QueueView
		if err := o.request(cmd.Context(), http.MethodPut, "/v1/queues/"+url.PathEscape(q.Name), body, &v); err != nil {
			return err
		}
		return o.print(v, queueTable([]kqgate.QueueView{v}))
	}
	return o.cobra
}

func (a *app) queueList() *cobra.Command {
	o := a.operator(&cobra.Command{Use: "list", Args: cobra.NoArgs, Short: "List the queues in force"})
	o.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		var vs []kqgate.QueueView
		if err := o.request(cmd.Context(), http.MethodGet, "/v1/queues", nil, &vs); err != nil {
			return err
		}
		return o.print(vs, queueTable(vs))
	}
	return o.cobra
}

// flowDemoSettings is the settings of the demo of jobs of steps.
type flowDemoSettings struct {
	workers int
	listen  netip.AddrPort
	hold    time.Duration
	faults  bool
	seed    int
}

func (a *app) flowDemo() *cobra.Command {
	var s flowDemoSettings
	c := newCommand(&cobra.Command{Use: "demo", Args: cobra.NoArgs, Short: "Run a cell for jobs of steps in one process on loopback"})
	a.commands = append(a.commands, c)
	c.settings.Int(&s.workers, "workers", 5, 1, 50, "how many workers")
	c.settings.AddrPort(&s.listen, "listen", "127.0.0.1:0", "address of the API meanwhile; port 0 takes a free one")
	c.settings.Duration(&s.hold, "hold", 0, 0, time.Hour, "how long the cell stays up for other callers after its own flows")
	c.settings.Bool(&s.faults, "faults", false, "kill the owner, restart a worker, take the store down")
	c.settings.Int(&s.seed, "seed", 1, 0, 1<<30, "seed of the stand-ins")
	c.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		r, err := kqflowdemo.Run(cmd.Context(), kqflowdemo.Config{Workers: s.workers, ListenAddress: s.listen, LingerTime: s.hold, InjectFaults: s.faults,
			Seed: uint64(s.seed), Progress: a.out})
		if err != nil {
			return failed(err)
		}
		if r.HasFailures() {
			return errBroken
		}
		return nil
	}
	return c.cobra
}
