package kqlearn_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqlearn"
)

// Guards against wrong estimates for pairs of images. The load of the serving tasks changes
// their headroom from sample to sample, and each headroom has an error of up to 5%; the
// estimates must still be within 0.8 of the true interference.
func TestPressIsLearnedForPairs(t *testing.T) {
	truth := map[string]map[string]float64{"web": {"calm": 0.1, "loud": 4}, "door": {"calm": 3, "loud": 0.1}}
	for seed := range uint64(20) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		var learned kqlearn.ImageInterference
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
				headroom := 4 + 0.5*float64(n%35)/35
				for image, v := range shares {
					headroom -= pairs[image] * v
				}
				s.Headrooms[serving+"-1"] = kqlearn.Headroom{Image: serving, Ratio: max(0.1, headroom*(0.95+0.1*rng.Float64()))}
			}
			learned.Observe("w", s)
		}
		for serving, pairs := range truth {
			for image, want := range pairs {
				got, known := learned.Estimate(serving, image)
				g.Expect(known).To(BeTrue())
				g.Expect(got).To(BeNumerically("~", want, 0.8), fmt.Sprintf("seed %d: %s by %s", seed, serving, image))
			}
		}
		var restored kqlearn.ImageInterference
		restored.Restore(learned.KnownPairs())
		before, _ := learned.Estimate("web", "loud")
		after, known := restored.Estimate("web", "loud")
		g.Expect(known).To(BeTrue())
		g.Expect(after).To(BeNumerically("~", before, 0.01))
		_, known = restored.Estimate("web", "never seen")
		g.Expect(known).To(BeFalse())
	}
}

// Another writer leaves estimates that are out of range among the stored ones. Guards against owners
// that use them and store them again.
func TestAnOddStoredEstimateIsRestored(t *testing.T) {
	for name, odd := range map[string]float64{"too large": math.MaxFloat64, "negative": -1, "out of range": 1e7} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var learned kqlearn.ImageInterference
			learned.Restore([]kqlearn.PairEstimate{{Serving: "web", Image: "calm", Interference: 2}, {Serving: "web", Image: "odd", Interference: odd}, {Serving: "web", Image: "other", Interference: odd}})
			g.Expect(learned.KnownPairs()).To(ConsistOf(And(HaveField("Image", "calm"), HaveField("Interference", BeNumerically("~", 2, 0.01)))))
			for n := range 4 {
				share := float64(n % 2)
				learned.Observe("w", kqlearn.Sample{At: time.Unix(0, int64(n)*int64(400*time.Millisecond)), Headrooms: map[string]kqlearn.Headroom{"t": {Image: "web", Ratio: 4 - 2*share}},
					ProcessorShares: map[string]float64{"calm": share, "odd": share, "other": share}})
			}
			_, err := json.Marshal(learned.KnownPairs())
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}
