package kqgate_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

func (x *testGate) listZones(g *WithT) (out []string) {
	s, b := x.send("GET", "/v1/zones", "")
	g.Expect(s).To(Equal(http.StatusOK), b)
	var vs []kqgate.ZoneView
	g.Expect(json.Unmarshal([]byte(b), &vs)).To(Succeed())
	for _, v := range vs {
		out = append(out, v.Zone)
	}
	return out
}

// watchZones starts a ZoneWatcher and returns a function that returns its zones.
func (x *testGate) watchZones(t *testing.T) func() []string {
	w := kqgate.NewZoneWatcher(kqgate.ZoneWatcherConfig{Process: "agent", Store: x.store.Client("agent"), Now: time.Now, OnChange: func(kqevacuate.Zones) {}})
	t.Cleanup(w.Close)
	return func() []string { return w.Zones().Names() }
}

func TestAZoneIsEvacuatedAndReturned(t *testing.T) {
	g := NewWithT(t)
	x := startGate(t)
	watched := x.watchZones(t)
	for range 2 {
		s, b := x.send("PUT", "/v1/zones/ausspan/evacuation", "")
		g.Expect(s).To(Equal(http.StatusOK), b)
		g.Expect(b).To(ContainSubstring(`"evacuated":true`))
		g.Expect(b).To(ContainSubstring(`"since"`))
	}
	g.Expect(x.listZones(g)).To(Equal([]string{"ausspan"}))
	g.Eventually(watched, time.Second).Should(Equal([]string{"ausspan"}))
	for range 2 {
		s, b := x.send("DELETE", "/v1/zones/ausspan/evacuation", "")
		g.Expect(s).To(Equal(http.StatusOK), b)
		g.Expect(b).To(ContainSubstring(`"evacuated":false`))
	}
	g.Expect(x.listZones(g)).To(BeEmpty())
	g.Eventually(watched, time.Second).Should(BeEmpty())
	s, b := x.send("PUT", "/v1/zones/a%20b/evacuation", "")
	g.Expect(s).To(Equal(http.StatusBadRequest), b)
	g.Expect(b).To(ContainSubstring("is no name"))
	x.store.SetFaults("entry", kqrowstore.Faults{Refuse: true})
	s, _ = x.send("PUT", "/v1/zones/ausspan/evacuation", "")
	g.Expect(s).To(Equal(http.StatusServiceUnavailable))
}

// Guards against a delayed duplicate of an evacuation: the store may execute a write seconds after
// it was sent, when the request has been withdrawn, and that must not evacuate the zone again.
func TestALateCopyOfAnEvacuationChangesNothing(t *testing.T) {
	g := NewWithT(t)
	x := startGate(t)
	x.send("PUT", "/v1/zones/a/evacuation", "")
	rows, _, err := x.store.Client("").Read(context.Background(), kqgate.EvacuationTable, "", "")
	g.Expect(err).NotTo(HaveOccurred())
	x.send("DELETE", "/v1/zones/a/evacuation", "")
	key := kqrows.Key{Table: kqgate.EvacuationTable, Name: "a"}
	o, err := x.store.Client("").Transact(context.Background(), kqrows.Tx{Conditions: []kqrows.Condition{{Key: key}}, Puts: []kqrows.Put{{Key: key, Value: rows[0].Value}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Committed).To(BeFalse())
	g.Expect(x.listZones(g)).To(BeEmpty())
}

// A row that cannot be parsed counts as a request for the zone in its key.
func TestAnUnreadableRequestHolds(t *testing.T) {
	g := NewWithT(t)
	x := startGate(t)
	watched := x.watchZones(t)
	key := kqrows.Key{Table: kqgate.EvacuationTable, Name: "a"}
	_, err := x.store.Client("").Transact(context.Background(), kqrows.Tx{Puts: []kqrows.Put{{Key: key, Value: []byte("{")}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(watched, time.Second).Should(Equal([]string{"a"}))
	g.Expect(x.listZones(g)).To(Equal([]string{"a"}))
	s, b := x.send("DELETE", "/v1/zones/a/evacuation", "")
	g.Expect(s).To(Equal(http.StatusOK), b)
	g.Eventually(watched, time.Second).Should(BeEmpty())
}
