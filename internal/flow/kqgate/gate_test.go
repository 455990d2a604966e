package kqgate_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqfront"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// testGate is the HTTP API over a stand-in of the store, without an owner.
type testGate struct {
	store  *kqrowstore.Store
	server *httptest.Server
	events *kqevent.Log
}

func startGate(t *testing.T) *testGate {
	x := &testGate{store: kqrowstore.New(1), events: kqevent.New(kqevent.Config{Process: "entry"})}
	c := x.store.Client("entry")
	policies := kqgate.NewPolicyWatcher(kqgate.PolicyWatcherConfig{Store: c, Now: time.Now})
	front := kqfront.New(kqfront.Config{Store: c, Now: time.Now, WallClock: time.Now, Events: x.events})
	x.server = httptest.NewServer(kqgate.New(kqgate.Config{Front: front, Policies: policies, Store: c, Events: x.events}).Handler())
	t.Cleanup(func() { x.server.Close(); policies.Close() })
	return x
}

func (x *testGate) send(method, path, body string) (int, string) {
	q, _ := http.NewRequest(method, x.server.URL+path, strings.NewReader(body))
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(b)
}

const urgentQueue = `{"name":"urgent","service":"pool","attempts":4,"stretch":1.5,"target":"250ms"}`

// putQueue stores urgentQueue and waits until it is in force.
func (x *testGate) putQueue(g *WithT) {
	g.Eventually(func() string { _, b := x.send("GET", "/v1/queues", ""); return b }).Should(ContainSubstring("[]"))
	s, b := x.send("PUT", "/v1/queues/urgent", urgentQueue)
	g.Expect(s).To(Equal(http.StatusOK), b)
	g.Eventually(func() int { s, _ := x.send("GET", "/v1/queues/urgent", ""); return s }).Should(Equal(http.StatusOK))
}

// flow returns a flow with one step that has the given fields, as JSON.
func flow(fields string) string { return `{"id":"a","queue":"urgent","steps":[{` + fields + `}]}` }

func TestBadInputIsNamedAndChangesNothing(t *testing.T) {
	g := NewWithT(t)
	x := startGate(t)
	x.putQueue(g)
	for _, c := range []struct{ body, says string }{
		{`{"id":`, "the body is not a valid flow"},
		{`{"id":"a","queue":"urgent","step":[]}`, `unknown field \"step\"`},
		{`{"id":"a b","queue":"urgent","steps":[{"count":1}]}`, "id: \\\"a b\\\" is no name"},
		{`{"id":"a.b","queue":"urgent","steps":[{"count":1}]}`, "contains a dot"},
		{`{"id":"a","queue":"urgent","steps":[]}`, "steps: expected 1 to 64"},
		{`{"id":"a","queue":"none","steps":[{"count":1}]}`, "queue: no queue"},
		{flow(`"count":0`), "steps[0]: count"},
		{flow(`"count":1,"after":[0]`), "not an earlier step"},
		{flow(`"count":1,"estimate":3`), "a duration is text with a unit"},
		{flow(`"count":2401`), "at most 2400 tasks"},
		{`{"id":"a","queue":"urgent","repeat":2,"every":"1m","steps":[{"count":1}]}`, "first_at"},
	} {
		s, b := x.send("POST", "/v1/flows", c.body)
		g.Expect(s).To(Equal(http.StatusBadRequest), c.body)
		g.Expect(b).To(ContainSubstring(c.says), c.body)
	}
	s, b := x.send("POST", "/v1/flows", flow(`"count":1,"image":"`+strings.Repeat("x", 300<<10)+`"`))
	g.Expect(s).To(Equal(http.StatusRequestEntityTooLarge), b)
	s, _ = x.send("GET", "/v1/flows/a", "")
	g.Expect(s).To(Equal(http.StatusNotFound))
}

func TestBadQueuesAreNamed(t *testing.T) {
	g := NewWithT(t)
	x := startGate(t)
	for field, message := range map[string]string{
		`"name":"other"`:                      "does not match",
		`"service":""`:                        "service:",
		`"attempts":0`:                        "attempts: 0 is out of range",
		`"stretch":0.5`:                       "stretch: 0.5 is out of range",
		`"target":"-1s"`:                      "target: -1s is below 0",
		`"priority":-1`:                       "priority: -1 is out of range",
		`"target":"2 minutes"`:                "not a valid queue",
		`"weight":3`:                          "unknown field",
		`"if_version":7`:                      "version 0 is in force, not 7",
		`"name":"urgent","address":"1.2.3.4"`: "unknown field",
	} {
		s, b := x.send("PUT", "/v1/queues/urgent", strings.TrimSuffix(urgentQueue, "}")+","+field+"}")
		g.Expect(s).To(BeNumerically(">=", http.StatusBadRequest), field)
		g.Expect(b).To(ContainSubstring(message), field)
	}
}

func TestAFlowIsTakenOnceShownAndCancelled(t *testing.T) {
	g := NewWithT(t)
	x := startGate(t)
	x.putQueue(g)
	body := flow(`"count":2,"resources":{"milli_processors":500,"memory_bytes":1000},"estimate":"1s","speculative":true`)
	for range 2 {
		s, b := x.send("POST", "/v1/flows", body)
		g.Expect(s).To(Equal(http.StatusOK), b)
	}
	_, b := x.send("GET", "/v1/flows/a", "")
	g.Expect(b).To(MatchJSON(`{"id":"a","state":"queued"}`))
	s, _ := x.send("DELETE", "/v1/flows/a", "")
	g.Expect(s).To(Equal(http.StatusOK))
	_, b = x.send("GET", "/v1/flows/a", "")
	g.Expect(b).To(MatchJSON(`{"id":"a","state":"cancelled"}`))
	x.events.Emit(time.Now(), kqevent.FlowRunPlaced, kqevent.Task("a.0.0.1"), "run 1")
	x.events.Emit(time.Now(), kqevent.FlowRunPlaced, kqevent.Task("ab.0.0.1"), "run 1")
	_, b = x.send("GET", "/v1/explain/flow/a", "")
	for _, text := range []string{"flow_accepted", "job_cancelled", `"id":"a.0.0.1"`} {
		g.Expect(b).To(ContainSubstring(text))
	}
	g.Expect(b).NotTo(ContainSubstring("ab.0"))
	s, _ = x.send("DELETE", "/v1/flows/b", "")
	g.Expect(s).To(Equal(http.StatusNotFound))
}

// While the store is unavailable, requests must be answered at once with a Retry-After. Two
// operators must not overwrite each other's changes.
func TestAStoreThatIsOutAndRivalOperators(t *testing.T) {
	g := NewWithT(t)
	x := startGate(t)
	x.putQueue(g)
	s, b := x.send("PUT", "/v1/queues/urgent", urgentQueue)
	g.Expect(s).To(Equal(http.StatusPreconditionFailed), b)
	x.store.SetFaults("entry", kqrowstore.Faults{Refuse: true})
	q, _ := http.NewRequest("POST", x.server.URL+"/v1/flows", strings.NewReader(flow(`"count":1`)))
	a, err := http.DefaultClient.Do(q)
	g.Expect(err).NotTo(HaveOccurred())
	defer a.Body.Close()
	g.Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.Header.Get("Retry-After")).To(Equal("1"))
}
