// Package kqresult defines the numbered result codes that callers, operators and the processes
// of the system receive. docs/RESULT-CODES.md is generated from Registry, and a test compares
// the two.
package kqresult

import (
	"fmt"
	"net/http"
	"time"
)

// Code is the number of a result. Numbers and names are part of the API and never change.
type Code uint32

// Result codes: calls that did not run (1xx), calls that ran or may have run (2xx), invalid
// requests (3xx), missing objects and conflicts (4xx) and the state of the system (5xx).
// Registry describes each.
const (
	OK                     Code = 0
	NotRunNoEndpoint       Code = 101
	NotRunOverloaded       Code = 102
	NotRunDeadline         Code = 103
	NotRunDraining         Code = 104
	NotRunStoreUnavailable Code = 105
	NotRunUnreachable      Code = 106
	NotRunNoConnection     Code = 107
	NotRunCancelled        Code = 108
	NotRunStaleAgent       Code = 109
	NotRunUnknownClass     Code = 110
	NotRunBusy             Code = 111
	NotRunRejected         Code = 112
	NotRunMemoryLimit      Code = 113
	NotRunBodyTimeout      Code = 114
	OutcomeUnknown         Code = 201
	AnswerIncomplete       Code = 202
	KeyInUse               Code = 203
	BadRequest             Code = 301
	TooLarge               Code = 302
	BadSettings            Code = 303
	BadDocument            Code = 304
	NeverFits              Code = 305
	NotPermitted           Code = 306
	NotFound               Code = 401
	VersionConflict        Code = 402
	JobConflict            Code = 403
	StoreUnavailable       Code = 501
	NotOwner               Code = 502
	StaleToken             Code = 503
	CapacityRefused        Code = 504
	TaskFailed             Code = 505
	CheckpointFailed       Code = 506
	StoreOutcomeUnknown    Code = 507
	Internal               Code = 599
)

// Info describes a result code for callers and operators.
type Info struct {
	// Code is the number.
	Code Code
	// Name is the name in snake case.
	Name string
	// Status is the HTTP status of responses with the code.
	Status int
	// Meaning says what has happened.
	Meaning string
	// Action says what the caller should do.
	Action string
}

// Registry lists all codes in the order of their numbers.
var Registry = []Info{
	{OK, "ok", http.StatusOK, "The request was completed.", "Nothing."},
	{NotRunNoEndpoint, "not_run_no_endpoint", http.StatusServiceUnavailable, "No endpoint of the class accepts calls; the call did not run.", "Retry after the time in Retry-After."},
	{NotRunOverloaded, "not_run_overloaded", http.StatusServiceUnavailable, "No endpoint can answer within the latency target, because all are too busy; the call did not run.", "Retry after the time in Retry-After."},
	{NotRunDeadline, "not_run_deadline", http.StatusGatewayTimeout, "The call cannot be answered before its deadline; the call did not run.", "Retry with a later deadline."},
	{NotRunDraining, "not_run_draining", http.StatusServiceUnavailable, "The process is shutting down; the call did not run.", "Retry at once."},
	{NotRunStoreUnavailable, "not_run_store_out", http.StatusServiceUnavailable, "The table for idempotency keys is unavailable; the call did not run.", "Retry after the time in Retry-After."},
	{NotRunUnreachable, "not_run_unreachable", http.StatusServiceUnavailable, "None of the agents tried could be reached; the call did not run.", "Retry after the time in Retry-After."},
	{NotRunNoConnection, "not_run_no_connection", http.StatusServiceUnavailable, "All connections of the endpoint are in use; the call did not run.", "Retry after the time in Retry-After."},
	{NotRunCancelled, "not_run_cancelled", 499, "The caller cancelled the call before it was dispatched; the call did not run.", "Nothing."},
	{NotRunStaleAgent, "not_run_stale_agent", http.StatusServiceUnavailable, "The agent has restarted since the route was chosen; the call did not run.", "Retry at once."},
	{NotRunUnknownClass, "not_run_unknown_class", http.StatusNotFound, "There is no latency-critical class of this name; the call did not run.", "Check the class name."},
	{NotRunBusy, "not_run_busy", http.StatusServiceUnavailable, "All slots of the endpoint are busy and the call may be sent to another one; the call did not run.", "Retry after the time in Retry-After."},
	{NotRunRejected, "not_run_rejected", http.StatusTooManyRequests, "So much work is scheduled before the flow that it could not end while its result has any value; it will not run.", "Submit it again after the time in Retry-After, or drop it."},
	{NotRunMemoryLimit, "not_run_memory_limit", http.StatusServiceUnavailable, "The requests of all clients occupy as much memory as they may, and this one had not arrived in full; it did not run.", "Send the whole request without delay, after the time in Retry-After."},
	{NotRunBodyTimeout, "not_run_body_timeout", http.StatusServiceUnavailable, "The request did not arrive in the time that it has; it did not run.", "Send the whole request without delay, after the time in Retry-After."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, "The call was dispatched and its answer was lost; it may have run.", "Query the service for the outcome before retrying."},
	{AnswerIncomplete, "answer_incomplete", http.StatusBadGateway, "The answer was cut off after its header was sent; the call ran.", "Discard the partial answer; query the service for the outcome."},
	{KeyInUse, "key_in_use", http.StatusConflict, "The idempotency key belongs to another request, or to a call whose answer is not available; that call may have run.", "Query the service for the outcome, or retry with the same key."},
	{BadRequest, "bad_request", http.StatusBadRequest, "The request is malformed; nothing was changed.", "Correct what the message names."},
	{TooLarge, "too_large", http.StatusRequestEntityTooLarge, "The request body is larger than the limit; nothing was changed.", "Send a smaller body."},
	{BadSettings, "bad_settings", http.StatusBadRequest, "A setting is invalid; the process did not start.", "Correct the setting that the message names."},
	{BadDocument, "bad_document", http.StatusUnprocessableEntity, "A document has an invalid field, unit or target; nothing was changed.", "Correct the line that the message names."},
	{NeverFits, "never_fits", http.StatusUnprocessableEntity, "A task of this size does not fit on any worker; the job was not accepted.", "Declare a smaller size."},
	{NotPermitted, "not_permitted", http.StatusUnauthorized, "The request has no operator token or a wrong one; nothing was changed.", "Send the operator token."},
	{NotFound, "not_found", http.StatusNotFound, "The object does not exist.", "Check the name."},
	{VersionConflict, "version_conflict", http.StatusPreconditionFailed, "The object was changed by another request first; nothing was changed.", "Read the newer version and apply the change again."},
	{JobConflict, "job_differs", http.StatusConflict, "A job with this ID and different content exists; nothing was changed.", "Use another ID."},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, "The platform's store is unavailable; nothing was changed.", "Retry after the time in Retry-After."},
	{NotOwner, "not_owner", http.StatusConflict, "The process does not own the cell.", "Find the owner in the cell's row."},
	{StaleToken, "stale_token", http.StatusConflict, "There is a newer order for the task; this one was ignored.", "Nothing."},
	{CapacityRefused, "capacity_refused", http.StatusConflict, "The worker has not enough free capacity for the task; the task was not started.", "Nothing: the owner places the task again."},
	{TaskFailed, "task_failed", http.StatusInternalServerError, "The worker runtime reported a failure.", "See explain task."},
	{CheckpointFailed, "checkpoint_failed", http.StatusServiceUnavailable, "A checkpoint could not be stored or read; the last committed one stays valid.", "Nothing: the operation is retried."},
	{StoreOutcomeUnknown, "store_outcome_unknown", http.StatusServiceUnavailable, "The response to a write was lost; the write may have taken effect.", "Read the object, or send the same request again: it is idempotent."},
	{Internal, "internal", http.StatusInternalServerError, "The system has failed; the message says where.", "Report it with the call ID."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(Registry))
	for _, i := range Registry {
		m[i.Code] = i
	}
	return m
}()

// Info returns the description of c, or that of Internal if c is unknown.
func (c Code) Info() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}

// String returns the name of c in snake case.
func (c Code) String() string { return c.Info().Name }

// NotRun reports whether c guarantees that the call did not run.
func (c Code) NotRun() bool { return c >= 100 && c < 200 }

// Error is a result code with its reason.
type Error struct {
	// Code is the result.
	Code Code
	// Reason says what is wrong, and names the field or object.
	Reason string
	// RetryAfter is the time after which the caller should retry; 0 means no recommendation.
	RetryAfter time.Duration
}

// Errorf returns an Error with a formatted reason.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Reason: fmt.Sprintf(format, args...)}
}

// Error returns the number, the name and the reason of e.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Reason)
}

// WithRetryAfter sets e.RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}
