package kqrig

import "time"

// Network is the way between workers with its faults.
type Network struct {
	// Delay is the usual time of a message.
	Delay time.Duration
	// Loss is the share of messages lost.
	Loss float64
	// Late is the share of messages that take up to LateBy.
	Late float64
	// LateBy is the longest time of a late message.
	LateBy time.Duration

	rig *Rig
	cut map[string]bool
}

// Cut cuts a worker off from all others, or lets it back.
func (w *Network) Cut(n *Node, on bool) { w.cut[n.id] = on }

// send brings a message to a node, or loses it.
func (w *Network) send(from, to *Node, do func()) {
	if w.cut[from.id] || w.cut[to.id] || w.rig.rng.Float64() < w.Loss {
		return
	}
	d := w.Delay
	if w.LateBy > 0 && w.rig.rng.Float64() < w.Late {
		d += time.Duration(w.rig.rng.Int64N(int64(w.LateBy)))
	}
	w.rig.after(d, to.guard(do))
}
