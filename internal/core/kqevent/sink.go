package kqevent

import (
	"io"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	sinkLines  = 2048
	flushBound = 300 * time.Millisecond
	// writeBytes is from how many bytes on no further line is written together
	// with others: a pipe takes a page whole or not at all.
	writeBytes = 2 << 10
)

// Sink passes log lines on without ever making the writer wait: lines that find
// no place in its queue are left out and counted.
type Sink struct {
	tomb  tomb.Tomb
	out   io.Writer
	lines chan []byte
	left  atomic.Uint64
}

// NewSink returns a Sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, sinkLines)}
	s.tomb.Go(s.loop)
	return s
}

// Write takes one line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.left.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; Close writes what is queued.
func (s *Sink) Sync() error { return nil }

// LeftOut returns how many lines were left out.
func (s *Sink) LeftOut() uint64 { return s.left.Load() }

// Queued returns how many lines wait to be written.
func (s *Sink) Queued() int { return len(s.lines) }

// Close writes what is queued, for a short while at most.
func (s *Sink) Close() {
	s.tomb.Kill(nil)
	select {
	case <-s.tomb.Dead():
	case <-time.After(flushBound):
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

// write writes a line together with those that are queued behind it.
func (s *Sink) write(line []byte) {
	for len(line) < writeBytes {
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
