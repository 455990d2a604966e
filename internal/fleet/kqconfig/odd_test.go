package kqconfig_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqstore"
)

// Another writer leaves one odd row in the configuration. Guards against processes that stay with the
// configuration before, or with none, because of it.
func TestOneOddRowKeepsTheConfigurationOutOfForce(t *testing.T) {
	for name, odd := range map[string]string{"deeply nested": strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), "version too large": `{"version":1e300}`,
		"sequence out of range": `{"sequence":-1}`, "latency out of range": `{"class":{"latency":"99999999999999h"}}`} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := kqstore.NewTable(kqfault.New(1)).Client()
			put := func(key, value string) kqtable.Write { return kqtable.Write{Key: key, Value: []byte(value)} }
			_, err := table.Transact(context.Background(), kqtable.Transaction{Writes: []kqtable.Write{put("config/head", `{"sequence":5}`), put("config/row/class/odd", odd),
				put("config/row/class/a", `{"class":{"name":"a"},"sequence":4}`), put("config/row/class/z", `{"class":{"name":"z"},"sequence":5}`)}})
			g.Expect(err).NotTo(HaveOccurred())
			events := kqevent.New(kqevent.Config{})
			h := kqconfig.NewHolder(kqconfig.HolderConfig{Process: "p", Events: events})
			g.Expect(kqconfig.Store{Resolver: kqtable.Resolver{Table: table}}.Refresh(context.Background(), time.Now, h)).To(Succeed())
			g.Expect(h.Sequence()).To(Equal(uint64(5)))
			g.Expect(h.All()).To(HaveLen(2))
			g.Expect(events.BySubject(kqevent.Process("config/row/class/odd"))).To(HaveLen(1))

			h = kqconfig.NewHolder(kqconfig.HolderConfig{Process: "p", Events: events})
			h.ApplyRows(time.Now(), 0, 5, []kqconfig.Row{{Key: "class/a", Sequence: 4, Value: []byte(`{"class":{"name":"a"}}`)}, {Key: "class/odd", Sequence: 5, Value: []byte(odd)}})
			g.Expect(h.All()).To(HaveLen(1))
			g.Expect(events.BySubject(kqevent.Process("p"))).To(ContainElement(HaveField("Number", kqevent.RowUnreadable)))
		})
	}
}
