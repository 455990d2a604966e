package kqflow_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Guards against a job that is valid but that no row or message can hold: the store refused it, and its caller was
// told to retry for ever.
func TestAJobThatNoRowCanHoldIsAccepted(t *testing.T) {
	steps := func(count int, set func(n int, s *kqflow.Step)) (out []kqflow.Step) {
		for n := range count {
			s := kqflow.Step{Count: 1}
			set(n, &s)
			out = append(out, s)
		}
		return out
	}
	for name, x := range map[string]struct {
		job  kqflow.Job
		code kqresult.Code
	}{
		"the most steps, each after all earlier ones": {job: kqflow.Job{Payload: strings.Repeat("<", kqflow.MaxPayload), Steps: steps(kqflow.MaxSteps, func(n int, s *kqflow.Step) {
			for i := range n {
				s.After = append(s.After, i)
			}
			s.Image = strings.Repeat("i", 100)
		})}},
		"dependencies that are repeated": {code: kqresult.TooLarge, job: kqflow.Job{Steps: steps(2, func(n int, s *kqflow.Step) { s.After = make([]int, n*40_000) })}},
		"images of the largest size":     {code: kqresult.TooLarge, job: kqflow.Job{Steps: steps(kqflow.MaxSteps, func(_ int, s *kqflow.Step) { s.Image = strings.Repeat("i", kqflow.MaxNameBytes) })}},
		"a longer image":                 {code: kqresult.BadRequest, job: kqflow.Job{Steps: steps(1, func(_ int, s *kqflow.Step) { s.Image = strings.Repeat("i", kqflow.MaxNameBytes+1) })}},
		"a longer label":                 {code: kqresult.BadRequest, job: kqflow.Job{Steps: steps(1, func(_ int, s *kqflow.Step) { s.Label = strings.Repeat("l", kqflow.MaxNameBytes+1) })}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(x.job.Validate()).To(BeNil())
			err := x.job.CheckSize()
			if x.code != 0 {
				g.Expect(err).NotTo(BeNil())
				g.Expect(err.Code).To(Equal(x.code))
				return
			}
			g.Expect(err).To(BeNil())
			x.job.ID, x.job.Queue, x.job.Zone, x.job.SubmittedAt = "0123456789abcdef", strings.Repeat("q", 200), strings.Repeat("z", 200), time.Now()
			g.Expect(len(kqtable.Encode(kqflow.Submission{Job: x.job, Cancelled: true}))).To(BeNumerically("<=", kqrows.MaxValueBytes))
		})
	}
}
