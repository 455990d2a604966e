// Package kqmessage holds what agents, entries and the owner of a cell say to
// each other over one stream.
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

// Role is what a process is.
type Role string

// Roles of a process that connects to an owner.
const (
	RoleAgent Role = "agent"
	RoleEntry Role = "entry"
)

// Hello is the first message to an owner.
type Hello struct {
	// Role is what the process is.
	Role Role `json:"role"`
	// Name names the host.
	Name string `json:"name"`
	// Boot names the process.
	Boot string `json:"boot"`
	// Epoch is the epoch of the owner that is meant.
	Epoch uint64 `json:"epoch"`
	// Digests is true if an entry wants to be told of the work that waits.
	WantsDigests bool `json:"digests,omitempty"`
}

// ToOwner is a message to the owner; one field is set.
type ToOwner struct {
	// Hello begins a stream.
	Hello *Hello `json:"hello,omitempty"`
	// Ask asks for a lease and numbers the question.
	LeaseRequest uint64 `json:"ask,omitempty"`
	// Worker is what the agent knows of its worker.
	Worker *kqplan.WorkerInfo `json:"worker,omitempty"`
	// Gone names an incarnation that has left.
	Departed kqexecution.Incarnation `json:"gone,omitempty"`
	// Report is what is on the worker.
	Report *kqplan.Report `json:"report,omitempty"`
	// Registered ends the first report of an agent on this stream.
	Registered bool `json:"registered,omitempty"`
	// Submit asks the owner to store a job for an entry.
	Submit *Submit `json:"submit,omitempty"`
	// Approved answers an Ask.
	ApprovalResponse *kqplan.ApprovalResponse `json:"approved,omitempty"`
	// Rejected is a job that an entry has rejected.
	Rejected *kqadmission.RejectedJob `json:"rejected,omitempty"`
	// Unresolved lists jobs that may be stored by attempts without a certain answer.
	Unresolved []string `json:"unresolved,omitempty"`
}

// Submit is a job or a cancellation that an entry cannot store by itself.
type Submit struct {
	// Number numbers the request on the stream.
	Number uint64 `json:"number"`
	// Job is the job to store, if not nil.
	Job *kqflow.Job `json:"job,omitempty"`
	// Cancel names the job to cancel, if not empty.
	Cancel string `json:"cancel,omitempty"`
}

// Submitted answers a Submit.
type SubmitReply struct {
	// Number is the request's number.
	Number uint64 `json:"number"`
	// Outcome is what became of it.
	Outcome string `json:"outcome"`
}

// Grant is a lease.
type Grant struct {
	// Ask is the number of the question.
	LeaseRequest uint64 `json:"ask"`
	// Left is how long the lease lasts from when the agent asked.
	Duration time.Duration `json:"left"`
	// StoreAge is how long ago the store confirmed the ownership.
	ConfirmationAge time.Duration `json:"store_age"`
	// ZonesAge is how old what the owner knows of evacuated zones may be.
	ZonesAge time.Duration `json:"zones_age,omitempty"`
	// Peers is how many agents are connected.
	Agents int `json:"peers,omitempty"`
}

// FromOwner is a message of the owner.
type FromOwner struct {
	// Welcome is the owner's epoch; the first message.
	Welcome uint64 `json:"welcome,omitempty"`
	// NotOwner is true if the process does not own the cell.
	NotOwner bool `json:"not_owner,omitempty"`
	// HandedOver is true if the owner has given the cell up.
	HandedOver bool `json:"handed_over,omitempty"`
	// Grant is a lease for an agent.
	Grant *Grant `json:"grant,omitempty"`
	// Known is what the owner knows of the agent's worker, for an agent that has
	// just started.
	KnownWorker *kqplan.WorkerInfo `json:"known,omitempty"`
	// Zones is which zones are evacuated, for an agent.
	Zones *kqevacuate.Notice `json:"zones,omitempty"`
	// Orders are for an agent.
	Orders []*kqplan.Order `json:"orders,omitempty"`
	// Resync is true if Orders is every order that stands.
	Resync bool `json:"resync,omitempty"`
	// Noted is the number of ends that the worker may forget.
	Acknowledged uint64 `json:"noted,omitempty"`
	// NotedOf is the incarnation whose ends Noted counts; an owner of an earlier
	// version leaves it empty.
	AcknowledgedOf kqexecution.Incarnation `json:"noted_of,omitempty"`
	// Ask is questions to the policy service, for an agent.
	ApprovalRequests []*kqplan.ApprovalRequest `json:"ask,omitempty"`
	// States is the states of jobs, for an entry.
	States map[string]kqflow.State `json:"states,omitempty"`
	// Whole is true if States lists every job.
	AllStates bool `json:"whole,omitempty"`
	// Pending is how many jobs of each queue have not begun, for an entry.
	Pending map[string]int `json:"pending,omitempty"`
	// Left is what is still in evacuated zones, for an entry.
	EvacuationReport *kqevacuate.Report `json:"left,omitempty"`
	// Submitted answers a request of an entry.
	SubmitReply *SubmitReply `json:"submitted,omitempty"`
	// Digest is what waits, for an entry.
	Digest *kqadmission.Digest `json:"digest,omitempty"`
	// Unresolved lists jobs that no entry may reject since they may be stored.
	Unresolved []string `json:"unresolved,omitempty"`
}

// Readable returns the message without what is missing in its lists: a peer of another
// version may send what this one cannot read.
func (m FromOwner) WithoutNil() FromOwner {
	m.Orders = slices.DeleteFunc(m.Orders, func(o *kqplan.Order) bool { return o == nil })
	m.ApprovalRequests = slices.DeleteFunc(m.ApprovalRequests, func(a *kqplan.ApprovalRequest) bool { return a == nil })
	return m
}
