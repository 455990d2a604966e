package kqgate

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// ExplainRoute is where a process tells what it remembers of a flow.
const ExplainRoute = "/v1/explain/flow/:id"

// ExplainEvent is an event for operators.
type ExplainEvent struct {
	// At is when it happened.
	At time.Time `json:"at"`
	// Number and Name identify the kind of event.
	Number uint32 `json:"number"`
	Name   string `json:"name"`
	// Process is who saw it.
	Process string `json:"process"`
	// ID is the flow or one of its tasks.
	ID string `json:"id"`
	// Text gives the reasons in a plain sentence.
	Text string `json:"text"`
}

// Explain returns what a process remembers of a flow and its tasks, oldest first.
func Explain(log *kqevent.Log, id string) []ExplainEvent {
	out := []ExplainEvent{}
	for _, e := range log.AboutJob(id) {
		out = append(out, ExplainEvent{At: e.At.UTC(), Number: uint32(e.Number), Name: e.Number.String(), Process: e.Process, ID: e.Subject.ID, Text: e.Text})
	}
	return out
}

// ExplainHandler serves ExplainRoute from a process's own memory.
func ExplainHandler(log *kqevent.Log) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, q bunrouter.Request) error {
		w.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(w).Encode(Explain(log, q.Param("id")))
	}
}

func (g *Gate) explain(_ context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	return Explain(g.config.Events, q.Param("id")), nil
}
