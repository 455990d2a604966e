package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cancel"] = playCancel }

const (
	// spellTime is how long answers of the store are lost, lostAfter how long after it was sent a write without an
	// answer is carried out; the pages name 1 to 6 s.
	spellTime = 4500 * time.Millisecond
	lostAfter = 5900 * time.Millisecond
	// patience is how long the requester waits before it gives the job up: less than half its objective.
	patience = 600 * time.Millisecond
	// cancelTime is cancel_ms.
	cancelTime = 3 * time.Second
)

// lostWrites decides which writes of the store get no answer: those of one submitted job during the spell.
type lostWrites struct {
	job string

	mu          sync.Mutex
	until       time.Time
	lost, total int
}

func (x *lostWrites) decide(_ string, t transaction) *late {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	if now.After(x.until) {
		return nil
	}
	x.total++
	for _, r := range t.Puts {
		if r.Table == "submissions" && r.Key == x.job {
			x.lost++
			return &late{lostAfter}
		}
	}
	return nil
}

// counts returns how many writes were lost, and the number of all writes during the spell.
func (x *lostWrites) counts() (lost, total int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lost, x.total
}

// playCancel hands in a job while answers of the store are lost. The requester gets no answer in time, gives the job
// up and cancels it.
func playCancel(c *cell, trouble bool) outcome {
	if err := deploy(c, 2, repeatSize(8, small), lockRoute(), nightRoute()); err != nil {
		return notRun("%v", err)
	}
	q := newRequester(c)
	id := jobID(1)
	x := &lostWrites{job: id}
	c.store.mu.Lock()
	c.store.onTransact = x.decide
	c.store.mu.Unlock()
	if trouble {
		x.mu.Lock()
		x.until = time.Now().Add(spellTime)
		x.mu.Unlock()
	}
	body, _ := json.Marshal(jobBody{Spec: "ms=800", Steps: []jobStep{{Count: 2, CPU: 960, MemMB: 1900, EstimateMS: 800}}})
	// Other requesters hand in jobs meanwhile.
	go func() {
		for n := range 10 {
			q2 := newRequester(c)
			q2.submit(lockPrefix+jobID(100+n), jobBody{Spec: "ms=500", Steps: []jobStep{{Count: 1, CPU: 960, MemMB: 1900, EstimateMS: 500}}})
			time.Sleep(200 * time.Millisecond)
		}
	}()
	q.client.Timeout = patience
	status, _, _ := q.send(c.entries[0], http.MethodPost, lockPrefix+id, body)
	q.client.Timeout = 0
	if trouble && status/100 == 2 {
		return notRun("the job was accepted")
	}
	acknowledged := time.Time{}
	for range maxSends {
		status, _, _ = q.send(q.entry(), http.MethodDelete, lockPrefix+id, nil)
		if status/100 == 2 || status == http.StatusGone {
			acknowledged = time.Now()
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if acknowledged.IsZero() {
		return notRun("the cancelling was not acknowledged")
	}
	time.Sleep(12 * time.Second)
	lost, total := x.counts()
	c.record.logf("of %d writes to the store during the spell %d got no answer", total, lost)
	for _, task := range []string{id + ".0.0.0", id + ".0.0.1"} {
		for _, r := range c.ledger.ofTask(task) {
			if after := r.from.Sub(acknowledged); after > cancelTime {
				return broken("UNASKED: task %s has begun %s after the cancelling of its job was acknowledged", task, after.Round(time.Millisecond))
			}
		}
	}
	return held("no task of the cancelled job has begun later than %s after the acknowledgement", cancelTime)
}
