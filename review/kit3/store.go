package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// The store takes txnTime for each transaction, and as long for each read.
const (
	txnTime    = 4 * time.Millisecond
	maxEntries = 100
	pageRows   = 500
	pageBytes  = 1 << 20
)

// store is a stand-in of the platform's store, as PROTOCOL.md describes it: linearizable, one counter
// of versions, the transactions of a part one after another, all of its history kept.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[string]row
	history []row
	version uint64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	address string
	server  *http.Server
}

// newStore starts a store on a free port.
func newStore() *store {
	s := &store{began: time.Now().Add(-time.Minute), rows: map[string]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("the store cannot listen: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-parts", s.listParts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	s.address, s.server = l.Addr().String(), &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) nowMS() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) lock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Across   bool  `json:"across"`
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	var parts []string
	for _, x := range slices.Concat(body.Expected, body.Puts, body.Remove) {
		if !slices.Contains(parts, x.Part) {
			parts = append(parts, x.Part)
		}
	}
	if n := len(body.Expected) + len(body.Puts) + len(body.Remove); n > maxEntries || len(parts) > 1 && !body.Across {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, x := range slices.Concat(body.Puts, body.Remove) {
		if x.Table == "op" || x.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	slices.Sort(parts)
	took := txnTime
	if len(parts) > 1 {
		took *= 2
	}
	// In one order for all transactions, so that none waits for another in a circle.
	slices.Sort(parts)
	for _, part := range parts {
		l := s.lock(part)
		l.Lock()
		defer l.Unlock()
	}
	time.Sleep(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []row{}, true
	for _, e := range body.Expected {
		if x, ok := s.rows[e.id()]; ok {
			current = append(current, x)
		}
		holds = holds && s.rows[e.id()].Ver == e.Ver
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "nowMs": s.nowMS()})
		return
	}
	s.apply(body.Puts, body.Remove)
	reply(w, http.StatusOK, map[string]any{"ver": s.version, "nowMs": s.nowMS()})
}

// apply carries out a transaction; mu is held.
func (s *store) apply(puts, removes []row) {
	s.version++
	for _, x := range puts {
		x.Ver, x.Removed = s.version, false
		s.rows[x.id()] = x
		s.history = append(s.history, x)
	}
	for _, x := range removes {
		if _, ok := s.rows[x.id()]; ok {
			delete(s.rows, x.id())
			s.history = append(s.history, row{Table: x.Table, Part: x.Part, Key: x.Key, Ver: s.version, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		unable("%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: b}}, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(txnTime)
	q := r.URL.Query()
	from, to := q.Get("from"), q.Get("to")
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= from && (to == "" || x.Key < to) {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(out) && n < limit && size < pageBytes {
		size += len(out[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"rows": out[:n], "truncated": n < len(out), "ver": s.version, "nowMs": s.nowMS()})
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(txnTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []string{}
	for _, x := range s.rows {
		if x.Table == r.URL.Query().Get("table") && x.Part > r.URL.Query().Get("after") && !slices.Contains(out, x.Part) {
			out = append(out, x.Part)
		}
	}
	slices.Sort(out)
	reply(w, http.StatusOK, map[string]any{"parts": out, "ver": s.version, "nowMs": s.nowMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	time.Sleep(txnTime)
	for {
		s.mu.Lock()
		out, changed, version := []row{}, s.changed, s.version
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				out = append(out, x)
			}
		}
		now := s.nowMS()
		s.mu.Unlock()
		if len(out) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": version, "nowMs": now})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": version, "nowMs": now})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// close ends the addresses of the store.
func (s *store) close() {
	_ = s.server.Close()
}
