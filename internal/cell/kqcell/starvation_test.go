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

// harness drives a cell with one worker, on which each task runs for taskRunTime.
type harness struct {
	cell         *kqcell.Cell
	counter      kqinvariant.Counter
	now          time.Time
	version      uint64
	sequence     uint64
	session      uint64
	runningSince map[kqmodel.AttemptID]time.Time
	lastStart    map[string]time.Time
	// hostRestarts counts the restarts of the worker's host.
	hostRestarts int
}

const (
	workerProcessors = 8
	taskRunTime      = 2 * time.Second
	stepTime         = 100 * time.Millisecond
)

func newHarness() *harness {
	h := &harness{now: time.Unix(1000, 0), runningSince: map[kqmodel.AttemptID]time.Time{}, lastStart: map[string]time.Time{}}
	writes := 0
	h.cell = kqcell.New(h.now, kqcell.Config{ID: "c", Owner: "w", Boot: "b", Counter: &h.counter,
		Quota:      func(string) (kqmodel.Resources, bool) { return kqmodel.Resources{}, false },
		NewWriteID: func() string { writes++; return fmt.Sprint(writes) }}, kqcell.Snapshot{Ownership: kqcell.OwnershipRow{Epoch: 1}})
	return h
}

func (h *harness) submit(id string, processors int64) {
	h.cell.ApplyInboxRow(h.now, "inbox/"+id, kqcell.JobRow{Job: kqmodel.Job{SubmittedAt: h.now, Spec: kqmodel.JobSpec{ID: id, Class: "batch", Tasks: 1, Family: id,
		Resources: kqmodel.Resources{MilliProcessors: processors * 1000, MemoryBytes: 1 << 20}}}}, true)
}

// step advances the time, sends the worker's heartbeat, applies the orders, and commits the
// next batch.
func (h *harness) step() {
	h.now = h.now.Add(stepTime)
	h.sequence++
	request := kqcell.Heartbeat{Worker: kqmodel.Worker{ID: "w", Zone: "z", Rack: "r", Capacity: kqmodel.Resources{MilliProcessors: workerProcessors * 1000, MemoryBytes: 1 << 30}},
		AgentBoot: "a", HostBoot: fmt.Sprint("h", h.hostRestarts), Complete: true, Session: h.session, Sequence: h.sequence}
	for id, startedAt := range h.runningSince {
		r := kqruntime.Report{ID: id, Phase: kqruntime.PhaseRunning, Throttle: 1}
		if h.now.Sub(startedAt) >= taskRunTime {
			r.Phase = kqruntime.PhaseFinished
		}
		request.Tasks = append(request.Tasks, r)
	}
	reply := h.cell.Heartbeat(h.now, request)
	h.session = reply.Session
	if reply.OrdersChanged {
		h.applyOrders(reply.Orders)
	}
	if p := h.cell.Plan(h.now); p != nil {
		h.version++
		h.cell.BatchCommitted(h.now, h.now, p, h.version)
	}
}

func (h *harness) applyOrders(orders []kqruntime.Order) {
	wanted := map[kqmodel.AttemptID]bool{}
	for _, o := range orders {
		wanted[o.ID] = true
		if _, ok := h.runningSince[o.ID]; !ok {
			h.runningSince[o.ID] = h.now
			h.lastStart[o.ID.Task.Job] = h.now
		}
	}
	for id := range h.runningSince {
		if !wanted[id] {
			delete(h.runningSince, id)
		}
	}
}

// Guards against starvation of a large task. Tasks of one processor are submitted as fast as
// they end, so six of the eight processors are never free at the same time for a task of six
// processors, although it was submitted before most of the others. It must still start.
func TestALargeTaskStarvesBehindSmallOnes(t *testing.T) {
	g := NewWithT(t)
	h := newHarness()
	interval := taskRunTime / workerProcessors
	submitted := 0
	for elapsed := time.Duration(0); elapsed < 2*time.Minute; elapsed += stepTime {
		if elapsed == 5*time.Second {
			h.submit("large", 6)
		}
		for ; time.Duration(submitted)*interval <= elapsed; submitted++ {
			h.submit(fmt.Sprintf("small%03d", submitted), 1)
		}
		h.step()
	}
	g.Expect(len(h.lastStart)).To(BeNumerically(">", submitted/2))
	g.Expect(h.lastStart).To(HaveKey("large"))
	g.Expect(h.counter.Breaches()).To(BeEmpty())
}

// A task of a single step crashes the host of its worker, 0.1 s after each start. Guards against starting
// it without limit: it must not start three times more after three crashes.
func TestATaskThatCrashesItsHostIsStartedWithoutLimit(t *testing.T) {
	g := NewWithT(t)
	h := newHarness()
	h.submit("poison", 1)
	for range 600 {
		h.step()
		if len(h.runningSince) > 0 {
			h.hostRestarts++
			h.runningSince, h.session = map[kqmodel.AttemptID]time.Time{}, 0
		}
	}
	g.Expect(h.hostRestarts).To(BeNumerically("<", 6))
}
