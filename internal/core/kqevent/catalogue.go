// Package kqevent defines the numbered events of the system, and logs them and keeps the
// latest in memory. docs/EVENTS.md is generated from Catalogue, and a test compares the two.
package kqevent

// Number identifies a kind of event. Numbers and names are part of the log's format and
// never change.
type Number uint32

// Events of processes and settings (1xx), membership (2xx), calls (3xx), tasks (4xx),
// ownership and leases (5xx), configuration (6xx), jobs of steps (7xx), and connections, the
// store and incarnations of workers (8xx). Catalogue says when each is emitted.
const (
	ProcessStarted        Number = 101
	ProcessStopped        Number = 102
	DrainStarted          Number = 103
	DrainFinished         Number = 104
	LoopFailed            Number = 105
	SettingsReloaded      Number = 106
	CertificatesReloaded  Number = 107
	OperatorRefused       Number = 108
	StoreUnavailable      Number = 110
	StoreAvailable        Number = 111
	EndpointAnnounced     Number = 201
	EndpointLeaving       Number = 202
	EndpointGone          Number = 203
	EndpointEjected       Number = 204
	EndpointRestored      Number = 205
	AgentUnresponsive     Number = 206
	ConnectionReplaced    Number = 207
	CallRouted            Number = 301
	CallRefused           Number = 302
	CallRetried           Number = 303
	CallHedged            Number = 304
	CallOutcomeUnknown    Number = 305
	CallAnswerFetched     Number = 306
	CallAdmissionRefused  Number = 307
	JobAccepted           Number = 401
	JobCancelled          Number = 402
	TaskPlaced            Number = 403
	TaskStarted           Number = 404
	TaskFinished          Number = 405
	TaskFailed            Number = 406
	TaskEvicted           Number = 407
	TaskResumed           Number = 408
	TaskSuspended         Number = 409
	TaskThrottled         Number = 410
	TaskWaiting           Number = 411
	TaskLost              Number = 412
	CheckpointFailed      Number = 413
	WorkerQuarantined     Number = 414
	WorkerRestored        Number = 415
	TaskStopped           Number = 416
	OwnershipAcquired     Number = 501
	OwnershipLost         Number = 502
	OwnerUnresponsive     Number = 503
	WorkerRegistered      Number = 504
	WorkerLeasesExpired   Number = 505
	CommitOutcomeUnknown  Number = 506
	WorkerCrashed         Number = 507
	WorkerResized         Number = 508
	ClassAccepted         Number = 601
	ConfigApplied         Number = 602
	QuotaAccepted         Number = 603
	PolicyApplied         Number = 604
	ZoneEvacuated         Number = 605
	ZoneRestored          Number = 606
	ZoneEvacuationWarning Number = 607
	FlowAccepted          Number = 701
	FlowRefused           Number = 702
	FlowUnresolved        Number = 703
	FlowPlanned           Number = 704
	FlowCancelled         Number = 705
	FlowCompleted         Number = 706
	FlowFailed            Number = 707
	FlowWaiting           Number = 708
	FlowRunPlaced         Number = 709
	FlowRunEnded          Number = 710
	FlowRunLost           Number = 711
	FlowRunMoved          Number = 712
	FlowRunPreempted      Number = 713
	OrderUnanswered       Number = 715
	ApprovalRequested     Number = 717
	ApprovalReceived      Number = 718
	OrderRefused          Number = 716
	FlowPacing            Number = 719
	FlowExpired           Number = 720
	FlowContention        Number = 721
	FlowSuspected         Number = 722
	FlowTrial             Number = 723
	FlowClaim             Number = 724
	FlowHold              Number = 725
	FlowRejected          Number = 731
	FlowResubmitted       Number = 732
	PeerConnected         Number = 801
	PeerDisconnected      Number = 802
	RowUnreadable         Number = 803
	CheckInRefused        Number = 804
	OwnershipHandedOver   Number = 805
	StoreUnresponsive     Number = 806
	StoreResponsive       Number = 807
	OwnerStats            Number = 808
	StoreSlow             Number = 809
	StoreNormal           Number = 810
	EntryOmitted          Number = 811
	MessageTooLarge       Number = 812
	RecordShortened       Number = 813
	RequestRefused        Number = 814
	ConnectionClosed      Number = 815
	ServerError           Number = 816
	WorkerSuperseded      Number = 820
	IncarnationStale      Number = 821
	BirthInvalid          Number = 822
	WorkerDeparted        Number = 823
)

// Info describes an event for operators.
type Info struct {
	// Number identifies the event.
	Number Number
	// Name is the name in snake case.
	Name string
	// Meaning says when the event is emitted.
	Meaning string
}

// Catalogue lists all events in the order of their numbers.
var Catalogue = []Info{
	{ProcessStarted, "process_started", "A process has started and accepts requests."},
	{ProcessStopped, "process_stopped", "A process has stopped."},
	{DrainStarted, "drain_started", "A process was requested to stop and accepts no new work."},
	{DrainFinished, "drain_finished", "The drain of a stopping process has ended."},
	{LoopFailed, "loop_failed", "A background loop encountered an error and continues."},
	{SettingsReloaded, "settings_read", "The settings file was reloaded."},
	{CertificatesReloaded, "certificates_read", "The certificate files were reloaded; if they are invalid, the previous certificate stays in use."},
	{OperatorRefused, "operator_refused", "A request to the operators' API had no token or a wrong one."},
	{StoreUnavailable, "store_out", "The platform's table does not respond."},
	{StoreAvailable, "store_back", "The platform's table responds again."},
	{EndpointAnnounced, "endpoint_announced", "An endpoint is new to this process."},
	{EndpointLeaving, "endpoint_leaving", "An endpoint is leaving and receives no new calls."},
	{EndpointGone, "endpoint_gone", "An endpoint is no longer known."},
	{EndpointEjected, "endpoint_ejected", "An endpoint fails or is much slower than its peers and receives no calls except probes."},
	{EndpointRestored, "endpoint_restored", "An ejected endpoint answered a probe and receives calls again."},
	{AgentUnresponsive, "agent_silent", "There was no report from an agent within the report timeout."},
	{ConnectionReplaced, "connection_replaced", "A connection did not answer a probe and was replaced by a new one."},
	{CallRouted, "call_routed", "A call was sent to an endpoint."},
	{CallRefused, "call_refused", "A call was refused and did not run."},
	{CallRetried, "call_retried", "A call that did not run is sent to another endpoint."},
	{CallHedged, "call_hedged", "A late idempotent call was sent to a second endpoint."},
	{CallOutcomeUnknown, "call_outcome_unknown", "The answer of a dispatched call was lost."},
	{CallAnswerFetched, "call_answer_fetched", "An answer was fetched again after its connection was lost."},
	{CallAdmissionRefused, "call_admission_refused", "An agent refused a call before it reached the endpoint."},
	{JobAccepted, "job_accepted", "A job was stored."},
	{JobCancelled, "job_cancelled", "The cancellation of a job was stored."},
	{TaskPlaced, "task_placed", "An attempt of a task was assigned to a worker."},
	{TaskStarted, "task_started", "An attempt was started on its worker."},
	{TaskFinished, "task_finished", "A task has succeeded."},
	{TaskFailed, "task_failed", "An attempt or a whole task failed."},
	{TaskEvicted, "task_evicted", "A task was evicted from its worker after its checkpoint was committed."},
	{TaskResumed, "task_resumed", "An evicted task was assigned to a worker together with its checkpoint."},
	{TaskSuspended, "task_suspended", "A task was suspended and stays on its worker."},
	{TaskThrottled, "task_throttled", "The processor share of a task was changed to protect the latency of a service."},
	{TaskWaiting, "task_waiting", "A task cannot be placed yet and waits."},
	{TaskLost, "task_lost", "A worker with a running attempt was lost."},
	{CheckpointFailed, "checkpoint_failed", "A checkpoint could not be stored."},
	{WorkerQuarantined, "worker_quarantined", "Tasks fail on a worker that do not fail elsewhere; the worker receives only probes."},
	{WorkerRestored, "worker_restored", "A probe on a quarantined worker succeeded; the worker receives tasks again."},
	{TaskStopped, "task_stopped", "A task that is no longer wanted was stopped."},
	{OwnershipAcquired, "owner_taken", "This process became the owner of a cell."},
	{OwnershipLost, "owner_lost", "This process is no longer the owner of a cell."},
	{OwnerUnresponsive, "owner_silent", "The owner of a cell does not respond."},
	{WorkerRegistered, "worker_registered", "A worker has registered with the owner and reported its inventory."},
	{WorkerLeasesExpired, "worker_given_up", "The leases of an unresponsive worker have expired."},
	{CommitOutcomeUnknown, "commit_unknown", "The response to a write was lost; the outcome is being read back."},
	{WorkerCrashed, "worker_crashed", "A worker of a host ended without leaving; the runs that may have been at work are counted."},
	{WorkerResized, "worker_resized", "The capacity of a worker has changed while it runs; if its runs reserve more, nothing starts there until they fit."},
	{ClassAccepted, "class_accepted", "A change of a class was accepted."},
	{ConfigApplied, "config_in_force", "This process has applied a configuration sequence."},
	{QuotaAccepted, "quota_accepted", "A change of a team's quota was accepted."},
	{PolicyApplied, "policy_in_force", "This process has applied a version of the operator's policy."},
	{ZoneEvacuated, "zone_evacuated", "This process has read that a zone is being evacuated: nothing new starts on its workers."},
	{ZoneRestored, "zone_returned", "This process has read that the evacuation of a zone was withdrawn."},
	{ZoneEvacuationWarning, "zone_doubtful", "Warning: an evacuated zone has no workers, or all zones are evacuated; the evacuation is carried out nevertheless."},
	{FlowAccepted, "flow_accepted", "A job of steps was stored."},
	{FlowRefused, "flow_refused", "A job of steps was refused and will not run."},
	{FlowUnresolved, "flow_unresolved", "The store did not confirm a job of steps in time; it may have been stored."},
	{FlowPlanned, "flow_taken", "The owner has added a job of steps to its plan."},
	{FlowCancelled, "flow_cancelled", "The owner stops a job of steps because its caller has cancelled it."},
	{FlowCompleted, "flow_completed", "All tasks of a job of steps have succeeded."},
	{FlowFailed, "flow_failed", "A task of a job of steps has failed and has no attempts left, or has crashed its workers."},
	{FlowWaiting, "flow_waiting", "There is not enough free capacity for a task of a job of steps."},
	{FlowRunPlaced, "flow_run_placed", "A run of a task was assigned to a worker."},
	{FlowRunEnded, "flow_run_ended", "A run of a task has ended."},
	{FlowRunLost, "flow_run_lost", "A run of a task was lost: it can no longer be running."},
	{FlowRunMoved, "flow_run_moved", "A run of a task is stopped so that the task continues on another worker."},
	{FlowRunPreempted, "flow_run_preempted", "A run of a task is preempted by a more urgent task."},
	{OrderUnanswered, "order_unanswered", "A worker has not answered an order; it is repeated."},
	{OrderRefused, "order_refused", "An order to a worker was refused."},
	{ApprovalRequested, "approval_asked", "The policy service was requested to approve workers for a step."},
	{ApprovalReceived, "approval_given", "The policy service has responded to a request for approval."},
	{FlowPacing, "flow_paced", "Statistics of a worker over the last interval: its serving tasks, the filling tasks that interfere with them, and the processor shares of the filling tasks."},
	{FlowExpired, "flow_too_late", "An unfinished job of steps has passed the last time at which its result has any value."},
	{FlowContention, "flow_crowded", "Tasks wait for free capacity: which tasks hold the processors of the cell and which wait for them."},
	{FlowSuspected, "flow_suspected", "A worker has crashed under a task; if further workers do while nothing else can be the cause, the task is given up and its job fails."},
	{FlowTrial, "flow_trial", "The tasks of a step under which a worker has crashed are tried on a host where nothing else starts meanwhile."},
	{FlowClaim, "flow_claim", "A host is kept for a long-running task that has lost its worker, until the task fits there."},
	{FlowHold, "flow_hold", "Capacity of a service is kept for a gang that waits, for some seconds; gangs of a service take turns."},
	{FlowRejected, "flow_rejected", "An entry has rejected a job of steps, which will not run, because it cannot end while its result has any value."},
	{FlowResubmitted, "flow_returned", "A job of steps that was rejected before was submitted again and accepted; it is scheduled by the time of its first submission."},
	{PeerConnected, "peer_linked", "A process of the system has connected."},
	{PeerDisconnected, "peer_lost", "The connection to a process of the system has ended."},
	{RowUnreadable, "row_unreadable", "A stored row cannot be decoded and is left unchanged."},
	{CheckInRefused, "check_in_refused", "The check-in of a worker is stale or cannot be decoded, and was ignored."},
	{OwnershipHandedOver, "handed_over", "This process has released the ownership of a cell, to hand it over."},
	{StoreUnresponsive, "store_silent", "The store does not respond; requests that need it are refused at once."},
	{StoreResponsive, "store_answers", "The store responds again."},
	{OwnerStats, "owner_pulse", "Statistics of an owner, once a second: its scheduling passes, the messages that it handles, its commits, and its processor time against the limit."},
	{StoreSlow, "store_slow", "The store responds slowly: the owner writes one transaction at a time and confirms its ownership by reads."},
	{StoreNormal, "store_fast", "The store responds to the owner at its normal speed again."},
	{EntryOmitted, "entry_left_out", "An entry of a list or a part of a message cannot be decoded or is out of range, and was left out; the rest is in use."},
	{MessageTooLarge, "message_too_large", "The connection to a process of the system has ended over the size of its messages."},
	{RecordShortened, "record_shortened", "The progress of a job is stored without the checkpoints of some tasks, since its row would be too large; a new owner lets these tasks resume from an earlier one or from the beginning."},
	{RequestRefused, "request_refused", "A request was refused before it had arrived in full, because there was no room for it or its time was over."},
	{ConnectionClosed, "connection_closed", "The connection of a client was closed without an answer: there was no room for it, or the client has not sent a whole header or not read an answer in time."},
	{ServerError, "server_error", "The HTTP library reports a failed handshake of a client or a panic of a handler."},
	{WorkerSuperseded, "worker_reborn", "A later incarnation of a worker has started under the same id; the earlier one has ended."},
	{IncarnationStale, "incarnation_over", "A message of an incarnation of a worker that has ended was ignored."},
	{BirthInvalid, "birth_refused", "A message of a worker has no birth time although the id had one before, or a birth time that cannot be decoded; it identifies no worker. It was ignored; after a leave message the worker is polled to learn whether it has ended."},
	{WorkerDeparted, "worker_left", "An incarnation of a worker has left for good, so the runs on it have ended; the text says from what this is known."},
}

var eventNames = func() map[Number]string {
	m := make(map[Number]string, len(Catalogue))
	for _, i := range Catalogue {
		m[i.Number] = i.Name
	}
	return m
}()

// decisions holds the events that record a decision on a request, a task or a run.
var decisions = map[Number]bool{
	FlowAccepted: true, FlowRefused: true, FlowRejected: true, FlowResubmitted: true, FlowUnresolved: true, FlowPlanned: true, FlowCancelled: true, FlowCompleted: true, FlowFailed: true, FlowExpired: true,
	FlowRunPlaced: true, FlowRunEnded: true, FlowRunLost: true, FlowRunMoved: true, FlowRunPreempted: true, FlowSuspected: true, FlowTrial: true, FlowClaim: true, FlowHold: true,
}

// clientEvents holds the events that any client can bring about as often as it likes.
var clientEvents = map[Number]bool{RequestRefused: true, ConnectionClosed: true, ServerError: true}

// isCausedByClients reports whether any client can bring n about as often as it likes.
func (n Number) isCausedByClients() bool { return clientEvents[n] }

// isDecision reports whether n records a decision on a request, a task or a run.
func (n Number) isDecision() bool { return decisions[n] }

// String returns the name of n in snake case.
func (n Number) String() string { return eventNames[n] }
