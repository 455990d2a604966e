package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// What a queue with advice says of the service that gives it.
const (
	adviceDecide = 100 * time.Millisecond
	adviceEach   = 20 * time.Millisecond
	adviceValid  = 10 * time.Second
	maxAdvice    = 32
)

// policy is a stand-in for the service at `advice`. It approves every worker, and handles one call at a
// time for each calling machine.
type policy struct {
	mu      sync.Mutex
	callers map[string]*sync.Mutex
	waiting int
}

func (p *policy) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /advise", p.serve)
	return m
}

// turn returns the lock of a calling machine, unless too many calls wait.
func (p *policy) turn(machine string) *sync.Mutex {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting >= maxAdvice {
		return nil
	}
	p.waiting++
	if p.callers[machine] == nil {
		p.callers[machine] = &sync.Mutex{}
	}
	return p.callers[machine]
}

func (p *policy) serve(w http.ResponseWriter, q *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(q.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	machine, _, _ := net.SplitHostPort(q.RemoteAddr)
	turn := p.turn(machine)
	if turn == nil {
		reply(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	turn.Lock()
	time.Sleep(adviceDecide + time.Duration(len(body.Workers))*adviceEach)
	turn.Unlock()
	p.mu.Lock()
	p.waiting--
	p.mu.Unlock()
	approved := [][]string{}
	for _, id := range body.Workers {
		approved = append(approved, []string{id, fmt.Sprintf("%08x", rand.Uint32())})
	}
	reply(w, http.StatusOK, map[string]any{"approved": approved, "validMs": adviceValid.Milliseconds()})
}
