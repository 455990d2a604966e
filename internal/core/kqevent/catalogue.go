// Package kqevent holds the numbered events that the processes log and
// remember. docs/EVENTS.md is checked against the catalogue.
package kqevent

// Number identifies a kind of event.
type Number uint32

// Events of processes and settings (1xx), membership (2xx), calls (3xx),
// tasks (4xx), ownership and leases (5xx) and configuration (6xx).
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
	WorkerSuperseded      Number = 820
	IncarnationStale      Number = 821
	BirthInvalid          Number = 822
)

// Info describes an event for operators.
type Info struct {
	// Number identifies the event.
	Number Number
	// Name is the snake case name.
	Name string
	// Meaning says when the event is emitted.
	Meaning string
}

// Catalogue lists every event in order of number.
var Catalogue = []Info{
	{ProcessStarted, "process_started", "A process has started and serves."},
	{ProcessStopped, "process_stopped", "A process has ended its work."},
	{DrainStarted, "drain_started", "A process was told to stop and takes no new work."},
	{DrainFinished, "drain_finished", "The last work of a stopping process has ended."},
	{LoopFailed, "loop_failed", "A background loop met an error and goes on."},
	{SettingsReloaded, "settings_read", "The settings file was read again."},
	{CertificatesReloaded, "certificates_read", "The files of the certificate were read again; if they are wrong, the earlier ones stay in force."},
	{OperatorRefused, "operator_refused", "A request to the operators' API carried no token, or a wrong one."},
	{StoreUnavailable, "store_out", "The platform's table does not answer."},
	{StoreAvailable, "store_back", "The platform's table answers again."},
	{EndpointAnnounced, "endpoint_announced", "An endpoint is new to this process."},
	{EndpointLeaving, "endpoint_leaving", "An endpoint gets no new calls from now on."},
	{EndpointGone, "endpoint_gone", "An endpoint is no longer known."},
	{EndpointEjected, "endpoint_ejected", "An endpoint fails or is much slower than its peers and is left out."},
	{EndpointRestored, "endpoint_restored", "An endpoint that was left out answered a probe."},
	{AgentUnresponsive, "agent_silent", "An agent has not been heard for the liveness bound."},
	{ConnectionReplaced, "connection_replaced", "A connection went silent and a new one was dialled."},
	{CallRouted, "call_routed", "A call was sent to an endpoint."},
	{CallRefused, "call_refused", "A call was refused and did not run."},
	{CallRetried, "call_retried", "A call that did not run is sent to another endpoint."},
	{CallHedged, "call_hedged", "A late idempotent call was sent to a second endpoint."},
	{CallOutcomeUnknown, "call_outcome_unknown", "A dispatched call's answer is lost."},
	{CallAnswerFetched, "call_answer_fetched", "An answer was fetched again after its connection died."},
	{CallAdmissionRefused, "call_admission_refused", "An agent refused a call before it reached the endpoint."},
	{JobAccepted, "job_accepted", "A job is durable."},
	{JobCancelled, "job_cancelled", "A cancellation of a job is durable."},
	{TaskPlaced, "task_placed", "An attempt of a task was given to a worker."},
	{TaskStarted, "task_started", "An attempt runs on its worker."},
	{TaskFinished, "task_finished", "A task ended well."},
	{TaskFailed, "task_failed", "An attempt or a whole task failed."},
	{TaskEvicted, "task_evicted", "A task was taken off its worker after its checkpoint was committed."},
	{TaskResumed, "task_resumed", "An evicted task was given to a worker with its checkpoint."},
	{TaskSuspended, "task_suspended", "A task is paused in place."},
	{TaskThrottled, "task_throttled", "The processor share of a task was changed for a service's sake."},
	{TaskWaiting, "task_waiting", "A task cannot be placed yet."},
	{TaskLost, "task_lost", "A worker with a running attempt is gone."},
	{CheckpointFailed, "checkpoint_failed", "A checkpoint could not be stored."},
	{WorkerQuarantined, "worker_quarantined", "A worker fails what it starts and gets only probes."},
	{WorkerRestored, "worker_restored", "A quarantined worker finished a probe."},
	{TaskStopped, "task_stopped", "A task that is no longer wanted was stopped."},
	{OwnershipAcquired, "owner_taken", "This process became the owner of a cell."},
	{OwnershipLost, "owner_lost", "This process is no longer the owner of a cell."},
	{OwnerUnresponsive, "owner_silent", "The owner of a cell does not answer."},
	{WorkerRegistered, "worker_registered", "A worker told the owner its inventory."},
	{WorkerLeasesExpired, "worker_given_up", "A silent worker's leases have run out."},
	{CommitOutcomeUnknown, "commit_unknown", "A write's answer was lost and is being read back."},
	{ClassAccepted, "class_accepted", "A change of a class was accepted."},
	{ConfigApplied, "config_in_force", "A configuration sequence is in force in this process."},
	{QuotaAccepted, "quota_accepted", "A change of a team's quota was accepted."},
	{PolicyApplied, "policy_in_force", "A version of the operator's policy is in force in this process."},
	{ZoneEvacuated, "zone_evacuated", "This process has learned that a zone is evacuated: nothing new starts on its workers."},
	{ZoneRestored, "zone_returned", "This process has learned that the evacuation of a zone was withdrawn."},
	{ZoneEvacuationWarning, "zone_doubtful", "A warning: an evacuated zone has no worker, or no zone is left that is not evacuated; the request is obeyed."},
	{FlowAccepted, "flow_accepted", "A job of steps is durable."},
	{FlowRefused, "flow_refused", "A job of steps was refused and will never run."},
	{FlowUnresolved, "flow_unresolved", "It is not known in time whether a job of steps is durable."},
	{FlowPlanned, "flow_taken", "The owner has taken a job of steps into its plan."},
	{FlowCancelled, "flow_cancelled", "The owner stops a job of steps that its caller has cancelled."},
	{FlowCompleted, "flow_completed", "Every task of a job of steps has ended well."},
	{FlowFailed, "flow_failed", "A task of a job of steps has no attempt left."},
	{FlowWaiting, "flow_waiting", "A task of a job of steps finds no room."},
	{FlowRunPlaced, "flow_run_placed", "A run of a task was given to a worker."},
	{FlowRunEnded, "flow_run_ended", "A run of a task has ended."},
	{FlowRunLost, "flow_run_lost", "A run of a task cannot be at work any more."},
	{FlowRunMoved, "flow_run_moved", "A run of a task is stopped to go on elsewhere."},
	{FlowRunPreempted, "flow_run_preempted", "A run of a task is stopped to make room for a more urgent one."},
	{OrderUnanswered, "order_unanswered", "A worker has not answered an order; it is repeated."},
	{OrderRefused, "order_refused", "A worker has refused an order."},
	{ApprovalRequested, "approval_asked", "The policy service is asked which workers may run a step."},
	{ApprovalReceived, "approval_given", "The policy service has answered."},
	{FlowPacing, "flow_paced", "What serves on a worker, what presses it and at which shares that works, over the last interval."},
	{FlowExpired, "flow_too_late", "A job of steps that has not ended has passed the last time at which it is worth anything."},
	{FlowContention, "flow_crowded", "Tasks wait for room: what holds the processors of the cell and what waits for them."},
	{FlowRejected, "flow_rejected", "An entry has rejected a job of steps, which will not run, since it cannot be worth anything any more."},
	{FlowResubmitted, "flow_returned", "A job of steps that was rejected has come back and is planned by its first attempt."},
	{PeerConnected, "peer_linked", "A process of the system has connected."},
	{PeerDisconnected, "peer_lost", "The connection with a process of the system has ended."},
	{RowUnreadable, "row_unreadable", "A stored row cannot be read and is left alone."},
	{CheckInRefused, "check_in_refused", "A worker's check-in is stale or cannot be read and changes nothing."},
	{OwnershipHandedOver, "handed_over", "This process has given up the ownership of a cell on purpose."},
	{StoreUnresponsive, "store_silent", "The store gives no answer; requests that need it are refused at once."},
	{StoreResponsive, "store_answers", "The store answers again."},
	{OwnerStats, "owner_pulse", "How far an owner keeps up, once a second: its passes, what it hears, its commits and its processor time against the limit."},
	{StoreSlow, "store_slow", "The store answers slowly: the owner writes one transaction at a time and confirms its ownership by reads."},
	{StoreNormal, "store_fast", "The store answers the owner as usual again."},
	{WorkerSuperseded, "worker_reborn", "A later incarnation of a worker has begun under the same id: the earlier one is over."},
	{IncarnationStale, "incarnation_over", "A message of an incarnation of a worker that is over changes nothing."},
	{BirthInvalid, "birth_refused", "A message of a worker has no time of birth where the id had one, or one that cannot be read; it names no worker."},
}

var names = func() map[Number]string {
	m := make(map[Number]string, len(Catalogue))
	for _, i := range Catalogue {
		m[i.Number] = i.Name
	}
	return m
}()

// decisions are the events that each decide on one request, one of its tasks or
// one of their runs.
var decisions = map[Number]bool{
	FlowAccepted: true, FlowRefused: true, FlowRejected: true, FlowResubmitted: true, FlowUnresolved: true, FlowPlanned: true, FlowCancelled: true, FlowCompleted: true, FlowFailed: true, FlowExpired: true,
	FlowRunPlaced: true, FlowRunEnded: true, FlowRunLost: true, FlowRunMoved: true, FlowRunPreempted: true,
}

// decides reports whether n is a decision on a request.
func (n Number) decides() bool { return decisions[n] }

// String returns the name of n.
func (n Number) String() string { return names[n] }
