package kqcontrol

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
)

// handedOver notifies a peer that this process has released the cell.
var handedOver = kqmessage.FromOwner{HandedOver: true}

// Session is the connection of an agent or an entry to the owner.
type Session struct {
	controller *Controller
	stream     *kqstream.Stream
	hello      kqmessage.Hello
	// registered is true once the peer may receive messages on jobs and runs: for an agent
	// after its first complete report, for an entry from the start.
	registered bool
	// parts joins the parts of the peer's messages.
	parts kqmessage.Joiner
}

// Host returns the name of the peer's host.
func (x *Session) Host() string { return x.hello.Name }

func (x *Session) send(m kqmessage.FromOwner) { x.stream.Send(m) }

// sendList sends a message whose lists may be large, after all such messages before it.
func (x *Session) sendList(m kqmessage.FromOwner) {
	x.stream.SendParts(kqmessage.Messages(m.Split(x.hello.JoinsParts))...)
}

// Attach starts a session on a stream that has sent its Hello. It closes an older session of
// the same host.
func (c *Controller) Attach(s *kqstream.Stream, h kqmessage.Hello) *Session {
	now := c.config.Now()
	x := &Session{controller: c, stream: s, hello: h}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.sessions[h.Name]; old != nil {
		old.stream.Close()
	}
	c.sessions[h.Name] = x
	c.countAgents()
	x.send(kqmessage.FromOwner{Welcome: c.row.Epoch, JoinsParts: true})
	c.config.Events.Emit(now, kqevent.PeerConnected, kqevent.Process(h.Name), "%s with boot %s", h.Role, h.Boot)
	if h.Role == kqmessage.RoleAgent {
		x.sendZones()
	}
	if w, ok := c.planner.KnownWorker(h.Name); ok && h.Role == kqmessage.RoleAgent {
		x.send(kqmessage.FromOwner{KnownWorker: &w})
	}
	x.sendClaims(slices.Collect(maps.Keys(c.departures.claims)))
	if h.Role == kqmessage.RoleEntry {
		x.registered = true
		x.sendList(kqmessage.FromOwner{States: c.planner.States(), AllStates: true, Pending: c.planner.Pending(), Unresolved: c.entryConnected(now)})
	}
	return x
}

// Detach ends a session whose stream has closed.
func (c *Controller) Detach(x *Session) {
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryDisconnected(now, x)
	if c.sessions[x.hello.Name] != x {
		return
	}
	delete(c.sessions, x.hello.Name)
	c.countAgents()
	c.config.Events.Emit(now, kqevent.PeerDisconnected, kqevent.Process(x.hello.Name), "%s with boot %s", x.hello.Role, x.hello.Boot)
	if x.hello.Role == kqmessage.RoleAgent {
		c.planner.AgentDisconnected(now, x.hello.Name)
	}
}

// countAgents updates the number of connected agents; mu is held.
func (c *Controller) countAgents() {
	c.agentCount = 0
	for _, s := range c.sessions {
		if s.hello.Role == kqmessage.RoleAgent {
			c.agentCount++
		}
	}
}

// Receive handles a message of the session's peer. It leaves out the entries that cannot be
// decoded, and closes the stream if that is not enough.
func (x *Session) Receive(body []byte) {
	c := x.controller
	began := c.config.Now()
	c.receiving.Lock()
	defer c.receiving.Unlock()
	m, omissions, err := kqmessage.DecodeToOwner(body)
	now := c.config.Now()
	x.logOmissions(now, omissions, err)
	if err != nil {
		x.stream.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[x.hello.Name] != x || !c.tomb.Alive() {
		return
	}
	m = x.parts.ToOwner(m)
	x.handle(now, m)
	c.stats.messageHandled(began, c.config.Now())
	if needsDecision(m) {
		c.stats.decisionRequested(now)
		c.wake()
	}
}

// needsDecision reports whether a message should trigger a pass of the scheduling loop.
// Reports on running tasks alone wait for the next tick.
func needsDecision(m kqmessage.ToOwner) bool {
	return m.Worker != nil || len(m.WorkerEnds) > 0 || m.Departed != "" || m.Registered || m.ApprovalResponse != nil || m.Report != nil && len(m.Report.Ended) > 0
}

// handle applies a message to the planner and answers it; mu is held.
func (x *Session) handle(now time.Time, m kqmessage.ToOwner) {
	c, name := x.controller, x.hello.Name
	for _, e := range m.WorkerEnds {
		c.planner.WorkerEnded(now, name, e)
	}
	if m.Worker != nil {
		c.planner.UpdateWorker(now, name, *m.Worker)
	}
	if m.Departed != "" {
		c.planner.WorkerDeparted(now, m.Departed)
	}
	if m.Report != nil {
		c.planner.ApplyReport(now, name, *m.Report)
	}
	if m.Registered {
		x.registered = true
		c.ensureRecorded(name)
		c.planner.AgentConnected(now, name)
		x.sendList(kqmessage.FromOwner{Resync: true, Orders: c.planner.Resync(now, name)})
	}
	if m.LeaseRequest != 0 {
		x.grant(now, m.LeaseRequest)
	}
	if m.ApprovalResponse != nil {
		c.planner.RecordApproval(now, name, *m.ApprovalResponse)
	}
	x.handleAdmission(now, m)
	if m.Submit != nil {
		c.tomb.Go((&relay{session: x, submit: *m.Submit}).run)
	}
}

// grant answers a lease request. The lease ends at most Config.Lease after the ownership
// was last confirmed, and a host whose worker is unresponsive gets none. A host that is not
// recorded yet gets its answer once it is. mu is held.
func (x *Session) grant(now time.Time, request uint64) {
	c := x.controller
	// The agent gets the zones of this age, or newer ones, before the grant.
	zonesAge := c.config.Evacuation.age(now)
	c.applyOperatorState(now)
	age := max(0, c.confirmation.age(now))
	remaining := max(0, c.config.Lease-age)
	if remaining > 0 && x.registered && !c.ensureRecorded(x.hello.Name) {
		c.leases.pendingRequests[x] = request
		return
	}
	if remaining > 0 && x.registered {
		remaining = c.planner.LeaseGranted(now, x.hello.Name, remaining)
		c.leaseGranted(now, x.hello.Name, remaining, now.Add(-age))
	} else {
		remaining = 0
	}
	x.send(kqmessage.FromOwner{Grant: &kqmessage.Grant{LeaseRequest: request, Duration: remaining, ConfirmationAge: age, ZonesAge: zonesAge, Agents: c.agentCount}})
}

// pendingInterval is the minimum time between two updates of the entries about waiting jobs
// and evacuated zones.
const pendingInterval = 300 * time.Millisecond

// publish sends the planner's new effects to agents and entries; mu is held.
func (c *Controller) publish(now time.Time) {
	var states map[string]kqflow.State
	perHost := map[string]*kqmessage.FromOwner{}
	for _, e := range c.planner.TakeEffects() {
		if e.Job != "" {
			if states == nil {
				states = map[string]kqflow.State{}
			}
			states[e.Job] = e.State
			continue
		}
		addEffect(perHost, e)
	}
	for name, m := range perHost {
		if s := c.sessions[name]; s != nil && s.registered {
			s.sendList(*m)
		}
	}
	c.publishStates(now, states)
}

// addEffect adds an effect to the message for its host.
func addEffect(perHost map[string]*kqmessage.FromOwner, e kqplan.Effect) {
	m := perHost[e.Host]
	if m == nil {
		m = &kqmessage.FromOwner{}
		perHost[e.Host] = m
	}
	if e.Order != nil {
		m.Orders = append(m.Orders, e.Order)
	}
	if e.ApprovalRequest != nil {
		m.ApprovalRequests = append(m.ApprovalRequests, e.ApprovalRequest)
	}
	switch {
	case e.Acknowledged == 0:
	case m.AcknowledgedOf == e.AcknowledgedOf:
		m.Acknowledged = max(m.Acknowledged, e.Acknowledged)
	default:
		m.Acknowledged, m.AcknowledgedOf = e.Acknowledged, e.AcknowledgedOf
	}
}

// publishStates sends the entries changed job states, the digest, and at intervals the
// numbers of waiting jobs and the evacuation report. mu is held.
func (c *Controller) publishStates(now time.Time, states map[string]kqflow.State) {
	m := kqmessage.FromOwner{States: states, Digest: c.planner.Digest(now)}
	if now.Sub(c.pendingAt) >= pendingInterval {
		c.pendingAt = now
		m.EvacuationReport = c.changedZoneReport(now)
		if p := c.planner.Pending(); !maps.Equal(p, c.pending) {
			c.pending = p
			m.Pending = p
			// An empty map is omitted from the message, but the entries must learn that
			// no job waits.
			if len(p) == 0 {
				m.Pending = map[string]int{"": 0}
			}
		}
	}
	if !hasUpdates(m) {
		return
	}
	for _, s := range c.sessions {
		if s.hello.Role == kqmessage.RoleEntry {
			s.sendStates(m)
		}
	}
}
