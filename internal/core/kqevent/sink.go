package kqevent

import (
	"io"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	maxQueuedLines = 2048
	closeTimeout   = 300 * time.Millisecond
	// batchBytes is the size from which no further line is added to a write. It is smaller than
	// a page, because a pipe accepts a page either whole or not at all.
	batchBytes = 2 << 10
)

// Sink writes log lines in the background, so that a slow reader of the log never blocks the
// process. Lines that arrive while its queue is full are dropped and counted.
type Sink struct {
	tomb    tomb.Tomb
	out     io.Writer
	lines   chan []byte
	leftOut atomic.Uint64
}

// NewSink returns a Sink that writes to out and starts its loop.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines)}
	s.tomb.Go(s.loop)
	return s
}

// Write queues a line, or drops it if the queue is full. It never blocks or fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.leftOut.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; Close writes the queued lines.
func (s *Sink) Sync() error { return nil }

// LeftOut returns the number of dropped lines.
func (s *Sink) LeftOut() uint64 { return s.leftOut.Load() }

// Queued returns the number of lines that wait to be written.
func (s *Sink) Queued() int { return len(s.lines) }

// Close writes the queued lines and stops the loop. It returns after closeTimeout even if out
// does not accept them.
func (s *Sink) Close() {
	s.tomb.Kill(nil)
	select {
	case <-s.tomb.Dead():
	case <-time.After(closeTimeout):
	}
}

func (s *Sink) loop() error {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
			continue
		case <-s.tomb.Dying():
		}
		for {
			select {
			case line := <-s.lines:
				s.write(line)
			default:
				return nil
			}
		}
	}
}

// write writes a line together with the queued lines after it, until the write has batchBytes.
func (s *Sink) write(line []byte) {
	for len(line) < batchBytes {
		select {
		case more := <-s.lines:
			line = append(line, more...)
			continue
		default:
		}
		break
	}
	_, _ = s.out.Write(line)
}
