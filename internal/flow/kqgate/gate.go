// Package kqgate implements the HTTP API: callers submit, query and cancel flows, which are jobs of
// steps, and operators manage queues and the evacuation of availability zones.
package kqgate

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqfront"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// Config is the configuration of a Gate.
type Config struct {
	// Front stores flows and returns their state.
	Front *kqfront.Frontend
	// Policies provides the queues that are in force.
	Policies *PolicyWatcher
	// Store holds the queues and the evacuation requests.
	Store kqrows.Store
	// Now returns the time of day; nil means time.Now.
	Now func() time.Time
	// Events holds the events that explain serves; may be nil.
	Events *kqevent.Log
}

const (
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes   = 256 << 10
	requestTimeout = 5 * time.Second
)

// Gate serves the HTTP API of one process.
type Gate struct {
	config Config
}

// New returns a Gate with the given configuration.
func New(c Config) *Gate {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Gate{config: c}
}

// Handler returns the handler of all routes.
func (g *Gate) Handler() http.Handler {
	r := bunrouter.New()
	r.GET("/v1/queues", jsonHandler(g.listQueues))
	r.GET("/v1/queues/:name", jsonHandler(g.getQueue))
	r.PUT("/v1/queues/:name", jsonHandler(g.putQueue))
	r.POST("/v1/flows", jsonHandler(g.postFlow))
	r.GET("/v1/flows/:id", jsonHandler(g.getFlow))
	r.DELETE("/v1/flows/:id", jsonHandler(g.deleteFlow))
	r.GET(ZonesRoute, jsonHandler(g.listZones))
	r.PUT(EvacuationRoute, jsonHandler(g.evacuateZone))
	r.DELETE(EvacuationRoute, jsonHandler(g.restoreZone))
	r.GET(ExplainRoute, jsonHandler(g.explain))
	return r
}

// jsonHandler returns a handler that writes the result of h as JSON. It limits the request body to
// MaxBodyBytes and the time to requestTimeout.
func jsonHandler(h func(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error)) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, q bunrouter.Request) error {
		ctx, cancel := context.WithTimeout(q.Context(), requestTimeout)
		defer cancel()
		q.Body = http.MaxBytesReader(w, q.Body, MaxBodyBytes)
		v, err := h(ctx, q)
		if err != nil {
			return kqresult.WriteHTTP(w, err)
		}
		w.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(w).Encode(v)
	}
}

// decode parses the request body into v; kind names the expected document in errors. An unknown
// field is an error.
func decode(q bunrouter.Request, kind string, v any) *kqresult.Error {
	d := json.NewDecoder(q.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return kqresult.Errorf(kqresult.TooLarge, "the body is larger than %d bytes", MaxBodyBytes)
	}
	return kqresult.Errorf(kqresult.BadRequest, "the body is not a valid %s: %v", kind, err)
}

func (g *Gate) storeUnavailable() *kqresult.Error {
	return kqresult.Errorf(kqresult.StoreUnavailable, "the store is unavailable; nothing was changed").WithRetryAfter(g.config.Front.RetryAfter())
}

func (g *Gate) outcomeUnknown(subject string) *kqresult.Error {
	return kqresult.Errorf(kqresult.StoreOutcomeUnknown, "the store's answer was lost; the write of %s may have taken effect", subject).WithRetryAfter(g.config.Front.RetryAfter())
}

// outcomeError returns the error that reports the outcome of a write, or nil if it was stored.
func (g *Gate) outcomeError(o kqcontrol.Outcome, subject string) *kqresult.Error {
	switch o {
	case kqcontrol.OutcomeStored:
		return nil
	case kqcontrol.OutcomeAbsent:
		return kqresult.Errorf(kqresult.NotFound, "there is no %s", subject)
	case kqcontrol.OutcomeRefused:
		return g.storeUnavailable()
	}
	return g.outcomeUnknown(subject)
}

func (g *Gate) postFlow(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	var f FlowSpec
	if err := decode(q, "flow", &f); err != nil {
		return nil, err
	}
	j, err := f.Job()
	if err != nil {
		return nil, err
	}
	p := g.config.Policies.Policy()
	if p == nil {
		return nil, g.storeUnavailable()
	}
	if _, ok := p.Queues[f.Queue]; !ok {
		return nil, kqresult.Errorf(kqresult.BadRequest, "queue: no queue %q is in force", f.Queue)
	}
	if d := g.config.Front.Admit(ctx, j); d.Verdict == kqadmission.Reject {
		return nil, kqresult.Errorf(kqresult.NotRunRejected, "flow %s: %s", f.ID, d).WithRetryAfter(d.RetryAfter)
	}
	if err := g.outcomeError(g.config.Front.Submit(ctx, j), "flow "+f.ID); err != nil {
		return nil, err
	}
	return FlowView{ID: f.ID, State: kqflow.StateQueued}, nil
}

func (g *Gate) getFlow(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	id := q.Param("id")
	s, found, err := g.config.Front.State(ctx, id)
	switch {
	case err != nil:
		return nil, g.storeUnavailable()
	case !found:
		return nil, g.outcomeError(kqcontrol.OutcomeAbsent, "flow "+id)
	}
	return FlowView{ID: id, State: s}, nil
}

func (g *Gate) deleteFlow(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	id := q.Param("id")
	if err := g.outcomeError(g.config.Front.Cancel(ctx, id), "flow "+id); err != nil {
		return nil, err
	}
	return FlowView{ID: id, State: kqflow.StateCancelled}, nil
}

// QueueView is the response that shows a queue to operators.
type QueueView struct {
	QueueSpec
	// Version increases with each change.
	Version uint64 `json:"version"`
	// Pending is the number of flows that have not started; it may be two seconds old.
	Pending int `json:"pending"`
	// ExpectedWait is the expected wait of a new flow of usual size, from the owner's latest
	// digest. It is omitted if there is free capacity or nothing is known.
	ExpectedWait kqmodel.Duration `json:"room_in,omitempty"`
}

func (g *Gate) queueView(q kqflow.Queue) QueueView {
	return QueueView{QueueSpec: newQueueSpec(q), Version: g.config.Policies.Version(q.Name), Pending: g.config.Front.Pending(q.Name),
		ExpectedWait: kqmodel.Duration(g.config.Front.ExpectedWait(q.Name))}
}

func (g *Gate) listQueues(context.Context, bunrouter.Request) (any, *kqresult.Error) {
	p := g.config.Policies.Policy()
	if p == nil {
		return nil, g.storeUnavailable()
	}
	out := []QueueView{}
	for _, q := range p.Queues {
		out = append(out, g.queueView(q))
	}
	slices.SortFunc(out, func(a, b QueueView) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

func (g *Gate) getQueue(_ context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	p := g.config.Policies.Policy()
	if p == nil {
		return nil, g.storeUnavailable()
	}
	x, ok := p.Queues[q.Param("name")]
	if !ok {
		return nil, kqresult.Errorf(kqresult.NotFound, "there is no queue %q", q.Param("name"))
	}
	return g.queueView(x), nil
}

// QueueChange is a request to store a queue.
type QueueChange struct {
	QueueSpec
	// IfVersion is the version that must be in force; 0 means that the queue must not exist.
	IfVersion uint64 `json:"if_version,omitempty"`
}

func (g *Gate) putQueue(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	var c QueueChange
	if err := decode(q, "queue", &c); err != nil {
		return nil, err
	}
	if c.Name != q.Param("name") {
		return nil, kqresult.Errorf(kqresult.BadRequest, "name: %q does not match %q in the path", c.Name, q.Param("name"))
	}
	x, invalid := c.storedQueue()
	if invalid != nil {
		return nil, invalid
	}
	value, err := json.Marshal(x)
	if err != nil {
		return nil, kqresult.Errorf(kqresult.Internal, "queue: %v", err)
	}
	key := kqrows.Key{Table: QueueTable, Name: c.Name}
	o, err := kqrows.Commit(ctx, g.config.Store, kqrows.Tx{Conditions: []kqrows.Condition{{Key: key, Version: c.IfVersion}}, Puts: []kqrows.Put{{Key: key, Value: value}}})
	switch {
	case errors.Is(err, kqrows.ErrRefused):
		return nil, g.storeUnavailable()
	case err != nil:
		return nil, g.outcomeUnknown("queue " + c.Name)
	case !o.Committed:
		r, _ := o.Find(key)
		return nil, kqresult.Errorf(kqresult.VersionConflict, "queue %s: version %d is in force, not %d", c.Name, r.Version, c.IfVersion)
	}
	return QueueView{QueueSpec: c.QueueSpec, Version: o.Version, Pending: g.config.Front.Pending(c.Name)}, nil
}
