// Package kqstream exchanges messages in both directions over a TCP connection. A message is a
// length of four bytes, in big-endian order, and a body in JSON. Empty messages are heartbeats;
// the connection to a peer that sends nothing for SilenceTimeout is closed.
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
	headerBytes = 4
	// maxMessageBytes is the maximum size of the body of a received message.
	maxMessageBytes = 8 << 20
	// maxQueuedBytes is the maximum size of the messages that wait for a slow peer.
	maxQueuedBytes = 16 << 20
	// HeartbeatInterval is the time without a message after which a heartbeat is sent.
	HeartbeatInterval = 400 * time.Millisecond
	// SilenceTimeout is the time without a message after which the connection is closed. It
	// also limits the duration of a write.
	SilenceTimeout  = 1600 * time.Millisecond
	readBufferBytes = 8 << 10
)

// ErrTooLarge is the error of a received message that exceeds maxMessageBytes.
var ErrTooLarge = eris.New("stream: received message exceeds 8 MiB")

// Config holds the callbacks of a Stream.
type Config struct {
	// OnMessage handles a message. It is called by one goroutine, in the order of the messages.
	OnMessage func(s *Stream, message []byte)
	// OnClose is called once, after the last call of OnMessage, with the error that ended the
	// stream.
	OnClose func(s *Stream, err error)
}

// Stream is a connection that sends and receives messages.
type Stream struct {
	config Config
	conn   net.Conn
	tomb   tomb.Tomb

	mu     sync.Mutex
	queued []byte
	wake   chan struct{}
}

// New returns a Stream over conn and starts to read and write.
func New(conn net.Conn, c Config) *Stream {
	s := &Stream{config: c, conn: conn, wake: make(chan struct{}, 1)}
	s.tomb.Go(s.run)
	return s
}

// Send encodes v as JSON and queues it. It never blocks. The connection is closed if v cannot be
// encoded, or if the queue exceeds maxQueuedBytes because the peer does not read.
func (s *Stream) Send(v any) {
	body, err := json.Marshal(v)
	if err != nil {
		s.tomb.Kill(eris.Wrap(err, "stream: encode"))
		return
	}
	s.mu.Lock()
	s.queued = binary.BigEndian.AppendUint32(s.queued, uint32(len(body)))
	s.queued = append(s.queued, body...)
	tooMuchQueued := len(s.queued) > maxQueuedBytes
	s.mu.Unlock()
	if tooMuchQueued {
		s.Close()
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close closes the connection; queued messages may be lost.
func (s *Stream) Close() {
	s.tomb.Kill(nil)
	_ = s.conn.Close()
}

// Done returns a channel that is closed when the stream has ended.
func (s *Stream) Done() <-chan struct{} { return s.tomb.Dead() }

func (s *Stream) run() error {
	s.tomb.Go(s.writeLoop)
	err := s.readLoop()
	s.tomb.Kill(err)
	_ = s.conn.Close()
	s.config.OnClose(s, err)
	return nil
}

func (s *Stream) readLoop() error {
	r := bufio.NewReaderSize(s.conn, readBufferBytes)
	var header [headerBytes]byte
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(SilenceTimeout)); err != nil {
			return err
		}
		if _, err := io.ReadFull(r, header[:]); err != nil {
			return err
		}
		n := binary.BigEndian.Uint32(header[:])
		if n > maxMessageBytes {
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
	heartbeat := time.NewTimer(HeartbeatInterval)
	defer heartbeat.Stop()
	var buffer []byte
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.wake:
		case <-heartbeat.C:
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
		heartbeat.Reset(HeartbeatInterval)
	}
}
