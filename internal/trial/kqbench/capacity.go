package kqbench

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqclient"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqmember"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqfleet"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// CapacityConfig configures MeasureCapacity.
type CapacityConfig struct {
	// Duration is how long each fleet size is measured.
	Duration time.Duration
	// Progress receives a line after each size; may be nil.
	Progress io.Writer
}

// capacitySizes lists the numbers of workers that are measured.
var capacitySizes = []int{11, 50, 200}

const (
	capacityReadyTimeout = 60 * time.Second
	announceCount        = 16_000
	announceClients      = 16
	// targetWorkers is the number of workers that the results are extrapolated to.
	targetWorkers = 1600
	// Limits on the processors, traffic and heap of a role; see CapacityRow.
	maxProcessors     = 0.023
	maxBytesPerSecond = 3000.0
	maxHeapBytes      = 128e6
)

// SizeFigures holds the costs of an idle fleet of one size.
type SizeFigures struct {
	// Workers is the number of workers, which run in one process with one entry.
	Workers int `json:"workers"`
	// Processors is the processor seconds per second of the whole process, stand-ins included.
	Processors float64 `json:"processor_seconds_per_second"`
	// HeapBytes is the size of the live heap.
	HeapBytes float64 `json:"heap_bytes"`
	// EntryBytesPerSecond is the traffic of the entry, received and sent.
	EntryBytesPerSecond float64 `json:"entry_bytes_per_second"`
	// OwnerBytesPerSecond is the traffic of all agents, which includes the owners, received and sent.
	OwnerBytesPerSecond float64 `json:"owner_bytes_per_second"`
	// ReadsPerSecond is the rate of reads on the table.
	ReadsPerSecond float64 `json:"table_reads_per_second"`
	// WritesPerSecond is the rate of writes on the table.
	WritesPerSecond float64 `json:"table_writes_per_second"`
}

// CapacityReport holds the measured sizes, the costs per worker and the extrapolation to the target.
type CapacityReport struct {
	// Sizes holds the costs of each measured size.
	Sizes []SizeFigures `json:"sizes"`
	// Slopes, per worker, of a line fitted through Sizes: processors, bytes of heap, traffic of the
	// entry and of the owners in bytes per second, and table reads per second.
	ProcessorsPerWorker float64 `json:"processor_per_worker"`
	HeapPerWorker       float64 `json:"heap_per_worker_bytes"`
	EntryBytesPerWorker float64 `json:"entry_bytes_per_worker_per_second"`
	OwnerBytesPerWorker float64 `json:"owner_bytes_per_worker_per_second"`
	ReadsPerWorker      float64 `json:"table_reads_per_worker_per_second"`
	// WritesPerCell is the rate of table writes of one idle cell.
	WritesPerCell float64 `json:"table_writes_per_cell_per_second"`
	// AnnounceProcessorSeconds is the processor time of one announcement, for worker and entry
	// together, measured with the smallest size.
	AnnounceProcessorSeconds float64 `json:"announce_processor_seconds"`
	// Rows lists the costs of each role at the target size.
	Rows []CapacityRow `json:"target"`
}

// CapacityRow compares one cost at the target size with its limit.
type CapacityRow struct {
	// Role is the kind of process that bears the cost.
	Role string `json:"role"`
	// Quantity describes the cost, with its unit.
	Quantity string `json:"what"`
	// Value is the cost at the target size.
	Value float64 `json:"value"`
	// Limit is the highest cost allowed.
	Limit float64 `json:"bound"`
}

// WithinLimit reports whether the cost is at most its limit.
func (r CapacityRow) WithinLimit() bool { return r.Value <= r.Limit }

// MeasureCapacity measures each fleet size, computes the costs per worker and extrapolates them to
// the target size.
func MeasureCapacity(ctx context.Context, c CapacityConfig) (CapacityReport, error) {
	var r CapacityReport
	for _, n := range capacitySizes {
		s, announceSeconds, err := measureSize(ctx, c, n)
		if err != nil {
			return r, err
		}
		r.Sizes = append(r.Sizes, s)
		if r.AnnounceProcessorSeconds == 0 {
			r.AnnounceProcessorSeconds = announceSeconds
		}
		if c.Progress != nil {
			fmt.Fprintf(c.Progress, "%d workers: %.3f processors, heap %.1f MB\n", n, s.Processors, s.HeapBytes/1e6)
		}
	}
	r.computeSlopes()
	r.extrapolate()
	return r, nil
}

func cellsFor(workers int) int { return max(1, workers/cellWorkers) }

// measureSize measures an idle fleet of one size, and the processor time of one announcement.
func measureSize(ctx context.Context, c CapacityConfig, workers int) (SizeFigures, float64, error) {
	u, err := kqfleet.FindUser("kaluvi")
	if err != nil {
		return SizeFigures{}, 0, err
	}
	u.Workers = workers
	f, err := kqfleet.Start(kqfleet.Config{Users: []kqfleet.User{u}, Entries: 1, Cells: cellsFor(workers), Seed: 1})
	if err != nil {
		return SizeFigures{}, 0, err
	}
	defer f.Close()
	if err := (kqclient.Client{EntryAddress: f.Entries()[0].Addr()}).Apply(ctx, u.Documents()); err != nil {
		return SizeFigures{}, 0, err
	}
	if err := awaitOwners(f, workers); err != nil {
		return SizeFigures{}, 0, err
	}
	s := measureFleet(f, c.Duration)
	s.Workers = workers
	return s, announceProcessorSeconds(ctx, f), nil
}

func awaitOwners(f *kqfleet.Fleet, workers int) error {
	for end := time.Now().Add(capacityReadyTimeout); time.Now().Before(end); time.Sleep(benchPollInterval) {
		ready := f.Entries()[0].ReadyEndpoints() >= workers
		for _, w := range f.Workers {
			row, _ := w.Agent().Owner()
			ready = ready && row.Epoch > 0
		}
		if ready {
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return eris.Errorf("%d workers were not ready within %s", workers, capacityReadyTimeout)
}

// snapshot holds the counters of a fleet at one time.
type snapshot struct {
	processorTime time.Duration
	entryBytes    uint64
	ownerBytes    uint64
	tableReads    uint64
	tableWrites   uint64
}

func takeSnapshot(f *kqfleet.Fleet) snapshot {
	s := snapshot{processorTime: processorTime()}
	in, out := f.Entries()[0].Traffic().Bytes()
	s.entryBytes = in + out
	for _, w := range f.Workers {
		in, out := w.Agent().Traffic().Bytes()
		s.ownerBytes += in + out
	}
	c := f.Table.Counts()
	s.tableReads, s.tableWrites = c.Reads, c.Writes
	return s
}

func measureFleet(f *kqfleet.Fleet, d time.Duration) SizeFigures {
	before := takeSnapshot(f)
	time.Sleep(d)
	after := takeSnapshot(f)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	seconds := d.Seconds()
	return SizeFigures{Processors: (after.processorTime - before.processorTime).Seconds() / seconds, HeapBytes: float64(m.HeapAlloc), EntryBytesPerSecond: float64(after.entryBytes-before.entryBytes) / seconds,
		OwnerBytesPerSecond: float64(after.ownerBytes-before.ownerBytes) / seconds, ReadsPerSecond: float64(after.tableReads-before.tableReads) / seconds, WritesPerSecond: float64(after.tableWrites-before.tableWrites) / seconds}
}

// announceProcessorSeconds returns the processor time of one announcement, for sender and entry
// together, without what the idle fleet uses in the same time.
func announceProcessorSeconds(ctx context.Context, f *kqfleet.Fleet) float64 {
	httpClient := kqlink.NewClient()
	defer httpClient.CloseIdleConnections()
	client := kqwire.NewEntryServiceClient(httpClient, kqlink.URL(f.Entries()[0].Addr()), kqlink.ClientOptions()...)
	q := &kqwire.AnnounceRequest{WorkerId: "bench", AgentBoot: "bench", Address: "127.0.0.1:1", Zone: "eros", Rack: "rack-1",
		Endpoints: []*kqwire.EndpointStatus{{EndpointId: "bench", Classes: []string{"bench"}, Connections: announceConnections,
			Load: &kqwire.Load{Slots: benchSlots}}}}
	idleBefore := processorTime()
	time.Sleep(time.Second)
	idlePerSecond := (processorTime() - idleBefore).Seconds()
	processorBefore, startedAt := processorTime(), time.Now()
	var g sync.WaitGroup
	for range announceClients {
		g.Go(func() {
			for range announceCount / announceClients {
				_, _ = client.Announce(ctx, connect.NewRequest(q))
			}
		})
	}
	g.Wait()
	spent := (processorTime() - processorBefore).Seconds() - idlePerSecond*time.Since(startedAt).Seconds()
	return max(0, spent) / announceCount
}

const announceConnections = 64

// slope returns the slope, per worker, of the least-squares line through the values of f at each size.
func (r *CapacityReport) slope(f func(SizeFigures) float64) float64 {
	n, sx, sy, sxx, sxy := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, s := range r.Sizes {
		x, y := float64(s.Workers), f(s)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

func (r *CapacityReport) computeSlopes() {
	r.ProcessorsPerWorker = r.slope(func(s SizeFigures) float64 { return s.Processors })
	r.HeapPerWorker = r.slope(func(s SizeFigures) float64 { return s.HeapBytes })
	r.EntryBytesPerWorker = r.slope(func(s SizeFigures) float64 { return s.EntryBytesPerSecond })
	r.OwnerBytesPerWorker = r.slope(func(s SizeFigures) float64 { return s.OwnerBytesPerSecond })
	r.ReadsPerWorker = r.slope(func(s SizeFigures) float64 { return s.ReadsPerSecond })
	last := r.Sizes[len(r.Sizes)-1]
	r.WritesPerCell = last.WritesPerSecond / float64(cellsFor(last.Workers))
}

// extrapolate computes the costs of each role at the target size.
func (r *CapacityReport) extrapolate() {
	workersPerCell := float64(cellWorkers)
	announcesPerSecond := float64(targetWorkers) / kqmember.AnnounceInterval.Seconds()
	r.Rows = []CapacityRow{
		{"agent", "processors, with stand-ins and its share of entry and owner", r.ProcessorsPerWorker, maxProcessors},
		{"agent", "heap bytes, with its stand-ins", r.HeapPerWorker, maxHeapBytes},
		{"agent", "bytes a second to one entry and its owner", r.EntryBytesPerWorker + r.OwnerBytesPerWorker, maxBytesPerSecond},
		{"agent", "bytes a second to four entries and its owner", 4*r.EntryBytesPerWorker + r.OwnerBytesPerWorker, maxBytesPerSecond},
		{"cell owner", "bytes a second with 25 workers", workersPerCell * r.OwnerBytesPerWorker, maxBytesPerSecond},
		{"entry", "processors for announcements of 1,600 workers", announcesPerSecond * r.AnnounceProcessorSeconds, maxProcessors},
		{"entry", "bytes a second for announcements", targetWorkers * r.EntryBytesPerWorker, maxBytesPerSecond},
		{"table", "writes a second of 64 quiet cells", targetCells * r.WritesPerCell, 300},
		{"table", "reads a second", targetWorkers * r.ReadsPerWorker, 2000},
	}
}

// WriteCapacity writes the report as tables.
func WriteCapacity(w io.Writer, r CapacityReport) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workers\tprocessors\theap MB\tentry B/s\towners B/s\treads/s\twrites/s\t")
	for _, s := range r.Sizes {
		fmt.Fprintf(t, "%d\t%.3f\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t\n", s.Workers, s.Processors, s.HeapBytes/1e6, s.EntryBytesPerSecond, s.OwnerBytesPerSecond, s.ReadsPerSecond, s.WritesPerSecond)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nfor each worker: %.5f processors, %.0f kB heap, %.0f B/s to an entry, %.0f B/s to its owner, %.2f reads/s\n"+
		"for each cell: %.2f writes/s; for each announcement: %.0f µs, both ends\n\n", r.ProcessorsPerWorker, r.HeapPerWorker/1e3,
		r.EntryBytesPerWorker, r.OwnerBytesPerWorker, r.ReadsPerWorker, r.WritesPerCell, r.AnnounceProcessorSeconds*1e6)
	t = tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "role\tat the target\tfigure\tbound\tfits")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%v\n", x.Role, x.Quantity, x.Value, x.Limit, x.WithinLimit())
	}
	return t.Flush()
}
