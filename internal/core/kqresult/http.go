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
	// Name is the snake case name.
	Name string `json:"name"`
	// Reason says what is wrong and where.
	Reason string `json:"reason"`
	// NotRun is true if the call certainly did not run.
	NotRun bool `json:"not_run"`
	// RetryAfterSeconds is when to come back; left out where there is no advice.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// WriteHTTP writes e as an HTTP answer. The Retry-After header is in whole
// seconds, Kq-Retry-After is exact.
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
