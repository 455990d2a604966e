package kqreplay_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqreplay"
)

// Two zones carry the load: jobs must be served as usual while the third is evacuated, and no run may
// start there. The workers of a restored zone warm up: the planner must not place as many tasks on
// them at once as on others.
func TestAnEvacuationUnderLoadCostsLittle(t *testing.T) {
	g := NewWithT(t)
	load := kqreplay.EvacuationLoad()
	noEvacuation := load
	noEvacuation.Evacuations = nil
	undisturbed := runSeeds(t, "calm", kqreplay.Config{Load: noEvacuation}, (*kqreplay.Replay).Run)
	evacuated := runSeeds(t, "evacuated", kqreplay.Config{Load: load}, (*kqreplay.Replay).Run)
	unlimited := runSeeds(t, "abrupt", kqreplay.Config{Load: load, NoWarmUpLimit: true}, (*kqreplay.Replay).Run)
	for seed := range *seeds {
		r := kqreplay.New(kqreplay.Config{Seed: seed, Load: load}).Run()
		g.Expect(r.StartedInEvacuated).To(BeZero())
		g.Expect(r.StoppedInEvacuated).To(BeNumerically(">", 0), "the long evacuation must relocate long-running tasks")
	}
	g.Expect(evacuated.quick).To(BeNumerically(">=", undisturbed.quick-0.05))
	g.Expect(evacuated.quick).To(BeNumerically(">", unlimited.quick))
}
