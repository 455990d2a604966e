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

// ExplainRoute is the path at which a process serves the events that it remembers of a flow.
const ExplainRoute = "/v1/explain/flow/:id"

// ExplainEvent is an event in the form shown to operators.
type ExplainEvent struct {
	// At is the time of the event, in UTC.
	At time.Time `json:"at"`
	// Number and Name identify the kind of event.
	Number uint32 `json:"number"`
	Name   string `json:"name"`
	// Process names the process that recorded the event.
	Process string `json:"process"`
	// ID is the id of the flow or of one of its tasks.
	ID string `json:"id"`
	// Text describes the event and its reasons.
	Text string `json:"text"`
}

// Explain returns the events of a flow and its tasks in log, oldest first.
func Explain(log *kqevent.Log, id string) []ExplainEvent {
	out := []ExplainEvent{}
	for _, e := range log.ByJob(id) {
		out = append(out, ExplainEvent{At: e.At.UTC(), Number: uint32(e.Number), Name: e.Number.String(), Process: e.Process, ID: e.Subject.ID, Text: e.Text})
	}
	return out
}

// ExplainHandler returns a handler of ExplainRoute that serves the events in log.
func ExplainHandler(log *kqevent.Log) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, q bunrouter.Request) error {
		w.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(w).Encode(Explain(log, q.Param("id")))
	}
}

func (g *Gate) explain(_ context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	return Explain(g.config.Events, q.Param("id")), nil
}
