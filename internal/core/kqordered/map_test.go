package kqordered_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqordered"
)

// Compares a Map under random puts and deletes with a plain map and a list of keys. Guards against
// a compaction of deleted slots that loses a value or changes the order.
func TestAMapVisitsItsValuesInTheOrderOfTheirKeys(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		g := NewWithT(t)
		var m kqordered.Map[int, int]
		values, order := map[int]int{}, []int{}
		for range rng.IntN(200) {
			k := rng.IntN(40)
			if _, ok := values[k]; ok && k%3 != 0 {
				m.Delete(k)
				delete(values, k)
				order = slices.DeleteFunc(order, func(x int) bool { return x == k })
				continue
			}
			if _, ok := values[k]; !ok {
				order = append(order, k)
			}
			values[k] = len(order)
			m.Put(k, len(order))
		}
		var got []int
		for k, v := range m.All() {
			got = append(got, k)
			g.Expect(v).To(Equal(values[k]))
		}
		g.Expect(got).To(HaveLen(len(order)))
		for i := range got {
			g.Expect(got[i]).To(Equal(order[i]))
		}
		g.Expect(m.Len()).To(Equal(len(values)))
		for k := range maps.Keys(values) {
			v, ok := m.Find(k)
			g.Expect(ok).To(BeTrue())
			g.Expect(v).To(Equal(values[k]))
		}
	}
}

// Guards against an iteration that visits keys deleted during it or skips others.
func TestAValueMayBeDeletedWhileTheOthersAreVisited(t *testing.T) {
	g := NewWithT(t)
	var m kqordered.Map[int, int]
	for k := range 100 {
		m.Put(k, k)
	}
	n := 0
	for k := range m.All() {
		m.Delete(k + 1)
		n++
	}
	g.Expect(n).To(Equal(50))
	m.Put(200, 1)
	g.Expect(m.Get(200)).To(Equal(1))
	g.Expect(m.Len()).To(Equal(51))
}
