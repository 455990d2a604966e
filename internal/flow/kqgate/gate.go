// Package kqgate is the HTTP API of jobs of steps, which callers know as flows, and
// of their queues and the evacuation of zones, which operators set.
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

// Config sets up a Gate.
type Config struct {
	// Front stores flows and shows their state.
	Front *kqfront.Frontend
	// Book knows the queues in force.
	Policies *PolicyWatcher
	// Store keeps the queues and the requests to evacuate zones.
	Store kqrows.Store
	// Now is the time of day; nil means that of this machine.
	Now func() time.Time
	// Events is what the process remembers; may be nil.
	Events *kqevent.Log
}

const (
	maxBody     = 256 << 10
	callTimeout = 5 * time.Second
)

// Gate answers callers and operators.
type Gate struct {
	config Config
}

// New returns a Gate.
func New(c Config) *Gate {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Gate{config: c}
}

// Handler serves the API.
func (g *Gate) Handler() http.Handler {
	r := bunrouter.New()
	r.GET("/v1/queues", answered(g.listQueues))
	r.GET("/v1/queues/:name", answered(g.getQueue))
	r.PUT("/v1/queues/:name", answered(g.putQueue))
	r.POST("/v1/flows", answered(g.postFlow))
	r.GET("/v1/flows/:id", answered(g.getFlow))
	r.DELETE("/v1/flows/:id", answered(g.deleteFlow))
	r.GET(ZonesRoute, answered(g.listZones))
	r.PUT(EvacuationRoute, answered(g.evacuateZone))
	r.DELETE(EvacuationRoute, answered(g.returnZone))
	r.GET(ExplainRoute, answered(g.explain))
	return r
}

// answered writes what a handler returns, within callTimeout.
func answered(h func(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error)) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, q bunrouter.Request) error {
		ctx, cancel := context.WithTimeout(q.Context(), callTimeout)
		defer cancel()
		q.Body = http.MaxBytesReader(w, q.Body, maxBody)
		v, err := h(ctx, q)
		if err != nil {
			return kqresult.WriteHTTP(w, err)
		}
		w.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(w).Encode(v)
	}
}

// decode reads a body; an unknown field is an error.
func decode(q bunrouter.Request, what string, v any) *kqresult.Error {
	d := json.NewDecoder(q.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large):
		return kqresult.Errorf(kqresult.TooLarge, "the body is over %d bytes", maxBody)
	}
	return kqresult.Errorf(kqresult.BadRequest, "the body is no %s: %v", what, err)
}

func (g *Gate) unavailable() *kqresult.Error {
	return kqresult.Errorf(kqresult.StoreUnavailable, "the store does not answer; nothing changed").After(g.config.Front.RetryAfter())
}

func (g *Gate) unresolved(what string) *kqresult.Error {
	return kqresult.Errorf(kqresult.StoreOutcomeUnknown, "the store's answer is lost; %s may have been taken", what).After(g.config.Front.RetryAfter())
}

// outcome translates what became of a write.
func (g *Gate) outcome(o kqcontrol.Outcome, what string) *kqresult.Error {
	switch o {
	case kqcontrol.OutcomeStored:
		return nil
	case kqcontrol.OutcomeAbsent:
		return kqresult.Errorf(kqresult.NotFound, "there is no %s", what)
	case kqcontrol.OutcomeRefused:
		return g.unavailable()
	}
	return g.unresolved(what)
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
		return nil, g.unavailable()
	}
	if _, ok := p.Queues[f.Queue]; !ok {
		return nil, kqresult.Errorf(kqresult.BadRequest, "queue: no queue %q is in force", f.Queue)
	}
	if d := g.config.Front.Admit(ctx, j); d.Verdict == kqadmission.Reject {
		return nil, kqresult.Errorf(kqresult.NotRunRejected, "flow %s: %s", f.ID, d).After(d.RetryAfter)
	}
	if err := g.outcome(g.config.Front.Submit(ctx, j), "flow "+f.ID); err != nil {
		return nil, err
	}
	return FlowView{ID: f.ID, State: kqflow.StateQueued}, nil
}

func (g *Gate) getFlow(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	id := q.Param("id")
	s, found, err := g.config.Front.State(ctx, id)
	switch {
	case err != nil:
		return nil, g.unavailable()
	case !found:
		return nil, g.outcome(kqcontrol.OutcomeAbsent, "flow "+id)
	}
	return FlowView{ID: id, State: s}, nil
}

func (g *Gate) deleteFlow(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	id := q.Param("id")
	if err := g.outcome(g.config.Front.Cancel(ctx, id), "flow "+id); err != nil {
		return nil, err
	}
	return FlowView{ID: id, State: kqflow.StateCancelled}, nil
}

// QueueView is a queue as operators are shown it.
type QueueView struct {
	QueueSpec
	// Version rises with each change.
	Version uint64 `json:"version"`
	// Pending is how many flows have not begun; it may be two seconds old.
	Pending int `json:"pending"`
	// RoomIn is when room is expected for a new flow of usual size, by the owner's latest word; left out if there is room or
	// nothing is known.
	ExpectedWait kqmodel.Duration `json:"room_in,omitempty"`
}

func (g *Gate) view(q kqflow.Queue) QueueView {
	return QueueView{QueueSpec: spec(q), Version: g.config.Policies.Version(q.Name), Pending: g.config.Front.Pending(q.Name),
		ExpectedWait: kqmodel.Duration(g.config.Front.ExpectedWait(q.Name))}
}

func (g *Gate) listQueues(context.Context, bunrouter.Request) (any, *kqresult.Error) {
	p := g.config.Policies.Policy()
	if p == nil {
		return nil, g.unavailable()
	}
	out := []QueueView{}
	for _, q := range p.Queues {
		out = append(out, g.view(q))
	}
	slices.SortFunc(out, func(a, b QueueView) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

func (g *Gate) getQueue(_ context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	p := g.config.Policies.Policy()
	if p == nil {
		return nil, g.unavailable()
	}
	x, ok := p.Queues[q.Param("name")]
	if !ok {
		return nil, kqresult.Errorf(kqresult.NotFound, "there is no queue %q", q.Param("name"))
	}
	return g.view(x), nil
}

// QueueChange is a queue with the version that it replaces.
type QueueChange struct {
	QueueSpec
	// IfVersion is the version that must be in force; 0 means that there is no
	// such queue yet.
	IfVersion uint64 `json:"if_version,omitempty"`
}

func (g *Gate) putQueue(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	var c QueueChange
	if err := decode(q, "queue", &c); err != nil {
		return nil, err
	}
	if c.Name != q.Param("name") {
		return nil, kqresult.Errorf(kqresult.BadRequest, "name: %q is not the %q of the path", c.Name, q.Param("name"))
	}
	x, bad := c.queue()
	if bad != nil {
		return nil, bad
	}
	value, err := json.Marshal(x)
	if err != nil {
		return nil, kqresult.Errorf(kqresult.Internal, "queue: %v", err)
	}
	key := kqrows.Key{Table: QueueTable, Name: c.Name}
	o, err := kqrows.Commit(ctx, g.config.Store, kqrows.Tx{Expected: []kqrows.Expect{{Key: key, Version: c.IfVersion}}, Puts: []kqrows.Put{{Key: key, Value: value}}})
	switch {
	case errors.Is(err, kqrows.ErrRefused):
		return nil, g.unavailable()
	case err != nil:
		return nil, g.unresolved("queue " + c.Name)
	case !o.Committed:
		r, _ := o.Find(key)
		return nil, kqresult.Errorf(kqresult.VersionConflict, "queue %s: version %d is in force, not %d", c.Name, r.Version, c.IfVersion)
	}
	return QueueView{QueueSpec: c.QueueSpec, Version: o.Version, Pending: g.config.Front.Pending(c.Name)}, nil
}
