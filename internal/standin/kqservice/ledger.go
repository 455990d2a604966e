package kqservice

import "sync"

// Totals counts the calls that ran on all endpoints that share a Ledger.
type Totals struct {
	// Started is the number of calls started.
	Started uint64
	// RunTwice is the number of non-idempotent calls that were started more than once.
	RunTwice uint64
	// SlotsExceeded is the number of calls started while every slot was busy.
	SlotsExceeded uint64
}

// Ledger records the calls that ran on the endpoints of one user. A nil Ledger records
// nothing.
type Ledger struct {
	mu            sync.Mutex
	totals        Totals
	startCounts   map[string]int  // by call id
	finishedCalls map[string]bool // by call id
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{startCounts: map[string]int{}, finishedCalls: map[string]bool{}}
}

// Totals returns the totals so far.
func (r *Ledger) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totals
}

// Started reports whether the call was ever started.
func (r *Ledger) Started(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startCounts[id] > 0
}

// Finished reports whether the call ran to completion.
func (r *Ledger) Finished(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finishedCalls[id]
}

func (r *Ledger) started(id string, idempotent bool, busy, slots int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Started++
	r.startCounts[id]++
	if r.startCounts[id] == 2 && !idempotent {
		r.totals.RunTwice++
	}
	if busy > slots {
		r.totals.SlotsExceeded++
	}
}

func (r *Ledger) finished(id string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishedCalls[id] = true
}
