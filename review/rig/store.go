package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The limits and times of the platform's store, as in the settings of the processes.
const (
	storeResponseTime = 4 * time.Millisecond
	storeRowBytes     = 65536
	storeTxEntries    = 100
	storePageRows     = 500
	operatorTable     = "op"
	serversTable      = "servers"
)

// rowKey identifies a row of the store.
type rowKey struct{ table, part, key string }

// row is a row on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// transaction is the body of POST /rows-tx.
type transaction struct {
	Expected []row `json:"expected"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
	Across   bool  `json:"across"`
}

// store is a stand-in of the platform's store: linearizable, in memory, with one address for each client.
type store struct {
	record *record
	begin  time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{}
	// parts holds a lock for each part, which carries out its transactions one after another.
	parts map[string]*sync.Mutex
	// refusals counts the transactions that were refused because a row was too large, by the key of the row.
	refusals map[string]int
}

func newStore(r *record) *store {
	return &store{record: r, begin: time.Now().Add(-time.Minute), rows: map[rowKey]row{}, changed: make(chan struct{}),
		parts: map[string]*sync.Mutex{}, refusals: map[string]int{}}
}

// serve opens an address for a client and returns it.
func (s *store) serve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /rows-tx", s.serveTransact)
	m.HandleFunc("GET /rows-get", s.serveRead)
	m.HandleFunc("GET /rows-feed", s.serveFeed)
	go func() { _ = http.Serve(l, m) }()
	return l.Addr().String(), nil
}

func (s *store) clockMS() int64 { return time.Since(s.begin).Milliseconds() }

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// lockParts locks the parts of a transaction in order and returns a function that unlocks them.
func (s *store) lockParts(t transaction) (unlock func(), count int) {
	names := map[string]bool{}
	for _, list := range [][]row{t.Expected, t.Puts, t.Remove} {
		for _, r := range list {
			names[r.Part] = true
		}
	}
	var sorted []string
	for n := range names {
		sorted = append(sorted, n)
	}
	sort.Strings(sorted)
	var locks []*sync.Mutex
	s.mu.Lock()
	for _, n := range sorted {
		if s.parts[n] == nil {
			s.parts[n] = &sync.Mutex{}
		}
		locks = append(locks, s.parts[n])
	}
	s.mu.Unlock()
	for _, l := range locks {
		l.Lock()
	}
	return func() {
		for _, l := range locks {
			l.Unlock()
		}
	}, len(locks)
}

// check returns the status with which a transaction of the system is refused, 0 if it is valid.
func (s *store) check(t transaction, parts int) int {
	if len(t.Expected)+len(t.Puts)+len(t.Remove) > storeTxEntries || parts > 1 && !t.Across {
		return http.StatusBadRequest
	}
	for _, list := range [][]row{t.Puts, t.Remove} {
		for _, r := range list {
			if r.Table == operatorTable || r.Table == serversTable {
				return http.StatusForbidden
			}
			if len(r.Value) > storeRowBytes {
				s.mu.Lock()
				s.refusals[r.Key]++
				n := s.refusals[r.Key]
				s.mu.Unlock()
				if n == 1 {
					s.record.logf("store: refused %s/%s: %d bytes, the limit is %d", r.Table, r.Key, len(r.Value), storeRowBytes)
				}
				return http.StatusBadRequest
			}
		}
	}
	return 0
}

func (s *store) serveTransact(w http.ResponseWriter, q *http.Request) {
	var t transaction
	if err := json.NewDecoder(q.Body).Decode(&t); err != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	unlock, parts := s.lockParts(t)
	defer unlock()
	time.Sleep(storeResponseTime * time.Duration(max(1, min(2, parts))))
	if status := s.check(t, parts); status != 0 {
		respond(w, status, struct{}{})
		return
	}
	current, version, committed := s.apply(t)
	if !committed {
		respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": version, "nowMs": s.clockMS()})
		return
	}
	respond(w, http.StatusOK, map[string]any{"ver": version, "nowMs": s.clockMS()})
}

// apply carries a transaction out if its condition holds; otherwise it returns the rows of the condition.
func (s *store) apply(t transaction) (current []row, version uint64, committed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	committed = true
	current = []row{}
	for _, e := range t.Expected {
		r, ok := s.rows[e.id()]
		if ok {
			current = append(current, r)
		}
		committed = committed && r.Ver == e.Ver
	}
	if !committed {
		return current, s.version, false
	}
	s.version++
	for _, r := range t.Puts {
		r.Ver = s.version
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range t.Remove {
		delete(s.rows, r.id())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.version, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, s.version, true
}

// find returns the first row of a table with a key, in whichever part.
func (s *store) find(table, key string) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range s.rows {
		if k.table == table && k.key == key {
			return r, true
		}
	}
	return row{}, false
}

func (s *store) serveRead(w http.ResponseWriter, q *http.Request) {
	time.Sleep(storeResponseTime)
	v := q.URL.Query()
	limit, _ := strconv.Atoi(v.Get("limit"))
	if limit <= 0 || limit > storePageRows {
		limit = storePageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for k, r := range s.rows {
		if k.table == v.Get("table") && k.part == v.Get("part") && k.key >= v.Get("from") && (v.Get("to") == "" || k.key < v.Get("to")) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	truncated := len(out) > limit
	if truncated {
		out = out[:limit]
	}
	respond(w, http.StatusOK, map[string]any{"rows": out, "truncated": truncated, "ver": s.version, "nowMs": s.clockMS()})
}

func (s *store) serveFeed(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	after, _ := strconv.ParseUint(v.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(v.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		rows, version, changed := s.changesAfter(v.Get("table"), after)
		if len(rows) > 0 {
			respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "nowMs": s.clockMS()})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "nowMs": s.clockMS()})
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (s *store) changesAfter(table string, after uint64) (rows []row, version uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = []row{}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
	for _, r := range s.history[first:] {
		if r.Table == table {
			rows = append(rows, r)
		}
	}
	return rows, s.version, s.changed
}

// putManifest writes the operator's manifest.
func (s *store) putManifest(m manifest) {
	b, _ := json.Marshal(m)
	s.apply(transaction{Puts: []row{{Table: operatorTable, Key: "config", Value: b}}})
	names := []string{}
	for _, r := range m.Routes {
		names = append(names, r.Name)
	}
	s.record.logf("operator: manifest version %d, routes %v", m.Version, names)
}

// manifest is the operator's manifest.
type manifest struct {
	Version  uint64            `json:"version"`
	Routes   []route           `json:"routes"`
	Services []manifestService `json:"services"`
	Limits   map[string]int    `json:"limits"`
}

// route is a queue of a manifest.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Type            string  `json:"type"`
	TimeoutMS       int     `json:"timeoutMs"`
	TargetLatencyMS int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	Attempts        int     `json:"attempts"`
	Stretch         float64 `json:"stretch"`
}

// manifestService is a service of a manifest.
type manifestService struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConns       int    `json:"maxConns"`
	Protocol       string `json:"protocol"`
	AdmissionCheck bool   `json:"admissionCheck"`
}

// serviceName is the service of all workers of the cases.
const serviceName = "huvo11a"

// newManifest returns a manifest of a version with the given routes.
func newManifest(version uint64, routes ...route) manifest {
	return manifest{Version: version, Routes: routes, Services: []manifestService{{Name: serviceName, HealthPath: "/health", MaxConns: 64, Protocol: "h1"}},
		Limits: map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}

// newRoute returns a route of the service. Names are like those of a day of the bench.
func newRoute(name, prefix string, priority, targetMS int) route {
	return route{Name: name, Host: "nony24.example", PathPrefix: prefix, Type: "unsafe", TimeoutMS: 3000, TargetLatencyMS: targetMS, Priority: priority, Service: serviceName, Attempts: 4, Stretch: 1.5}
}
