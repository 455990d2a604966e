package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// policy is a queue's `advice` in the manifest.
type policy struct {
	DecideMS int64 `json:"decideMs"`
	PeriodMS int64 `json:"periodMs"`
	ValidMS  int64 `json:"validMs"`
}

// advice is a stand-in of the service at `advice`. It knows one policy for all queues, which allows the
// same workers for all steps, and handles one call at a time for each machine.
type advice struct {
	policy policy
	allows func(worker string) bool

	mu      sync.Mutex
	tickets map[string]time.Time // the end of each ticket, by step, worker and text
	issued  int
	servers []*http.Server
}

func newAdvice() *advice { return &advice{tickets: map[string]time.Time{}} }

// serve opens the address for the calls of one machine.
func (a *advice) serve() (address string) {
	l, err := net.Listen("tcp", "127.0.9.2:0")
	if err != nil {
		unable("the policy service cannot listen: %v", err)
	}
	c := &adviceCaller{advice: a, turn: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", c.advise)
	s := &http.Server{Handler: mux}
	a.servers = append(a.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

func (a *advice) close() {
	for _, s := range a.servers {
		_ = s.Close()
	}
}

// adviceCaller serves the calls of one machine, one at a time.
type adviceCaller struct {
	advice *advice
	turn   chan struct{}
}

func (c *adviceCaller) advise(w http.ResponseWriter, r *http.Request) {
	a := c.advice
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	record("advise %s: asked about %d workers: %s", q.Step, len(q.Workers), strings.Join(q.Workers, " "))
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	select {
	case <-time.After(time.Duration(a.policy.DecideMS+int64(len(q.Workers))*a.policy.PeriodMS) * time.Millisecond):
	case <-r.Context().Done():
		record("advise %s: the caller has gone before the answer", q.Step)
		return
	}
	approved := [][]string{}
	a.mu.Lock()
	for _, id := range q.Workers {
		if a.allows(id) {
			a.issued++
			text := fmt.Sprintf("t-%d", a.issued)
			a.tickets[q.Step+" "+id+" "+text] = time.Now().Add(time.Duration(a.policy.ValidMS) * time.Millisecond)
			approved = append(approved, []string{id, text})
		}
	}
	a.mu.Unlock()
	record("advise %s: %d of %d workers approved", q.Step, len(approved), len(q.Workers))
	reply(w, http.StatusOK, map[string]any{"approved": approved, "validMs": a.policy.ValidMS})
}

// isValid reports whether a worker may start a task with a ticket.
func (a *advice) isValid(task, worker, text string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[task[:strings.LastIndex(task, ".")]+" "+worker+" "+text])
}
