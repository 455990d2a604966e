package kqcell_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
)

// bench drives a cell of one worker whose tasks take a fixed time.
type bench struct {
	cell     *kqcell.Cell
	counter  kqinvariant.Counter
	now      time.Time
	version  uint64
	sequence uint64
	session  uint64
	running  map[kqmodel.AttemptID]time.Time
	started  map[string]time.Time
}

const (
	benchProcessors = 8
	benchRunTime    = 2 * time.Second
	benchStep       = 100 * time.Millisecond
)

func newBench() *bench {
	b := &bench{now: time.Unix(1000, 0), running: map[kqmodel.AttemptID]time.Time{}, started: map[string]time.Time{}}
	writes := 0
	b.cell = kqcell.New(b.now, kqcell.Config{ID: "c", Owner: "w", Boot: "b", Counter: &b.counter,
		Quota:      func(string) (kqmodel.Resources, bool) { return kqmodel.Resources{}, false },
		NewWriteID: func() string { writes++; return fmt.Sprint(writes) }}, kqcell.Snapshot{Ownership: kqcell.OwnershipRow{Epoch: 1}})
	return b
}

func (b *bench) submit(id string, processors int64) {
	b.cell.ApplyInboxRow(b.now, "inbox/"+id, kqcell.JobRow{Job: kqmodel.Job{SubmittedAt: b.now, Spec: kqmodel.JobSpec{ID: id, Class: "batch", Tasks: 1, Family: id,
		Resources: kqmodel.Resources{MilliProcessors: processors * 1000, MemoryBytes: 1 << 20}}}}, true)
}

// step lets the worker report and the cell decide.
func (b *bench) step() {
	b.now = b.now.Add(benchStep)
	b.sequence++
	h := kqcell.Heartbeat{Worker: kqmodel.Worker{ID: "w", Zone: "z", Rack: "r", Capacity: kqmodel.Resources{MilliProcessors: benchProcessors * 1000, MemoryBytes: 1 << 30}},
		AgentBoot: "a", HostBoot: "h", Complete: true, Session: b.session, Sequence: b.sequence}
	for id, from := range b.running {
		r := kqruntime.Report{ID: id, Phase: kqruntime.PhaseRunning, Throttle: 1}
		if b.now.Sub(from) >= benchRunTime {
			r.Phase = kqruntime.PhaseFinished
		}
		h.Tasks = append(h.Tasks, r)
	}
	reply := b.cell.Heartbeat(b.now, h)
	b.session = reply.Session
	if reply.OrdersChanged {
		b.follow(reply.Orders)
	}
	if p := b.cell.Plan(b.now); p != nil {
		b.version++
		b.cell.BatchCommitted(b.now, b.now, p, b.version)
	}
}

func (b *bench) follow(orders []kqruntime.Order) {
	wanted := map[kqmodel.AttemptID]bool{}
	for _, o := range orders {
		wanted[o.ID] = true
		if _, ok := b.running[o.ID]; !ok {
			b.running[o.ID] = b.now
			b.started[o.ID.Task.Job] = b.now
		}
	}
	for id := range b.running {
		if !wanted[id] {
			delete(b.running, id)
		}
	}
}

// Tasks of one processor come as fast as they end; one of six processors finds
// no room among them, though it came before most of them.
func TestALargeTaskStarvesBehindSmallOnes(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	every := benchRunTime / benchProcessors
	small := 0
	for at := time.Duration(0); at < 2*time.Minute; at += benchStep {
		if at == 5*time.Second {
			b.submit("large", 6)
		}
		for ; time.Duration(small)*every <= at; small++ {
			b.submit(fmt.Sprintf("small%03d", small), 1)
		}
		b.step()
	}
	g.Expect(len(b.started)).To(BeNumerically(">", small/2))
	g.Expect(b.started).To(HaveKey("large"))
	g.Expect(b.counter.Breaches()).To(BeEmpty())
}
