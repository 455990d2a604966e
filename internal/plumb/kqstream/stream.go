// Package kqstream exchanges messages in both directions over a TCP connection. A message is a
// length of four bytes, in big-endian order, and a body in JSON. Empty messages are heartbeats;
// the connection to a peer that sends nothing for SilenceTimeout is closed. Messages are written and read in
// chunks, so that a large one may take longer than that.
package kqstream

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"
)

const (
	headerBytes = 4
	// MaxMessageBytes is the maximum size of the body of a message.
	MaxMessageBytes = 8 << 20
	// maxQueuedBytes is the maximum size of the messages that wait for a slow peer.
	maxQueuedBytes = 16 << 20
	// HeartbeatInterval is the time without a message after which a heartbeat is sent.
	HeartbeatInterval = 400 * time.Millisecond
	// SilenceTimeout is the time without any received byte after which the connection is closed. It
	// also limits the duration of the write of a chunk.
	SilenceTimeout  = 1600 * time.Millisecond
	writeChunkBytes = 64 << 10
	readBufferBytes = 8 << 10
	// maxIdleBufferBytes is the size above which a buffer is not kept for later messages.
	maxIdleBufferBytes = 256 << 10
)

// Errors that end a stream over a size.
var (
	// ErrTooLarge is the error of a received message that exceeds MaxMessageBytes.
	ErrTooLarge = eris.New("stream: received message exceeds 8 MiB")
	// ErrSendTooLarge is the error of a message to be sent that exceeds MaxMessageBytes.
	ErrSendTooLarge = eris.New("stream: message to be sent exceeds 8 MiB")
	// ErrQueueFull is the error of messages that exceed maxQueuedBytes before the peer has read them.
	ErrQueueFull = eris.New("stream: more than 16 MiB wait for the peer")
)

// IsSizeError reports whether a stream has ended over a size. The same messages end the next one too.
func IsSizeError(err error) bool {
	return errors.Is(err, ErrTooLarge) || errors.Is(err, ErrSendTooLarge) || errors.Is(err, ErrQueueFull)
}

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
	// parts holds the parts that are encoded and written one by one, after the queued messages.
	parts []any
	wake  chan struct{}
}

// New returns a Stream over conn and starts to read and write.
func New(conn net.Conn, c Config) *Stream {
	s := &Stream{config: c, conn: conn, wake: make(chan struct{}, 1)}
	s.tomb.Go(s.run)
	return s
}

// Send encodes v as JSON and queues it. It never blocks. The connection is closed if v cannot be
// encoded or exceeds MaxMessageBytes, or if the queue exceeds maxQueuedBytes because the peer does not read.
func (s *Stream) Send(v any) {
	body, err := encode(v)
	if err != nil {
		s.fail(err)
		return
	}
	s.mu.Lock()
	s.queued = appendMessage(s.queued, body)
	tooMuchQueued := len(s.queued) > maxQueuedBytes
	s.mu.Unlock()
	if tooMuchQueued {
		s.fail(ErrQueueFull)
		return
	}
	s.wakeWriter()
}

// SendParts sends messages one after another, each once the peer has read what was sent before, and after
// all earlier parts. Other messages may overtake them, and they do not count towards maxQueuedBytes. Like
// Send, it never blocks and closes the connection if a message cannot be sent. The caller must not change
// the messages.
func (s *Stream) SendParts(messages ...any) {
	s.mu.Lock()
	mayQueue := len(s.parts) == 0 && len(messages) == 1
	if !mayQueue {
		s.parts = append(s.parts, messages...)
	}
	s.mu.Unlock()
	if mayQueue {
		s.Send(messages[0])
		return
	}
	s.wakeWriter()
}

// wakeWriter lets the writer check what there is to write.
func (s *Stream) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// encode returns the body of a message.
func encode(v any) ([]byte, error) {
	body, err := json.Marshal(v)
	switch {
	case err != nil:
		return nil, eris.Wrap(err, "stream: encode")
	case len(body) > MaxMessageBytes:
		return nil, ErrSendTooLarge
	}
	return body, nil
}

// appendMessage appends a message with a body.
func appendMessage(buffer, body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(buffer, uint32(len(body))), body...)
}

// Close closes the connection; queued messages may be lost.
func (s *Stream) Close() { s.fail(nil) }

// fail closes the connection because of an error.
func (s *Stream) fail(err error) {
	s.tomb.Kill(err)
	_ = s.conn.Close()
}

// Err returns the error that ended the stream; nil if it was closed by Close alone.
func (s *Stream) Err() error {
	if err := s.tomb.Err(); err != tomb.ErrStillAlive {
		return err
	}
	return nil
}

// Done returns a channel that is closed when the stream has ended.
func (s *Stream) Done() <-chan struct{} { return s.tomb.Dead() }

func (s *Stream) run() error {
	s.tomb.Go(s.writeLoop)
	err := s.readLoop()
	s.tomb.Kill(err)
	_ = s.conn.Close()
	s.config.OnClose(s, s.Err())
	return nil
}

// chunkReader reads from a connection. Each read has a time limit of its own.
type chunkReader struct{ conn net.Conn }

// Read fails if nothing arrives for SilenceTimeout.
func (r chunkReader) Read(p []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(SilenceTimeout)); err != nil {
		return 0, err
	}
	return r.conn.Read(p)
}

func (s *Stream) readLoop() error {
	r := bufio.NewReaderSize(chunkReader{s.conn}, readBufferBytes)
	var header [headerBytes]byte
	for {
		if _, err := io.ReadFull(r, header[:]); err != nil {
			return err
		}
		n := binary.BigEndian.Uint32(header[:])
		if n > MaxMessageBytes {
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
		var part any
		if buffer, part = s.takeQueued(buffer); part != nil {
			body, err := encode(part)
			if err != nil {
				s.fail(err)
				return err
			}
			buffer = appendMessage(buffer, body)
		}
		if len(buffer) == 0 {
			buffer = append(buffer, 0, 0, 0, 0)
		}
		if err := s.write(buffer); err != nil {
			_ = s.conn.Close()
			return err
		}
		if cap(buffer) > maxIdleBufferBytes {
			buffer = nil
		}
		heartbeat.Reset(HeartbeatInterval)
	}
}

// takeQueued takes the queued messages and the next part, if there is one; the queue continues in the old buffer.
// It wakes the writer for the part after that.
func (s *Stream) takeQueued(old []byte) (queued []byte, part any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queued, s.queued = s.queued, old[:0]
	if len(s.parts) > 0 {
		part, s.parts[0] = s.parts[0], nil
		s.parts = s.parts[1:]
	}
	if len(s.parts) > 0 {
		s.wakeWriter()
	}
	return queued, part
}

// write writes a buffer in chunks.
func (s *Stream) write(buffer []byte) error {
	for len(buffer) > 0 {
		n := min(len(buffer), writeChunkBytes)
		_ = s.conn.SetWriteDeadline(time.Now().Add(SilenceTimeout))
		if _, err := s.conn.Write(buffer[:n]); err != nil {
			return err
		}
		buffer = buffer[n:]
	}
	return nil
}
