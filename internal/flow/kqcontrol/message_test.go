package kqcontrol_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// FuzzMessageToOwner sends arbitrary messages of an agent to an owner with one job. No
// message may stop or crash the owner.
func FuzzMessageToOwner(f *testing.F) {
	for _, s := range []string{`null`, `{`, `[]`, `{"worker":null,"report":null,"approved":null,"submit":null}`, `{"worker":{}}`, `{"gone":"w"}`, `{"ask":18446744073709551615}`,
		`{"report":{"worker":"w","whole":true,"running":[{"task":"0000000000000001.0.0.0","number":1,"percent":1e308,"measure":-1}]}}`,
		`{"report":{"worker":"w","ended":[{"number":1,"run":{"task":"0000000000000001.9223372036854775807.0.0","number":1},"how":"done"}]}}`,
		`{"report":{"worker":"w","ended":[{"number":1,"run":{"task":"0000000000000001.0.9223372036854775807.0","number":1},"how":"done"}]}}`,
		`{"report":{"worker":"w","ended":[{"number":1,"run":{"task":"0000000000000001.0.0.9223372036854775807","number":1},"how":"failed"}]}}`,
		`{"report":{"worker":"w","whole":true,"slowed":[{"run":{"task":"x"},"percent":-5}],"paces":{"a":-1}}}`,
		`{"worker":{"worker":"w","service":"s","capacity":{"milli_processors":-9223372036854775808,"memory_bytes":-1}}}`,
		`{"approved":{"step":"x.y","workers":[""],"answered":true}}`, `{"submit":{"number":1}}`, `{"rejected":{}}`, `{"unresolved":[""]}`,
		`{"rejected":{"id":"x","queue":"q","age":-9223372036854775808,"work":1e308,"reserved":1e308}}`, `{"rejected":{"id":"x","queue":"q","age":9223372036854775807,"work":-1,"reserved":-1}}`, `{"registered":true,"ask":1}`,
		`{"report":{"worker":"w","whole":true,"running":[{"number":-1},{"task":"0000000000000001.0.0.0","number":1,"measure":5e-324}]},"worker":{"worker":7},"worker_ends":[7]}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		g := NewWithT(t)
		store := kqrowstore.New(1).Client("owner")
		job := kqflow.Job{ID: "0000000000000001", Queue: "q", Steps: []kqflow.Step{{Count: 2, Resources: kqmodel.Resources{MilliProcessors: 1000}, Estimate: time.Second}}, SubmittedAt: time.Now()}
		g.Expect(kqcontrol.StoreJob(context.Background(), store, job, kqcontrol.RetryAlways)).To(Equal(kqcontrol.OutcomeStored))
		c := acquire(g, store, nil)
		defer c.Abandon()
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		s := c.Attach(kqstream.New(near, kqstream.Config{OnMessage: func(*kqstream.Stream, []byte) {}, OnClose: func(*kqstream.Stream, error) {}}),
			kqmessage.Hello{Role: kqmessage.RoleAgent, Name: "h", Boot: "b"})
		s.Receive([]byte(`{"worker":{"worker":"w","service":"s","capacity":{"milli_processors":4000,"memory_bytes":1}},"report":{"worker":"w","whole":true},"registered":true}`))
		s.Receive(body)
		s.Receive(body)
		time.Sleep(2 * time.Millisecond)
		select {
		case <-c.Done():
			t.Error("the owner stopped after a message of an agent")
		default:
		}
	})
}
