package kqmessage_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// maxPartBytes is the size that no part of the messages of these tests exceeds.
const maxPartBytes = 1 << 20

func encoded(g Gomega, part any) []byte {
	b, err := json.Marshal(part)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(b)).To(BeNumerically("<", maxPartBytes))
	return b
}

// orders returns orders of a number of jobs with the largest payloads and checkpoints.
func orders(jobs, tasks int) (out []*kqplan.Order) {
	for j := range jobs {
		payload := strings.Repeat("<", kqflow.MaxPayload-1) + string(rune('a'+j))
		for i := range tasks {
			run := kqexecution.Run{Task: fmt.Sprintf("%016x.0.0.%d", j, i), Number: 1}
			out = append(out, &kqplan.Order{Run: run, Worker: "w", Payload: payload, Checkpoint: strings.Repeat("c", i%kqexecution.MaxCheckpointBytes), Image: "web"})
		}
	}
	return out
}

// Messages whose lists are larger than any message may be are sent and received. Guards against parts that are too
// large, and against elements that are lost, repeated or exchanged.
func TestAMessageThatIsTooLargeIsLost(t *testing.T) {
	states := map[string]kqflow.State{}
	for n := range 200_000 {
		states[fmt.Sprintf("%016x", n)] = kqflow.StateRunning
	}
	grant := &kqmessage.Grant{LeaseRequest: 4, Duration: time.Second}
	for name, m := range map[string]kqmessage.FromOwner{
		"empty resync":       {Resync: true},
		"resync":             {Resync: true, Orders: orders(3, 2400)},
		"orders":             {Orders: orders(1, 2400), Acknowledged: 9, AcknowledgedOf: "w"},
		"states":             {States: states, AllStates: true, Pending: map[string]int{"q": 3}},
		"changed states":     {States: states},
		"nothing in a list":  {Grant: grant, Acknowledged: 3},
		"orders of few jobs": {Orders: orders(2, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var joined kqmessage.FromOwner
			var joiner kqmessage.Joiner
			for _, part := range m.Split(true) {
				for _, b := range [][]byte{encoded(g, part), encoded(g, kqmessage.FromOwner{Grant: grant})} {
					received, omissions, err := kqmessage.DecodeFromOwner(b)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(omissions).To(BeEmpty())
					received = joiner.FromOwner(received)
					g.Expect(received.Resync && joined.Resync).To(BeFalse(), "one message lists all orders")
					joined.Resync, joined.AllStates = joined.Resync || received.Resync, joined.AllStates || received.AllStates
					joined.Orders = append(joined.Orders, received.Orders...)
					if joined.States == nil {
						joined.States = received.States
					} else {
						for id, s := range received.States {
							joined.States[id] = s
						}
					}
					joined.Acknowledged, joined.Pending = max(joined.Acknowledged, received.Acknowledged), received.Pending
				}
			}
			g.Expect(joined.Resync).To(Equal(m.Resync))
			g.Expect(joined.AllStates).To(Equal(m.AllStates))
			g.Expect(joined.Acknowledged).To(Equal(m.Acknowledged))
			g.Expect(len(joined.States)).To(Equal(len(m.States)))
			g.Expect(len(joined.Orders)).To(Equal(len(m.Orders)))
			for i, o := range m.Orders {
				if !reflect.DeepEqual(joined.Orders[i], o) {
					t.Fatalf("order %d is %+v, expected %+v", i, joined.Orders[i].Run, o.Run)
				}
			}
		})
	}
}

// A process of an earlier version does not join parts. Guards against lists of all orders that it takes for whole
// ones, and against orders without the payload that it does not look for elsewhere.
func TestAnEarlierVersionTakesAPartForTheWhole(t *testing.T) {
	g := NewWithT(t)
	g.Expect(kqmessage.FromOwner{Resync: true, Orders: orders(1, 2400)}.Split(false)).To(HaveLen(1))
	for _, part := range (kqmessage.FromOwner{Orders: orders(1, 2400)}).Split(false) {
		g.Expect(part.Part).To(BeFalse())
		for _, o := range part.Orders {
			g.Expect(o.Payload).To(HaveLen(kqflow.MaxPayload))
		}
	}
	report := kqmessage.ToOwner{Report: &kqplan.Report{Worker: "w", Complete: true, Running: make([]kqexecution.RunStatus, 10_000)}}
	g.Expect(report.Split(false)).To(HaveLen(1))
}

// The payload that several orders share is missing or cannot be decoded. Guards against a start with another payload.
func TestAnOrderWithoutItsPayloadIsCarriedOut(t *testing.T) {
	for name, payloads := range map[string]string{"missing": `{"1":"x"}`, "not a text": `{"0":7,"1":"x"}`, "no payloads": `null`} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m, omissions, err := kqmessage.DecodeFromOwner([]byte(`{"resync":true,"payloads":` + payloads + `,"orders":[{"run":{"task":"a","number":1},"payload_key":"0"},{"run":{"task":"b","number":1},"payload":"y"}]}`))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(omissions).NotTo(BeEmpty())
			g.Expect(m.LacksOrders).To(BeTrue())
			g.Expect(m.Orders).To(HaveLen(1))
			g.Expect(m.Orders[0].Payload).To(Equal("y"))
		})
	}
}

// A worker with many runs and the largest checkpoints is reported. Guards against reports that are too large, and
// against parts of one that are taken for a complete report.
func TestAReportThatIsTooLargeIsLost(t *testing.T) {
	whole := kqplan.Report{Worker: "w", Complete: true, Paces: map[string]int{"web": 40}}
	for i := range 3000 {
		run := kqexecution.Run{Task: fmt.Sprintf("%016x.0.0.%d", 7, i), Number: 2}
		whole.Running = append(whole.Running, kqexecution.RunStatus{Run: run, Checkpoint: strings.Repeat("x", kqexecution.MaxCheckpointBytes), Percent: 3})
		whole.Slowed = append(whole.Slowed, kqplan.SlowedRun{Run: run, Percent: 20})
		whole.Ended = append(whole.Ended, kqexecution.RunEnd{Number: uint64(i + 1), Run: run, Reason: kqexecution.EndDone})
	}
	started := make([]kqplan.StartedRun, 5000)
	for name, x := range map[string]struct {
		// lacking is the part whose first run cannot be decoded, -1 if all can.
		lacking    int
		isComplete bool
	}{"whole": {lacking: -1, isComplete: true}, "a run of a part cannot be decoded": {lacking: 1}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := kqmessage.ToOwner{Worker: &kqplan.WorkerInfo{Worker: "w"}, Report: &whole, Registered: true, WorkerEnds: []kqplan.WorkerEnd{{Worker: "a", Runs: started}, {Worker: "b", Runs: started}}}
			var reports []kqplan.Report
			var joiner kqmessage.Joiner
			ends := 0
			for n, part := range m.Split(true) {
				b := encoded(g, part)
				if n-len(m.WorkerEnds) == x.lacking {
					b = []byte(strings.Replace(string(b), `"percent":3`, `"percent":"odd"`, 1))
					b = []byte(strings.Replace(string(b), `"number":2`, `"number":"odd"`, 1))
				}
				received, _, err := kqmessage.DecodeToOwner(b)
				g.Expect(err).NotTo(HaveOccurred())
				received = joiner.ToOwner(received)
				ends += len(received.WorkerEnds)
				if received.Report != nil {
					g.Expect(received.Registered).To(BeTrue())
					g.Expect(ends).To(Equal(2), "the ends of earlier incarnations come first")
					reports = append(reports, *received.Report)
				}
			}
			g.Expect(reports).To(HaveLen(1))
			g.Expect(reports[0].Complete).To(Equal(x.isComplete))
			if x.isComplete {
				g.Expect(reflect.DeepEqual(reports[0], whole)).To(BeTrue())
			}
		})
	}
}
