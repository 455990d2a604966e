package kqevent

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Subject names what an event is about.
type Subject struct {
	// Kind is call, job, task, worker, class or process.
	Kind string
	// ID is the name within the kind.
	ID string
}

// Call returns the subject of a call.
func Call(id string) Subject { return Subject{"call", id} }

// Task returns the subject of a task.
func Task(id string) Subject { return Subject{"task", id} }

// Job returns the subject of a job of steps.
func Job(id string) Subject { return Subject{"job", id} }

// Worker returns the subject of a worker.
func Worker(id string) Subject { return Subject{"worker", id} }

// Class returns the subject of a class.
func Class(name string) Subject { return Subject{"class", name} }

// Process returns the subject of a process.
func Process(id string) Subject { return Subject{"process", id} }

// Event is one thing that happened.
type Event struct {
	// Number identifies the kind of event.
	Number Number
	// At is when it happened.
	At time.Time
	// Process is who saw it.
	Process string
	// Subject is what it is about.
	Subject Subject
	// Text gives the reasons in a plain sentence.
	Text string
}

// Config sets up a Log.
type Config struct {
	// Process names the process in each event.
	Process string
	// Logger receives each event; nil logs nothing.
	Logger *zap.Logger
	// Keep is how many events are remembered; 0 means 4096.
	MaxEvents int
	// PerSecond bounds how many events of a kind are logged in a second; 0 sets
	// no bound. What is left out is counted and said with the next one logged.
	PerSecond int
	// DecisionsPerSecond is the same bound for each kind that is a decision on a
	// request, of which none should be missing; 0 sets no bound.
	DecisionsPerSecond int
}

// rate bounds the events of one kind.
type rate struct {
	second  int64
	logged  int
	leftOut int
	total   uint64
}

const defaultKeep = 4096

// Log remembers the latest events and passes each to the logger.
type Log struct {
	process string
	logger  *zap.Logger

	perSecond          int
	decisionsPerSecond int

	mu    sync.Mutex
	rates map[Number]*rate
	ring  []Event
	next  int
	full  bool
}

// New returns an empty Log.
func New(c Config) *Log {
	if c.MaxEvents == 0 {
		c.MaxEvents = defaultKeep
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &Log{process: c.Process, logger: c.Logger, perSecond: c.PerSecond, decisionsPerSecond: c.DecisionsPerSecond, rates: map[Number]*rate{}, ring: make([]Event, c.MaxEvents)}
}

// admit counts an event and returns whether it is logged, and how many of its
// kind were left out since the last that was.
func (l *Log) admit(now time.Time, n Number) (leftOut int, logged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rates[n]
	if r == nil {
		r = &rate{}
		l.rates[n] = r
	}
	r.total++
	if s := now.Unix(); s != r.second {
		r.second, r.logged = s, 0
	}
	bound := l.perSecond
	if n.decides() {
		bound = l.decisionsPerSecond
	}
	if bound > 0 && r.logged >= bound {
		r.leftOut++
		return 0, false
	}
	r.logged++
	leftOut, r.leftOut = r.leftOut, 0
	return leftOut, true
}

// Counts returns how often each kind of event was emitted, by name.
func (l *Log) Counts() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]uint64, len(l.rates))
	for n, r := range l.rates {
		out[n.String()] = r.total
	}
	return out
}

// Emit remembers an event; a nil Log drops it.
func (l *Log) Emit(now time.Time, n Number, s Subject, format string, args ...any) {
	l.EmitFields(now, n, s, nil, format, args...)
}

// EmitFields is Emit with fields for programs that read the log.
func (l *Log) EmitFields(now time.Time, n Number, s Subject, fields []Field, format string, args ...any) {
	if l == nil {
		return
	}
	e := Event{Number: n, At: now, Process: l.process, Subject: s, Text: fmt.Sprintf(format, args...)}
	if leftOut, logged := l.admit(now, n); logged {
		l.write(e, leftOut, fields)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next] = e
	l.next++
	if l.next == len(l.ring) {
		l.next, l.full = 0, true
	}
}

func (l *Log) write(e Event, leftOut int, fields []Field) {
	if leftOut > 0 {
		e.Text += fmt.Sprintf(" (%d more of %s left out)", leftOut, e.Number)
	}
	level := zap.InfoLevel
	if e.Subject.Kind == "call" {
		level = zap.DebugLevel
	}
	if c := l.logger.Check(level, e.Number.String()); c != nil {
		c.Write(append([]Field{zap.Uint32("event", uint32(e.Number)), zap.String("process", e.Process),
			zap.String("kind", e.Subject.Kind), zap.String("id", e.Subject.ID), zap.String("text", e.Text)}, fields...)...)
	}
}

// About returns the remembered events of a subject, oldest first.
func (l *Log) BySubject(s Subject) []Event {
	return l.find(func(x Subject) bool { return x == s })
}

// AboutJob returns the remembered events of a job and of its tasks, whose names
// begin with the job's and a dot, oldest first.
func (l *Log) ByJob(id string) []Event {
	return l.find(func(x Subject) bool {
		return x == Job(id) || x.Kind == "task" && strings.HasPrefix(x.ID, id+".")
	})
}

func (l *Log) find(wanted func(Subject) bool) []Event {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	start := 0
	if l.full {
		start = l.next
	}
	for i := range l.ring {
		e := l.ring[(start+i)%len(l.ring)]
		if e.Number != 0 && wanted(e.Subject) {
			out = append(out, e)
		}
	}
	return out
}
