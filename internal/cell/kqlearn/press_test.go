package kqlearn_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqlearn"
)

// The press of pairs of images must be told from looks in which the serving
// tasks' own load swings and every figure is rough.
func TestPressIsLearnedForPairs(t *testing.T) {
	truth := map[string]map[string]float64{"web": {"calm": 0.1, "loud": 4}, "door": {"calm": 3, "loud": 0.1}}
	for seed := range uint64(20) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		var p kqlearn.ImageInterference
		shares := map[string]float64{"calm": 0, "loud": 0}
		for n := range 400 {
			if n%5 == 0 {
				for image := range shares {
					shares[image] = 0.4 * rng.Float64()
				}
			}
			s := kqlearn.Sample{At: time.Unix(0, int64(n)*int64(400*time.Millisecond)), Headrooms: map[string]kqlearn.Headroom{}, ProcessorShares: map[string]float64{}}
			for image, v := range shares {
				s.ProcessorShares[image] = v
			}
			for serving, pairs := range truth {
				room := 4 + 0.5*float64(n%35)/35
				for image, v := range shares {
					room -= pairs[image] * v
				}
				s.Headrooms[serving+"-1"] = kqlearn.Headroom{Image: serving, Ratio: max(0.1, room*(0.95+0.1*rng.Float64()))}
			}
			p.Observe("w", s)
		}
		for serving, pairs := range truth {
			for image, want := range pairs {
				got, known := p.Estimate(serving, image)
				g.Expect(known).To(BeTrue())
				g.Expect(got).To(BeNumerically("~", want, 0.8), fmt.Sprintf("seed %d: %s by %s", seed, serving, image))
			}
		}
		var next kqlearn.ImageInterference
		next.Restore(p.KnownPairs())
		before, _ := p.Estimate("web", "loud")
		after, known := next.Estimate("web", "loud")
		g.Expect(known).To(BeTrue())
		g.Expect(after).To(BeNumerically("~", before, 0.01))
		_, known = next.Estimate("web", "never seen")
		g.Expect(known).To(BeFalse())
	}
}
