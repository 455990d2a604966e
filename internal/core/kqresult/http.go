package kqresult

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// Body is the JSON form of an Error for callers and operators.
type Body struct {
	// Code is the number.
	Code Code `json:"code"`
	// Name is the name in snake case.
	Name string `json:"name"`
	// Reason says what is wrong, and names the field or object.
	Reason string `json:"reason"`
	// NotRun is true if it is certain that the call did not run.
	NotRun bool `json:"not_run"`
	// RetryAfterSeconds is the time after which to retry, omitted if there is no recommendation.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// WriteHTTP writes e as an HTTP response. The header Retry-After is rounded up to whole seconds;
// Kq-Retry-After is exact.
func WriteHTTP(w http.ResponseWriter, e *Error) error {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Kq-Result", strconv.Itoa(int(e.Code)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
		h.Set("Kq-Retry-After", e.RetryAfter.String())
	}
	w.WriteHeader(e.Code.Info().Status)
	return json.NewEncoder(w).Encode(Body{Code: e.Code, Name: e.Code.String(), Reason: e.Reason, NotRun: e.Code.NotRun(),
		RetryAfterSeconds: e.RetryAfter.Seconds()})
}
