package kqservice

import "sync"

// Tally is what really ran on all endpoints that share a Record.
type Totals struct {
	// Started is runs begun.
	Started uint64
	// RunTwice is non-idempotent calls that were begun more than once.
	RunTwice uint64
	// SlotsExceeded is runs begun while every slot was busy.
	SlotsExceeded uint64
}

// Record is what ran on the endpoints of one user.
type Ledger struct {
	mu       sync.Mutex
	tally    Totals
	begun    map[string]int
	complete map[string]bool
}

// NewRecord returns an empty Record.
func NewLedger() *Ledger {
	return &Ledger{begun: map[string]int{}, complete: map[string]bool{}}
}

// Tally returns what was recorded so far.
func (r *Ledger) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tally
}

// Begun reports whether the call was ever begun.
func (r *Ledger) Started(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun[id] > 0
}

// Completed reports whether the call ran to its end.
func (r *Ledger) Finished(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete[id]
}

func (r *Ledger) started(id string, idempotent bool, busy, slots int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Started++
	r.begun[id]++
	if r.begun[id] == 2 && !idempotent {
		r.tally.RunTwice++
	}
	if busy > slots {
		r.tally.SlotsExceeded++
	}
}

func (r *Ledger) finished(id string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete[id] = true
}
