package kqmessage

import (
	"maps"
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
	isWhole := m.Resync || m.AllStates
	if isWhole && !joins {
		return []FromOwner{m}
	}
	s := splitter{isWhole: isWhole}
	s.begin()
	for _, o := range m.Orders {
		s.addOrder(o, joins)
	}
	for id, state := range m.States {
		s.addState(id, state)
	}
	m.Orders, m.Payloads, m.States = s.part.Orders, s.part.Payloads, s.part.States
	return append(s.done, m)
}

// splitter splits the lists of a message of the owner.
type splitter struct {
	// isWhole is true if the lists are only of use as a whole.
	isWhole bool
	// done holds the parts that are full, part the current one, and size an upper bound of its size.
	done []FromOwner
	part FromOwner
	size int
	// payloadKeys holds the keys of the payloads of the current part.
	payloadKeys map[string]string
}

// begin begins a part.
func (s *splitter) begin() {
	s.part, s.size, s.payloadKeys = FromOwner{Part: s.isWhole}, 0, map[string]string{}
}

// makeRoom ends the current part if an element of a size does not fit into it, and adds the size.
func (s *splitter) makeRoom(size int) {
	if s.size > 0 && s.size+size > partBytes {
		s.done = append(s.done, s.part)
		s.begin()
	}
	s.size += size
}

// addOrder adds an order, whose payload the part holds once for several orders if sharesPayload is true.
func (s *splitter) addOrder(o *kqplan.Order, sharesPayload bool) {
	if !sharesPayload || o.Payload == "" {
		s.makeRoom(orderBytes(o))
		s.part.Orders = append(s.part.Orders, o)
		return
	}
	short := *o
	short.Payload = ""
	s.makeRoom(orderBytes(&short))
	short.PayloadKey = s.payloadKey(o.Payload)
	s.part.Orders = append(s.part.Orders, &short)
}

// payloadKey returns the key of a payload in the current part, to which it is added if necessary.
func (s *splitter) payloadKey(payload string) string {
	key, ok := s.payloadKeys[payload]
	if ok {
		return key
	}
	key = strconv.Itoa(len(s.payloadKeys))
	s.payloadKeys[payload] = key
	if s.part.Payloads == nil {
		s.part.Payloads = map[string]string{}
	}
	s.part.Payloads[key] = payload
	s.size += elementBytes + textBytes(payload)
	return key
}

// addState adds the state of a job.
func (s *splitter) addState(id string, state kqflow.State) {
	s.makeRoom(elementBytes + textBytes(id, string(state)))
	if s.part.States == nil {
		s.part.States = map[string]kqflow.State{}
	}
	s.part.States[id] = state
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
	maps.Copy(to, from)
	return to
}

// Split returns the message as parts in the order in which they are to be sent. If the receiver does not join
// parts, only the ends of earlier incarnations are split from the rest.
func (m ToOwner) Split(joins bool) []ToOwner {
	out := m.splitWorkerEnds()
	if joins && m.Report != nil {
		parts := splitReport(*m.Report)
		last := len(parts) - 1
		for _, r := range parts[:last] {
			out = append(out, ToOwner{Part: true, Report: r})
		}
		m.Report = parts[last]
	}
	return append(out, m)
}

// splitWorkerEnds moves the ends of earlier incarnations to messages of their own if they are large. These come first,
// since the ends are applied before the rest of the message.
func (m *ToOwner) splitWorkerEnds() (out []ToOwner) {
	size := 0
	for _, e := range m.WorkerEnds {
		for _, r := range e.Runs {
			size += elementBytes + textBytes(r.Run.Task)
		}
	}
	if size <= partBytes {
		return nil
	}
	for _, e := range m.WorkerEnds {
		out = append(out, ToOwner{WorkerEnds: []kqplan.WorkerEnd{e}})
	}
	m.WorkerEnds = nil
	return out
}

// splitReport returns a report in parts, at least one. Each says whether the whole report is complete.
func splitReport(r kqplan.Report) (out []*kqplan.Report) {
	size := 0
	// part returns the part to which an element of a size is added.
	part := func(n int) *kqplan.Report {
		if len(out) == 0 || size+n > partBytes {
			out, size = append(out, &kqplan.Report{Worker: r.Worker, Complete: r.Complete}), 0
		}
		size += n
		return out[len(out)-1]
	}
	for _, x := range r.Running {
		p := part(elementBytes + textBytes(x.Task, x.Checkpoint))
		p.Running = append(p.Running, x)
	}
	for _, x := range r.Slowed {
		p := part(elementBytes + textBytes(x.Run.Task))
		p.Slowed = append(p.Slowed, x)
	}
	for _, x := range r.Ended {
		p := part(elementBytes + textBytes(x.Run.Task, x.Checkpoint, string(x.Reason)))
		p.Ended = append(p.Ended, x)
	}
	part(0).Paces = r.Paces
	return out
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
