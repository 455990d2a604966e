package kqentry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uptrace/bunrouter"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqmember"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqevents"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

const (
	maxConfigBody  = 1 << 20
	headerAuthor   = "Kq-Author"
	defaultAuthor  = "unknown"
	explainTimeout = 2 * time.Second
)

// routes adds the routes of callers and operators.
func (e *Entry) routes(r *bunrouter.Router) {
	for _, m := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions} {
		r.Handle(m, callPrefix+":class/*path", e.serveCall)
	}
	r.POST("/v1/jobs", e.postJob)
	r.GET("/v1/jobs", e.listJobs)
	r.GET("/v1/jobs/:id", e.getJob)
	r.DELETE("/v1/jobs/:id", e.cancelJob)
	o := r.Use(e.requireOperator)
	o.POST("/v1/config", e.postConfig)
	o.GET("/v1/config", e.getConfig)
	o.GET("/v1/config/status", e.configStatus)
	o.GET("/v1/config/:kind/:name", e.getConfigRow)
	o.GET("/v1/config/:kind/:name/history", e.configHistory)
	o.GET("/v1/workers", e.listWorkers)
	o.GET("/v1/endpoints", e.listEndpoints)
	o.GET("/v1/status", e.status)
	o.GET("/v1/explain/:kind/*id", e.explain)
}

// requireOperator is middleware that rejects requests without the operators' token.
func (e *Entry) requireOperator(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, q bunrouter.Request) error {
		if !e.config.OperatorToken.Permits(q.Request) {
			e.config.Events.Emit(e.config.Now(), kqevent.OperatorRefused, kqevent.Process(e.config.ID), "%s %s from %s", q.Method, q.URL.Path, q.RemoteAddr)
			return kqresult.WriteHTTP(w, kqresult.Errorf(kqresult.NotPermitted, "expected the operators' token as Authorization: Bearer TOKEN"))
		}
		return next(w, q)
	}
}

// postConfig serves POST /v1/config. The documents are accepted all together or not at
// all.
func (e *Entry) postConfig(w http.ResponseWriter, q bunrouter.Request) error {
	text, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxConfigBody))
	if err != nil {
		return kqresult.WriteHTTP(w, kqresult.Errorf(kqresult.TooLarge, "the documents are larger than %d bytes", maxConfigBody))
	}
	docs, err := kqconfig.Parse(text)
	if err != nil {
		return kqresult.WriteHTTP(w, toResultError(err))
	}
	dryRun, err := boolQuery(q.Request, "dry_run")
	if err != nil {
		return kqresult.WriteHTTP(w, toResultError(err))
	}
	if cerr := applyIfMatch(q.Request, docs); cerr != nil {
		return kqresult.WriteHTTP(w, cerr)
	}
	author := q.Header.Get(headerAuthor)
	if author == "" {
		author = defaultAuthor
	}
	now := e.config.Now()
	res, err := e.configStore.Apply(q.Context(), now, kqconfig.ApplyRequest{Documents: docs, Author: author, DryRun: dryRun})
	if err != nil {
		return kqresult.WriteHTTP(w, toResultError(err))
	}
	if dryRun {
		for i, c := range res.Changes {
			res.Changes[i].Feasibility = e.feasibility(now, c.After)
		}
	} else {
		e.publishChanges(now, res, author)
	}
	return writeJSON(w, http.StatusOK, res)
}

// applyIfMatch sets the expected version of a single document from the If-Match header.
func applyIfMatch(q *http.Request, docs []kqconfig.ValidDocument) *kqresult.Error {
	text := q.Header.Get("If-Match")
	if text == "" {
		return nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil || len(docs) != 1 {
		return kqresult.Errorf(kqresult.BadRequest, "If-Match: %q is not a version number, or the request has more than one document", text)
	}
	docs[0].Document.IfVersion = &v
	return nil
}

func boolQuery(q *http.Request, name string) (bool, error) {
	text := q.URL.Query().Get(name)
	if text == "" {
		return false, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, kqresult.Errorf(kqresult.BadRequest, "%s: %q is neither true nor false", name, text)
	}
	return v, nil
}

// publishChanges emits an event for each accepted change and applies the new
// configuration in this entry at once.
func (e *Entry) publishChanges(now time.Time, res kqconfig.ApplyResult, author string) {
	for _, c := range res.Changes {
		if c.Unchanged {
			continue
		}
		n, s := kqevent.ClassAccepted, kqevent.Class(c.Key)
		if c.After.Quota != nil {
			n = kqevent.QuotaAccepted
		} else {
			s = kqevent.Class(c.After.Class.Name)
		}
		e.config.Events.Emit(now, n, s, "%s version %d, sequence %d, by %s", c.Key, c.After.Version, c.After.Sequence, author)
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_ = e.configStore.Refresh(ctx, e.config.Now, e.configHolder)
}

// getConfig serves GET /v1/config: the configuration in force in this entry.
func (e *Entry) getConfig(w http.ResponseWriter, _ bunrouter.Request) error {
	return writeJSON(w, http.StatusOK, e.configHolder.All())
}

func (e *Entry) getConfigRow(w http.ResponseWriter, q bunrouter.Request) error {
	a, err := e.configStore.Get(q.Context(), q.Param("kind")+"/"+q.Param("name"))
	if err != nil {
		return kqresult.WriteHTTP(w, toResultError(err))
	}
	return writeJSON(w, http.StatusOK, a)
}

func (e *Entry) configHistory(w http.ResponseWriter, q bunrouter.Request) error {
	all, err := e.configStore.History(q.Context(), q.Param("kind")+"/"+q.Param("name"))
	if err != nil {
		return kqresult.WriteHTTP(w, toResultError(err))
	}
	return writeJSON(w, http.StatusOK, all)
}

// ConfigStatus describes how far the configuration has spread among the live processes.
type ConfigStatus struct {
	// LowestSequence is the lowest sequence in force in a live process.
	LowestSequence uint64 `json:"lowest_sequence"`
	// HighestSequence is the highest sequence in force in a live process.
	HighestSequence uint64 `json:"highest_sequence"`
	// SlowestProcess is the ID of a live process with the lowest sequence.
	SlowestProcess string `json:"slowest_process"`
	// Processes is the number of live processes.
	Processes int `json:"processes"`
	// MaxPropagationSeconds is the longest time that a sequence took to be in force in
	// every live process, in seconds.
	MaxPropagationSeconds float64 `json:"in_force_max_seconds"`
	// Latest lists the propagation times of the latest sequences.
	Latest []kqmember.Propagation `json:"latest"`
}

func (e *Entry) configStatus(w http.ResponseWriter, _ bunrouter.Request) error {
	return writeJSON(w, http.StatusOK, e.ConfigStatus(e.config.Now()))
}

// ConfigStatus returns how far the configuration has spread among the live processes.
func (e *Entry) ConfigStatus(now time.Time) ConfigStatus {
	var s ConfigStatus
	for _, p := range e.roster.Live(now) {
		if s.Processes == 0 || p.ConfigSequence < s.LowestSequence {
			s.LowestSequence, s.SlowestProcess = p.ConfigSequence, p.ID
		}
		s.HighestSequence = max(s.HighestSequence, p.ConfigSequence)
		s.Processes++
	}
	s.Latest, s.MaxPropagationSeconds = e.roster.Propagations()
	return s
}

func (e *Entry) listWorkers(w http.ResponseWriter, _ bunrouter.Request) error {
	out := []kqmember.Process{}
	for _, p := range e.roster.Live(e.config.Now()) {
		if !p.IsEntry {
			out = append(out, p)
		}
	}
	return writeJSON(w, http.StatusOK, out)
}

func (e *Entry) listEndpoints(w http.ResponseWriter, _ bunrouter.Request) error {
	return writeJSON(w, http.StatusOK, e.router.Views())
}

// ExplainEvent is one event of an explanation.
type ExplainEvent struct {
	// At is the time of the event.
	At time.Time `json:"at"`
	// Number identifies the kind of event.
	Number uint32 `json:"event"`
	// Name is the name of the kind of event.
	Name string `json:"name"`
	// Process is the process that recorded the event.
	Process string `json:"process"`
	// Text describes the event and its reason.
	Text string `json:"text"`
}

// explainKinds lists the kinds of subjects that events are recorded about.
var explainKinds = []string{"call", "task", "worker", "class", "process"}

// explain serves GET /v1/explain/:kind/*id: the events of all live processes about a
// subject, in order of time.
func (e *Entry) explain(w http.ResponseWriter, q bunrouter.Request) error {
	kind, id := q.Param("kind"), q.Param("id")
	if !slices.Contains(explainKinds, kind) {
		return kqresult.WriteHTTP(w, kqresult.Errorf(kqresult.BadRequest, "kind: %q is not one of call, task, worker, class, process", kind))
	}
	x := &explanation{entry: e, subject: kqevent.Subject{Kind: kind, ID: id}}
	events := x.gather(q.Context())
	if len(events) == 0 {
		return kqresult.WriteHTTP(w, kqresult.Errorf(kqresult.NotFound, "no process has recorded an event about %s %q", kind, id))
	}
	return writeJSON(w, http.StatusOK, events)
}

// explanation collects the events of all live processes about a subject.
type explanation struct {
	entry   *Entry
	subject kqevent.Subject

	mu     sync.Mutex
	events []kqevent.Event
}

func (x *explanation) add(es []kqevent.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.events = append(x.events, es...)
}

// explainQuery requests the events from one process.
type explainQuery struct {
	explanation *explanation
	process     kqmember.Process
}

func (x *explanation) gather(ctx context.Context) []ExplainEvent {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	x.add(x.entry.config.Events.BySubject(x.subject))
	var g sync.WaitGroup
	for _, p := range x.entry.roster.Live(x.entry.config.Now()) {
		if p.ID == x.entry.config.ID {
			continue
		}
		query := &explainQuery{explanation: x, process: p}
		g.Go(func() { query.run(ctx) })
	}
	g.Wait()
	slices.SortStableFunc(x.events, func(a, b kqevent.Event) int { return a.At.Compare(b.At) })
	var out []ExplainEvent
	for i, v := range x.events {
		if i > 0 && v == x.events[i-1] {
			continue
		}
		out = append(out, ExplainEvent{v.At.UTC(), uint32(v.Number), v.Number.String(), v.Process, v.Text})
	}
	return out
}

func (x *explainQuery) run(ctx context.Context) {
	q := connect.NewRequest(&kqwire.ExplainRequest{Kind: x.explanation.subject.Kind, Id: x.explanation.subject.ID})
	e := x.explanation.entry
	if x.process.IsEntry {
		client := kqwire.NewEntryServiceClient(x.explanation.entry.peerClient, x.explanation.entry.dialer.URL(x.process.Address), kqlink.ClientOptions()...)
		if r, err := client.ExplainLocal(ctx, q); err == nil {
			x.explanation.add(kqevents.FromWire(r.Msg.Events))
		}
		return
	}
	if r, err := e.pool.AgentClient(e.config.Now(), x.process.Address).Explain(ctx, q); err == nil {
		x.explanation.add(kqevents.FromWire(r.Msg.Events))
	}
}

// Endpoints returns the endpoints that are known to this entry.
func (e *Entry) Endpoints() []kqroute.View { return e.router.Views() }

// notFound answers requests for unknown routes.
func notFound(w http.ResponseWriter, q bunrouter.Request) error {
	return kqresult.WriteHTTP(w, kqresult.Errorf(kqresult.NotFound, "no route for %s %s; a call needs the path %sCLASS/PATH", q.Method, q.URL.Path, callPrefix))
}

// ReadyEndpoints returns the number of endpoints that accept calls.
func (e *Entry) ReadyEndpoints() int {
	n := 0
	for _, v := range e.router.Views() {
		if v.State == "ready" {
			n++
		}
	}
	return n
}
