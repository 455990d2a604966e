package kqexecutor_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// An owner of another version may send nil or empty values. Guards against an agent that
// crashes on them.
func TestAMalformedMessageTakesNoAgentDown(t *testing.T) {
	w := &fakeWorker{}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, _ *fakeOwner) {
		for _, body := range []string{`{"orders":[null]}`, `{"resync":true,"orders":[null,{}]}`, `{"ask":[null]}`, `{"grant":{"ask":7,"left":-1}}`, `{"noted":18446744073709551615}`, `{"known":{}}`} {
			var m kqmessage.FromOwner
			g.Expect(json.Unmarshal([]byte(body), &m)).To(Succeed())
			x.Receive(m)
		}
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(w.starts).NotTo(BeEmpty())
	})
}
