package kqevent

import (
	"fmt"
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
	Keep int
}

const defaultKeep = 4096

// Log remembers the latest events and passes each to the logger.
type Log struct {
	process string
	logger  *zap.Logger

	mu   sync.Mutex
	ring []Event
	next int
	full bool
}

// New returns an empty Log.
func New(c Config) *Log {
	if c.Keep == 0 {
		c.Keep = defaultKeep
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &Log{process: c.Process, logger: c.Logger, ring: make([]Event, c.Keep)}
}

// Emit remembers an event; a nil Log drops it.
func (l *Log) Emit(now time.Time, n Number, s Subject, format string, args ...any) {
	if l == nil {
		return
	}
	e := Event{Number: n, At: now, Process: l.process, Subject: s, Text: fmt.Sprintf(format, args...)}
	l.write(e)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next] = e
	l.next++
	if l.next == len(l.ring) {
		l.next, l.full = 0, true
	}
}

func (l *Log) write(e Event) {
	level := zap.InfoLevel
	if e.Subject.Kind == "call" {
		level = zap.DebugLevel
	}
	if c := l.logger.Check(level, e.Number.String()); c != nil {
		c.Write(zap.Uint32("event", uint32(e.Number)), zap.String("process", e.Process),
			zap.String("kind", e.Subject.Kind), zap.String("id", e.Subject.ID), zap.String("text", e.Text))
	}
}

// About returns the remembered events of a subject, oldest first.
func (l *Log) About(s Subject) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	start := 0
	if l.full {
		start = l.next
	}
	for i := range l.ring {
		e := l.ring[(start+i)%len(l.ring)]
		if e.Number != 0 && e.Subject == s {
			out = append(out, e)
		}
	}
	return out
}
