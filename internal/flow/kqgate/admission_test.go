package kqgate_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqfront"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// A rejected flow, which cannot complete before it has no value, must be answered with result code
// 112 and a Retry-After based on when capacity is expected, and the rejection must appear in
// explain.
func TestARejectedFlowIsToldWhyAndWhenToComeBack(t *testing.T) {
	g := NewWithT(t)
	x := &testGate{store: kqrowstore.New(1), events: kqevent.New(kqevent.Config{Process: "entry"})}
	c := x.store.Client("entry")
	policies := kqgate.NewPolicyWatcher(kqgate.PolicyWatcherConfig{Store: c, Now: time.Now})
	front := kqfront.New(kqfront.Config{Store: c, Now: time.Now, WallClock: time.Now, Events: x.events, Admission: &kqfront.AdmissionConfig{Policy: policies.Policy}})
	x.server = httptest.NewServer(kqgate.New(kqgate.Config{Front: front, Policies: policies, Store: c, Events: x.events}).Handler())
	t.Cleanup(func() { x.server.Close(); policies.Close() })
	x.putQueue(g)
	front.Connected(1, func(kqmessage.ToOwner) {})
	digest := &kqadmission.Digest{Saturated: true,
		Levels: []kqadmission.Level{{Service: "pool", MilliProcessors: 4000, Releases: []kqadmission.Release{{After: 16 * time.Second, MilliProcessors: 4000}}}},
		Queues: map[string]kqadmission.PerQueue{"urgent": {OverShare: []kqadmission.Segment{{}}, ExpectedWait: 16 * time.Second, ExpectedWaitLargest: 16 * time.Second}}}
	front.Receive(kqmessage.FromOwner{AllStates: true})
	for range 3 {
		front.Receive(kqmessage.FromOwner{Digest: digest})
		time.Sleep(kqadmission.MinDigestInterval / 2)
	}

	q, err := http.NewRequest("POST", x.server.URL+"/v1/flows", strings.NewReader(flow(`"count":1,"estimate":"1s","resources":{"milli_processors":1000}`)))
	g.Expect(err).NotTo(HaveOccurred())
	a, err := http.DefaultClient.Do(q)
	g.Expect(err).NotTo(HaveOccurred())
	defer a.Body.Close()
	g.Expect(a.StatusCode).To(Equal(http.StatusTooManyRequests))
	g.Expect(a.Header.Get("Kq-Result")).To(Equal("112"))
	retryAfter, err := strconv.Atoi(a.Header.Get("Retry-After"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(retryAfter).To(BeNumerically(">=", 16))
	var body kqresult.Body
	g.Expect(json.NewDecoder(a.Body).Decode(&body)).To(Succeed())
	g.Expect(body.NotRun).To(BeTrue())
	g.Expect(body.Reason).To(ContainSubstring("cannot start within 8s"))

	s, _ := x.send("GET", "/v1/flows/a", "")
	g.Expect(s).To(Equal(http.StatusNotFound))
	_, explanation := x.send("GET", "/v1/explain/flow/a", "")
	g.Expect(explanation).To(And(ContainSubstring("flow_rejected"), ContainSubstring("capacity is expected in 17.6s")))
	_, queueBody := x.send("GET", "/v1/queues/urgent", "")
	g.Expect(queueBody).To(ContainSubstring(`"room_in":"16s"`))
}
