package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the workers, as in the bounds of the settings.
const (
	checkInInterval = 1500 * time.Millisecond
	holdMax         = 10 * time.Second
	stopTime        = 150 * time.Millisecond
	readyTime       = 400 * time.Millisecond
	gangTimeout     = 3 * time.Second
	maxListedEnds   = 500
	tick            = 5 * time.Millisecond
)

// order is the body of every call to a worker.
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

// taskRun is a run on a worker.
type taskRun struct {
	task     string
	number   uint64
	begun    time.Time
	duration time.Duration
	// lasts is true for a task that runs until it is stopped, saves for one with checkpoints.
	lasts, saves bool
	stopAt       time.Time
	end          func(how string)
	// gang is nil for a task that works by itself.
	gang *gang
}

// isDone reports whether the work of a run is done.
func (r *taskRun) isDone(l *ledger, now time.Time) bool {
	if r.lasts {
		return false
	}
	since, ok := r.begun, true
	if r.gang != nil {
		since, ok = l.workSince(r.gang)
	}
	return ok && now.Sub(since) >= r.duration
}

type runKey struct {
	task   string
	number uint64
}

// endRow is an end that the worker lists.
type endRow struct {
	number uint64
	task   string
	run    uint64
	how    string
	saved  string
}

// life is one life of a worker: what it knows is gone with it.
type life struct {
	name    string // as in the record
	clock0  time.Time
	bornMS  int64
	token   uint64
	until   int64 // the end of the lease on the worker's clock, in milliseconds
	running map[runKey]*taskRun
	highest map[string]uint64
	ends    []endRow
	lastEnd uint64
	seq     uint64
}

// worker is a stand-in of a worker on a side machine. It answers at its app address and checks in at the
// control address of the agent.
type worker struct {
	record  *record
	ledger  *ledger
	id      string
	app     string
	control string
	zone    string
	labels  []string
	cpu     int64
	memMB   int64
	// births is true if the worker keeps its id when it starts again and sends its time of birth.
	births bool

	listener net.Listener
	client   *http.Client

	mu       sync.Mutex
	life     *life
	lives    int
	draining bool
	hasLeft  bool
	// remainingMS is what a draining worker reports.
	remainingMS int64
	// isCut is true while the worker is cut off, refuses while calls to it are reset.
	isCut   bool
	refuses bool
	conns   map[net.Conn]bool
	gone    bool
	// holds are the holds that wait for an answer, by their number.
	holds    map[int]order
	lastHold int
}

// start opens the app address and begins the first life. age is how long the worker has been up already.
func (w *worker) start(age time.Duration) error {
	l, err := net.Listen("tcp", w.app)
	if err != nil {
		return err
	}
	w.listener, w.conns = l, map[net.Conn]bool{}
	w.client = &http.Client{Timeout: time.Second}
	w.mu.Lock()
	w.begin(age)
	w.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(w.serve), ConnState: w.trackConn}
	go func() { _ = server.Serve(refusingListener{l, w}) }()
	go w.advanceLoop()
	go w.checkInLoop()
	return nil
}

// begin begins a life; mu is held.
func (w *worker) begin(age time.Duration) {
	w.lives++
	now := time.Now()
	if w.lives > 1 && !w.births {
		// After a crash a worker has a new id.
		w.id = fmt.Sprintf("%s%d", w.id[:len(w.id)-1], w.lives)
	}
	w.life = &life{name: w.id, clock0: now.Add(-age), running: map[runKey]*taskRun{}, highest: map[string]uint64{}}
	if w.births {
		w.life.name = fmt.Sprintf("%s(life %d)", w.id, w.lives)
		w.life.bornMS = now.Add(-age).UnixMilli()
	}
}

// refusingListener resets new connections while the worker refuses them.
type refusingListener struct {
	net.Listener
	worker *worker
}

func (l refusingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.worker.mu.Lock()
		refuse := l.worker.refuses || l.worker.life == nil
		l.worker.mu.Unlock()
		if !refuse {
			return c, nil
		}
		reset(c)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (w *worker) trackConn(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s {
	case http.StateNew:
		w.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// cut cuts the worker off from its agent: nothing arrives in either direction.
func (w *worker) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCut = true
	w.record.logf("worker %s: is cut off", w.id)
}

// heal ends the cut.
func (w *worker) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCut = false
	w.record.logf("worker %s: the cut has ended", w.id)
}

// resetConns resets the open connections; mu is held.
func (w *worker) resetConns() {
	for c := range w.conns {
		go reset(c)
	}
}

// crash ends the present life without notice. Calls are refused until the next life begins after down.
func (w *worker) crash(down time.Duration) {
	w.mu.Lock()
	w.record.logf("worker %s: crashes, starts again after %s", w.life.name, down)
	w.endLife("crashed")
	w.resetConns()
	w.mu.Unlock()
	time.AfterFunc(down, func() {
		w.mu.Lock()
		w.begin(0)
		w.record.logf("worker %s: has started", w.life.name)
		w.mu.Unlock()
		w.checkIn()
	})
}

// endLife ends what runs; mu is held.
func (w *worker) endLife(how string) {
	for _, r := range w.life.running {
		r.end(how)
	}
	w.life = nil
}

// stopForGood ends the worker: its process is gone.
func (w *worker) stopForGood() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || w.life == nil {
		return
	}
	w.record.logf("worker %s: has ended", w.life.name)
	w.gone = true
	w.endLife("gone")
	w.resetConns()
}

func (l *life) clock(now time.Time) int64 { return now.Sub(l.clock0).Milliseconds() }

// advanceLoop ends the runs that are due.
func (w *worker) advanceLoop() {
	t := time.NewTicker(tick)
	defer t.Stop()
	for range t.C {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		if w.life != nil {
			w.life.advance(w.ledger, time.Now())
		}
		w.mu.Unlock()
	}
}

// advance ends the runs that are due; the worker's mu is held.
func (l *life) advance(x *ledger, now time.Time) {
	lapsed := l.until > 0 && l.clock(now) >= l.until
	for k, r := range l.running {
		switch {
		case lapsed:
			l.endRun(k, "lapsed", now)
		case r.gang != nil && now.Sub(r.begun) >= gangTimeout && !x.isComplete(r.gang):
			l.endRun(k, "alone", now)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			l.endRun(k, "stopped", now)
		case r.isDone(x, now):
			l.endRun(k, "done", now)
		}
	}
}

func (l *life) endRun(k runKey, how string, now time.Time) {
	r := l.running[k]
	delete(l.running, k)
	l.lastEnd++
	l.highest[k.task] = max(l.highest[k.task], k.number)
	saved := r.checkpoint(now)
	if how == "done" {
		saved = ""
	}
	l.ends = append(l.ends, endRow{l.lastEnd, k.task, k.number, how, saved})
	r.end(how)
}

// checkpoint returns the latest checkpoint of a run: the work done in milliseconds and a part that differs
// with each task.
func (r *taskRun) checkpoint(now time.Time) string {
	saved := now.Sub(r.begun).Truncate(time.Second)
	if !r.saves || saved <= 0 {
		return ""
	}
	return fmt.Sprintf("%08x%08x", saved.Milliseconds(), hash(r.task))
}

// hash returns the FNV-1a hash of a text.
func hash(s string) uint32 {
	h := uint32(2166136261)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	return h
}

// serve answers a call.
func (w *worker) serve(rw http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		respond(rw, http.StatusBadRequest, struct{}{})
		return
	}
	w.mu.Lock()
	if w.life == nil || w.isCut {
		w.mu.Unlock()
		<-q.Context().Done()
		return
	}
	if q.Header.Get("X-Target-Instance") != w.id {
		w.mu.Unlock()
		respond(rw, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	l := w.life
	w.mu.Unlock()
	switch q.URL.Path {
	case "/run-start":
		w.serveStart(rw, l, o)
	case "/run-stop":
		w.serveStop(rw, l, o)
	case "/hold":
		w.serveHold(q.Context(), rw, l, o)
	case "/pace":
		respond(rw, http.StatusOK, map[string]any{"clockMs": l.clock(time.Now())})
	default:
		respond(rw, http.StatusNotFound, struct{}{})
	}
}

// extend takes over the end of a lease, at most holdMax from now; mu is held.
func (l *life) extend(now time.Time, deadlineMS int64) {
	l.until = max(l.until, min(deadlineMS, l.clock(now)+holdMax.Milliseconds()))
}

// refuse responds with 409.
func (l *life) refuse(rw http.ResponseWriter, now time.Time, reason string) {
	respond(rw, http.StatusConflict, map[string]any{"clockMs": l.clock(now), "reason": reason})
}

func (w *worker) serveStart(rw http.ResponseWriter, l *life, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	k := runKey{o.Task, o.Run}
	switch {
	case o.FencingToken < l.token:
		l.refuse(rw, now, "fence")
		return
	case l.running[k] != nil:
	case o.Run <= l.highest[o.Task]:
		l.extend(now, o.DeadlineMS)
		l.refuse(rw, now, "old")
		return
	case o.DeadlineMS <= l.clock(now):
		l.refuse(rw, now, "late")
		return
	default:
		spec := parseSpec(o.Spec, o.Task)
		r := &taskRun{task: o.Task, number: o.Run, begun: now, duration: spec.duration, lasts: spec.lasts, saves: spec.saves,
			end: w.ledger.started(o.Task, o.Run, l.name)}
		if spec.gang > 0 {
			r.gang = w.ledger.join(o.Task[:strings.LastIndex(o.Task, ".")], o.Run, spec.gang)
		}
		l.running[k] = r
	}
	l.token = max(l.token, o.FencingToken)
	l.extend(now, o.DeadlineMS)
	respond(rw, http.StatusOK, map[string]any{"clockMs": l.clock(now)})
}

func (w *worker) serveStop(rw http.ResponseWriter, l *life, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if o.FencingToken < l.token {
		l.refuse(rw, now, "fence")
		return
	}
	l.token = o.FencingToken
	l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	if r := l.running[runKey{o.Task, o.Run}]; r != nil && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopTime)
	}
	respond(rw, http.StatusOK, map[string]any{"clockMs": l.clock(now)})
}

// applyHold carries out a hold; mu is held. It reports whether the token was high enough.
func (l *life) applyHold(now time.Time, o order) bool {
	if o.FencingToken < l.token {
		return false
	}
	l.token = o.FencingToken
	if o.DeadlineMS > 0 {
		l.extend(now, o.DeadlineMS)
	}
	for len(l.ends) > 0 && l.ends[0].number <= o.LastSeen {
		l.ends = l.ends[1:]
	}
	return true
}

func (w *worker) serveHold(ctx context.Context, rw http.ResponseWriter, l *life, o order) {
	w.mu.Lock()
	if !l.applyHold(time.Now(), o) {
		l.refuse(rw, time.Now(), "fence")
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	defer w.enterHold(o)()
	deadline := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	for {
		w.mu.Lock()
		if w.life != l || w.isCut {
			w.mu.Unlock()
			<-ctx.Done()
			return
		}
		if len(l.ends) > 0 || !time.Now().Before(deadline) {
			body := w.lists(l)
			w.mu.Unlock()
			respond(rw, http.StatusOK, body)
			return
		}
		w.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(tick):
		}
	}
}

// enterHold records that a hold waits for its answer, and returns the function that ends that.
func (w *worker) enterHold(o order) (leave func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.holds == nil {
		w.holds = map[int]order{}
	}
	w.lastHold++
	n := w.lastHold
	w.holds[n] = o
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.holds, n)
	}
}

// waitingHold returns a hold that waits for its answer and renews the lease; mu is held.
func (w *worker) waitingHold() (order, bool) {
	for _, o := range w.holds {
		if o.DeadlineMS > 0 {
			return o, true
		}
	}
	return order{}, false
}

// crashInHold is crash at a moment at which a hold waits for its answer. The hold is carried out late, after a
// delay, by the worker that has this id then. It reports whether there was such a moment.
func (w *worker) crashInHold(down, lateBy time.Duration) bool {
	var o order
	found := waitFor(5*time.Second, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		var ok bool
		o, ok = w.waitingHold()
		return ok
	})
	if !found {
		return false
	}
	w.record.logf("worker %s: a hold with deadlineMs %d gets no answer and is carried out %s later", w.id, o.DeadlineMS, lateBy)
	time.AfterFunc(lateBy, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != nil {
			before := w.life.until
			applied := w.life.applyHold(time.Now(), o)
			w.record.logf("worker %s: the late hold is carried out: %t, clockMs %d, the lease ends at %d, before at %d", w.life.name, applied, w.life.clock(time.Now()), w.life.until, before)
		}
	})
	w.crash(down)
	return true
}

// drain announces that the worker will leave.
func (w *worker) drain(remaining time.Duration) bool {
	w.mu.Lock()
	w.draining, w.remainingMS = true, remaining.Milliseconds()
	w.record.logf("worker %s: drains", w.id)
	w.mu.Unlock()
	return w.checkIn()
}

// leave sends the leave message and reports whether it was acknowledged. No check-ins follow.
func (w *worker) leave() bool {
	w.mu.Lock()
	w.hasLeft = true
	w.record.logf("worker %s: sends its leave message", w.id)
	w.mu.Unlock()
	return w.post("/Instances.Leave/"+w.id, nil)
}

// lists returns the body of an answer to a hold; mu is held.
func (w *worker) lists(l *life) map[string]any {
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for k, r := range l.running {
		percent := 100 * float64(now.Sub(r.begun)) / float64(max(1, r.duration))
		if r.lasts {
			percent = min(100, 100*float64(now.Sub(r.begun))/float64(readyTime))
		} else {
			percent = min(99, percent)
		}
		running = append(running, []any{k.task, k.number, r.checkpoint(now), percent, 0})
	}
	for _, e := range l.ends[:min(len(l.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	out := map[string]any{"clockMs": l.clock(now), "running": running, "ended": ended}
	if w.births {
		out["born"] = l.bornMS
	}
	return out
}

// checkInLoop checks in at intervals.
func (w *worker) checkInLoop() {
	for {
		w.checkIn()
		time.Sleep(checkInInterval)
		w.mu.Lock()
		gone := w.gone
		w.mu.Unlock()
		if gone {
			return
		}
	}
}

// checkIn sends one check-in and reports whether it was acknowledged.
func (w *worker) checkIn() bool {
	w.mu.Lock()
	l := w.life
	if l == nil || w.isCut || w.gone || w.hasLeft {
		w.mu.Unlock()
		return false
	}
	l.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body := map[string]any{"service": serviceName, "address": w.app, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": w.cpu, "memMb": w.memMB, "gpu": 0}, "labels": w.labels, "clockMs": l.clock(time.Now()), "sequence": l.seq}
	if w.draining {
		body["remainingMs"] = w.remainingMS
	}
	if w.births {
		body["born"] = l.bornMS
	}
	w.mu.Unlock()
	return w.post("/Instances.Heartbeat/"+w.id, body)
}

// post sends a message to the agent and reports whether it was acknowledged.
func (w *worker) post(path string, body any) bool {
	b := []byte{}
	if body != nil {
		b, _ = json.Marshal(body)
	}
	resp, err := w.client.Post("http://"+w.control+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// taskSpec is what the spec of a job says of a task.
type taskSpec struct {
	duration     time.Duration
	lasts, saves bool
	// gang is the number of tasks that work only together; 0 if each works by itself.
	gang int
}

// parseSpec parses a spec such as "ms=3000,500 lasts saves gang=4": the run time for each step, whether the tasks
// run until they are stopped, whether they have checkpoints, and how many work only together.
func parseSpec(text, task string) (s taskSpec) {
	parts := strings.Split(task, ".")
	step, _ := strconv.Atoi(parts[2])
	for _, field := range strings.Fields(text) {
		switch {
		case field == "lasts":
			s.lasts = true
		case field == "saves":
			s.saves = true
		case strings.HasPrefix(field, "gang="):
			s.gang, _ = strconv.Atoi(field[len("gang="):])
		case strings.HasPrefix(field, "ms="):
			times := strings.Split(field[len("ms="):], ",")
			ms, _ := strconv.Atoi(times[min(step, len(times)-1)])
			s.duration = time.Duration(ms) * time.Millisecond
		}
	}
	return s
}
