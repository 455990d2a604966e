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
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowdemo"
)

// flowCommands returns the commands for flows, which are jobs of several steps, and for their queues
// and availability zones.
func (a *app) flowCommands() []*cobra.Command {
	return []*cobra.Command{
		commandGroup("flow", "Submit, read, cancel and explain flows (jobs of steps)", a.flowSubmit(), a.flowRequest("get", "Read the state of a flow", http.MethodGet),
			a.flowRequest("cancel", "Cancel a flow; may be repeated", http.MethodDelete), a.flowExplain(), a.flowLosses(), a.flowDemo()),
		commandGroup("queue", "Read and change queues of flows", a.queueApply(), a.queueList()),
		a.zoneCommands(),
	}
}

// decodeFile decodes a YAML or JSON file into v; an unknown field is an error.
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
	t.addRow(v.ID, v.State)
	return t
}

func (a *app) flowSubmit() *cobra.Command {
	var file string
	o := a.newOperatorCommand(&cobra.Command{Use: "submit", Args: cobra.NoArgs, Short: "Submit a flow; submitting the same flow again has no effect"})
	o.settings.Text(&file, "file", "", "YAML or JSON file of one flow; - reads standard input")
	o.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
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
	return o.cmd
}

// flowRequest returns a command that sends one request about the flow named by its argument.
func (a *app) flowRequest(use, short, method string) *cobra.Command {
	o := a.newOperatorCommand(&cobra.Command{Use: use + " ID", Args: cobra.ExactArgs(1), Short: short})
	o.cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var v kqgate.FlowView
		if err := o.request(cmd.Context(), method, "/v1/flows/"+url.PathEscape(args[0]), nil, &v); err != nil {
			return err
		}
		return o.print(v, flowTable(v))
	}
	return o.cmd
}

// flowExplain returns a command that collects the events that processes remember about a flow. A
// process whose request fails is left out; the command fails only if no other process returns events.
func (a *app) flowExplain() *cobra.Command {
	var processes []netip.AddrPort
	o := a.newOperatorCommand(&cobra.Command{Use: "explain ID", Args: cobra.ExactArgs(1), Short: "Show the decisions about a flow and its tasks"})
	o.settings.AddrPorts(&processes, "processes", "", "metrics addresses of the processes to query; empty means the entry only")
	o.cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if len(processes) == 0 {
			processes = []netip.AddrPort{o.entry}
		}
		var all []kqgate.ExplainEvent
		var lastErr error
		for _, p := range processes {
			var es []kqgate.ExplainEvent
			o.entry = p
			if err := o.request(cmd.Context(), http.MethodGet, "/v1/explain/flow/"+url.PathEscape(args[0]), nil, &es); err != nil {
				lastErr = err
			}
			all = append(all, es...)
		}
		if len(all) == 0 && lastErr != nil {
			return lastErr
		}
		slices.SortStableFunc(all, func(a, b kqgate.ExplainEvent) int { return a.At.Compare(b.At) })
		t := table{head: []string{"AT", "EVENT", "PROCESS", "FLOW OR TASK", "WHY"}}
		for _, e := range all {
			t.addRow(e.At.Format("15:04:05.000"), fmt.Sprintf("%d %s", e.Number, e.Name), e.Process, e.ID, e.Text)
		}
		return o.print(all, t)
	}
	return o.cmd
}

func queueTable(vs []kqgate.QueueView) table {
	t := table{head: []string{"QUEUE", "SERVICE", "PRIORITY", "ATTEMPTS", "STRETCH", "TARGET", "PENDING", "ROOM IN", "VERSION"}}
	for _, v := range vs {
		t.addRow(v.Name, v.Service, v.Priority, v.MaxAttempts, v.Stretch, v.Target, v.Pending, v.ExpectedWait, v.Version)
	}
	return t
}

func (a *app) queueApply() *cobra.Command {
	var file string
	o := a.newOperatorCommand(&cobra.Command{Use: "apply", Args: cobra.NoArgs, Short: "Create or change a queue"})
	o.settings.Text(&file, "file", "", "YAML or JSON file of one queue, with if_version to change it; - reads standard input")
	o.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
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
	return o.cmd
}

func (a *app) queueList() *cobra.Command {
	o := a.newOperatorCommand(&cobra.Command{Use: "list", Args: cobra.NoArgs, Short: "List the queues in force"})
	o.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var vs []kqgate.QueueView
		if err := o.request(cmd.Context(), http.MethodGet, "/v1/queues", nil, &vs); err != nil {
			return err
		}
		return o.print(vs, queueTable(vs))
	}
	return o.cmd
}

// flowDemoSettings holds the settings of the flow demo command.
type flowDemoSettings struct {
	workers      int
	listen       netip.AddrPort
	lingerTime   time.Duration
	injectFaults bool
	seed         int
	// memoryMegabytes is the memory limit of the process; 0 means the memory of the host.
	memoryMegabytes int
}

func (a *app) flowDemo() *cobra.Command {
	var s flowDemoSettings
	c := newCommand(&cobra.Command{Use: "demo", Args: cobra.NoArgs, Short: "Run a cell for flows in one process on loopback"})
	a.commands = append(a.commands, c)
	c.settings.Int(&s.workers, "workers", 5, 1, 50, "number of workers")
	c.settings.AddrPort(&s.listen, "listen", "127.0.0.1:0", "address of the API while the demo runs; port 0 takes a free port")
	c.settings.Duration(&s.lingerTime, "hold", 0, 0, time.Hour, "how long the cell keeps serving other callers after the flows of the demo have ended")
	c.settings.Bool(&s.injectFaults, "faults", false, "inject faults: kill the owner, restart a worker, make the store unavailable")
	c.settings.Int(&s.seed, "seed", 1, 0, 1<<30, "seed of the random behavior of the stand-ins")
	declareMemory(c.settings, &s.memoryMegabytes)
	c.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		limits, err := limitMemory(s.memoryMegabytes, kqgate.MaxBodyBytes)
		if err != nil {
			return wrap(err)
		}
		r, err := kqflowdemo.Run(cmd.Context(), kqflowdemo.Config{Guard: kqserver.NewGuard(kqserver.GuardConfig{Limits: limits}), Workers: s.workers, ListenAddress: s.listen, LingerTime: s.lingerTime, InjectFaults: s.injectFaults,
			Seed: uint64(s.seed), Progress: a.out})
		if err != nil {
			return wrap(err)
		}
		if r.HasFailures() {
			return errTrialFailed
		}
		return nil
	}
	return c.cmd
}
