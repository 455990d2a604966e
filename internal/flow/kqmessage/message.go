// Package kqmessage defines the messages that agents and entries exchange with the owner of
// a cell. Each agent or entry has one stream to the owner.
package kqmessage

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// Role is the role of a process that connects to an owner.
type Role string

// Roles.
const (
	RoleAgent Role = "agent"
	RoleEntry Role = "entry"
)

// Hello is the first message to an owner; it identifies the sender.
type Hello struct {
	// Role is the role of the sender.
	Role Role `json:"role"`
	// Name is the name of the sender's host.
	Name string `json:"name"`
	// Boot identifies the sender's process.
	Boot string `json:"boot"`
	// Epoch is the epoch of the owner that the sender expects.
	Epoch uint64 `json:"epoch"`
	// WantsDigests is true if an entry wants digests of the waiting work.
	WantsDigests bool `json:"digests,omitempty"`
	// JoinsParts is true if the sender joins the parts of messages, see FromOwner.Part.
	JoinsParts bool `json:"joins_parts,omitempty"`
}

// ToOwner is a message to the owner. Only the fields that the message is about are set.
type ToOwner struct {
	// Hello is set in the first message of a stream.
	Hello *Hello `json:"hello,omitempty"`
	// LeaseRequest requests a lease, if not 0. It is the number of the request.
	LeaseRequest uint64 `json:"ask,omitempty"`
	// Worker describes the worker of an agent.
	Worker *kqplan.WorkerInfo `json:"worker,omitempty"`
	// Departed is an incarnation of the worker that has ended.
	Departed kqexecution.Incarnation `json:"gone,omitempty"`
	// WorkerEnds are the ends of earlier incarnations of the worker. An agent repeats them when it
	// registers; they are to be applied before Worker and Departed.
	WorkerEnds []kqplan.WorkerEnd `json:"worker_ends,omitempty"`
	// Report lists the runs on the worker.
	Report *kqplan.Report `json:"report,omitempty"`
	// Registered is true once an agent has sent its first complete report on this stream.
	Registered bool `json:"registered,omitempty"`
	// Submit requests the owner to store a job or a cancellation for an entry.
	Submit *Submit `json:"submit,omitempty"`
	// ApprovalResponse answers one of FromOwner.ApprovalRequests.
	ApprovalResponse *kqplan.ApprovalResponse `json:"approved,omitempty"`
	// Rejected is a job that an entry has rejected.
	Rejected *kqadmission.RejectedJob `json:"rejected,omitempty"`
	// Unresolved lists jobs that may be stored: attempts to store them had no certain outcome.
	Unresolved []string `json:"unresolved,omitempty"`
	// Part is true if the next message with a report continues the report of this one.
	Part bool `json:"part,omitempty"`
}

// Submit is a job or a cancellation that an entry could not store itself.
type Submit struct {
	// Number identifies the request on its stream.
	Number uint64 `json:"number"`
	// Job is the job to store, if not nil.
	Job *kqflow.Job `json:"job,omitempty"`
	// Cancel is the ID of the job to cancel, if not empty.
	Cancel string `json:"cancel,omitempty"`
}

// SubmitReply answers a Submit.
type SubmitReply struct {
	// Number is the number of the Submit.
	Number uint64 `json:"number"`
	// Outcome is a kqcontrol.Outcome.
	Outcome string `json:"outcome"`
}

// Grant answers a lease request.
type Grant struct {
	// LeaseRequest is the number of the request.
	LeaseRequest uint64 `json:"ask"`
	// Duration is how long the lease lasts from the time of the agent's request; 0 if no
	// lease is granted.
	Duration time.Duration `json:"left"`
	// ConfirmationAge is the time since the store last confirmed the ownership.
	ConfirmationAge time.Duration `json:"store_age"`
	// ZonesAge is the maximum age of the evacuated zones known to the owner; 0 if it is not
	// known.
	ZonesAge time.Duration `json:"zones_age,omitempty"`
	// Agents is the number of agents connected to the owner.
	Agents int `json:"peers,omitempty"`
}

// FromOwner is a message from the owner. Only the fields that the message is about are set.
type FromOwner struct {
	// Welcome is the owner's epoch, in the first message of a stream.
	Welcome uint64 `json:"welcome,omitempty"`
	// JoinsParts is true in the first message of an owner that joins the parts of messages, see
	// ToOwner.Part.
	JoinsParts bool `json:"joins_parts,omitempty"`
	// NotOwner is true if the process does not accept the connection as the owner of the
	// cell.
	NotOwner bool `json:"not_owner,omitempty"`
	// HandedOver is true if the owner has released the cell.
	HandedOver bool `json:"handed_over,omitempty"`
	// Grant answers a lease request of an agent.
	Grant *Grant `json:"grant,omitempty"`
	// KnownWorker describes the agent's worker as known to the owner, for an agent that has
	// just started.
	KnownWorker *kqplan.WorkerInfo `json:"known,omitempty"`
	// ClaimedDepartures are incarnations on the agent's host that may have left: an agent has received a
	// leave message of them, or one with their id and without a birth time.
	ClaimedDepartures []kqexecution.Incarnation `json:"claimed_departures,omitempty"`
	// Zones lists the evacuated zones, for an agent.
	Zones *kqevacuate.Notice `json:"zones,omitempty"`
	// Orders are orders to start or stop runs, for an agent.
	Orders []*kqplan.Order `json:"orders,omitempty"`
	// Payloads holds payloads by Order.PayloadKey: the orders of the tasks of a job share theirs.
	Payloads map[string]string `json:"payloads,omitempty"`
	// Part is true if the next message with orders or states continues the list of this one.
	Part bool `json:"part,omitempty"`
	// Resync is true if Orders lists all current orders for the host.
	Resync bool `json:"resync,omitempty"`
	// LacksOrders is true if an order of a received message cannot be decoded, so that Orders does
	// not list all of them.
	LacksOrders bool `json:"-"`
	// Acknowledged is the number up to which the ends reported by the worker are
	// acknowledged, so that the worker may forget them.
	Acknowledged uint64 `json:"noted,omitempty"`
	// AcknowledgedOf is the incarnation whose ends are acknowledged. Owners of an earlier
	// version leave it empty.
	AcknowledgedOf kqexecution.Incarnation `json:"noted_of,omitempty"`
	// ApprovalRequests are requests that an agent forwards to the policy service.
	ApprovalRequests []*kqplan.ApprovalRequest `json:"ask,omitempty"`
	// States holds the states of jobs by ID, for an entry.
	States map[string]kqflow.State `json:"states,omitempty"`
	// AllStates is true if States lists every job.
	AllStates bool `json:"whole,omitempty"`
	// Pending holds the number of jobs of each queue that have not started, for an entry.
	Pending map[string]int `json:"pending,omitempty"`
	// EvacuationReport describes what is still in the evacuated zones, for an entry.
	EvacuationReport *kqevacuate.Report `json:"left,omitempty"`
	// SubmitReply answers a Submit of an entry.
	SubmitReply *SubmitReply `json:"submitted,omitempty"`
	// Digest summarizes the waiting work, for an entry.
	Digest *kqadmission.Digest `json:"digest,omitempty"`
	// Unresolved lists jobs that entries must not reject, since they may be stored.
	Unresolved []string `json:"unresolved,omitempty"`
}

// WithoutNil returns the message without nil elements in its lists. A peer of another version
// may send elements that decode to nil.
func (m FromOwner) WithoutNil() FromOwner {
	m.Orders = slices.DeleteFunc(m.Orders, func(o *kqplan.Order) bool { return o == nil })
	m.ApprovalRequests = slices.DeleteFunc(m.ApprovalRequests, func(a *kqplan.ApprovalRequest) bool { return a == nil })
	return m
}
