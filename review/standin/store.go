package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as the pages give them for a small installation.
const (
	txTime          = 4 * time.Millisecond
	rowBytes        = 65536
	maxTxBytes      = 1 << 20
	maxTxEntries    = 100
	writesPerSecond = 800
	readsPerSecond  = 2000
	historyTime     = 20 * time.Second
	pageRows        = 500
	pageBytes       = 1 << 20
)

// row is a row of the store, as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// transaction is the body of a write.
type transaction struct {
	Expected []row `json:"expected"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
	Across   bool  `json:"across"`
}

// change is a changed row in the history.
type change struct {
	at  time.Time
	row row
}

// rate counts the calls of the present second.
type rate struct {
	second int64
	count  int
}

func (r *rate) allows(limit int) bool {
	if s := time.Now().Unix(); s != r.second {
		r.second, r.count = s, 0
	}
	r.count++
	return r.count <= limit
}

// store is a stand-in for the platform's metadata store. It follows the pages: atomic conditional
// transactions, one after another in each part, and a feed for each table.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	ver     uint64
	history []change
	// oldest is the version up to which the history is gone.
	oldest  uint64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	started time.Time
	writes  rate
	reads   rate
	// refusals counts the writes that were refused because a row was too large.
	refusals int

	// onRead is called after each answered read of rows.
	onRead func(table, part string)
	// loses decides whether the answer of a transaction is lost, and after which time it is applied.
	loses func(t transaction) (late time.Duration, lost bool)
	// onCommit is called with each applied transaction.
	onCommit func(t transaction)
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, started: time.Now()}
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /rows-tx", s.serveTransaction)
	m.HandleFunc("GET /rows-get", s.serveRead)
	m.HandleFunc("GET /rows-feed", s.serveFeed)
	m.HandleFunc("GET /rows-parts", s.serveParts)
	return m
}

func reply(w http.ResponseWriter, status int, body any) {
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) nowMS() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *store) allowed(r *rate, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.allows(limit)
}

func (s *store) serveTransaction(w http.ResponseWriter, q *http.Request) {
	var t transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, 2*maxTxBytes)).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if reason := t.invalid(); reason != "" {
		s.mu.Lock()
		s.refusals++
		s.mu.Unlock()
		reply(w, http.StatusBadRequest, map[string]string{"error": reason})
		return
	}
	if !s.allowed(&s.writes, writesPerSecond) {
		reply(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	if s.loses != nil {
		if late, lost := s.loses(t); lost {
			time.AfterFunc(late, func() { s.apply(t) })
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	names := t.partNames()
	for _, n := range names {
		p := s.part(n)
		p.Lock()
		defer p.Unlock()
	}
	time.Sleep(txTime * time.Duration(min(2, len(names))))
	ver, current, ok := s.apply(t)
	if !ok {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": ver, "nowMs": s.nowMS()})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ver": ver, "nowMs": s.nowMS()})
}

// invalid returns why the store refuses a transaction, or an empty text.
func (t transaction) invalid() string {
	size := 0
	for _, p := range t.Puts {
		if len(p.Value) > rowBytes {
			return "a row of " + strconv.Itoa(len(p.Value)) + " bytes"
		}
		size += len(p.Value) * 4 / 3
	}
	switch {
	case len(t.Expected)+len(t.Puts)+len(t.Remove) > maxTxEntries:
		return "too many entries"
	case size > maxTxBytes:
		return "too large"
	case len(t.partNames()) > 1 && !t.Across:
		return "several parts"
	}
	return ""
}

func (t transaction) partNames() []string {
	var out []string
	for _, list := range [][]row{t.Expected, t.Puts, t.Remove} {
		for _, r := range list {
			if !slices.Contains(out, r.Part) {
				out = append(out, r.Part)
			}
		}
	}
	sort.Strings(out)
	return out
}

// apply applies a transaction if its conditions hold.
func (s *store) apply(t transaction) (ver uint64, current []row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range t.Expected {
		r, exists := s.rows[e.id()]
		if exists {
			current = append(current, r)
		}
		if r.Ver != e.Ver {
			ok = false
		}
	}
	if !ok {
		return s.ver, current, false
	}
	s.ver++
	now := time.Now()
	for _, p := range t.Puts {
		r := row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Ver: s.ver}
		s.rows[p.id()] = r
		s.history = append(s.history, change{now, r})
	}
	for _, p := range t.Remove {
		if _, exists := s.rows[p.id()]; exists {
			delete(s.rows, p.id())
			s.history = append(s.history, change{now, row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Removed: true}})
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.oldest = s.history[0].row.Ver
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.onCommit != nil {
		s.onCommit(t)
	}
	return s.ver, nil, true
}

// put writes one row as the operator does.
func (s *store) put(table, key string, value any) uint64 {
	b, _ := json.Marshal(value)
	ver, _, _ := s.apply(transaction{Puts: []row{{Table: table, Key: key, Value: b}}})
	return ver
}

// get returns the value of a row.
func (s *store) get(table, part, key string) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, part, key}]
	return r, ok
}

func (s *store) serveRead(w http.ResponseWriter, q *http.Request) {
	if !s.allowed(&s.reads, readsPerSecond) {
		reply(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	time.Sleep(txTime)
	v := q.URL.Query()
	table, part, from, to := v.Get("table"), v.Get("part"), v.Get("from"), v.Get("to")
	limit, err := strconv.Atoi(v.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	out := []row{}
	for k, r := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			out = append(out, r)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	truncated, size := false, 0
	for i, r := range out {
		size += len(r.Value) * 4 / 3
		if i >= limit || i > 0 && size > pageBytes {
			out, truncated = out[:i], true
			break
		}
	}
	reply(w, http.StatusOK, map[string]any{"rows": out, "truncated": truncated, "ver": ver, "nowMs": s.nowMS()})
	if s.onRead != nil {
		s.onRead(table, part)
	}
}

func (s *store) serveParts(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	s.mu.Lock()
	var parts []string
	for k := range s.rows {
		if k.table == v.Get("table") && k.part > v.Get("after") && !slices.Contains(parts, k.part) {
			parts = append(parts, k.part)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Strings(parts)
	reply(w, http.StatusOK, map[string]any{"parts": parts, "truncated": false, "ver": ver, "nowMs": s.nowMS()})
}

func (s *store) serveFeed(w http.ResponseWriter, q *http.Request) {
	if !s.allowed(&s.reads, readsPerSecond) {
		reply(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	time.Sleep(txTime)
	v := q.URL.Query()
	after, _ := strconv.ParseUint(v.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(v.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.oldest {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		latest := map[rowKey]row{}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].row.Ver > after })
		for _, c := range s.history[i:] {
			if c.row.Table == v.Get("table") {
				latest[c.row.id()] = c.row
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		out := []row{}
		for _, r := range latest {
			out = append(out, r)
		}
		if len(out) > 0 {
			slices.SortFunc(out, func(a, b row) int { return int(int64(a.Ver) - int64(b.Ver)) })
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver, "nowMs": s.nowMS()})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver, "nowMs": s.nowMS()})
			return
		case <-q.Context().Done():
			return
		}
	}
}
