// Package kqapproval defines the interface to a policy service that approves the workers on
// which a step may run.
package kqapproval

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqdecode"
)

// ErrBusy means that the service did not accept the request; it may be sent again.
var ErrBusy = eris.New("policy service: busy, request not accepted")

// MaxWorkers is the largest number of workers that one request may name.
const MaxWorkers = 100

// Ticket allows the tasks of a step to start on one worker.
type Ticket struct {
	// Worker is the worker's id.
	Worker string `json:"worker"`
	// Ticket is the approval to be sent with the start of a task on the worker.
	Ticket string `json:"ticket"`
}

// Response is the service's response to a request for a step.
type Response struct {
	// Tickets holds a ticket for each worker that may run the step.
	Tickets []Ticket `json:"tickets,omitempty"`
	// ValidFor is how long the tickets are valid, counted from the response.
	ValidFor time.Duration `json:"valid"`
	// Omissions are the tickets that were left out because they cannot be decoded.
	Omissions []kqdecode.Omission `json:"-"`
}

// Service holds the operations of a policy service.
type Service struct {
	// RequestTickets requests approval to run a step on the workers with the given ids. An
	// error means that there is no response.
	RequestTickets func(ctx context.Context, step string, workers []string) (Response, error)
}
