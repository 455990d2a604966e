package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the pages that a worker keeps.
const (
	holdMax        = 10 * time.Second
	checkpointTime = time.Second
	restoreTime    = 600 * time.Millisecond
	stopTime       = 100 * time.Millisecond
	beatInterval   = 1500 * time.Millisecond
	endsPerList    = 500
	// failTime is how long a run is at work on a worker that fails all that it starts.
	failTime = 150 * time.Millisecond
)

// taskRun is a run that is at work.
type taskRun struct {
	task, spec string
	number     uint64
	startedAt  time.Time
	// resumed is the work that the checkpoint of the start stands for, work all of it.
	resumed, work time.Duration
	checkpoints   bool
	fails         bool
	saved         string
	savedAt       time.Duration
	stopAt        time.Time
}

// ended is an entry of a worker's list of ends.
type ended struct {
	n      uint64
	task   string
	number uint64
	how    string
	saved  string
}

// worker is one life of a worker. A task's spec says how long it works: "work=800 ckpt=1".
type worker struct {
	host *workerHost
	id   string
	born time.Time

	mu       sync.Mutex
	token    uint64
	deadline time.Duration
	running  map[string]*taskRun
	ends     []ended
	endCount uint64
	seen     uint64
	highest  map[string]uint64
	changed  chan struct{}
	dead     bool
	listener net.Listener
	server   *http.Server
	sequence uint64
}

// workerHost is the machine of a worker.
type workerHost struct {
	name    string
	ip      string
	address string
	control string
	service string
	zone    string
	rack    string
	cpu     int64
	memMB   int64
	kind    string
	record  *recorder

	mu      sync.Mutex
	current *worker
	lives   int
	// failing makes all runs that start end failed after failTime.
	failing bool
}

// start begins a new life of the worker.
func (h *workerHost) start() error {
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives++
	w := &worker{host: h, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now(), running: map[string]*taskRun{}, highest: map[string]uint64{}, changed: make(chan struct{}), listener: l}
	h.current = w
	m := http.NewServeMux()
	m.HandleFunc("POST /run-start", w.serve(w.serveStart))
	m.HandleFunc("POST /run-stop", w.serve(w.serveStop))
	m.HandleFunc("POST /hold", w.serve(w.serveHold))
	m.HandleFunc("POST /pace", w.serve(func(http.ResponseWriter, *http.Request, order) (int, map[string]any) { return http.StatusOK, nil }))
	w.server = &http.Server{Handler: m}
	go func() { _ = w.server.Serve(l) }()
	go w.tick()
	go w.beat()
	h.record.add("worker %s: a life %s begins", h.name, w.id)
	return nil
}

// crash ends the present life at once.
func (h *workerHost) crash() {
	h.mu.Lock()
	w := h.current
	h.mu.Unlock()
	w.mu.Lock()
	w.dead = true
	lost := len(w.running)
	for _, r := range w.running {
		h.record.ended(w, r, "lost")
	}
	w.running = map[string]*taskRun{}
	w.mu.Unlock()
	_ = w.server.Close()
	h.record.add("worker %s: life %s crashes with %d runs", h.name, w.id, lost)
}

// setFailing makes the worker fail all that it starts, or ends that.
func (h *workerHost) setFailing(on bool) {
	h.mu.Lock()
	h.failing = on
	h.mu.Unlock()
	h.record.add("worker %s: fails all that it starts: %t", h.name, on)
}

func (h *workerHost) worker() *worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// order is the body of any call.
type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) serve(f func(http.ResponseWriter, *http.Request, order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, q *http.Request) {
		var o order
		if json.NewDecoder(q.Body).Decode(&o) != nil {
			reply(rw, http.StatusBadRequest, map[string]any{"clockMs": w.clock().Milliseconds()})
			return
		}
		if id := q.Header.Get("X-Target-Instance"); id != "" && id != w.id {
			reply(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock().Milliseconds()})
			return
		}
		status, out := f(rw, q, o)
		if out == nil {
			out = map[string]any{}
		}
		out["clockMs"] = w.clock().Milliseconds()
		reply(rw, status, out)
	}
}

// fenced reports whether a newer holder has called; mu is held.
func (w *worker) fenced(token uint64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// extend takes a deadline of the caller; mu is held.
func (w *worker) extend(ms int64) {
	d := min(time.Duration(ms)*time.Millisecond, w.clock()+holdMax)
	w.deadline = max(w.deadline, d)
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func key(task string, run uint64) string { return task + "/" + strconv.FormatUint(run, 10) }

func (w *worker) serveStart(_ http.ResponseWriter, _ *http.Request, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	switch {
	case w.fenced(o.FencingToken):
		return refused("fence")
	case w.running[key(o.Task, o.Run)] != nil:
		w.extend(o.DeadlineMS)
		return http.StatusOK, nil
	case o.Run <= w.highest[o.Task]:
		w.extend(o.DeadlineMS)
		return refused("old")
	case time.Duration(o.DeadlineMS)*time.Millisecond <= w.clock():
		return refused("late")
	}
	w.extend(o.DeadlineMS)
	r := &taskRun{task: o.Task, number: o.Run, spec: o.Spec, startedAt: time.Now(), work: specDuration(o.Spec, "work"), checkpoints: specDuration(o.Spec, "ckpt") > 0}
	w.host.mu.Lock()
	r.fails = w.host.failing
	w.host.mu.Unlock()
	if len(o.Checkpoint) >= 8 {
		if ms, err := strconv.ParseUint(o.Checkpoint[:8], 16, 32); err == nil {
			r.resumed = time.Duration(ms) * time.Millisecond
			r.startedAt = r.startedAt.Add(restoreTime)
			r.saved, r.savedAt = o.Checkpoint, r.resumed
		}
	}
	w.running[key(o.Task, o.Run)] = r
	w.host.record.started(w, r)
	return http.StatusOK, nil
}

func (w *worker) serveStop(_ http.ResponseWriter, _ *http.Request, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.fenced(o.FencingToken) {
		return refused("fence")
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.running[key(o.Task, o.Run)]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, nil
}

func (w *worker) serveHold(_ http.ResponseWriter, q *http.Request, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.fenced(o.FencingToken) {
		return refused("fence")
	}
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	if o.LastSeen > w.seen {
		for _, e := range w.ends {
			if e.n <= o.LastSeen {
				w.host.record.noted(w, e)
			}
		}
		w.seen = o.LastSeen
		w.ends = slices.DeleteFunc(w.ends, func(e ended) bool { return e.n <= w.seen })
	}
	until := time.After(min(2*time.Second, time.Duration(o.WaitMS)*time.Millisecond))
	for waits := true; waits && len(w.ends) == 0 && o.WaitMS > 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waits = false
		case <-q.Context().Done():
			waits = false
		}
		w.mu.Lock()
		w.advance()
	}
	running, ends := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.number, r.saved, r.percent(), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), endsPerList)] {
		ends = append(ends, []any{e.n, e.task, e.number, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ends}
}

// worked returns how much work a run has done.
func (r *taskRun) worked() time.Duration { return r.resumed + max(0, time.Since(r.startedAt)) }

func (r *taskRun) percent() int {
	return int(min(99, 100*r.worked()/max(1, r.work)))
}

// save produces a checkpoint.
func (r *taskRun) save() {
	r.savedAt = r.worked()
	r.saved = fmt.Sprintf("%08x%08x", r.savedAt.Milliseconds(), rand.Uint32())
}

// advance ends the runs that are due; mu is held.
func (w *worker) advance() {
	if w.dead {
		return
	}
	now := time.Now()
	lapsed := w.deadline > 0 && w.clock() >= w.deadline
	for k, r := range w.running {
		how := ""
		switch {
		case r.fails && time.Since(r.startedAt) >= failTime:
			how = "failed"
		case r.worked() >= r.work:
			how = "done"
		case lapsed:
			how = "lapsed"
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			how = "stopped"
		}
		if r.checkpoints && (how == "stopped" || how == "" && r.worked()-r.savedAt >= checkpointTime) {
			r.save()
		}
		if how == "" {
			continue
		}
		delete(w.running, k)
		w.endCount++
		w.highest[r.task] = max(w.highest[r.task], r.number)
		w.ends = append(w.ends, ended{w.endCount, r.task, r.number, how, r.saved})
		w.host.record.ended(w, r, how)
		close(w.changed)
		w.changed = make(chan struct{})
	}
	if lapsed && len(w.running) == 0 {
		w.deadline = 0
	}
}

func (w *worker) tick() {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		dead := w.dead
		w.advance()
		w.mu.Unlock()
		if dead {
			return
		}
	}
}

// beat sends check-ins to the agent on the worker's machine.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		dead := w.dead
		w.sequence++
		body, _ := json.Marshal(map[string]any{"service": w.host.service, "address": w.host.address, "zone": w.host.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "capacity": map[string]any{"cpu": w.host.cpu, "memMb": w.host.memMB, "gpu": 0}, "labels": []string{w.host.kind, w.host.rack}, "clockMs": w.clock().Milliseconds(), "sequence": w.sequence})
		w.mu.Unlock()
		if dead {
			return
		}
		pause := beatInterval
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.host.control+"/Instances.Heartbeat/"+w.id, bytes.NewReader(body))
		if err == nil {
			r.Header.Set("Content-Type", "application/json")
			var a *http.Response
			if a, err = client.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
			}
		}
		cancel()
		if err != nil {
			pause = 300 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// counts returns how many runs are at work, and how many ends are not taken note of.
func (w *worker) counts() (running, ends int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running), len(w.ends)
}

// specDuration returns a number of milliseconds that a spec names.
func specDuration(spec, name string) time.Duration {
	for _, f := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			ms, _ := strconv.Atoi(v)
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}
