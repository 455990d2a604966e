package kqsize_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

func hundred() []float64 {
	var out []float64
	for n := range 100 {
		out = append(out, float64((n*37)%100))
	}
	return out
}

func TestBandsAreTheLargestTenthTheFifthBelowAndTheRest(t *testing.T) {
	g := NewWithT(t)
	work := hundred()
	bounds := kqsize.BoundsOf(work)
	var counts [kqsize.BandCount]int
	for _, w := range work {
		counts[bounds.Band(w)]++
	}
	g.Expect(kqsize.BoundsOf([]float64{3, 3, 3}).Band(3)).To(Equal(kqsize.BandLower), "all are of one size")
	g.Expect(counts).To(Equal([kqsize.BandCount]int{70, 20, 10}))
}

func TestAScaleFollowsWhatComes(t *testing.T) {
	g := NewWithT(t)
	var s kqsize.Classifier
	s.AddJob(1)
	g.Expect(s.Band(1)).To(Equal(kqsize.BandLower), "too few were seen")
	for _, w := range hundred() {
		s.AddJob(w)
	}
	g.Expect(s.Band(95)).To(Equal(kqsize.BandLargest))
	g.Expect(s.Band(75)).To(Equal(kqsize.BandUpper))
	for range 300 {
		s.AddJob(1000)
	}
	g.Expect(s.Band(95)).To(Equal(kqsize.BandLower), "jobs are larger now")
}
