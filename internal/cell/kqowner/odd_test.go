package kqowner_test

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqowner"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqstore"
)

const testCell = "c"

// Another writer leaves one odd row among those of a cell. Guards against a cell that no worker can
// acquire or load any more, and against owners that run out of memory one after another.
func TestOneOddRowLeavesACellWithoutAnOwner(t *testing.T) {
	deeplyNested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	good := string(kqtable.Encode(kqmodel.Job{Cell: testCell, Spec: kqmodel.JobSpec{ID: "good", Tasks: 1}}))
	for name, x := range map[string]struct{ key, value string }{
		"ownership deeply nested":     {kqcell.OwnershipKey(testCell), deeplyNested},
		"ownership port out of range": {kqcell.OwnershipKey(testCell), `{"owner":"x","address":"127.0.0.1:99999","epoch":3}`},
		"ownership epoch too large":   {kqcell.OwnershipKey(testCell), `{"owner":"x","address":"127.0.0.1:1","epoch":18446744073709551615}`},
		"job deeply nested":           {kqcell.ActiveKey(testCell, "odd"), deeplyNested},
		"job tasks too large":         {kqcell.ActiveKey(testCell, "odd"), `{"spec":{"id":"odd","tasks":4294967295}}`},
		"job tasks out of range":      {kqcell.ActiveKey(testCell, "odd"), `{"spec":{"id":"odd","tasks":1e300}}`},
		"job with the ID of another":  {kqcell.ActiveKey(testCell, "zz"), good},
		"task deeply nested":          {kqcell.JobTasksPrefix(testCell, "odd") + "000000", deeplyNested},
		"inbox job tasks too large":   {kqcell.JobKey("odd"), `{"job":{"spec":{"id":"odd","tasks":4294967295}}}`},
		"inbox job deeply nested":     {kqcell.JobKey("odd"), deeplyNested},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			table := kqstore.NewTable(kqfault.New(1)).Client()
			_, err := table.Transact(context.Background(), kqtable.Transaction{Writes: []kqtable.Write{{Key: kqcell.ActiveKey(testCell, "good"), Value: []byte(good)},
				{Key: kqcell.InboxKey(testCell, "odd", "1")}, {Key: x.key, Value: []byte(x.value)}}})
			g.Expect(err).NotTo(HaveOccurred())
			events := kqevent.New(kqevent.Config{})
			runner := kqowner.Start(kqowner.Config{Cell: testCell, Self: "w", Boot: "1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Table: table, Events: events, Now: time.Now,
				Send: func(context.Context, netip.AddrPort, kqcell.Heartbeat) (kqcell.Reply, error) {
					return kqcell.Reply{}, errors.New("no answer")
				},
				MakeHeartbeat: func(time.Time, bool) kqcell.Heartbeat { return kqcell.Heartbeat{} },
				Quota:         func(string) (kqmodel.Resources, bool) { return kqmodel.Resources{}, false }})
			defer runner.Stop()
			isOwner := func() bool {
				row, isOwner := runner.Owner()
				return isOwner && row.Epoch > 0
			}
			g.Eventually(isOwner).WithTimeout(8 * time.Second).Should(BeTrue())
			g.Expect(events.BySubject(kqevent.Process("w"))).To(ContainElement(HaveField("Text", ContainSubstring(": 1 jobs, 0 tasks"))))
			g.Eventually(func() []kqevent.Event { return events.BySubject(kqevent.Process(x.key)) }).WithTimeout(3 * time.Second).Should(ContainElement(HaveField("Number", kqevent.RowUnreadable)))
			g.Eventually(func() ([]kqtable.Row, error) {
				return table.ScanAll(context.Background(), kqcell.InboxPrefix(testCell))
			}).WithTimeout(3 * time.Second).Should(BeEmpty())
			g.Expect(isOwner()).To(BeTrue())
		})
	}
}
