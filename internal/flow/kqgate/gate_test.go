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

// gate is an API over a stand-in of the store, without an owner.
type gate struct {
	store  *kqrowstore.Store
	server *httptest.Server
	events *kqevent.Log
}

func start(t *testing.T) *gate {
	x := &gate{store: kqrowstore.New(1), events: kqevent.New(kqevent.Config{Process: "entry"})}
	c := x.store.Client("entry")
	book := kqgate.NewPolicyWatcher(kqgate.PolicyWatcherConfig{Store: c, Now: time.Now})
	front := kqfront.New(kqfront.Config{Store: c, Now: time.Now, WallClock: time.Now, Events: x.events})
	x.server = httptest.NewServer(kqgate.New(kqgate.Config{Front: front, Policies: book, Store: c, Events: x.events}).Handler())
	t.Cleanup(func() { x.server.Close(); book.Close() })
	return x
}

func (x *gate) send(method, path, body string) (int, string) {
	q, _ := http.NewRequest(method, x.server.URL+path, strings.NewReader(body))
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(b)
}

const queue = `{"name":"urgent","service":"pool","attempts":4,"stretch":1.5,"target":"250ms"}`

// withQueue puts a queue in force.
func (x *gate) withQueue(g *WithT) {
	g.Eventually(func() string { _, b := x.send("GET", "/v1/queues", ""); return b }).Should(ContainSubstring("[]"))
	s, b := x.send("PUT", "/v1/queues/urgent", queue)
	g.Expect(s).To(Equal(http.StatusOK), b)
	g.Eventually(func() int { s, _ := x.send("GET", "/v1/queues/urgent", ""); return s }).Should(Equal(http.StatusOK))
}

func step(fields string) string { return `{"id":"a","queue":"urgent","steps":[{` + fields + `}]}` }

func TestBadInputIsNamedAndChangesNothing(t *testing.T) {
	g := NewWithT(t)
	x := start(t)
	x.withQueue(g)
	for _, c := range []struct{ body, says string }{
		{`{"id":`, "the body is no flow"},
		{`{"id":"a","queue":"urgent","step":[]}`, `unknown field \"step\"`},
		{`{"id":"a b","queue":"urgent","steps":[{"count":1}]}`, "id: \\\"a b\\\" is no name"},
		{`{"id":"a.b","queue":"urgent","steps":[{"count":1}]}`, "has a dot"},
		{`{"id":"a","queue":"urgent","steps":[]}`, "steps: expected 1 to 64"},
		{`{"id":"a","queue":"none","steps":[{"count":1}]}`, "queue: no queue"},
		{step(`"count":0`), "steps[0]: count"},
		{step(`"count":1,"after":[0]`), "not an earlier step"},
		{step(`"count":1,"estimate":3`), "a duration is text with a unit"},
		{step(`"count":2401`), "at most 2400 tasks"},
		{`{"id":"a","queue":"urgent","repeat":2,"every":"1m","steps":[{"count":1}]}`, "first_at"},
	} {
		s, b := x.send("POST", "/v1/flows", c.body)
		g.Expect(s).To(Equal(http.StatusBadRequest), c.body)
		g.Expect(b).To(ContainSubstring(c.says), c.body)
	}
	s, b := x.send("POST", "/v1/flows", step(`"count":1,"image":"`+strings.Repeat("x", 300<<10)+`"`))
	g.Expect(s).To(Equal(http.StatusRequestEntityTooLarge), b)
	s, _ = x.send("GET", "/v1/flows/a", "")
	g.Expect(s).To(Equal(http.StatusNotFound))
}

func TestBadQueuesAreNamed(t *testing.T) {
	g := NewWithT(t)
	x := start(t)
	for field, says := range map[string]string{
		`"name":"other"`:                      "is not the",
		`"service":""`:                        "service:",
		`"attempts":0`:                        "attempts: 0 is out of range",
		`"stretch":0.5`:                       "stretch: 0.5 is out of range",
		`"target":"-1s"`:                      "target: -1s is below 0",
		`"priority":-1`:                       "priority: -1 is out of range",
		`"target":"2 minutes"`:                "no queue",
		`"weight":3`:                          "unknown field",
		`"if_version":7`:                      "version 0 is in force, not 7",
		`"name":"urgent","address":"1.2.3.4"`: "unknown field",
	} {
		s, b := x.send("PUT", "/v1/queues/urgent", strings.TrimSuffix(queue, "}")+","+field+"}")
		g.Expect(s).To(BeNumerically(">=", http.StatusBadRequest), field)
		g.Expect(b).To(ContainSubstring(says), field)
	}
}

func TestAFlowIsTakenOnceShownAndCancelled(t *testing.T) {
	g := NewWithT(t)
	x := start(t)
	x.withQueue(g)
	body := step(`"count":2,"resources":{"milli_processors":500,"memory_bytes":1000},"estimate":"1s","speculative":true`)
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
	for _, says := range []string{"flow_accepted", "job_cancelled", `"id":"a.0.0.1"`} {
		g.Expect(b).To(ContainSubstring(says))
	}
	g.Expect(b).NotTo(ContainSubstring("ab.0"))
	s, _ = x.send("DELETE", "/v1/flows/b", "")
	g.Expect(s).To(Equal(http.StatusNotFound))
}

// A store that is out must cost an immediate answer with when to come back, and
// two operators must not overwrite each other.
func TestAStoreThatIsOutAndRivalOperators(t *testing.T) {
	g := NewWithT(t)
	x := start(t)
	x.withQueue(g)
	s, b := x.send("PUT", "/v1/queues/urgent", queue)
	g.Expect(s).To(Equal(http.StatusPreconditionFailed), b)
	x.store.SetFaults("entry", kqrowstore.Faults{Refuse: true})
	q, _ := http.NewRequest("POST", x.server.URL+"/v1/flows", strings.NewReader(step(`"count":1`)))
	a, err := http.DefaultClient.Do(q)
	g.Expect(err).NotTo(HaveOccurred())
	defer a.Body.Close()
	g.Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.Header.Get("Retry-After")).To(Equal("1"))
}
