package kqsize_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

// hundredJobs returns the work of 100 jobs of different sizes, in no order of size.
func hundredJobs() []float64 {
	var out []float64
	for n := range 100 {
		out = append(out, float64((n*37)%100))
	}
	return out
}

func TestBandsAreTheLargestTenthTheFifthBelowAndTheRest(t *testing.T) {
	g := NewWithT(t)
	work := hundredJobs()
	bounds := kqsize.BoundsOf(work)
	var counts [kqsize.BandCount]int
	for _, w := range work {
		counts[bounds.Band(w)]++
	}
	g.Expect(kqsize.BoundsOf([]float64{3, 3, 3}).Band(3)).To(Equal(kqsize.BandLower), "all jobs are of the same size")
	g.Expect(counts).To(Equal([kqsize.BandCount]int{70, 20, 10}))
}

func TestAScaleFollowsWhatComes(t *testing.T) {
	g := NewWithT(t)
	var c kqsize.Classifier
	c.AddJob(1)
	g.Expect(c.Band(1)).To(Equal(kqsize.BandLower), "too few jobs were added")
	for _, w := range hundredJobs() {
		c.AddJob(w)
	}
	g.Expect(c.Band(95)).To(Equal(kqsize.BandLargest))
	g.Expect(c.Band(75)).To(Equal(kqsize.BandUpper))
	for range 300 {
		c.AddJob(1000)
	}
	g.Expect(c.Band(95)).To(Equal(kqsize.BandLower), "the latest jobs are larger")
}
