package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// heartbeat is heartbeatMs of the settings.
const heartbeat = 1500 * time.Millisecond

// run is a task at work on a worker.
type run struct {
	task     string
	number   uint64
	began    time.Time
	duration time.Duration // 0: the task lasts
	fails    time.Duration // when it fails; 0: it does not
}

// percent is the progress of a run. A task that lasts is at work after a short startup.
func (r run) percent() int {
	ran := time.Since(r.began)
	if r.duration == 0 {
		return int(min(100, 100*ran/(400*time.Millisecond)))
	}
	return int(min(100, 100*ran/r.duration))
}

// end is an entry of a worker's list of ends.
type end struct {
	number uint64
	run
	how string
}

// worker is a stand-in of a worker, as PROTOCOL.md describes it. It checks no admission.
type worker struct {
	d       *deployment
	machine *machine
	service string
	labels  []string
	cpu     int
	memMB   int

	mu       sync.Mutex
	life     int
	id       string
	server   *http.Server
	stop     context.CancelFunc
	began    time.Time
	token    uint64
	deadline int64
	runs     map[string]run
	highest  map[string]uint64 // highest run that was stopped or has ended, by task
	ends     []end
	lastEnd  uint64
	changed  chan struct{}
	sequence uint64
	draining time.Duration // the least time left, while the worker drains
	// fails returns when the run of a task that starts now fails, or 0; nil while the worker is sound.
	fails func(task string) time.Duration
	hung  chan struct{} // closed when the worker answers again; nil while it does
}

// start begins a life of the worker.
func (w *worker) start() {
	l, err := net.Listen("tcp", w.machine.app)
	if err != nil {
		unable("a worker cannot listen: %v", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	w.mu.Lock()
	w.life++
	w.id = fmt.Sprintf("i-%s-%d", w.machine.name, w.life)
	w.began, w.token, w.deadline, w.lastEnd, w.sequence, w.draining = time.Now(), 0, 0, 0, 0, 0
	w.runs, w.highest, w.ends, w.changed = map[string]run{}, map[string]uint64{}, nil, make(chan struct{})
	w.stop = stop
	mux := http.NewServeMux()
	for path, f := range map[string]func(order) (int, map[string]any){"/run-start": w.runStart, "/run-stop": w.runStop, "/pace": w.pace, "/hold": w.hold} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) { w.call(rw, r, f) })
	}
	server := &http.Server{Handler: mux}
	w.server = server
	id := w.id
	w.mu.Unlock()
	record("worker %s is up on %s", id, w.machine.name)
	go func() { _ = server.Serve(l) }()
	go w.checkIn(ctx, id)
	go w.work(ctx)
}

// crash ends the worker at once: what runs on it is gone and its port resets connections.
func (w *worker) crash() {
	w.mu.Lock()
	server, stop, id, n := w.server, w.stop, w.id, len(w.runs)
	w.server = nil
	w.runs = map[string]run{}
	w.mu.Unlock()
	if server == nil {
		return
	}
	stop()
	_ = server.Close()
	record("worker %s crashes, %d runs end with it", id, n)
}

// hang leaves all calls unanswered and without effect until the returned function is called.
// Check-ins go on.
func (w *worker) hang() (resume func()) {
	c := make(chan struct{})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hung = c
	record("worker %s stalls all calls", w.id)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.hung = nil
		close(c)
		record("worker %s answers calls again", w.id)
	}
}

// drain makes the worker report that it drains, and returns when that was acknowledged.
func (w *worker) drain(remaining time.Duration) time.Time {
	w.mu.Lock()
	w.draining = remaining
	id := w.id
	w.mu.Unlock()
	for {
		if w.sendCheckIn(id) {
			record("worker %s says draining, acknowledged", id)
			return time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *worker) checkIn(ctx context.Context, id string) {
	for ctx.Err() == nil {
		pause := heartbeat
		if !w.sendCheckIn(id) {
			pause = heartbeat / 5
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// sendCheckIn sends one check-in and reports whether it was acknowledged within a second.
func (w *worker) sendCheckIn(id string) bool {
	w.mu.Lock()
	w.sequence++
	body := map[string]any{"service": w.service, "address": w.machine.app, "zone": w.machine.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.memMB}, "labels": w.labels, "clockMs": w.clock(), "sequence": w.sequence}
	if w.draining > 0 {
		body["state"], body["remainingMs"] = "draining", w.draining.Milliseconds()
	}
	w.mu.Unlock()
	b, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.machine.control+"/Instances.Heartbeat/"+id, bytes.NewReader(b))
	q.Header.Set("Content-Type", "application/json")
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode/100 == 2
}

// work lets runs end when their work is done or the lease has.
func (w *worker) work(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if ctx.Err() != nil {
			w.mu.Unlock()
			return
		}
		for _, r := range w.runs {
			switch {
			case w.clock() > w.deadline:
				w.finish(r, "lapsed")
			case r.fails > 0 && time.Since(r.began) >= r.fails:
				w.finish(r, "failed")
			case r.fails == 0 && r.duration > 0 && time.Since(r.began) >= r.duration:
				w.finish(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// clock is the worker's steady clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1000 }

// finish ends a run; mu is held.
func (w *worker) finish(r run, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r, how})
	close(w.changed)
	w.changed = make(chan struct{})
	record("worker %s: %s run %d ended %s", w.id, r.task, r.number, how)
}

// order is the body of a call.
type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
	Ticket       string `json:"ticket"`
}

// call serves a call. While the worker hangs, the call has no effect and no answer.
func (w *worker) call(rw http.ResponseWriter, r *http.Request, f func(order) (int, map[string]any)) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	w.mu.Lock()
	hung := w.hung
	if hung != nil && r.URL.Path == "/run-start" {
		record("worker %s leaves the start of %s run %d unanswered", w.id, o.Task, o.Run)
	}
	w.mu.Unlock()
	if hung != nil {
		select {
		case <-r.Context().Done():
		case <-hung:
		}
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Header.Get("X-Target-Instance") != w.id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock()})
		return
	}
	if o.FencingToken < w.token {
		reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": "fence"})
		return
	}
	w.token = o.FencingToken
	status, body := f(o)
	body["clockMs"] = w.clock()
	reply(rw, status, body)
}

func (w *worker) runStart(o order) (int, map[string]any) {
	if o.DeadlineMS <= w.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.deadline = max(w.deadline, o.DeadlineMS)
	r, ok := w.runs[o.Task]
	switch {
	case ok && r.number == o.Run:
		return http.StatusOK, map[string]any{}
	case o.Run <= w.highest[o.Task] || ok && o.Run < r.number:
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	job, _, _ := strings.Cut(o.Task, ".")
	if w.d.isAdvised(job) && !w.d.advice.isValid(o.Task, w.id, o.Ticket) {
		return http.StatusConflict, map[string]any{"reason": "ticket"}
	}
	r = run{task: o.Task, number: o.Run, began: time.Now(), duration: w.d.durationOf(job)}
	if w.fails != nil {
		r.fails = w.fails(o.Task)
	}
	w.runs[o.Task] = r
	record("worker %s: %s run %d starts", w.id, o.Task, o.Run)
	w.d.started(job, w.id, r.began)
	return http.StatusOK, map[string]any{}
}

func (w *worker) runStop(o order) (int, map[string]any) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r, ok := w.runs[o.Task]; ok && r.number <= o.Run {
		w.finish(r, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) pace(order) (int, map[string]any) { return http.StatusOK, map[string]any{} }

// hold renews the lease and returns both lists, after an end or the wait. mu is held.
func (w *worker) hold(o order) (int, map[string]any) {
	w.deadline = max(w.deadline, o.DeadlineMS)
	w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.number <= o.LastSeen })
	if changed := w.changed; len(w.ends) == 0 && o.WaitMS > 0 {
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(), 500})
	}
	for _, e := range w.ends {
		ended = append(ended, []any{e.number, e.task, e.run.number, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}
