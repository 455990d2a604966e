// Package kqresult holds the numbered result codes that callers, operators and
// the system's own processes get. docs/RESULT-CODES.md is checked against it.
package kqresult

import (
	"fmt"
	"net/http"
	"time"
)

// Code is a numbered result.
type Code uint32

// Result codes. Codes from 100 speak of calls that did not run, from 200 of
// calls that may have run, from 300 of bad input, from 400 of conflicts and
// from 500 of the system's own state.
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

// Info describes a code for callers and operators.
type Info struct {
	// Code is the number.
	Code Code
	// Name is the snake case name.
	Name string
	// Status is the HTTP status that carries the code.
	Status int
	// Meaning says what happened.
	Meaning string
	// Action says what the caller should do.
	Action string
}

// Registry lists every code in order of number.
var Registry = []Info{
	{OK, "ok", http.StatusOK, "The request was done.", "Nothing."},
	{NotRunNoEndpoint, "not_run_no_endpoint", http.StatusServiceUnavailable, "No live endpoint of the class is known; the call did not run.", "Call again after retry-after."},
	{NotRunOverloaded, "not_run_overloaded", http.StatusServiceUnavailable, "Every endpoint is too busy to answer within the target; the call did not run.", "Call again after retry-after."},
	{NotRunDeadline, "not_run_deadline", http.StatusGatewayTimeout, "The deadline is too near to answer in time; the call did not run.", "Call again with a later deadline."},
	{NotRunDraining, "not_run_draining", http.StatusServiceUnavailable, "The process is shutting down; the call did not run.", "Call again at once."},
	{NotRunStoreUnavailable, "not_run_store_out", http.StatusServiceUnavailable, "The table that claims idempotency keys is out; the call did not run.", "Call again after retry-after."},
	{NotRunUnreachable, "not_run_unreachable", http.StatusServiceUnavailable, "The agents tried could not be reached; the call did not run.", "Call again after retry-after."},
	{NotRunNoConnection, "not_run_no_connection", http.StatusServiceUnavailable, "The endpoint has all its connections in use; the call did not run.", "Call again after retry-after."},
	{NotRunCancelled, "not_run_cancelled", 499, "The caller left before the call was dispatched; the call did not run.", "Nothing."},
	{NotRunStaleAgent, "not_run_stale_agent", http.StatusServiceUnavailable, "The agent has restarted since the route was chosen; the call did not run.", "Call again at once."},
	{NotRunUnknownClass, "not_run_unknown_class", http.StatusNotFound, "No such latency-critical class is in force; the call did not run.", "Check the class name."},
	{NotRunBusy, "not_run_busy", http.StatusServiceUnavailable, "Every slot of the endpoint is busy and the call may go elsewhere; the call did not run.", "Call again after retry-after."},
	{NotRunRejected, "not_run_rejected", http.StatusTooManyRequests, "So much work comes before the flow that it could not end while it is worth anything; it will not run.", "Submit it again after retry-after, or drop it."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, "The call was dispatched and its answer is lost; it may have run.", "Ask the service for the outcome before calling again."},
	{AnswerIncomplete, "answer_incomplete", http.StatusBadGateway, "The answer broke off after its head was sent; it ran.", "Discard the partial answer; ask the service for the outcome."},
	{KeyInUse, "key_in_use", http.StatusConflict, "The idempotency key belongs to a call whose answer is not at hand; it may have run.", "Ask the service for the outcome, or call again with the same key."},
	{BadRequest, "bad_request", http.StatusBadRequest, "The request is malformed; nothing changed.", "Mend what the message names."},
	{TooLarge, "too_large", http.StatusRequestEntityTooLarge, "The request body is over the limit; nothing changed.", "Send a smaller body."},
	{BadSettings, "bad_settings", http.StatusBadRequest, "A setting is wrong; the process did not start.", "Mend the setting named."},
	{BadDocument, "bad_document", http.StatusUnprocessableEntity, "A document has a wrong field, unit or target; nothing changed.", "Mend the line named."},
	{NeverFits, "never_fits", http.StatusUnprocessableEntity, "No worker could ever run a task of this size; the job was not accepted.", "Declare a smaller size."},
	{NotPermitted, "not_permitted", http.StatusUnauthorized, "The request carries no token of an operator, or a wrong one; nothing changed.", "Send the operators' token."},
	{NotFound, "not_found", http.StatusNotFound, "There is no such thing.", "Check the name."},
	{VersionConflict, "version_conflict", http.StatusPreconditionFailed, "Another operator changed the class first; nothing changed.", "Read the newer version and apply again."},
	{JobConflict, "job_differs", http.StatusConflict, "A job with this ID and another content exists; nothing changed.", "Use another ID."},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, "The platform's store is out; nothing changed.", "Call again after retry-after."},
	{NotOwner, "not_owner", http.StatusConflict, "The process does not own the cell.", "Find the owner in the cell's row."},
	{StaleToken, "stale_token", http.StatusConflict, "A newer order for the task exists; this one was ignored.", "Nothing."},
	{CapacityRefused, "capacity_refused", http.StatusConflict, "The worker has no room for the task; it was not started.", "Nothing: the owner places it again."},
	{TaskFailed, "task_failed", http.StatusInternalServerError, "The worker runtime reported a failure.", "See explain task."},
	{CheckpointFailed, "checkpoint_failed", http.StatusServiceUnavailable, "A checkpoint could not be stored; the last committed one stands.", "Nothing: it is tried again."},
	{StoreOutcomeUnknown, "store_outcome_unknown", http.StatusServiceUnavailable, "A write's answer was lost; it may have taken effect.", "Read back, or send the same request again: it is idempotent."},
	{Internal, "internal", http.StatusInternalServerError, "The system failed; the message says where.", "Report it with the call ID."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(Registry))
	for _, i := range Registry {
		m[i.Code] = i
	}
	return m
}()

// Info returns the description of c.
func (c Code) Info() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}

// String returns the name of c.
func (c Code) String() string { return c.Info().Name }

// NotRun reports whether c promises that a call did not run.
func (c Code) NotRun() bool { return c >= 100 && c < 200 }

// Error is a result with what led to it.
type Error struct {
	// Code is the result.
	Code Code
	// Reason says what is wrong and where.
	Reason string
	// RetryAfter is when the caller may come back; 0 means no advice.
	RetryAfter time.Duration
}

// Errorf returns an Error with a formatted reason.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Reason: fmt.Sprintf(format, args...)}
}

// Error returns the number, the name and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Reason)
}

// After returns e with advice on when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}
