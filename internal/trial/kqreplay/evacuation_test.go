package kqreplay_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqreplay"
)

// Two zones carry the load: jobs must be served as usual while the third is evacuated,
// and nothing starts there. What comes back is cold, and is not filled at once.
func TestAnEvacuationUnderLoadCostsLittle(t *testing.T) {
	g := NewWithT(t)
	load := kqreplay.Evacuated()
	calm := load
	calm.Evacuations = nil
	whole := play(t, "calm", kqreplay.Config{Load: calm}, (*kqreplay.Replay).Run)
	ours := play(t, "evacuated", kqreplay.Config{Load: load}, (*kqreplay.Replay).Run)
	abrupt := play(t, "abrupt", kqreplay.Config{Load: load, Abrupt: true}, (*kqreplay.Replay).Run)
	for seed := range *seeds {
		r := kqreplay.New(kqreplay.Config{Seed: seed, Load: load}).Run()
		g.Expect(r.Evacuated).To(BeZero())
		g.Expect(r.Left).To(BeNumerically(">", 0), "tasks that stay leave during the long evacuation")
	}
	g.Expect(ours.quick).To(BeNumerically(">=", whole.quick-0.05))
	g.Expect(ours.quick).To(BeNumerically(">", abrupt.quick))
}
