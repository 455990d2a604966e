// Package kqapproval is the seam to a policy service that says which workers may
// run a step.
package kqapproval

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrBusy says that the service has not taken the question.
var ErrBusy = eris.New("policy: busy, ask again")

// MaxWorkers is how many workers one question may name.
const MaxWorkers = 100

// Ticket allows the tasks of a step to start on one worker.
type Ticket struct {
	// Worker is the worker's id.
	Worker string `json:"worker"`
	// Ticket is what a start carries.
	Ticket string `json:"ticket"`
}

// Answer is what the service says of a step.
type Response struct {
	// Tickets are those of the workers that may run it.
	Tickets []Ticket `json:"tickets,omitempty"`
	// Valid is how long they stand from the answer on.
	ValidFor time.Duration `json:"valid"`
}

// Service is the operations of a policy service.
type Service struct {
	// Ask names a step and the ids of workers; any error means that there is no answer.
	RequestTickets func(ctx context.Context, step string, workers []string) (Response, error)
}
