package kqmember_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqmember"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqstore"
)

// Another writer leaves one odd entry among those in the table. Guards against agents that find no entry
// because of it, and against rows of entries that are gone being kept.
func TestOneOddEntryHidesAllOthers(t *testing.T) {
	deeplyNested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, odd := range map[string]string{
		"deeply nested":     deeplyNested,
		"port out of range": `{"id":"odd","address":"10.0.0.1:99999"}`,
		"port too large":    `{"id":"odd","address":"10.0.0.1:18446744073709551616"}`,
		"time out of range": `{"id":"odd","address":"10.0.0.1:1","renewed_at":"99999-01-01T00:00:00Z"}`,
		"number as ID":      `{"id":1e300,"address":"10.0.0.1:1"}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := kqstore.NewTable(kqfault.New(1)).Client()
			_, err := table.Transact(context.Background(), kqtable.Transaction{Writes: []kqtable.Write{{Key: kqmember.EntryPrefix + "odd", Value: []byte(odd)},
				{Key: kqmember.EntryPrefix + "a", Value: []byte(`{"id":"a","address":"10.0.0.2:1"}`)}, {Key: kqmember.EntryPrefix + "z", Value: []byte(`{"id":"z","address":"10.0.0.3:1"}`)}}})
			g.Expect(err).NotTo(HaveOccurred())
			events := kqevent.New(kqevent.Config{})
			entries, err := kqmember.ReadEntries(context.Background(), table, kqtable.LogUnreadable(events, time.Now))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(entries).To(HaveExactElements(HaveField("ID", "a"), HaveField("ID", "z")))
			g.Expect(events.BySubject(kqevent.Process(kqmember.EntryPrefix + "odd"))).To(HaveLen(1))
		})
	}
}
