package kqmessage

import (
	"slices"
	"strconv"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// The lists of a message grow with the number of jobs, tasks and runs. A message whose lists would make it too
// large is sent in parts, which are messages too. The receiver joins the parts of a list that is only of use as
// a whole; it says in Hello or in the welcome that it can.
const (
	// partBytes is the size that a part does not exceed unless a single element does. It is far below the
	// limit of the stream, so that other messages go between the parts.
	partBytes = 512 << 10
	// escapedBytes is the largest size of a byte of a text in JSON, where it may take six characters.
	escapedBytes = 6
	// elementBytes is the size of an element of a list without its texts, rounded up.
	elementBytes = 320
)

// textBytes returns an upper bound of the size of texts in JSON.
func textBytes(texts ...string) int {
	n := 0
	for _, s := range texts {
		n += escapedBytes * len(s)
	}
	return n
}

// orderBytes returns an upper bound of the size of an order in JSON.
func orderBytes(o *kqplan.Order) int {
	n := elementBytes + textBytes(o.Run.Task, string(o.Worker), o.Payload, o.Checkpoint, o.Ticket, o.Image)
	for image := range o.Interference {
		n += elementBytes + textBytes(image)
	}
	return n
}

// Split returns the message as parts in the order in which they are to be sent. If the receiver does not join
// parts, only lists of which each part is of use by itself are split, and each order has its own payload.
func (m FromOwner) Split(joins bool) []FromOwner {
	if !joins && (m.Resync || m.AllStates) {
		return []FromOwner{m}
	}
	isWhole := m.Resync || m.AllStates
	var out []FromOwner
	part, size, payloadKeys := FromOwner{Part: isWhole}, 0, map[string]string{}
	// makeRoom ends the part if an element does not fit into it.
	makeRoom := func(n int) {
		if size > 0 && size+n > partBytes {
			out = append(out, part)
			part, size, payloadKeys = FromOwner{Part: isWhole}, 0, map[string]string{}
		}
		size += n
	}
	for _, o := range m.Orders {
		if !joins || o.Payload == "" {
			makeRoom(orderBytes(o))
			part.Orders = append(part.Orders, o)
			continue
		}
		short := *o
		short.Payload = ""
		makeRoom(orderBytes(&short))
		key, ok := payloadKeys[o.Payload]
		if !ok {
			key = strconv.Itoa(len(payloadKeys))
			payloadKeys[o.Payload] = key
			size += elementBytes + textBytes(o.Payload)
			if part.Payloads == nil {
				part.Payloads = map[string]string{}
			}
			part.Payloads[key] = o.Payload
		}
		short.PayloadKey = key
		part.Orders = append(part.Orders, &short)
	}
	for id, s := range m.States {
		makeRoom(elementBytes + textBytes(id, string(s)))
		if part.States == nil {
			part.States = map[string]kqflow.State{}
		}
		part.States[id] = s
	}
	m.Orders, m.Payloads, m.States = part.Orders, part.Payloads, part.States
	return append(out, m)
}

// Messages returns parts as the messages that a stream sends.
func Messages[T FromOwner | ToOwner](parts []T) []any {
	out := make([]any, len(parts))
	for i, p := range parts {
		out[i] = p
	}
	return out
}

// Joiner joins the parts of messages. The parts of a list are contiguous among the messages with lists; messages
// without lists may come between them.
type Joiner struct {
	orders      []*kqplan.Order
	states      map[string]kqflow.State
	lacksOrders bool
	report      *kqplan.Report
}

// FromOwner returns a message of the owner with the parts before it, if it is the last of them. Of any other part
// it returns what is not part of a list.
func (j *Joiner) FromOwner(m FromOwner) FromOwner {
	switch {
	case m.Part:
		j.orders, j.lacksOrders = append(j.orders, m.Orders...), j.lacksOrders || m.LacksOrders
		j.states = mergeStates(j.states, m.States)
		m.Part, m.Orders, m.States, m.LacksOrders = false, nil, nil, false
	case m.Resync:
		m.Orders, m.LacksOrders = append(j.orders, m.Orders...), j.lacksOrders || m.LacksOrders
		j.orders, j.lacksOrders = nil, false
	case m.AllStates:
		m.States, j.states = mergeStates(j.states, m.States), nil
	}
	return m
}

func mergeStates(to, from map[string]kqflow.State) map[string]kqflow.State {
	if to == nil {
		return from
	}
	for id, s := range from {
		to[id] = s
	}
	return to
}

// Split returns the message as parts in the order in which they are to be sent. If the receiver does not join
// parts, only the ends of earlier incarnations are split from the rest.
func (m ToOwner) Split(joins bool) []ToOwner {
	var out []ToOwner
	size := 0
	for _, e := range m.WorkerEnds {
		size += elementBytes
		for _, r := range e.Runs {
			size += elementBytes + textBytes(r.Run.Task)
		}
	}
	if size > partBytes && len(m.WorkerEnds) > 1 {
		// They are applied before the rest of the message.
		for _, e := range m.WorkerEnds {
			out = append(out, ToOwner{WorkerEnds: []kqplan.WorkerEnd{e}})
		}
		m.WorkerEnds, size = nil, 0
	}
	if !joins || m.Report == nil {
		return append(out, m)
	}
	report := *m.Report
	rest := kqplan.Report{Worker: report.Worker, Complete: report.Complete}
	makeRoom := func(n int) {
		if size > 0 && size+n > partBytes && len(rest.Running)+len(rest.Ended)+len(rest.Slowed) > 0 {
			part := rest
			out = append(out, ToOwner{Part: true, Report: &part})
			rest, size = kqplan.Report{Worker: report.Worker, Complete: report.Complete}, 0
		}
		size += n
	}
	for _, r := range report.Running {
		makeRoom(elementBytes + textBytes(r.Task, r.Checkpoint))
		rest.Running = append(rest.Running, r)
	}
	for _, r := range report.Slowed {
		makeRoom(elementBytes + textBytes(r.Run.Task))
		rest.Slowed = append(rest.Slowed, r)
	}
	for _, e := range report.Ended {
		makeRoom(elementBytes + textBytes(e.Run.Task, e.Checkpoint, string(e.Reason)))
		rest.Ended = append(rest.Ended, e)
	}
	rest.Paces = report.Paces
	m.Report = &rest
	return append(out, m)
}

// ToOwner returns a message to the owner with the parts of its report before it, if it is the last of them. Of any
// other part it returns what is not part of the report.
func (j *Joiner) ToOwner(m ToOwner) ToOwner {
	if m.Report == nil {
		return m
	}
	if j.report != nil {
		if j.report.Worker == m.Report.Worker {
			joined := *m.Report
			joined.Complete = joined.Complete && j.report.Complete
			joined.Running = slices.Concat(j.report.Running, m.Report.Running)
			joined.Slowed = slices.Concat(j.report.Slowed, m.Report.Slowed)
			joined.Ended = slices.Concat(j.report.Ended, m.Report.Ended)
			m.Report = &joined
		}
		j.report = nil
	}
	if m.Part {
		j.report, m.Report = m.Report, nil
	}
	return m
}

// fillPayloads sets the payloads of the orders of the message. It removes the orders whose payload is missing, and
// returns them.
func (m *FromOwner) fillPayloads() (missing []*kqplan.Order) {
	m.Orders = slices.DeleteFunc(m.Orders, func(o *kqplan.Order) bool {
		if o == nil || o.PayloadKey == "" {
			return false
		}
		payload, ok := m.Payloads[o.PayloadKey]
		if !ok {
			missing = append(missing, o)
		}
		o.Payload, o.PayloadKey = payload, ""
		return !ok
	})
	m.Payloads = nil
	return missing
}
