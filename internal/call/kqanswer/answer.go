// Package kqanswer keeps the answers of calls at the agent, limited in time and size, so that an
// answer whose connection was lost can be fetched again.
package kqanswer

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// Header is one HTTP header with its values.
type Header struct {
	// Name is the canonical name.
	Name string
	// Values lists the values in order.
	Values []string
}

// Head is the status and the headers of an answer.
type Head struct {
	// Status is the HTTP status.
	Status int
	// Headers lists the headers in the order received.
	Headers []Header
}

// Piece is what one read of an answer returns: any of the head, body bytes and the end. A small
// answer that has ended is returned in one Piece.
type Piece struct {
	// Head is set in the first piece.
	Head *Head
	// Chunk holds body bytes.
	Chunk []byte
	// End is true in the piece with the last body bytes or in the one after it.
	End bool
	// Size is the length of the whole body in bytes; set with End.
	Size uint64
	// Failure is the reason why there is no complete answer.
	Failure *kqresult.Error
}

// Answer buffers the answer of one attempt. It has one producer and any number of readers. While
// the body is produced, between windowBytes and twice as many bytes are kept behind the latest
// reader, and the producer waits while it is windowBytes or more ahead of that reader.
type Answer struct {
	mu sync.Mutex
	// changed is closed and replaced on every change.
	changed chan struct{}
	head    *Head
	buffer  []byte
	// bufferOffset is the body offset of the first byte in buffer.
	bufferOffset uint64
	// readerOffset is the body offset that the latest reader has reached.
	readerOffset uint64
	ended        bool
	failure      *kqresult.Error
	begunAt      time.Time
	windowBytes  int
}

func newAnswer(windowBytes int) *Answer {
	return &Answer{changed: make(chan struct{}), windowBytes: windowBytes}
}

// signalChange wakes every waiting reader and the producer. The caller must hold mu.
func (a *Answer) signalChange() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetHead stores the head.
func (a *Answer) SetHead(h Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &h
	a.signalChange()
}

// SetHeadAndBody stores the head and the whole body. Waiting readers wake when the answer is closed.
func (a *Answer) SetHeadAndBody(h Head, body []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head, a.buffer = &h, body
}

// Append adds body bytes. It waits while the unread bytes reach windowBytes, and returns an error if
// ctx ends first.
func (a *Answer) Append(ctx context.Context, b []byte) error {
	for {
		a.mu.Lock()
		if a.endOffset()-a.readerOffset < uint64(a.windowBytes) {
			a.buffer = append(a.buffer, b...)
			a.trim()
			a.signalChange()
			a.mu.Unlock()
			return nil
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// endOffset returns the offset after the last byte added. The caller must hold mu.
func (a *Answer) endOffset() uint64 { return a.bufferOffset + uint64(len(a.buffer)) }

// trim drops bytes that are more than windowBytes behind the reader, in steps of at least
// windowBytes. The caller must hold mu.
func (a *Answer) trim() {
	from := uint64(0)
	if a.readerOffset > uint64(a.windowBytes) {
		from = a.readerOffset - uint64(a.windowBytes)
	}
	if drop := int(from) - int(a.bufferOffset); drop >= a.windowBytes {
		a.buffer = append(a.buffer[:0:0], a.buffer[drop:]...)
		a.bufferOffset = from
	}
}

// close ends the answer; failure is nil if it is complete.
func (a *Answer) close(failure *kqresult.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended, a.failure = true, failure
	a.signalChange()
}

// Reader reads an answer from an offset.
type Reader struct {
	answer    *Answer
	offset    uint64
	headSent  bool
	firstRead bool
}

// NewReader returns a Reader that begins at a body offset. If headSeen is true, the head is omitted.
func (a *Answer) NewReader(offset uint64, headSeen bool) *Reader {
	return &Reader{answer: a, offset: offset, headSent: headSeen, firstRead: true}
}

// Next waits for the next piece.
func (r *Reader) Next(ctx context.Context) (Piece, error) {
	for {
		p, changed := r.tryNext()
		if changed == nil {
			return p, nil
		}
		select {
		case <-ctx.Done():
			return Piece{}, ctx.Err()
		case <-changed:
		}
	}
}

// tryNext returns the next piece with a nil channel, or a channel that is closed on the next change.
func (r *Reader) tryNext() (Piece, chan struct{}) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.firstRead {
		r.firstRead = false
		a.readerOffset = r.offset
		a.signalChange()
	}
	p, found := Piece{}, false
	if !r.headSent && a.head != nil {
		p.Head, r.headSent, found = a.head, true, true
	}
	switch {
	case r.offset < a.bufferOffset:
		return Piece{Failure: kqresult.Errorf(kqresult.AnswerIncomplete, "the body bytes from offset %d on are no longer kept", r.offset)}, nil
	case r.headSent && r.offset < a.endOffset():
		p.Chunk, found = r.nextChunk(), true
	}
	if a.ended && r.offset == a.endOffset() {
		p.End, p.Size, p.Failure, found = a.failure == nil, a.endOffset(), a.failure, true
	}
	if found {
		return p, nil
	}
	return Piece{}, a.changed
}

// maxChunk is the maximum number of body bytes in one piece.
const maxChunk = 32 << 10

// nextChunk copies the next body bytes and advances the reader. The caller must hold the answer's mu.
func (r *Reader) nextChunk() []byte {
	a := r.answer
	from := int(r.offset - a.bufferOffset)
	to := min(from+maxChunk, len(a.buffer))
	b := append([]byte(nil), a.buffer[from:to]...)
	r.offset += uint64(len(b))
	a.readerOffset = max(a.readerOffset, r.offset)
	a.signalChange()
	return b
}
