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

// heldBeat is a heartbeat whose answer the owner holds back.
type heldBeat struct {
	from  *Node
	beat  kqcell.Heartbeat
	reply func(kqcell.Reply)
	done  bool
}

// beat sends a heartbeat if none is under way, and does what the follower
// decides.
func (n *Node) beat() {
	n.sendBeat(false)
	n.follow()
}

// sendBeat sends a heartbeat to the owner, if one is due.
func (n *Node) sendBeat(news bool) {
	row, _, found := n.follower.Owner()
	due := n.beats == 0 || (news && n.beats < 2)
	if n.inventory.HostBoot == "" || !due || (!found && n.cell == nil) {
		return
	}
	n.sequence++
	n.beats++
	open := true
	closeBeat := func() {
		if open {
			open = false
			n.beats--
		}
	}
	n.rig.after(beatTimeout, n.guard(closeBeat))
	sent := n.rig.now
	reply := func(r kqcell.Reply) {
		closeBeat()
		n.obey(sent, r)
	}
	n.carry(row, n.heartbeat(), reply)
}

// carry brings a heartbeat to the owner, which may be the node itself.
func (n *Node) carry(row kqcell.OwnershipRow, h kqcell.Heartbeat, reply func(kqcell.Reply)) {
	if n.cell != nil {
		n.receive(&heldBeat{from: n, beat: h, reply: func(r kqcell.Reply) { n.rig.after(0, n.guard(func() { reply(r) })) }})
		return
	}
	for _, o := range n.rig.Nodes {
		if o.id == row.Owner && o.up {
			back := func(r kqcell.Reply) { n.rig.Network.send(o, n, n.guard(func() { reply(r) })) }
			n.rig.Network.send(n, o, func() { o.receive(&heldBeat{from: n, beat: h, reply: back}) })
		}
	}
}

// receive takes a heartbeat as the owner; without news the answer is held.
func (n *Node) receive(b *heldBeat) {
	if n.cell == nil {
		return
	}
	r := n.cell.Heartbeat(n.rig.now, b.beat)
	if r.OrdersChanged || r.NeedComplete {
		b.reply(r)
		return
	}
	n.held = append(n.held, b)
	n.rig.after(kqowner.MaxPollWait, n.guard(func() { n.release(b) }))
}

// release answers a heartbeat that was held.
func (n *Node) release(b *heldBeat) {
	if b.done {
		return
	}
	b.done = true
	n.held = slices.DeleteFunc(n.held, func(x *heldBeat) bool { return x == b })
	if n.cell != nil {
		b.reply(n.cell.AnswerHeld(n.rig.now, b.beat))
	}
}

// wake answers the held heartbeats for which there is news.
func (n *Node) wake() {
	for _, b := range slices.Clone(n.held) {
		if n.cell != nil && n.cell.HasNewOrders(b.beat) {
			n.release(b)
		}
	}
}

// obey takes the answer of an owner.
func (n *Node) obey(sent time.Time, r kqcell.Reply) {
	if !n.follower.ApplyReply(n.rig.now, r) {
		return
	}
	n.session = r.Session
	if !r.NeedComplete {
		n.reconciler.ApplyOrders(r.Epoch, r.OrdersVersion, r.OrdersChanged, r.Orders, sent.Add(r.LeaseDuration))
	}
	if r.OrdersChanged {
		n.rig.after(0, n.guard(n.drive))
	}
	n.rig.after(time.Millisecond, n.guard(func() { n.sendBeat(false) }))
}

// phases describes what of the reports calls for a heartbeat at once.
func phases(rs []kqruntime.Report) string {
	out := make([]string, 0, len(rs))
	for _, r := range rs {
		out = append(out, fmt.Sprint(r.ID, r.Phase, r.Checkpoint))
	}
	slices.Sort(out)
	return strings.Join(out, ";")
}
