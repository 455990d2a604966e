package kqexecutor_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
)

// A worker stops answering polls, so leases no longer reach it and its runs end. The agent must not
// request further leases meanwhile: with each grant the owner waits anew for the expiry of the lease
// before it places the worker's long-running tasks elsewhere.
func TestNoLeaseIsRequestedForAWorkerThatDoesNotAnswer(t *testing.T) {
	w := &fakeWorker{}
	var answering, unresponsive, later, answeringAgain uint64
	setUnanswered := func(on bool) {
		w.mu.Lock()
		w.pollsUnanswered = on
		w.mu.Unlock()
	}
	withExecutor(t, w, func(_ *WithT, _ *kqexecutor.Executor, o *fakeOwner) {
		time.Sleep(time.Second)
		answering = o.lastLeaseRequest()
		setUnanswered(true)
		// The agent reports the worker as unresponsive after 0.9 s.
		time.Sleep(2 * time.Second)
		unresponsive = o.lastLeaseRequest()
		time.Sleep(5 * time.Second)
		later = o.lastLeaseRequest()
		setUnanswered(false)
		time.Sleep(time.Second)
		answeringAgain = o.lastLeaseRequest()
	})
	// The executor has stopped: a failure within withExecutor would leave it running.
	g := NewWithT(t)
	g.Expect(answering).To(BeNumerically(">", 1), "leases are requested while the worker answers")
	g.Expect(later).To(Equal(unresponsive), "leases are requested for a worker that has not answered for 2 s")
	g.Expect(answeringAgain).To(BeNumerically(">", later), "leases are requested again")
}
