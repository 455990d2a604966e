// Package kqanswer keeps the answers of calls at the agent for a bounded time
// and size, so that an answer whose connection died can be fetched again.
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
	// Values is every value in order.
	Values []string
}

// Head is the status and the headers of an answer.
type Head struct {
	// Status is the HTTP status.
	Status int
	// Headers is in the order received.
	Headers []Header
}

// Piece is the next part of an answer that a reader gets. A small answer that
// has ended comes in one part.
type Piece struct {
	// Head is set in the first part.
	Head *Head
	// Chunk is body bytes.
	Chunk []byte
	// End is true in the part with the last byte, or after it.
	End bool
	// Size is the length of the whole body, at the end.
	Size uint64
	// Failure says why there is no whole answer.
	Failure *kqresult.Error
}

// Answer is the answer of one attempt, written by one producer and read by any
// number of readers.
type Answer struct {
	mu      sync.Mutex
	changed chan struct{}
	head    *Head
	buffer  []byte
	base    uint64
	reader  uint64
	ended   bool
	failure *kqresult.Error
	begun   time.Time
	keep    int
}

func newAnswer(keep int) *Answer {
	return &Answer{changed: make(chan struct{}), keep: keep}
}

// wake tells every waiting reader and the producer; mu is held.
func (a *Answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetHead stores the head.
func (a *Answer) SetHead(h Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &h
	a.wake()
}

// Store stores the head and the whole body. Its readers wake when the answer is
// closed.
func (a *Answer) SetHeadAndBody(h Head, body []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head, a.buffer = &h, body
}

// Append adds body bytes. It waits while the latest reader is more than the
// kept size behind, and returns an error if ctx ends first.
func (a *Answer) Append(ctx context.Context, b []byte) error {
	for {
		a.mu.Lock()
		if a.end()-a.reader < uint64(a.keep) {
			a.buffer = append(a.buffer, b...)
			a.trim()
			a.wake()
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

func (a *Answer) end() uint64 { return a.base + uint64(len(a.buffer)) }

// trim drops bytes that lie more than the kept size behind the reader.
func (a *Answer) trim() {
	from := uint64(0)
	if a.reader > uint64(a.keep) {
		from = a.reader - uint64(a.keep)
	}
	if drop := int(from) - int(a.base); drop >= a.keep {
		a.buffer = append(a.buffer[:0:0], a.buffer[drop:]...)
		a.base = from
	}
}

// close ends the answer; failure is nil for a whole one.
func (a *Answer) close(failure *kqresult.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended, a.failure = true, failure
	a.wake()
}

// Reader reads an answer from an offset.
type Reader struct {
	answer   *Answer
	offset   uint64
	headDone bool
	first    bool
}

// Read returns a Reader that begins at offset; headSeen leaves the head out.
func (a *Answer) NewReader(offset uint64, headSeen bool) *Reader {
	return &Reader{answer: a, offset: offset, headDone: headSeen, first: true}
}

// Next waits for the next part.
func (r *Reader) Next(ctx context.Context) (Piece, error) {
	for {
		p, changed := r.take()
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

// take returns the next part, or a channel to wait on.
func (r *Reader) take() (Piece, chan struct{}) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.first {
		r.first = false
		a.reader = r.offset
		a.wake()
	}
	p, some := Piece{}, false
	if !r.headDone && a.head != nil {
		p.Head, r.headDone, some = a.head, true, true
	}
	switch {
	case r.offset < a.base:
		return Piece{Failure: kqresult.Errorf(kqresult.AnswerIncomplete, "bytes from %d are no longer kept", r.offset)}, nil
	case r.headDone && r.offset < a.end():
		p.Chunk, some = r.chunk(), true
	}
	if a.ended && r.offset == a.end() {
		p.End, p.Size, p.Failure, some = a.failure == nil, a.end(), a.failure, true
	}
	if some {
		return p, nil
	}
	return Piece{}, a.changed
}

// maxChunk is the most body bytes in one part.
const maxChunk = 32 << 10

func (r *Reader) chunk() []byte {
	a := r.answer
	from := int(r.offset - a.base)
	to := min(from+maxChunk, len(a.buffer))
	b := append([]byte(nil), a.buffer[from:to]...)
	r.offset += uint64(len(b))
	a.reader = max(a.reader, r.offset)
	a.wake()
	return b
}
