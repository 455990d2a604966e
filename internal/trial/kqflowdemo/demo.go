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
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Config sets up a demo.
type Config struct {
	// Workers is how many workers there are.
	Workers int
	// Listen is where the API is served meanwhile; port 0 takes a free one.
	ListenAddress netip.AddrPort
	// Hold is how long the cell stays up after its own flows have ended.
	LingerTime time.Duration
	// Faults kills the owner, restarts a worker and takes the store away.
	InjectFaults bool
	// Seed draws the faults of the stand-ins.
	Seed uint64
	// Progress receives what happens; nil shows nothing.
	Progress io.Writer
}

const (
	readyBound   = 20 * time.Second
	finishBound  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	workerSize   = 8000
	workerMemory = 32 * gigabyte
)

// Result is what became of a flow.
type Result struct {
	// ID and Queue name the flow.
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// State is what callers are shown at last.
	State kqflow.State `json:"state"`
	// Took is the time from the submission to that state.
	Took kqmodel.Duration `json:"took"`
	// Objective is how long the flow may take; 0 for one that stays.
	Objective kqmodel.Duration `json:"objective,omitempty"`
}

// Report is what a demo saw.
type Report struct {
	// Flows is what became of each flow.
	Flows []Result `json:"flows"`
	// Starts counts the runs that workers began.
	Starts int `json:"starts"`
	// Breaches is what workers or the program saw broken.
	Breaches []string `json:"breaches"`
}

// Broken reports whether an invariant was broken or a flow did not end well.
func (r Report) HasFailures() bool {
	for _, f := range r.Flows {
		if f.State != kqflow.StateCompleted && f.Objective > 0 {
			return true
		}
	}
	return len(r.Breaches) > 0
}

// Write writes the report for people.
func (r Report) Write(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FLOW\tQUEUE\tSTATE\tTOOK\tOBJECTIVE")
	for _, f := range r.Flows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", f.ID, f.Queue, f.State, f.Took, f.Objective)
	}
	fmt.Fprintf(w, "\n%d runs started, %d breaches\n", r.Starts, len(r.Breaches))
	for _, b := range r.Breaches {
		fmt.Fprintln(w, b)
	}
	return w.Flush()
}

// demo is a demo under way.
type demo struct {
	config Config
	cell   *Cell
	begun  map[string]time.Time
	report Report
}

// Run runs a demo to its end.
func Run(ctx context.Context, c Config) (Report, error) {
	x, err := NewCell(CellConfig{Workers: c.Workers, Capacity: kqmodel.Resources{MilliProcessors: workerSize, MemoryBytes: workerMemory},
		Service: service, Listen: c.ListenAddress, Seed: c.Seed, Events: kqevent.New(kqevent.Config{Process: "demo"})})
	if err != nil {
		return Report{}, err
	}
	defer x.Close()
	d := &demo{config: c, cell: x, begun: map[string]time.Time{}}
	if err := d.play(ctx); err != nil {
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

func (d *demo) play(ctx context.Context) error {
	d.say("the API is at %s", d.cell.Addr())
	if err := d.await(ctx, readyBound, "an owner", func() bool { return d.cell.Owner() != nil }); err != nil {
		return err
	}
	d.say("%s owns the cell", d.cell.Owner().Name())
	for _, q := range queues() {
		if err := d.call(ctx, http.MethodPut, "/v1/queues/"+q.Name, kqgate.QueueChange{QueueSpec: q}, nil); err != nil {
			return err
		}
	}
	for _, f := range flows() {
		if err := d.submit(ctx, f); err != nil {
			return err
		}
	}
	if !d.config.InjectFaults {
		return d.finish(ctx)
	}
	f := &faults{demo: d}
	f.tomb.Go(func() error { return f.run(ctx) })
	if err := d.finish(ctx); err != nil {
		return err
	}
	return f.tomb.Wait()
}

// submit hands a flow in once its queue is in force at the entry.
func (d *demo) submit(ctx context.Context, f kqgate.FlowSpec) error {
	var last error
	d.begun[f.ID] = time.Now()
	err := d.await(ctx, readyBound, "the entry to take "+f.ID, func() bool {
		last = d.call(ctx, http.MethodPost, "/v1/flows", f, nil)
		return last == nil
	})
	if err != nil {
		return eris.Wrapf(err, "%v", last)
	}
	return nil
}

// finish waits until each flow has ended; those that stay are cancelled last.
func (d *demo) finish(ctx context.Context) error {
	stay := []kqgate.FlowSpec{}
	for _, f := range flows() {
		if f.Steps[0].LongRunning {
			stay = append(stay, f)
			continue
		}
		if err := d.end(ctx, f); err != nil {
			return err
		}
	}
	for _, f := range stay {
		if err := d.await(ctx, readyBound, "the cancelling of "+f.ID, func() bool {
			return d.call(ctx, http.MethodDelete, "/v1/flows/"+f.ID, nil, nil) == nil
		}); err != nil {
			return err
		}
		if err := d.end(ctx, f); err != nil {
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

// end waits until a flow has a final state and notes it.
func (d *demo) end(ctx context.Context, f kqgate.FlowSpec) error {
	var v kqgate.FlowView
	err := d.await(ctx, finishBound, f.ID+" to end", func() bool {
		return d.call(ctx, http.MethodGet, "/v1/flows/"+f.ID, nil, &v) == nil && v.State.Final()
	})
	if err != nil {
		return err
	}
	r := Result{ID: f.ID, Queue: f.Queue, State: v.State, Took: kqmodel.Duration(time.Since(d.begun[f.ID]).Round(time.Millisecond))}
	if j, bad := f.Job(); bad == nil && !f.Steps[0].LongRunning {
		r.Objective = kqmodel.Duration(d.cell.book.Policy().Queues[f.Queue].Objective(j))
	}
	d.report.Flows = append(d.report.Flows, r)
	return nil
}

// call speaks to the API.
func (d *demo) call(ctx context.Context, method, path string, body, out any) error {
	b := []byte(nil)
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return err
		}
	}
	return kqclient.Client{EntryAddress: d.cell.Addr()}.Do(ctx, method, path, b, out)
}

func (d *demo) await(ctx context.Context, bound time.Duration, what string, done func() bool) error {
	for end := time.Now().Add(bound); !done(); {
		if ctx.Err() != nil || time.Now().After(end) {
			return eris.Errorf("waited %s for %s", bound, what)
		}
		kqtable.Sleep(ctx, pollInterval)
	}
	return nil
}

func (d *demo) say(format string, args ...any) {
	if d.config.Progress != nil {
		fmt.Fprintf(d.config.Progress, format+"\n", args...)
	}
}
