package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

var scenarios = map[string]scenario{
	"lost-manifest": {size: size{agents: 4, entries: 2, cpu: 64000, memMB: 256000, racks: 2}, quiet: true, queue: "first", play: playLostManifest},
	"many-ends":     {size: size{agents: 4, entries: 2, cpu: 64000, memMB: 256000, racks: 2}, quiet: true, queue: "first", play: playManyEnds},
	"large-record":  {size: size{agents: 4, entries: 2, cpu: 64000, memMB: 256000, racks: 1}, quiet: true, queue: "first", play: playLargeRecord},
	"late-cancel":   {size: size{agents: 4, entries: 2, cpu: 64000, memMB: 256000, racks: 2}, queue: "first", play: playLateCancel},
	"flapping":      {size: size{agents: 10, entries: 2, cpu: 64000, memMB: 256000, racks: 3, labelled: true}, queue: "first", play: playFlapping},
	"last-attempt":  {size: size{agents: 11, entries: 2, cpu: 64000, memMB: 256000, racks: 4, labelled: true}, queue: "first", play: playLastAttempt},
	"large-task":    {size: size{agents: 7, entries: 2, cpu: 64000, memMB: 256000, racks: 3, larger: true}, queue: "first", play: playLargeTask},
	"advised-chain": {size: size{agents: 4, entries: 2, cpu: 64000, memMB: 256000, racks: 2}, queue: "first", play: playAdvisedChain},
	"stale-pending": {size: size{agents: 4, entries: 2, cpu: 64000, memMB: 256000, racks: 2}, queue: "first", play: playStalePending},
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"memMb"`
	EstimateMS    int    `json:"estimateMs"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Constraints   string `json:"constraints,omitempty"`
}

type jobBody struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	StartAtMS   int64  `json:"startAtMs,omitempty"`
	IntervalMS  int64  `json:"intervalMs,omitempty"`
}

func (b jobBody) text() string {
	out, _ := json.Marshal(b)
	return string(out)
}

// submitAll hands jobs in, a few at a time, and returns the ids of those that were accepted.
func (c *cluster) submitAll(queue string, bodies []string) []string {
	ids := make([]string, len(bodies))
	next := make(chan int)
	var all sync.WaitGroup
	for range 24 {
		all.Go(func() {
			for i := range next {
				id := newID()
				if c.submit(queue, id, bodies[i]) {
					ids[i] = id
				}
			}
		})
	}
	for i := range bodies {
		next <- i
	}
	close(next)
	all.Wait()
	var out []string
	for _, id := range ids {
		if id != "" {
			out = append(out, id)
		}
	}
	return out
}

// playLostManifest: the owner of the cell is killed, and the operator adds a queue while another agent
// takes the cell over. A job of that queue is accepted and must begin.
func playLostManifest(c *cluster, trouble bool) (bool, error) {
	const scheduled = 2500
	later := jobBody{Spec: strings.Repeat("x", 1500), RepeatCount: 3, StartAtMS: time.Now().Add(time.Hour).UnixMilli(), IntervalMS: 60000}
	for range 12 {
		later.Steps = append(later.Steps, step{Count: 2, CPU: 500, MemMB: 256, EstimateMS: 900})
	}
	bodies := make([]string, scheduled)
	for i := range bodies {
		bodies[i] = later.text()
	}
	accepted := c.submitAll("first", bodies)
	c.record.add("caller: %d scheduled jobs are accepted, due in an hour", len(accepted))
	time.Sleep(2 * time.Second)
	queues := []string{"first"}
	for round := range 9 {
		name := fmt.Sprintf("added%d", round+1)
		queues = append(queues, name)
		if trouble {
			p := c.owner()
			if p == nil {
				return false, fmt.Errorf("nobody owns the cell")
			}
			taken := c.awaitTakeover(p)
			p.kill()
			select {
			case <-taken:
			case <-time.After(10 * time.Second):
				return false, fmt.Errorf("nobody took the cell over")
			}
			time.Sleep(time.Duration(round*40) * time.Millisecond)
			c.configure(queues...)
			time.Sleep(time.Second)
			if err := p.start(); err != nil {
				return false, err
			}
			time.Sleep(1500 * time.Millisecond)
		} else {
			c.configure(queues...)
			time.Sleep(2500 * time.Millisecond)
		}
		id := newID()
		if !c.submit(name, id, jobBody{Spec: "work=300", Steps: []step{{Count: 2, CPU: 500, MemMB: 256, EstimateMS: 300}}}.text()) {
			return false, fmt.Errorf("the job was not accepted")
		}
		c.record.add("caller: job %s of queue %s is accepted", id, name)
		began := func() bool { return c.record.runsOf(id) > 0 }
		for range 30 {
			if began() {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if began() {
			continue
		}
		c.record.add("caller: the job has not begun after 3 s; state %s", c.state(name, id))
		for range 17 {
			time.Sleep(time.Second)
			if began() {
				break
			}
		}
		running := 0
		for _, h := range c.workers {
			n, _ := h.worker().counts()
			running += n
		}
		c.record.add("caller: state of the job 20 s after it was accepted: %s; starts on workers: %d; runs at work on all workers: %d", c.state(name, id), c.record.runsOf(id), running)
		if !began() {
			return false, nil
		}
	}
	return true, nil
}

// awaitTakeover returns a channel that is closed when the store has answered the reads with which
// another process takes the cell over from p.
func (c *cluster) awaitTakeover(p *process) <-chan struct{} {
	done := make(chan struct{})
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	taken, reads := false, 0
	var mu sync.Mutex
	c.store.onCommit = func(t transaction) {
		for _, r := range t.Puts {
			if r.Table == "cells" && strings.HasSuffix(r.Key, ".owner") && !strings.Contains(string(r.Value), `"`+p.ip+`"`) {
				mu.Lock()
				taken = true
				mu.Unlock()
			}
		}
	}
	c.store.onRead = func(table, part string) {
		mu.Lock()
		defer mu.Unlock()
		if !taken || table != "submissions" {
			return
		}
		if reads++; reads == 16 {
			close(done)
		}
	}
	return done
}

// playManyEnds: jobs that are due at the same time run and end together. The process that owns the cell is
// killed shortly before, and starts again after a second. Until another one has taken over, more tasks have
// ended on each worker than one answer lists. None of them may be started again.
func playManyEnds(c *cluster, trouble bool) (bool, error) {
	const jobs, tasks = 3000, 2
	due := time.Now().Add(9 * time.Second)
	bodies := make([]string, jobs)
	for i := range bodies {
		bodies[i] = jobBody{Spec: "work=4000", RepeatCount: 1, StartAtMS: due.UnixMilli(), IntervalMS: 60000, Steps: []step{{Count: tasks, CPU: 40, MemMB: 64, EstimateMS: 4000}}}.text()
	}
	accepted := c.submitAll("first", bodies)
	c.record.add("caller: %d jobs with %d tasks each are accepted, due in %.1f s", len(accepted), tasks, time.Until(due).Seconds())
	time.Sleep(time.Until(due.Add(3900 * time.Millisecond)))
	c.logCounts()
	if trouble {
		p := c.owner()
		if p == nil {
			return false, fmt.Errorf("nobody owns the cell")
		}
		p.kill()
		time.Sleep(500 * time.Millisecond)
		c.logCounts()
		time.Sleep(500 * time.Millisecond)
		if err := p.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(25 * time.Second)
	return c.noneTwice(), nil
}

// logCounts records what the workers hold.
func (c *cluster) logCounts() {
	for _, h := range c.workers {
		n, ends := h.worker().counts()
		c.record.add("worker %s: %d runs at work, %d ends that are not taken note of", h.name, n, ends)
	}
}

// noneTwice reports whether no task was started after a run of it had ended done, or twice at once.
func (c *cluster) noneTwice() bool {
	broken, total := 0, 0
	for name, t := range c.record.history() {
		total++
		for _, s := range t.starts {
			if !t.doneAt.IsZero() && !t.notedAt.IsZero() && s.at.After(t.doneAt) {
				broken++
				if broken <= 20 {
					c.record.add("broken: task %s ended done (run %d), noted %.3f s later; run %d was started on %s %.3f s after that end", name, t.doneRun, t.notedAt.Sub(t.doneAt).Seconds(), s.run, s.worker, s.at.Sub(t.doneAt).Seconds())
				}
			}
		}
	}
	c.record.add("check: %d tasks have begun; %d starts came after a run of the task had ended done", total, broken)
	return broken == 0
}

// playLargeRecord: the workers of a rack crash while the tasks of a large job are at work.
func playLargeRecord(c *cluster, trouble bool) (bool, error) {
	big := newID()
	body := jobBody{Spec: "work=9000 ckpt=1", Steps: []step{{Count: 2400, CPU: 90, MemMB: 64, EstimateMS: 9000, Checkpointing: true}}}.text()
	if !c.submit("first", big, body) {
		return false, fmt.Errorf("the job was not accepted")
	}
	c.record.add("caller: job %s of 2400 tasks is accepted", big)
	time.Sleep(3500 * time.Millisecond)
	if trouble {
		for _, h := range c.workers[1:] {
			h.crash()
		}
		time.Sleep(3 * time.Second)
		for _, h := range c.workers[1:] {
			if err := h.start(); err != nil {
				return false, err
			}
		}
	}
	for range 25 {
		time.Sleep(time.Second)
		c.store.mu.Lock()
		refusals := c.store.refusals
		c.store.mu.Unlock()
		c.record.add("caller: state %s, %d starts, %d refused writes", c.state("first", big), c.record.runsOf(big), refusals)
	}
	small := newID()
	if !c.submit("first", small, jobBody{Spec: "work=300", Steps: []step{{Count: 2, CPU: 500, MemMB: 256, EstimateMS: 300}}}.text()) {
		return false, fmt.Errorf("the small job was not accepted")
	}
	time.Sleep(18 * time.Second)
	c.record.add("caller: the small job: state %s, %d starts; the large one: state %s", c.state("first", small), c.record.runsOf(small), c.state("first", big))
	return c.state("first", small) == "completed" && c.state("first", big) == "completed", nil
}

// playLateCancel: the store does not answer the write of one job and carries it out 5.5 s later. The
// caller leaves and cancels the job, which is acknowledged. The job must not run.
func playLateCancel(c *cluster, trouble bool) (bool, error) {
	id := newID()
	body := jobBody{Spec: "work=15000", Steps: []step{{Count: 2, CPU: 500, MemMB: 256, EstimateMS: 15000}}}.text()
	if trouble {
		c.store.loses = func(t transaction) (time.Duration, bool) {
			for _, p := range t.Puts {
				if p.Table == "submissions" && p.Key == id {
					return 5500 * time.Millisecond, true
				}
			}
			return 0, false
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	status, _ := c.call(ctx, c.fronts[0], http.MethodPost, "/first/"+id, body)
	c.record.add("caller: handing job %s in is answered with status %d (0: no answer, the caller leaves)", id, status)
	c.store.loses = nil
	status, text := c.call(context.Background(), c.fronts[1], http.MethodDelete, "/first/"+id, "")
	acked := time.Now()
	c.record.add("caller: cancelling job %s is answered with status %d %s", id, status, text)
	if status != http.StatusOK && status != http.StatusGone {
		return false, fmt.Errorf("the cancelling was not acknowledged")
	}
	time.Sleep(16 * time.Second)
	held := true
	for name, t := range c.record.history() {
		for _, s := range t.starts {
			if jobOf(name) == id && s.at.Sub(acked) > 3*time.Second {
				held = false
				c.record.add("broken: task %s run %d was started %.3f s after the cancelling was acknowledged", name, s.run, s.at.Sub(acked).Seconds())
			}
		}
		if jobOf(name) == id && t.atWork > 0 {
			held = false
			c.record.add("broken: task %s is at work %.3f s after the cancelling was acknowledged", name, time.Since(acked).Seconds())
		}
	}
	c.record.add("caller: state of the job: %s", c.state("first", id))
	return held, nil
}

// playStalePending: all `side` machines, with their agents and workers, lose power for 9 s. Jobs that are accepted meanwhile have to be counted.
func playStalePending(c *cluster, trouble bool) (bool, error) {
	if trouble {
		for i, p := range c.agents {
			p.kill()
			c.workers[i].crash()
		}
	}
	time.Sleep(500 * time.Millisecond)
	bodies := make([]string, 12)
	for i := range bodies {
		bodies[i] = jobBody{Spec: "work=300", Steps: []step{{Count: 2, CPU: 500, MemMB: 256, EstimateMS: 300}}}.text()
	}
	accepted := c.submitAll("first", bodies)
	at := time.Now()
	c.record.add("caller: %d jobs are accepted", len(accepted))
	held := true
	for time.Since(at) < 8400*time.Millisecond {
		time.Sleep(400 * time.Millisecond)
		waiting := 0
		for _, id := range accepted {
			if c.record.runsOf(id) == 0 {
				waiting++
			}
		}
		for _, f := range c.fronts {
			status, body := c.call(context.Background(), f, http.MethodGet, "/first/", "")
			var p struct {
				Pending int `json:"pending"`
			}
			_ = json.Unmarshal([]byte(body), &p)
			c.record.add("caller: %.1f s after the last ack: %d accepted jobs have not begun; an entry answers %d %s", time.Since(at).Seconds(), waiting, status, strings.TrimSpace(body))
			if status == http.StatusOK && time.Since(at) > 5100*time.Millisecond && 2*p.Pending < waiting {
				held = false
			}
		}
	}
	for i, p := range c.agents {
		if p.cmd != nil {
			continue
		}
		if err := c.workers[i].start(); err != nil {
			return false, err
		}
		if err := p.start(); err != nil {
			return false, err
		}
	}
	return held, nil
}

// playFlapping: a worker goes down and up by turns. A job that may run only there must not be shown as
// failed: none of its runs ends failed.
func playFlapping(c *cluster, trouble bool) (bool, error) {
	id := newID()
	h := c.workers[len(c.workers)-1]
	if !c.submit("first", id, jobBody{Spec: "work=3000", Steps: []step{{Count: 2, CPU: 500, MemMB: 256, EstimateMS: 3000, Constraints: specialLabel}}}.text()) {
		return false, fmt.Errorf("the job was not accepted")
	}
	c.record.add("caller: job %s is accepted; its tasks need the label %q, which only the worker of %s has", id, specialLabel, h.name)
	time.Sleep(400 * time.Millisecond)
	if trouble {
		const period, length = 910 * time.Millisecond, 6500 * time.Millisecond
		for until := time.Now().Add(length); time.Now().Before(until); {
			h.crash()
			time.Sleep(period / 2)
			if err := h.start(); err != nil {
				return false, err
			}
			time.Sleep(period / 2)
		}
	}
	state := ""
	for range 14 {
		time.Sleep(time.Second)
		state = c.state("first", id)
		c.record.add("caller: the job's state is %s", state)
	}
	return state == "completed", nil
}

// playLastAttempt: a worker fails all that it starts for 6.5 s, and is sound again. A job that may run only
// there, and has an attempt left, must be started again.
func playLastAttempt(c *cluster, trouble bool) (bool, error) {
	id := newID()
	h := c.workers[len(c.workers)-1]
	if trouble {
		h.setFailing(true)
	}
	began := time.Now()
	if !c.submit("first", id, jobBody{Spec: "work=900", Steps: []step{{Count: 1, CPU: 500, MemMB: 256, EstimateMS: 900, Constraints: specialLabel}}}.text()) {
		return false, fmt.Errorf("the job was not accepted")
	}
	c.record.add("caller: job %s is accepted; its task needs the label %q, which only the worker of %s has; 4 attempts", id, specialLabel, h.name)
	time.Sleep(6500*time.Millisecond - time.Since(began))
	if trouble {
		h.setFailing(false)
	}
	state := ""
	for range 20 {
		time.Sleep(time.Second)
		state = c.state("first", id)
		running, _ := h.worker().counts()
		c.record.add("caller: the job's state is %s; %d starts so far; %d runs at work on the worker", state, c.record.runsOf(id), running)
	}
	return state == "completed" || state == "failed" && c.record.runsOf(id) >= 4, nil
}

// playLargeTask: the larger worker is lost for good. A task that fits each of the others must run there.
func playLargeTask(c *cluster, trouble bool) (bool, error) {
	if trouble {
		for _, h := range c.workers {
			if h.cpu > c.workers[0].cpu {
				h.crash()
			}
		}
		time.Sleep(9 * time.Second)
	}
	id := newID()
	if !c.submit("first", id, jobBody{Spec: "work=2000", Steps: []step{{Count: 1, CPU: 61000, MemMB: 1024, EstimateMS: 2000}}}.text()) {
		return false, fmt.Errorf("the job was not accepted")
	}
	c.record.add("caller: job %s with a task of 61 cores is accepted", id)
	state := ""
	for range 20 {
		time.Sleep(time.Second)
		state = c.state("first", id)
		c.record.add("caller: the job's state is %s, %d starts", state, c.record.runsOf(id))
	}
	return state == "completed", nil
}

// playAdvisedChain: a larger job comes to a queue with advice: a chain of steps. It and the jobs of the other
// queue must be run.
func playAdvisedChain(c *cluster, trouble bool) (bool, error) {
	c.configure("first", advisedQueue)
	time.Sleep(2500 * time.Millisecond)
	chain := func(steps, tasks int) jobBody {
		b := jobBody{Spec: "work=300"}
		for n := range steps {
			x := step{Count: tasks, CPU: 500, MemMB: 256, EstimateMS: 300}
			if n > 0 {
				x.After = []int{n - 1}
			}
			b.Steps = append(b.Steps, x)
		}
		return b
	}
	hand := func(queue string, b jobBody) (string, error) {
		id := newID()
		if !c.submit(queue, id, b.text()) {
			return "", fmt.Errorf("a job of queue %s was not accepted", queue)
		}
		c.record.add("caller: job %s of queue %s is accepted: %d steps of %d tasks", id, queue, len(b.Steps), b.Steps[0].Count)
		return id, nil
	}
	first, err := hand(advisedQueue, chain(2, 8))
	if err != nil {
		return false, err
	}
	jobs := map[string]string{first: advisedQueue}
	time.Sleep(3 * time.Second)
	c.record.add("caller: job %s: state %s", first, c.state(advisedQueue, first))
	if trouble {
		id, err := hand(advisedQueue, chain(8, 24))
		if err != nil {
			return false, err
		}
		jobs[id] = advisedQueue
	}
	time.Sleep(time.Second)
	for range 3 {
		id, err := hand("first", chain(1, 4))
		if err != nil {
			return false, err
		}
		jobs[id] = "first"
		time.Sleep(time.Second)
	}
	for range 9 {
		time.Sleep(4 * time.Second)
		running := 0
		for _, h := range c.workers {
			n, _ := h.worker().counts()
			running += n
		}
		owner := "nobody"
		if p := c.owner(); p != nil {
			owner = p.name
		}
		c.record.add("caller: runs at work on all workers: %d; the cell's owner: %s", running, owner)
	}
	held := true
	for id, queue := range jobs {
		state := c.state(queue, id)
		c.record.add("caller: job %s of queue %s: state %s, %d starts", id, queue, state, c.record.runsOf(id))
		held = held && state == "completed"
	}
	return held, nil
}
