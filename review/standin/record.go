package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// taskHistory is what the workers have seen of one task.
type taskHistory struct {
	starts []runStart
	// doneAt is when a run first ended done, notedAt when that end was first taken note of.
	doneAt, notedAt time.Time
	doneRun         uint64
	atWork          int
}

type runStart struct {
	at     time.Time
	worker string
	run    uint64
}

// recorder writes record.txt and keeps what the checks need.
type recorder struct {
	mu      sync.Mutex
	began   time.Time
	file    *os.File
	out     *bufio.Writer
	tasks   map[string]*taskHistory
	jobRuns map[string]int
	// quiet leaves single starts and ends out of the record.
	quiet bool
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: f, out: bufio.NewWriter(f), tasks: map[string]*taskHistory{}, jobRuns: map[string]int{}}, nil
}

func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func (r *recorder) task(name string) *taskHistory {
	t := r.tasks[name]
	if t == nil {
		t = &taskHistory{}
		r.tasks[name] = t
	}
	return t
}

func (r *recorder) started(w *worker, x *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.task(x.task)
	t.starts = append(t.starts, runStart{time.Now(), w.host.name, x.number})
	t.atWork++
	r.jobRuns[jobOf(x.task)]++
	if !r.quiet || len(t.starts) > 1 {
		r.write("worker %s: start of %s run %d", w.host.name, x.task, x.number)
	}
}

func (r *recorder) ended(w *worker, x *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.task(x.task)
	t.atWork--
	if how == "done" && t.doneAt.IsZero() {
		t.doneAt, t.doneRun = time.Now(), x.number
	}
	if !r.quiet || how != "done" && how != "lost" {
		r.write("worker %s: end of %s run %d: %s", w.host.name, x.task, x.number, how)
	}
}

func (r *recorder) noted(w *worker, e ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.task(e.task)
	if e.how == "done" && t.notedAt.IsZero() {
		t.notedAt = time.Now()
	}
	if !r.quiet {
		r.write("worker %s: end %d of %s run %d (%s) is taken note of", w.host.name, e.n, e.task, e.number, e.how)
	}
}

// runsOf returns how many runs of a job's tasks the workers have started.
func (r *recorder) runsOf(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobRuns[job]
}

// history returns a copy of what is known of the tasks.
func (r *recorder) history() map[string]taskHistory {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]taskHistory, len(r.tasks))
	for k, t := range r.tasks {
		out[k] = *t
	}
	return out
}
