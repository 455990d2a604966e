package kqloss_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqloss"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// history drives a planner with one worker and collects its log.
type history struct {
	log     bytes.Buffer
	now     time.Time
	planner *kqplan.Planner
}

func newHistory() *history {
	h := &history{now: time.Unix(1000, 0)}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime, c.TimeKey = zapcore.RFC3339NanoTimeEncoder, "time"
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.AddSync(&h.log), zapcore.InfoLevel), zap.WithClock(h))
	h.planner = kqplan.New(kqplan.Config{Epoch: 1, AcquiredAt: h.now, Lease: time.Minute, CrossRackSlowdown: 1, Events: kqevent.New(kqevent.Config{Process: "p", Logger: logger})})
	h.planner.SetPolicy(&kqflow.Policy{Queues: map[string]kqflow.Queue{
		"batch": {Name: "batch", Service: "s", Priority: 2, MaxAttempts: 4, Stretch: 2, Target: time.Second}}})
	h.planner.UpdateWorker(h.now, "h", kqplan.WorkerInfo{Worker: "w", Service: "s", Capacity: kqmodel.Resources{MilliProcessors: 4000, MemoryBytes: 1 << 40}})
	h.planner.AgentConnected(h.now, "h")
	h.advance(0)
	return h
}

// Now implements zapcore.Clock with the simulated time.
func (h *history) Now() time.Time { return h.now }

// NewTicker implements zapcore.Clock; the log does not use the ticker.
func (h *history) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// advance moves the simulated time forward and lets the planner decide and commit.
func (h *history) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.planner.LeaseGranted(h.now, "h", time.Minute)
	h.planner.Tick(h.now)
	h.planner.WritesCommitted(h.now, h.planner.TakeWrites(100), 1)
	h.planner.TakeEffects()
}

func (h *history) submit(id string, steps ...kqflow.Step) {
	h.planner.Submit(h.now, kqflow.Submission{Job: kqflow.Job{ID: id, Queue: "batch", Steps: steps, SubmittedAt: h.now}}, nil, 0)
	h.advance(0)
}

func (h *history) end(number uint64, task string, run uint64, reason kqexecution.EndReason) {
	h.planner.ApplyReport(h.now, "h", kqplan.Report{Worker: "w", Ended: []kqexecution.RunEnd{{Number: number, Run: kqexecution.Run{Task: task, Number: run}, Reason: reason}}})
	h.advance(0)
}

func (h *history) report(g *WithT) kqloss.Report {
	var a kqloss.Analyzer
	g.Expect(a.Read(strings.NewReader("  0.1 host " + h.log.String()))).To(Succeed())
	return a.Report()
}

func newStep(after ...int) kqflow.Step {
	return kqflow.Step{Count: 1, Resources: kqmodel.Resources{MilliProcessors: 3000, MemoryBytes: 1}, Estimate: time.Second, After: after, Fills: true}
}

// A job is late because its task waited for capacity and its second step failed once. The lost
// value must be attributed to these causes and the slow runs only.
func TestALossIsAttributedAlongTheChain(t *testing.T) {
	g := NewWithT(t)
	h := newHistory()
	h.submit("a", newStep())
	h.submit("b", newStep(), newStep(0))
	h.advance(4 * time.Second)
	h.end(1, "a.0.0.0", 1, kqexecution.EndDone)
	h.advance(time.Second)
	h.end(2, "b.0.0.0", 1, kqexecution.EndDone)
	h.advance(500 * time.Millisecond)
	h.end(3, "b.0.1.0", 1, kqexecution.EndFailed)
	h.advance(time.Second)
	h.end(4, "b.0.1.0", 2, kqexecution.EndDone)
	r := h.report(g)
	g.Expect(r.Queues).To(HaveLen(1))
	row := r.Queues[0]
	g.Expect([]int{row.Jobs, row.InTime, row.Late, row.Failed, row.Open}).To(Equal([]int{2, 0, 2, 0, 0}))
	g.Expect(row.LostValue).To(BeNumerically("~", 0.85*row.Value, 1e-6))
	g.Expect(row.SecondsByCause["wait"] * 2).To(BeNumerically("~", 4, 0.2))
	g.Expect(row.SecondsByCause["failed"] * 2).To(BeNumerically("~", 0.5, 0.1))
	g.Expect(row.SecondsByCause["slow"] * 2).To(BeNumerically("~", 3, 0.1))
	g.Expect(row.SecondsByCause).NotTo(HaveKey("lost"))
}

func TestAJobThatNeverEndsIsOpen(t *testing.T) {
	g := NewWithT(t)
	h := newHistory()
	h.submit("a", newStep())
	h.advance(time.Second)
	h.submit("b", newStep())
	h.advance(time.Second)
	h.submit("c", newStep())
	r := h.report(g)
	g.Expect(r.Queues[0].Open).To(Equal(3))
	g.Expect(r.Queues[0].LostByCause["wait"]).To(BeNumerically(">", 0))
}

func TestWhatCannotBeReadIsCounted(t *testing.T) {
	g := NewWithT(t)
	var a kqloss.Analyzer
	g.Expect(a.Read(strings.NewReader("plain words\n{\"event\": oh\n"))).To(Succeed())
	g.Expect(a.Report().UnreadableLines).To(Equal(1))
}

// Of ten jobs that differ only in width, the two largest end after three times their objective, and
// an even larger one is refused.
func TestTheShareServedIsToldBySize(t *testing.T) {
	g := NewWithT(t)
	h := newHistory()
	stepOfWidth := func(count int) kqflow.Step {
		s := newStep()
		s.Count, s.Resources.MilliProcessors = count, 100
		return s
	}
	for n := range 10 {
		h.submit(string(rune('a'+n)), stepOfWidth(n+1))
	}
	number := uint64(0)
	finish := func(jobs string) {
		for _, id := range jobs {
			for i := range int(id-'a') + 1 {
				number++
				h.end(number, fmt.Sprintf("%c.0.0.%d", id, i), 1, kqexecution.EndDone)
			}
		}
	}
	h.advance(time.Second)
	finish("abcdefgh")
	h.advance(20 * time.Second)
	finish("ij")
	h.log.WriteString(`{"time":"2026-01-01T00:00:00Z","event":702,"id":"refused","queue":"batch","work":99}` + "\n")
	r := h.report(g)
	g.Expect(r.Sizes).To(HaveLen(3))
	byName := map[string]kqloss.SizeLoss{}
	for _, s := range r.Sizes {
		byName[s.Band] = s
	}
	g.Expect(byName["lower"]).To(And(HaveField("Jobs", 7), HaveField("Served", 7), HaveField("ServedShare", 1.0)))
	g.Expect(byName["upper"]).To(And(HaveField("Jobs", 2), HaveField("Served", 1), HaveField("ServedShare", 0.5)))
	g.Expect(byName["largest"]).To(And(HaveField("Jobs", 2), HaveField("Served", 0), HaveField("RelativeShare", 0.0)))
}

// Guards against counting an owner's delay as run time of the task: the task ran for one second,
// and the owner took four more to start it and to process its end. The job is late because of the
// owner.
func TestASlowOwnerDoesNotExcuseItself(t *testing.T) {
	g := NewWithT(t)
	regular := newStep()
	regular.Fills = false
	for _, c := range []struct {
		ran    time.Duration
		inTime int
		owner  float64
	}{{time.Second, 0, 4}, {5 * time.Second, 1, 0}} {
		h := newHistory()
		h.submit("a", regular)
		h.advance(5 * time.Second)
		h.planner.ApplyReport(h.now, "h", kqplan.Report{Worker: "w", Ended: []kqexecution.RunEnd{
			{Number: 1, Run: kqexecution.Run{Task: "a.0.0.0", Number: 1}, Reason: kqexecution.EndDone, Duration: c.ran, DeliveryTime: 10 * time.Millisecond}}})
		h.advance(0)
		row := h.report(g).Queues[0]
		g.Expect(row.InTime).To(Equal(c.inTime), "ran for %s", c.ran)
		g.Expect(row.SecondsByCause["owner"]).To(BeNumerically("~", c.owner, 0.1))
	}
}

// Guards against hiding the losses of one availability zone, or of the peaks of demand, in the
// figures of the whole queue.
func TestLossesAreSplitByZoneAndDemand(t *testing.T) {
	g := NewWithT(t)
	h := newHistory()
	h.submit("a", newStep())
	h.advance(time.Second)
	h.end(1, "a.0.0.0", 1, kqexecution.EndDone)
	h.advance(9 * time.Second)
	h.submit("b", newStep())
	h.submit("c", newStep())
	h.submit("d", newStep())
	h.advance(30 * time.Second)
	accepted := func(id, zone string) string {
		return fmt.Sprintf("{\"time\":%q,\"event\":%d,\"id\":%q,\"zone\":%q}\n", h.now.Format(time.RFC3339Nano), kqevent.FlowAccepted, id, zone)
	}
	h.log.WriteString(accepted("a", "z1") + accepted("b", "z1") + accepted("c", "z2") + accepted("d", "z2"))
	h.log.WriteString(fmt.Sprintf("{\"time\":%q,\"event\":%d,\"id\":\"e\",\"zone\":\"z2\",\"queue\":\"batch\",\"work\":3}\n", h.now.Format(time.RFC3339Nano), kqevent.FlowRefused))
	r := h.report(g)
	by := map[string]kqloss.GroupLoss{}
	for _, x := range r.Groups {
		by[x.By+" "+x.Name] = x
	}
	g.Expect(by["zone z1"].Jobs).To(Equal(2))
	g.Expect(by["zone z1"].LostValue).To(BeNumerically("~", by["zone z1"].Value/2, 1e-6))
	g.Expect([]int{by["zone z2"].Jobs, by["zone z2"].Rejected}).To(Equal([]int{3, 1}))
	g.Expect(by["demand peak"].Jobs).To(Equal(3))
	g.Expect(by["demand peak"].LostValue).To(BeNumerically("~", by["demand peak"].Value, 1e-6))
	g.Expect(by["demand trough"].LostValue).To(BeNumerically("~", 0, 1e-6))
}

// A job that admission control rejected counts as not served, unless it was accepted on a retry.
func TestARejectedJobIsLeftOutOfTheSizes(t *testing.T) {
	g := NewWithT(t)
	h := newHistory()
	h.submit("a", newStep())
	h.advance(time.Second)
	h.end(1, "a.0.0.0", 1, kqexecution.EndDone)
	for _, id := range []string{"a", "b"} {
		h.log.WriteString(`{"time":"2026-01-01T00:00:00Z","event":731,"id":"` + id + `","queue":"batch","work":9}` + "\n")
	}
	all, served := 0, 0
	for _, s := range h.report(g).Sizes {
		all, served = all+s.Jobs, served+s.Served
	}
	g.Expect(all).To(Equal(2))
	g.Expect(served).To(Equal(1))
}
