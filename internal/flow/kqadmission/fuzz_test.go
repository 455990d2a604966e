package kqadmission_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
)

// FuzzDigest decides by digests that an owner of another version may send. An entry must not fail
// on any of them, and the Retry-After of a rejection must be between a second and an hour.
func FuzzDigest(f *testing.F) {
	sound, err := json.Marshal(busyDigest(16*time.Second, urgentWork(50)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	for _, s := range []string{`null`, `{}`, `{"queues":{"report":{"level":-1}}}`, `{"levels":[{"service":"s","priority":1}],"queues":{"report":{}}}`,
		`{"levels":[{"service":"s","priority":1,"processors":1,"free":-9223372036854775808,"ends":[{"after":-1,"processors":-5},{"after":9223372036854775807,"processors":9223372036854775807}],"waiting":[{"size":-1,"work":1e308,"longest":-1},{"size":1,"work":1e308}]}],"queues":{"report":{"over":[{"zone":"z"}]}},"returning":-7}`,
		`{"levels":[{"service":"s","priority":1,"processors":9223372036854775807,"free":1000,"waiting":[{"size":1,"work":1e300}]}],"queues":{"report":{"over":[{"zone":"z"}]}},"returning":9223372036854775807}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		g := NewWithT(t)
		var d *kqadmission.Digest
		if json.Unmarshal(b, &d) != nil {
			return
		}
		x := decide(newJob(now), d)
		g.Expect(x.String()).NotTo(BeEmpty())
		if x.Verdict == kqadmission.Reject {
			g.Expect(x.RetryAfter).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", time.Hour)))
			g.Expect(x.Wait).To(BeNumerically(">", 0))
		}
	})
}
