package kqnode_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// Another writer replaces the ownership row of a cell. Its owner then loses the cell. Guards against a
// cell that nobody owns from then on, and against a next owner whose epoch is not above that of the
// last one: it is the fencing token, and workers refuse orders with a lower one.
func TestAnOddOwnershipRowRestartsTheFencingTokens(t *testing.T) {
	for name, value := range map[string]string{
		"port out of range":    `{"name":"a","boot":"a1","address":"127.0.0.1:99999","epoch":5,"recorded":true}`,
		"deeply nested":        strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"deeply nested boot":   `{"name":"a","boot":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"epoch too large":      `{"name":"x","boot":"x1","address":"127.0.0.1:1","epoch":18446744073709551615}`,
		"epoch out of range":   `{"name":"x","boot":"x1","address":"127.0.0.1:1","epoch":1e300}`,
		"epoch below the last": `{"name":"x","boot":"x1","address":"127.0.0.1:1","epoch":1}`,
		"not JSON":             `odd`,
		"empty":                ``,
	} {
		for _, restarted := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				const epoch = 5
				store := kqrowstore.New(1)
				key := kqcontrol.OwnerKey(cell)
				put := func(value string) {
					o, err := store.Client("x").Transact(context.Background(), kqrows.Tx{Puts: []kqrows.Put{{Key: key, Value: []byte(value)}}})
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(o.Committed).To(BeTrue())
				}
				put(`{"boot":"z","epoch":4}`)
				first := startAgent(t, store.Client("a"), "a", 0)
				g.Eventually(first.node.IsOwner).WithTimeout(3 * time.Second).Should(BeTrue())
				time.Sleep(500 * time.Millisecond)
				if restarted {
					first.node.Kill()
				}
				put(value)
				second := startAgent(t, store.Client("b"), "b", 0)
				isOwned := func() bool {
					rows, _, err := store.Client("x").Read(context.Background(), key.Table, key.Name, kqcontrol.RangeEnd(key.Name))
					var owner struct {
						Epoch uint64 `json:"epoch"`
					}
					return err == nil && json.Unmarshal(rows[0].Value, &owner) == nil && owner.Epoch > epoch && owner.Epoch < 10 && (first.node.IsOwner() || second.node.IsOwner())
				}
				g.Eventually(isOwned).WithTimeout(4 * time.Second).Should(BeTrue())
				g.Consistently(isOwned).WithTimeout(time.Second).Should(BeTrue())
				g.Eventually(second.connections.Load).WithTimeout(3 * time.Second).ShouldNot(BeZero())
			})
		}
	}
}
