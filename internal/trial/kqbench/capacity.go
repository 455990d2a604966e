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

// CapacityConfig sets up the bench of capacity.
type CapacityConfig struct {
	// Duration is how long each size is measured.
	Duration time.Duration
	// Progress receives a line for each size; nil shows none.
	Progress io.Writer
}

// capacitySizes is the numbers of workers that are measured.
var capacitySizes = []int{11, 50, 200}

const (
	capacityReady   = 60 * time.Second
	announceRounds  = 16_000
	announceClients = 16
	targetWorkers   = 1600
	boundProcessor  = 0.023
	boundBytes      = 3000.0
	boundMemory     = 128e6
)

// SizeFigures is what one size cost.
type SizeFigures struct {
	// Workers is how many workers ran, in one process with one entry.
	Workers int `json:"workers"`
	// Processor is the processor time a second of everything, stand-ins
	// included.
	Processor float64 `json:"processor_seconds_per_second"`
	// Heap is the live heap in bytes.
	Heap float64 `json:"heap_bytes"`
	// EntryBytes is the bytes a second that the entry received and sent.
	EntryBytes float64 `json:"entry_bytes_per_second"`
	// OwnerBytes is the bytes a second that the owners received and sent.
	OwnerBytes float64 `json:"owner_bytes_per_second"`
	// Reads is the reads a second on the table.
	Reads float64 `json:"table_reads_per_second"`
	// Writes is the writes a second on the table.
	Writes float64 `json:"table_writes_per_second"`
}

// CapacityReport is the sizes and the slopes worked out from them.
type CapacityReport struct {
	// Sizes is what was measured.
	Sizes []SizeFigures `json:"sizes"`
	// ProcessorPerWorker is the slope of processor time, in seconds a second.
	ProcessorPerWorker float64 `json:"processor_per_worker"`
	// HeapPerWorker is the slope of the heap, in bytes.
	HeapPerWorker float64 `json:"heap_per_worker_bytes"`
	// EntryBytesPerWorker is the slope of the entry's traffic.
	EntryBytesPerWorker float64 `json:"entry_bytes_per_worker_per_second"`
	// OwnerBytesPerWorker is the slope of the owners' traffic.
	OwnerBytesPerWorker float64 `json:"owner_bytes_per_worker_per_second"`
	// ReadsPerWorker is the slope of reads on the table.
	ReadsPerWorker float64 `json:"table_reads_per_worker_per_second"`
	// WritesPerCell is the writes of one quiet cell.
	WritesPerCell float64 `json:"table_writes_per_cell_per_second"`
	// AnnounceProcessor is the processor time of one announcement, both ends,
	// measured beside the smallest size.
	AnnounceProcessor float64 `json:"announce_processor_seconds"`
	// Rows is the figures at the target, for each role.
	Rows []CapacityRow `json:"target"`
}

// CapacityRow is one figure at the target size against its bound.
type CapacityRow struct {
	// Role is who bears the cost.
	Role string `json:"role"`
	// What is the cost.
	What string `json:"what"`
	// Value is the figure at the target.
	Value float64 `json:"value"`
	// Bound is the most that is allowed.
	Bound float64 `json:"bound"`
}

// Fits reports whether the figure is within its bound.
func (r CapacityRow) Fits() bool { return r.Value <= r.Bound }

// Capacity measures each size and works out the slopes.
func MeasureCapacity(ctx context.Context, c CapacityConfig) (CapacityReport, error) {
	var r CapacityReport
	for _, n := range capacitySizes {
		s, announce, err := capacitySize(ctx, c, n)
		if err != nil {
			return r, err
		}
		r.Sizes = append(r.Sizes, s)
		if r.AnnounceProcessor == 0 {
			r.AnnounceProcessor = announce
		}
		if c.Progress != nil {
			fmt.Fprintf(c.Progress, "%d workers: %.3f processors, heap %.1f MB\n", n, s.Processor, s.Heap/1e6)
		}
	}
	r.slopes()
	r.target()
	return r, nil
}

func cellsFor(workers int) int { return max(1, workers/cellWorkers) }

// capacitySize runs a quiet fleet of one size.
func capacitySize(ctx context.Context, c CapacityConfig, workers int) (SizeFigures, float64, error) {
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
	return s, announceCost(ctx, f), nil
}

func awaitOwners(f *kqfleet.Fleet, workers int) error {
	for end := time.Now().Add(capacityReady); time.Now().Before(end); time.Sleep(benchPoll) {
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
	return eris.Errorf("%d workers were not ready in %s", workers, capacityReady)
}

// snapshot is the counters of a fleet at one time.
type snapshot struct {
	processor time.Duration
	entry     uint64
	owner     uint64
	reads     uint64
	writes    uint64
}

func snapshotOf(f *kqfleet.Fleet) snapshot {
	s := snapshot{processor: processorTime()}
	in, out := f.Entries()[0].Traffic().Bytes()
	s.entry = in + out
	for _, w := range f.Workers {
		in, out := w.Agent().Traffic().Bytes()
		s.owner += in + out
	}
	c := f.Table.Counts()
	s.reads, s.writes = c.Reads, c.Writes
	return s
}

func measureFleet(f *kqfleet.Fleet, d time.Duration) SizeFigures {
	a := snapshotOf(f)
	time.Sleep(d)
	b := snapshotOf(f)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s := d.Seconds()
	return SizeFigures{Processor: (b.processor - a.processor).Seconds() / s, Heap: float64(m.HeapAlloc), EntryBytes: float64(b.entry-a.entry) / s,
		OwnerBytes: float64(b.owner-a.owner) / s, Reads: float64(b.reads-a.reads) / s, Writes: float64(b.writes-a.writes) / s}
}

// announceCost is the processor time of one announcement, both ends, beyond
// what the fleet does meanwhile.
func announceCost(ctx context.Context, f *kqfleet.Fleet) float64 {
	http := kqlink.NewClient()
	defer http.CloseIdleConnections()
	client := kqwire.NewEntryServiceClient(http, kqlink.URL(f.Entries()[0].Addr()), kqlink.ClientOptions()...)
	q := &kqwire.AnnounceRequest{WorkerId: "bench", AgentBoot: "bench", Address: "127.0.0.1:1", Zone: "eros", Rack: "rack-1",
		Endpoints: []*kqwire.EndpointStatus{{EndpointId: "bench", Classes: []string{"bench"}, Connections: connectionsBench,
			Load: &kqwire.Load{Slots: benchSlots}}}}
	idle := processorTime()
	time.Sleep(time.Second)
	perSecond := (processorTime() - idle).Seconds()
	from, begun := processorTime(), time.Now()
	var g sync.WaitGroup
	for range announceClients {
		g.Go(func() {
			for range announceRounds / announceClients {
				_, _ = client.Announce(ctx, connect.NewRequest(q))
			}
		})
	}
	g.Wait()
	spent := (processorTime() - from).Seconds() - perSecond*time.Since(begun).Seconds()
	return max(0, spent) / announceRounds
}

const connectionsBench = 64

// slope fits a line through the sizes and returns its rise for each worker.
func (r *CapacityReport) slope(f func(SizeFigures) float64) float64 {
	n, sx, sy, sxx, sxy := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, s := range r.Sizes {
		x, y := float64(s.Workers), f(s)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

func (r *CapacityReport) slopes() {
	r.ProcessorPerWorker = r.slope(func(s SizeFigures) float64 { return s.Processor })
	r.HeapPerWorker = r.slope(func(s SizeFigures) float64 { return s.Heap })
	r.EntryBytesPerWorker = r.slope(func(s SizeFigures) float64 { return s.EntryBytes })
	r.OwnerBytesPerWorker = r.slope(func(s SizeFigures) float64 { return s.OwnerBytes })
	r.ReadsPerWorker = r.slope(func(s SizeFigures) float64 { return s.Reads })
	last := r.Sizes[len(r.Sizes)-1]
	r.WritesPerCell = last.Writes / float64(cellsFor(last.Workers))
}

// target works out the figures at the target size.
func (r *CapacityReport) target() {
	cell := float64(cellWorkers)
	announces := float64(targetWorkers) / kqmember.AnnounceInterval.Seconds()
	r.Rows = []CapacityRow{
		{"agent", "processors, with stand-ins and its share of entry and owner", r.ProcessorPerWorker, boundProcessor},
		{"agent", "heap bytes, with its stand-ins", r.HeapPerWorker, boundMemory},
		{"agent", "bytes a second to one entry and its owner", r.EntryBytesPerWorker + r.OwnerBytesPerWorker, boundBytes},
		{"agent", "bytes a second to four entries and its owner", 4*r.EntryBytesPerWorker + r.OwnerBytesPerWorker, boundBytes},
		{"cell owner", "bytes a second with 25 workers", cell * r.OwnerBytesPerWorker, boundBytes},
		{"entry", "processors for announcements of 1,600 workers", announces * r.AnnounceProcessor, boundProcessor},
		{"entry", "bytes a second for announcements", targetWorkers * r.EntryBytesPerWorker, boundBytes},
		{"table", "writes a second of 64 quiet cells", targetCells * r.WritesPerCell, 300},
		{"table", "reads a second", targetWorkers * r.ReadsPerWorker, 2000},
	}
}

// WriteCapacity prints the report as tables.
func WriteCapacity(w io.Writer, r CapacityReport) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workers\tprocessors\theap MB\tentry B/s\towners B/s\treads/s\twrites/s\t")
	for _, s := range r.Sizes {
		fmt.Fprintf(t, "%d\t%.3f\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t\n", s.Workers, s.Processor, s.Heap/1e6, s.EntryBytes, s.OwnerBytes, s.Reads, s.Writes)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nfor each worker: %.5f processors, %.0f kB heap, %.0f B/s to an entry, %.0f B/s to its owner, %.2f reads/s\n"+
		"for each cell: %.2f writes/s; for each announcement: %.0f µs, both ends\n\n", r.ProcessorPerWorker, r.HeapPerWorker/1e3,
		r.EntryBytesPerWorker, r.OwnerBytesPerWorker, r.ReadsPerWorker, r.WritesPerCell, r.AnnounceProcessor*1e6)
	t = tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "role\tat the target\tfigure\tbound\tfits")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%v\n", x.Role, x.What, x.Value, x.Bound, x.Fits())
	}
	return t.Flush()
}
