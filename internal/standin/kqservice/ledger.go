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
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// Started reports whether the call was ever started.
func (l *Ledger) Started(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startCounts[id] > 0
}

// Finished reports whether the call ran to completion.
func (l *Ledger) Finished(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finishedCalls[id]
}

func (l *Ledger) started(id string, idempotent bool, busy, slots int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Started++
	l.startCounts[id]++
	if l.startCounts[id] == 2 && !idempotent {
		l.totals.RunTwice++
	}
	if busy > slots {
		l.totals.SlotsExceeded++
	}
}

func (l *Ledger) finished(id string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishedCalls[id] = true
}
