package kqrig

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqowner"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
)

// heldHeartbeat is a heartbeat that the owner has received and may answer later (long poll).
type heldHeartbeat struct {
	from      *Node
	heartbeat kqcell.Heartbeat
	reply     func(kqcell.Reply)
	answered  bool
}

// tick sends a heartbeat if none is in flight, and runs the follower's next action.
func (n *Node) tick() {
	n.sendHeartbeat(false)
	n.runFollower()
}

// sendHeartbeat sends a heartbeat to the owner, if one is known, unless another is in flight.
// If the reports have changed, it sends a second one at once, because the owner may hold the
// answer to the first for up to MaxPollWait.
func (n *Node) sendHeartbeat(changed bool) {
	row, _, found := n.follower.Owner()
	due := n.inFlight == 0 || (changed && n.inFlight < 2)
	if n.inventory.HostBoot == "" || !due || (!found && n.cell == nil) {
		return
	}
	n.sequence++
	n.inFlight++
	pending := true
	finish := func() {
		if pending {
			pending = false
			n.inFlight--
		}
	}
	n.rig.after(heartbeatTimeout, n.guard(finish))
	sent := n.rig.now
	reply := func(r kqcell.Reply) {
		finish()
		n.applyReply(sent, r)
	}
	n.deliver(row, n.makeHeartbeat(), reply)
}

// deliver sends a heartbeat to the owner, which may be the node itself.
func (n *Node) deliver(row kqcell.OwnershipRow, h kqcell.Heartbeat, reply func(kqcell.Reply)) {
	if n.cell != nil {
		n.receive(&heldHeartbeat{from: n, heartbeat: h, reply: func(r kqcell.Reply) { n.rig.after(0, n.guard(func() { reply(r) })) }})
		return
	}
	for _, o := range n.rig.Nodes {
		if o.id == row.Owner && o.agentUp {
			back := func(r kqcell.Reply) { n.rig.Network.send(o, n, n.guard(func() { reply(r) })) }
			n.rig.Network.send(n, o, func() { o.receive(&heldHeartbeat{from: n, heartbeat: h, reply: back}) })
		}
	}
}

// receive handles a heartbeat as the owner. It answers at once if there are new orders or the
// owner needs a complete heartbeat, and otherwise after MaxPollWait at the latest.
func (n *Node) receive(h *heldHeartbeat) {
	if n.cell == nil {
		return
	}
	r := n.cell.Heartbeat(n.rig.now, h.heartbeat)
	if r.OrdersChanged || r.NeedComplete {
		h.reply(r)
		return
	}
	n.held = append(n.held, h)
	n.rig.after(kqowner.MaxPollWait, n.guard(func() { n.answerHeld(h) }))
}

// answerHeld answers a held heartbeat that has no answer yet.
func (n *Node) answerHeld(h *heldHeartbeat) {
	if h.answered {
		return
	}
	h.answered = true
	n.held = slices.DeleteFunc(n.held, func(x *heldHeartbeat) bool { return x == h })
	if n.cell != nil {
		h.reply(n.cell.AnswerHeld(n.rig.now, h.heartbeat))
	}
}

// sendNewOrders answers the held heartbeats of the workers that have new orders.
func (n *Node) sendNewOrders() {
	for _, h := range slices.Clone(n.held) {
		if n.cell != nil && n.cell.HasNewOrders(h.heartbeat) {
			n.answerHeld(h)
		}
	}
}

// applyReply applies the owner's reply to the heartbeat sent at the given time, from which the
// leases are counted, and sends the next heartbeat.
func (n *Node) applyReply(sent time.Time, r kqcell.Reply) {
	if !n.follower.ApplyReply(n.rig.now, r) {
		return
	}
	n.session = r.Session
	if !r.NeedComplete {
		n.reconciler.ApplyOrders(r.Epoch, r.OrdersVersion, r.OrdersChanged, r.Orders, sent.Add(r.LeaseDuration))
	}
	if r.OrdersChanged {
		n.rig.after(0, n.guard(n.reconcile))
	}
	n.rig.after(time.Millisecond, n.guard(func() { n.sendHeartbeat(false) }))
}

// phaseSummary returns the phases and checkpoints of the reports as a text. A change of it is
// sent in a heartbeat at once.
func phaseSummary(rs []kqruntime.Report) string {
	out := make([]string, 0, len(rs))
	for _, r := range rs {
		out = append(out, fmt.Sprint(r.ID, r.Phase, r.Checkpoint))
	}
	slices.Sort(out)
	return strings.Join(out, ";")
}
