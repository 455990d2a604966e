package kqflow_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

func TestJobsThatCannotBeAcceptedAreNamed(t *testing.T) {
	valid := kqflow.Step{Count: 2, Estimate: time.Second}
	for message, j := range map[string]kqflow.Job{
		"steps: expected 1":           {},
		"count: expected 1":           {Steps: []kqflow.Step{{}}},
		"not an earlier step":         {Steps: []kqflow.Step{valid, {Count: 1, After: []int{1}}}},
		"payload: at most":            {Payload: strings.Repeat("x", kqflow.MaxPayload+1), Steps: []kqflow.Step{valid}},
		"at most 2400 tasks":          {Steps: []kqflow.Step{{Count: 2401}}},
		"repeat: 2 occurrences":       {Repeat: 2, Steps: []kqflow.Step{valid}},
		"limits must not be negative": {Steps: []kqflow.Step{{Count: 1, MaxPerWorker: -1}}},
	} {
		err := j.Validate()
		if err == nil || !strings.Contains(err.Reason, message) {
			t.Errorf("expected %q, got %v", message, err)
		}
	}
}

func TestObjectiveFollowsTheLongestChain(t *testing.T) {
	g := NewWithT(t)
	j := kqflow.Job{Steps: []kqflow.Step{{Count: 1, Estimate: time.Second}, {Count: 1, Estimate: 2 * time.Second, After: []int{0}}, {Count: 9, Estimate: 2500 * time.Millisecond}}}
	g.Expect(j.Validate()).To(BeNil())
	g.Expect(j.CriticalPath()).To(Equal(3 * time.Second))
	g.Expect(kqflow.Queue{Stretch: 1.5, Target: 250 * time.Millisecond}.Objective(j)).To(Equal(4750 * time.Millisecond))
}

func TestTheLongestPrefixSelectsTheRoute(t *testing.T) {
	g := NewWithT(t)
	p := kqflow.Policy{Routes: []kqflow.Route{{Host: "h", Prefix: "/a/", Queue: "short"}, {Host: "h", Prefix: "/a/b/", Queue: "long"}, {Host: "i", Prefix: "/a/b/c/", Queue: "other"}}}
	r, ok := p.Match("h", "/a/b/c/1")
	g.Expect(ok).To(BeTrue())
	g.Expect(r.Queue).To(Equal("long"))
	_, ok = p.Match("h", "/b/")
	g.Expect(ok).To(BeFalse())
}

func TestTaskNamesAreReadAsWritten(t *testing.T) {
	g := NewWithT(t)
	id := kqflow.TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	parsed, err := kqflow.ParseTaskID(id.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parsed).To(Equal(id))
	for _, invalid := range []string{"", "a.b", "j.0.0", "j.0.x.1", "j.0.-1.1", "j.0.0.0.0"} {
		_, err := kqflow.ParseTaskID(invalid)
		g.Expect(err).To(HaveOccurred(), invalid)
	}
}
