package kqevent

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Subject identifies what an event is about.
type Subject struct {
	// Kind is call, job, task, worker, class or process.
	Kind string
	// ID is unique within the kind.
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

// Event is an occurrence of a kind of event.
type Event struct {
	// Number identifies the kind of event.
	Number Number
	// At is the time of the event.
	At time.Time
	// Process is the name of the process that emitted the event.
	Process string
	// Subject is what the event is about.
	Subject Subject
	// Text describes the event and its reasons to operators.
	Text string
}

// Config configures a Log.
type Config struct {
	// Process is the name of the process, recorded with each event.
	Process string
	// Logger receives the events; if it is nil, nothing is logged.
	Logger *zap.Logger
	// MaxEvents is the number of events kept in memory; 0 means 4096.
	MaxEvents int
	// PerSecond limits how many events of a kind are logged per second; 0 means no limit.
	// Events over the limit are counted, and the next event of the kind that is logged states
	// their number.
	PerSecond int
	// DecisionsPerSecond is the same limit for each kind that records a decision on a request;
	// 0 means no limit. It should be high enough that no decision is missing from the log.
	DecisionsPerSecond int
}

// eventRate counts the events of a kind and limits how many are logged per second.
type eventRate struct {
	unixSecond     int64
	loggedInSecond int
	leftOut        int
	total          uint64
}

const (
	defaultMaxEvents = 4096
	// clientEventsPerSecond limits the events of each kind that clients cause. The others are counted and not kept,
	// so that clients cannot displace what explains the work of others.
	clientEventsPerSecond = 10
)

// Log keeps the latest events in memory and writes events to the logger.
type Log struct {
	process string
	logger  *zap.Logger

	perSecond          int
	decisionsPerSecond int

	mu      sync.Mutex
	rates   map[Number]*eventRate
	ring    []Event
	next    int
	wrapped bool
}

// New returns an empty Log.
func New(c Config) *Log {
	if c.MaxEvents == 0 {
		c.MaxEvents = defaultMaxEvents
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &Log{process: c.Process, logger: c.Logger, perSecond: c.PerSecond, decisionsPerSecond: c.DecisionsPerSecond, rates: map[Number]*eventRate{}, ring: make([]Event, c.MaxEvents)}
}

// admit counts an event. It returns whether the event is within the rate limit and is to be
// logged, and if so, how many events of its kind were left out since the last logged one.
func (l *Log) admit(now time.Time, n Number) (leftOut int, logged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rates[n]
	if r == nil {
		r = &eventRate{}
		l.rates[n] = r
	}
	r.total++
	if s := now.Unix(); s != r.unixSecond {
		r.unixSecond, r.loggedInSecond = s, 0
	}
	limit := l.perSecond
	if n.isDecision() {
		limit = l.decisionsPerSecond
	}
	if n.isCausedByClients() {
		limit = clientEventsPerSecond
	}
	if limit > 0 && r.loggedInSecond >= limit {
		r.leftOut++
		return 0, false
	}
	r.loggedInSecond++
	leftOut, r.leftOut = r.leftOut, 0
	return leftOut, true
}

// Counts returns the number of emitted events of each kind, by name.
func (l *Log) Counts() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]uint64, len(l.rates))
	for n, r := range l.rates {
		out[n.String()] = r.total
	}
	return out
}

// Emit logs an event within the rate limit and keeps it in memory. A nil Log ignores it.
func (l *Log) Emit(now time.Time, n Number, s Subject, format string, args ...any) {
	l.EmitFields(now, n, s, nil, format, args...)
}

// EmitFields is like Emit and adds fields for programs that read the log.
func (l *Log) EmitFields(now time.Time, n Number, s Subject, fields []Field, format string, args ...any) {
	if l == nil {
		return
	}
	e := Event{Number: n, At: now, Process: l.process, Subject: s, Text: fmt.Sprintf(format, args...)}
	leftOut, logged := l.admit(now, n)
	switch {
	case logged:
		l.write(e, leftOut, fields)
	case n.isCausedByClients():
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next] = e
	l.next++
	if l.next == len(l.ring) {
		l.next, l.wrapped = 0, true
	}
}

// write logs e; events of calls are logged at level debug.
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

// BySubject returns the events of a subject that are in memory, oldest first.
func (l *Log) BySubject(s Subject) []Event {
	return l.filter(func(x Subject) bool { return x == s })
}

// ByJob returns the events of a job and of its tasks that are in memory, oldest first. The ID
// of a task starts with the ID of its job and a dot.
func (l *Log) ByJob(id string) []Event {
	return l.filter(func(x Subject) bool {
		return x == Job(id) || x.Kind == "task" && strings.HasPrefix(x.ID, id+".")
	})
}

// filter returns the events in memory whose subject matches, oldest first.
func (l *Log) filter(match func(Subject) bool) []Event {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	start := 0
	if l.wrapped {
		start = l.next
	}
	for i := range l.ring {
		e := l.ring[(start+i)%len(l.ring)]
		if e.Number != 0 && match(e.Subject) {
			out = append(out, e)
		}
	}
	return out
}
