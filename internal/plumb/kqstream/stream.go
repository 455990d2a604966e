// Package kqstream carries messages both ways over one TCP connection: each is
// a length of four bytes and a JSON text. Empty messages are heartbeats; a peer
// that is silent for too long is cut.
package kqstream

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"
)

const (
	headBytes = 4
	// maxMessage bounds a message, in bytes.
	maxMessage = 8 << 20
	// maxQueued bounds what waits for a slow peer, in bytes.
	maxQueued = 16 << 20
	// HeartbeatInterval is the longest time between two messages.
	HeartbeatInterval = 400 * time.Millisecond
	// SilenceBound is after how much silence a peer is cut.
	SilenceTimeout = 1600 * time.Millisecond
	readBuffer     = 8 << 10
)

// ErrTooLarge says that a message is over the bound.
var ErrTooLarge = eris.New("stream: message over the bound")

// Config sets up a Stream.
type Config struct {
	// Receive takes each message; it is called in order, by one goroutine.
	OnMessage func(s *Stream, message []byte)
	// Closed is called once after the last Receive.
	OnClose func(s *Stream, err error)
}

// Stream is one connection.
type Stream struct {
	config Config
	conn   net.Conn
	tomb   tomb.Tomb

	mu     sync.Mutex
	queued []byte
	wake   chan struct{}
}

// New begins to read from and write to a connection.
func New(conn net.Conn, c Config) *Stream {
	s := &Stream{config: c, conn: conn, wake: make(chan struct{}, 1)}
	s.tomb.Go(s.run)
	return s
}

// Send queues a message and never blocks; a peer that does not read is cut.
func (s *Stream) Send(v any) {
	body, err := json.Marshal(v)
	if err != nil {
		s.tomb.Kill(eris.Wrap(err, "stream: encode"))
		return
	}
	s.mu.Lock()
	s.queued = binary.BigEndian.AppendUint32(s.queued, uint32(len(body)))
	s.queued = append(s.queued, body...)
	over := len(s.queued) > maxQueued
	s.mu.Unlock()
	if over {
		s.Close()
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close cuts the connection.
func (s *Stream) Close() {
	s.tomb.Kill(nil)
	_ = s.conn.Close()
}

// Done is closed when the stream has ended.
func (s *Stream) Done() <-chan struct{} { return s.tomb.Dead() }

func (s *Stream) run() error {
	s.tomb.Go(s.writeLoop)
	err := s.readAll()
	s.tomb.Kill(err)
	_ = s.conn.Close()
	s.config.OnClose(s, err)
	return nil
}

func (s *Stream) readAll() error {
	r := bufio.NewReaderSize(s.conn, readBuffer)
	var head [headBytes]byte
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(SilenceTimeout)); err != nil {
			return err
		}
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return err
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > maxMessage {
			return ErrTooLarge
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(r, body); err != nil {
			return err
		}
		if n > 0 {
			s.config.OnMessage(s, body)
		}
	}
}

func (s *Stream) writeLoop() error {
	beat := time.NewTimer(HeartbeatInterval)
	defer beat.Stop()
	var buffer []byte
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.wake:
		case <-beat.C:
		}
		s.mu.Lock()
		buffer, s.queued = s.queued, buffer[:0]
		s.mu.Unlock()
		if len(buffer) == 0 {
			buffer = append(buffer, 0, 0, 0, 0)
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(SilenceTimeout))
		if _, err := s.conn.Write(buffer); err != nil {
			_ = s.conn.Close()
			return err
		}
		beat.Reset(HeartbeatInterval)
	}
}
