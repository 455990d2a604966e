package kqflowdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqclient"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Config sets up a demo.
type Config struct {
	// Workers is the number of workers.
	Workers int
	// Guard limits what clients of the API hold; nil derives the limits from the host.
	Guard *kqserver.Guard
	// ListenAddress is the address of the API; port 0 takes a free port.
	ListenAddress netip.AddrPort
	// LingerTime is how long the cell stays up after the demo's flows have ended.
	LingerTime time.Duration
	// InjectFaults kills and restarts the owner, restarts a worker and makes the store
	// refuse requests for a while.
	InjectFaults bool
	// Seed seeds the random faults of the stand-ins.
	Seed uint64
	// Progress receives progress messages and the report; may be nil.
	Progress io.Writer
}

const (
	readyTimeout          = 20 * time.Second
	finishTimeout         = 60 * time.Second
	pollInterval          = 50 * time.Millisecond
	workerMilliProcessors = 8000
	workerMemory          = 32 * gigabyte
)

// Result is the result of one flow.
type Result struct {
	// ID and Queue name the flow.
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// State is the final state that the API returned.
	State kqflow.State `json:"state"`
	// Duration is the time from the submission to the final state.
	Duration kqmodel.Duration `json:"took"`
	// Objective is the time within which the flow should end; 0 for a long-running flow.
	Objective kqmodel.Duration `json:"objective,omitempty"`
}

// Report holds the results of a demo.
type Report struct {
	// Flows holds the result of each flow.
	Flows []Result `json:"flows"`
	// Starts is the number of runs that workers started.
	Starts int `json:"starts"`
	// Breaches describes each breach that the ledger of the workers or a process detected.
	Breaches []string `json:"breaches"`
}

// HasFailures reports whether there was a breach or a finite flow did not complete.
func (r Report) HasFailures() bool {
	for _, f := range r.Flows {
		if f.State != kqflow.StateCompleted && f.Objective > 0 {
			return true
		}
	}
	return len(r.Breaches) > 0
}

// Write writes the report as a table.
func (r Report) Write(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FLOW\tQUEUE\tSTATE\tTOOK\tOBJECTIVE")
	for _, f := range r.Flows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", f.ID, f.Queue, f.State, f.Duration, f.Objective)
	}
	fmt.Fprintf(w, "\n%d runs started, %d breaches\n", r.Starts, len(r.Breaches))
	for _, b := range r.Breaches {
		fmt.Fprintln(w, b)
	}
	return w.Flush()
}

// demo is a running demo.
type demo struct {
	config      Config
	cell        *Cell
	submittedAt map[string]time.Time
	report      Report
}

// Run runs a demo and returns its report.
func Run(ctx context.Context, c Config) (Report, error) {
	x, err := NewCell(CellConfig{Guard: c.Guard, Workers: c.Workers, Capacity: kqmodel.Resources{MilliProcessors: workerMilliProcessors, MemoryBytes: workerMemory},
		Service: service, ListenAddress: c.ListenAddress, Seed: c.Seed, Events: kqevent.New(kqevent.Config{Process: "demo"})})
	if err != nil {
		return Report{}, err
	}
	defer x.Close()
	d := &demo{config: c, cell: x, submittedAt: map[string]time.Time{}}
	if err := d.run(ctx); err != nil {
		return Report{}, err
	}
	if c.Progress != nil {
		if err := d.report.Write(c.Progress); err != nil {
			return Report{}, err
		}
	}
	kqtable.Sleep(ctx, c.LingerTime)
	return d.report, nil
}

func (d *demo) run(ctx context.Context) error {
	d.logf("the API is at %s", d.cell.Addr())
	if err := d.await(ctx, readyTimeout, "an owner", func() bool { return d.cell.Owner() != nil }); err != nil {
		return err
	}
	d.logf("%s owns the cell", d.cell.Owner().Name())
	for _, q := range queues() {
		if err := d.request(ctx, http.MethodPut, "/v1/queues/"+q.Name, kqgate.QueueChange{QueueSpec: q}, nil); err != nil {
			return err
		}
	}
	for _, f := range flows() {
		if err := d.submit(ctx, f); err != nil {
			return err
		}
	}
	if !d.config.InjectFaults {
		return d.awaitFlows(ctx)
	}
	f := &faultSequence{demo: d}
	f.tomb.Go(func() error { return f.run(ctx) })
	if err := d.awaitFlows(ctx); err != nil {
		return err
	}
	return f.tomb.Wait()
}

// submit submits a flow. It retries until the entry accepts it, which it does once it has the
// flow's queue.
func (d *demo) submit(ctx context.Context, f kqgate.FlowSpec) error {
	var last error
	d.submittedAt[f.ID] = time.Now()
	err := d.await(ctx, readyTimeout, "the entry to accept "+f.ID, func() bool {
		last = d.request(ctx, http.MethodPost, "/v1/flows", f, nil)
		return last == nil
	})
	if err != nil {
		return eris.Wrapf(err, "%v", last)
	}
	return nil
}

// awaitFlows waits until each finite flow has ended, then cancels the long-running flows and
// waits for their ends. It fills in the report.
func (d *demo) awaitFlows(ctx context.Context) error {
	longRunning := []kqgate.FlowSpec{}
	for _, f := range flows() {
		if f.Steps[0].LongRunning {
			longRunning = append(longRunning, f)
			continue
		}
		if err := d.awaitEnd(ctx, f); err != nil {
			return err
		}
	}
	for _, f := range longRunning {
		if err := d.await(ctx, readyTimeout, "the cancellation of "+f.ID, func() bool {
			return d.request(ctx, http.MethodDelete, "/v1/flows/"+f.ID, nil, nil) == nil
		}); err != nil {
			return err
		}
		if err := d.awaitEnd(ctx, f); err != nil {
			return err
		}
	}
	d.report.Starts = d.cell.Ledger.StartCount()
	d.report.Breaches = d.cell.Ledger.Breaches()
	for _, b := range d.cell.Counter.Breaches() {
		d.report.Breaches = append(d.report.Breaches, fmt.Sprintf("%+v", b))
	}
	return nil
}

// awaitEnd waits until a flow has a final state and adds its result to the report.
func (d *demo) awaitEnd(ctx context.Context, f kqgate.FlowSpec) error {
	var v kqgate.FlowView
	err := d.await(ctx, finishTimeout, f.ID+" to end", func() bool {
		return d.request(ctx, http.MethodGet, "/v1/flows/"+f.ID, nil, &v) == nil && v.State.Final()
	})
	if err != nil {
		return err
	}
	r := Result{ID: f.ID, Queue: f.Queue, State: v.State, Duration: kqmodel.Duration(time.Since(d.submittedAt[f.ID]).Round(time.Millisecond))}
	if j, bad := f.Job(); bad == nil && !f.Steps[0].LongRunning {
		r.Objective = kqmodel.Duration(d.cell.policies.Policy().Queues[f.Queue].Objective(j))
	}
	d.report.Flows = append(d.report.Flows, r)
	return nil
}

// request sends a request to the API and decodes the response into out.
func (d *demo) request(ctx context.Context, method, path string, body, out any) error {
	b := []byte(nil)
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return err
		}
	}
	return kqclient.Client{EntryAddress: d.cell.Addr()}.Do(ctx, method, path, b, out)
}

// await polls until done returns true. It returns an error that names the condition when the
// timeout has passed or ctx has ended.
func (d *demo) await(ctx context.Context, timeout time.Duration, condition string, done func() bool) error {
	for end := time.Now().Add(timeout); !done(); {
		if ctx.Err() != nil || time.Now().After(end) {
			return eris.Errorf("timed out after %s waiting for %s", timeout, condition)
		}
		kqtable.Sleep(ctx, pollInterval)
	}
	return nil
}

func (d *demo) logf(format string, args ...any) {
	if d.config.Progress != nil {
		fmt.Fprintf(d.config.Progress, format+"\n", args...)
	}
}
