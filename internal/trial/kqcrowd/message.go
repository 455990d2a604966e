package kqcrowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"

	"golang.org/x/net/http2/hpack"
)

// Shape is how a crowd sends one body.
type Shape struct {
	// Name describes the shape.
	Name string
	// Chunk is the size of the chunks of the body; 0 declares its length in the head.
	Chunk int
	// Piece is the largest number of bytes per write; 0 writes the body at once.
	Piece int
	// Finish is true if the clients send the last byte after all have sent the others.
	Finish bool
}

const (
	largeChunk = 64 << 10
	smallChunk = 1
	piece      = 8 << 10
)

// Shapes returns every combination of a declared length, large and small chunks, whole or in pieces, finished or
// short of the end.
func Shapes() (out []Shape) {
	for _, encoding := range []Shape{{Name: "declared length"}, {Name: "large chunks", Chunk: largeChunk}, {Name: "small chunks", Chunk: smallChunk}} {
		for _, size := range []int{0, piece} {
			for _, finish := range []bool{false, true} {
				s := encoding
				s.Piece, s.Finish = size, finish
				s.Name += map[bool]string{false: ", whole", true: ", in pieces"}[size > 0] + map[bool]string{false: ", short of the end", true: ", finished"}[finish]
				out = append(out, s)
			}
		}
	}
	return out
}

// Config returns a crowd that sends a body in the shape with a POST to the paths that path returns.
func (s Shape) Config(path func(client int) string, headers string, body []byte) (c Config) {
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	c.Body, c.Withheld = body, 1
	if s.Chunk > 0 {
		framing = "Transfer-Encoding: chunked\r\n"
		c.Body = Chunked(body, s.Chunk)
		// The last byte of the body, the end of its chunk and the last chunk.
		c.Withheld = 1 + len("\r\n0\r\n\r\n")
	}
	c.Piece, c.Finish = s.Piece, s.Finish
	c.Head = func(client int) string {
		return "POST " + path(client) + " HTTP/1.1\r\n" + headers + framing + "\r\n"
	}
	return c
}

// Chunked returns a body in the chunked transfer coding.
func Chunked(body []byte, chunk int) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(chunk, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// Padded returns text with as many spaces inserted before its last byte as make it size bytes long. A JSON
// object stays valid.
func Padded(text string, size int) []byte {
	last := len(text) - 1
	return []byte(text[:last] + strings.Repeat(" ", size-len(text)) + text[last:])
}

// HTTP/2 frames, see RFC 9113.
const (
	http2Preface  = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameData     = 0
	frameHeaders  = 1
	frameSettings = 4

	flagEndOfHeaders = 4
	maxFrameBytes    = 16 << 10
)

// HTTP2Streams returns what a client sends that opens streams of HTTP/2 without a handshake, each a POST to
// the path with the number of the stream, and size bytes of a body that does not end.
func HTTP2Streams(path, authority string, streams, size int) []byte {
	var out, block bytes.Buffer
	out.WriteString(http2Preface)
	writeFrame(&out, frameSettings, 0, 0, nil)
	encoder := hpack.NewEncoder(&block)
	for n := range streams {
		id := uint32(2*n + 1)
		block.Reset()
		for _, f := range []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: authority}, {Name: ":path", Value: fmt.Sprintf(path, id)}} {
			_ = encoder.WriteField(f)
		}
		writeFrame(&out, frameHeaders, flagEndOfHeaders, id, block.Bytes())
		for left := size; left > 0; left -= maxFrameBytes {
			writeFrame(&out, frameData, 0, id, make([]byte, min(left, maxFrameBytes)))
		}
	}
	return out.Bytes()
}

func writeFrame(b *bytes.Buffer, kind, flags byte, stream uint32, payload []byte) {
	b.Write([]byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags})
	b.Write(binary.BigEndian.AppendUint32(nil, stream))
	b.Write(payload)
}
