package kqreplay_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqreplay"
)

// Two zones can carry the load. Guards against quick jobs that are no longer served while the third
// zone is evacuated, against runs that start there, and against a planner that places as many tasks
// on the workers of a restored zone as on others while they warm up and are slow.
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
