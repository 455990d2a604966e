package kqexecutor_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// refuse makes a worker accept no connections, as after the end of its process.
func refuse(kqexecution.Held) (kqexecution.Held, error) { return kqexecution.Held{}, errNoAnswer }

// hang makes a worker answer no calls in time, as behind a partition.
func hang(kqexecution.Held) (kqexecution.Held, error) {
	time.Sleep(time.Second)
	return kqexecution.Held{}, errNoAnswer
}

// garble makes a worker answer what cannot be read.
func garble(kqexecution.Held) (kqexecution.Held, error) {
	return kqexecution.Held{}, kqexecution.ErrUnreadable
}

// suspend stops the agent's process for longer than a worker takes to end: the time limits of its calls have
// passed when it runs again.
func suspend(m *machine) {
	m.setPollChange(func(kqexecution.Held) (kqexecution.Held, error) {
		time.Sleep(5 * time.Second)
		return kqexecution.Held{}, errNoAnswer
	})
	time.Sleep(time.Second)
	m.setPollChange(nil)
	time.Sleep(5 * time.Second)
}

// A leave message has no birth time, and may be of an earlier incarnation of the worker. Guards against a
// message that is ignored, so that the end is learned as the lease expires, and against one that ends an
// incarnation that runs.
func TestALeaveMessageWithoutABirthTimeIsIgnoredOrEndsALaterIncarnation(t *testing.T) {
	claim := func(m *machine) { m.executor.ReceiveLeave("w") }
	nameItself := func(m *machine) { m.executor.ReceiveLeave(kqexecution.NewIncarnation("w", m.current().born)) }
	for name, c := range map[string]struct {
		act  func(m *machine)
		left bool
	}{
		"the worker ends":                      {left: true, act: func(m *machine) { claim(m); m.setPollChange(refuse) }},
		"the worker has ended before":          {left: true, act: func(m *machine) { m.setPollChange(refuse); time.Sleep(time.Second); claim(m) }},
		"the worker ends half a second later":  {left: true, act: func(m *machine) { claim(m); time.Sleep(500 * time.Millisecond); m.setPollChange(refuse) }},
		"the message is repeated":              {left: true, act: func(m *machine) { claim(m); m.setPollChange(refuse); time.Sleep(time.Second); claim(m) }},
		"another agent has heard the message":  {left: true, act: func(m *machine) { m.setPollChange(refuse); m.claimFromOwner() }},
		"the worker runs":                      {act: claim},
		"the message names it and it runs on":  {act: nameItself},
		"the worker runs and crashes later":    {act: func(m *machine) { claim(m); time.Sleep(3 * time.Second); m.setPollChange(refuse) }},
		"the worker is behind a partition":     {act: func(m *machine) { claim(m); m.setPollChange(hang) }},
		"it names itself and is then silent":   {act: func(m *machine) { nameItself(m); m.setPollChange(hang); time.Sleep(20 * time.Second) }},
		"the agent is suspended":               {act: func(m *machine) { claim(m); suspend(m) }},
		"it names itself, suspended agent":     {act: func(m *machine) { nameItself(m); suspend(m) }},
		"its answers cannot be read":           {act: func(m *machine) { claim(m); m.setPollChange(garble) }},
		"the worker has restarted":             {act: func(m *machine) { m.restart(); claim(m) }},
		"the message is about another worker":  {act: func(m *machine) { m.executor.ReceiveLeave("other"); m.setPollChange(refuse) }},
		"the message names a past incarnation": {act: func(m *machine) { m.executor.ReceiveLeave("w@5"); m.setPollChange(refuse) }},
	} {
		t.Run(name, func(t *testing.T) {
			withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
				c.act(m)
				time.Sleep(1500 * time.Millisecond)
				if c.left {
					g.Expect(m.owner.departedWorkers()).To(Equal([]kqexecution.Incarnation{first}))
					g.Expect(m.recordedDepartures()).To(Equal([]kqexecution.Incarnation{first}))
				} else {
					g.Expect(m.owner.departedWorkers()).NotTo(ContainElement(first))
					g.Expect(m.recordedDepartures()).NotTo(ContainElement(first))
				}
			})
		})
	}
}

// leave sends a leave message and ends the worker, as it does when the message is acknowledged.
func (m *machine) leave(w kqexecution.Incarnation) {
	m.executor.ReceiveLeave(w)
	m.setPollChange(refuse)
	time.Sleep(leaveCheckTime)
}

// claimFromOwner passes a claim that another agent has stored to the agent of the worker.
func (m *machine) claimFromOwner() {
	w := kqexecution.NewIncarnation("w", m.current().born)
	m.executor.Receive(kqmessage.FromOwner{ClaimedDepartures: []kqexecution.Incarnation{w}})
}

// recordDeparture is the store of departures; it refuses the first attempt for each.
func (m *machine) recordDeparture(_ context.Context, d kqexecutor.Departure) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.attempts[d]++; m.attempts[d] == 1 {
		return errNoAnswer
	}
	if d.Verified {
		m.departures = append(m.departures, d.Worker)
	}
	return nil
}

func (m *machine) recordedDepartures() []kqexecution.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]kqexecution.Incarnation(nil), m.departures...)
}

// A worker has left and its agent has no other. Guards against an owner that connects later, or whose
// message names the worker, and learns nothing from the agent.
func TestAnAgentWithoutAWorkerTellsALaterOwnerNothing(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		m.executor.Disconnected()
		m.leave(first)
		known := info(first)
		m.executor.Connected(2, m.owner.send)
		m.executor.Receive(kqmessage.FromOwner{KnownWorker: &known})
		ends := m.owner.workerEnds()
		g.Expect(ends).To(HaveLen(1))
		g.Expect(ends[0].Worker).To(Equal(first))
		g.Expect(ends[0].Departed).To(BeTrue())
	})
}

// A process stops while it verifies a leave message. Guards against a departure that is lost with it.
func TestAProcessThatStopsForgetsADeparture(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		m.setPollChange(refuse)
		m.executor.ReceiveLeave("w")
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		defer cancel()
		m.executor.Settle(ctx)
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
		g.Expect(m.recordedDepartures()).To(Equal([]kqexecution.Incarnation{first}))
	})
}

// A worker says that it leaves, once or again and again, and runs on. Guards against one whose check-ins are
// dropped for good.
func TestAWorkerThatRunsOnAfterItsLeaveMessageIsNeverHeardAgain(t *testing.T) {
	for name, messages := range map[string]int{"one message": 1, "repeated messages": 3} {
		t.Run(name, func(t *testing.T) {
			withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
				for range messages {
					m.executor.ReceiveLeave(first)
					time.Sleep(time.Second)
				}
				g.Expect(m.executor.CheckIn(info(first), 10)).To(BeFalse())
				time.Sleep(20 * time.Second)
				g.Expect(m.executor.CheckIn(info(first), 11)).To(BeTrue())
			})
		})
	}
}
