package kqclaim_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqclaim"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqstore"
)

// Another writer leaves one odd claim. Guards against the claims of other calls that are refused with it,
// because they are in the same transaction.
func TestOneOddClaimRefusesTheWholeBatch(t *testing.T) {
	for name, odd := range map[string]string{"deeply nested": strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), "port out of range": `{"key":"odd","agent":"10.0.0.1:99999"}`, "number too large": `{"key":"odd","fingerprint":1e300}`} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := kqstore.NewTable(kqfault.New(1)).Client()
			_, err := table.Transact(context.Background(), kqtable.Transaction{Writes: []kqtable.Write{{Key: kqclaim.KeyPrefix + "odd", Value: []byte(odd)}}})
			g.Expect(err).NotTo(HaveOccurred())
			claimer := kqclaim.New(kqclaim.Config{Resolver: kqtable.Resolver{Table: table, Wait: kqtable.Sleep}, Now: time.Now})
			defer claimer.Close()
			var mu sync.Mutex
			var all sync.WaitGroup
			claimed := map[string]bool{}
			// The first claim is committed alone; the others wait meanwhile and are one batch.
			for _, key := range []string{"first", "a", "odd", "z", "y", "x"} {
				all.Go(func() {
					_, _, ok, _ := claimer.Acquire(context.Background(), kqclaim.Claim{Key: key, CallID: key})
					mu.Lock()
					defer mu.Unlock()
					claimed[key] = ok
				})
			}
			all.Wait()
			g.Expect(claimed).To(Equal(map[string]bool{"first": true, "a": true, "odd": false, "z": true, "y": true, "x": true}))
		})
	}
}
