package kqcommand_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqfront"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// TestSessionOfAnEvacuation runs the zone commands before, during and after an evacuation and
// compares the recorded session with the golden file.
func TestSessionOfAnEvacuation(t *testing.T) {
	store := kqrowstore.New(1).Client("entry")
	front := kqfront.New(kqfront.Config{Store: store, Now: time.Now, WallClock: time.Now})
	at := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	server := httptest.NewServer(kqgate.New(kqgate.Config{Front: front, Store: store, Now: func() time.Time { return at }}).Handler())
	defer server.Close()
	s := &session{entry: strings.TrimPrefix(server.URL, "http://"), directory: t.TempDir()}
	g := NewWithT(t)
	s.run("zone", "list")
	g.Expect(s.run("zone", "evacuate", "ausspan")).To(BeZero())
	s.run("zone", "evacuate", "a b")
	front.Receive(kqmessage.FromOwner{EvacuationReport: &kqevacuate.Report{Zones: []kqevacuate.ZoneStatus{{Zone: "ausspan", AgeSeconds: 12, Workers: 4, Standing: 7, Checkpointing: 2, Ending: 5, Stopping: 1}}}})
	s.run("zone", "list")
	s.run("zone", "list", "--output", "json")
	g.Expect(s.run("zone", "return", "ausspan")).To(BeZero())
	s.run("zone", "list")
	goldie.New(t).Assert(t, "zone_session", s.out.Bytes())
}
