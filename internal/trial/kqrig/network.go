package kqrig

import "time"

// Network delivers the messages between workers and injects faults.
type Network struct {
	// Delay is the delivery time of a message without faults.
	Delay time.Duration
	// LossRate is the share of messages that are lost, from 0 to 1.
	LossRate float64
	// LateRate is the share of messages that are delayed by up to MaxLateDelay, from 0 to 1.
	LateRate float64
	// MaxLateDelay is the upper limit of the additional delay of a late message.
	MaxLateDelay time.Duration

	rig *Rig
	cut map[string]bool
}

// SetCut disconnects a worker from all others, or connects it again.
func (w *Network) SetCut(n *Node, on bool) { w.cut[n.id] = on }

// send delivers a message to a node after its delay, or drops it.
func (w *Network) send(from, to *Node, do func()) {
	if w.cut[from.id] || w.cut[to.id] || w.rig.rng.Float64() < w.LossRate {
		return
	}
	d := w.Delay
	if w.MaxLateDelay > 0 && w.rig.rng.Float64() < w.LateRate {
		d += time.Duration(w.rig.rng.Int64N(int64(w.MaxLateDelay)))
	}
	w.rig.after(d, to.guard(do))
}
