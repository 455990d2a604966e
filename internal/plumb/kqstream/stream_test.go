package kqstream_test

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
)

// slowConn is a connection that delivers at most chunk bytes per pause.
type slowConn struct {
	net.Conn
	chunk int
	pause time.Duration
}

// Read reads at most a chunk.
func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), c.chunk)])
	time.Sleep(c.pause)
	return n, err
}

// end is a stream with what it has received and the error that ended it.
type end struct {
	stream   *kqstream.Stream
	messages atomic.Int64
	bytes    atomic.Int64
	err      atomic.Value
}

func newEnd(conn net.Conn) *end {
	e := &end{}
	e.stream = kqstream.New(conn, kqstream.Config{
		OnMessage: func(_ *kqstream.Stream, m []byte) { e.messages.Add(1); e.bytes.Add(int64(len(m))) },
		OnClose:   func(_ *kqstream.Stream, err error) { e.err.Store(err) },
	})
	return e
}

// pair returns two connected streams; the second reads at a rate in bytes per second, 0 for no limit.
func pair(rate int) (sender, receiver *end) {
	near, far := net.Pipe()
	const pause = 10 * time.Millisecond
	if rate > 0 {
		far = slowConn{far, rate / int(time.Second/pause), pause}
	}
	return newEnd(near), newEnd(far)
}

// closeAll closes streams and waits for their goroutines.
func closeAll(ends ...*end) {
	for _, e := range ends {
		e.stream.Close()
	}
	for _, e := range ends {
		<-e.stream.Done()
	}
}

func text(n int) string { return strings.Repeat("x", n) }

// A peer reads slowly, or is sent more than the queue holds. Guards against streams that are closed although the
// peer reads: a large message that takes longer than SilenceTimeout, and a list that exceeds the queue.
func TestALargeMessageClosesTheStream(t *testing.T) {
	for name, x := range map[string]struct {
		rate  int
		sizes []int
	}{
		"larger than a slow link carries in SilenceTimeout": {rate: 1_250_000, sizes: []int{kqstream.MaxMessageBytes - 2}},
		"parts that exceed the queue":                       {rate: 4_000_000, sizes: []int{4 << 20, 4 << 20, 4 << 20, 4 << 20, 4 << 20, 4 << 20, 4 << 20}},
		"one part":                                          {sizes: []int{1 << 20}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sender, receiver := pair(x.rate)
				var parts []any
				for _, n := range x.sizes {
					parts = append(parts, text(n))
				}
				sender.stream.SendParts(parts...)
				sender.stream.Send("overtakes")
				sender.stream.SendParts("last")
				time.Sleep(30 * time.Second)
				g.Expect(receiver.messages.Load()).To(Equal(int64(len(x.sizes) + 2)))
				g.Expect(sender.err.Load()).To(BeNil())
				closeAll(sender, receiver)
			})
		})
	}
}

// A stream ends over a size. Guards against an end without its reason, which no log could then tell.
func TestAStreamThatEndsOverASizeDoesNotSayWhy(t *testing.T) {
	for name, x := range map[string]struct {
		rate  int
		sizes []int
		err   error
	}{
		"a message that exceeds the limit":         {sizes: []int{kqstream.MaxMessageBytes}, err: kqstream.ErrSendTooLarge},
		"messages that exceed the queue of a peer": {rate: 1000, sizes: []int{6 << 20, 6 << 20, 6 << 20, 6 << 20}, err: kqstream.ErrQueueFull},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sender, receiver := pair(x.rate)
				for _, n := range x.sizes {
					sender.stream.Send(text(n))
				}
				time.Sleep(10 * time.Second)
				g.Expect(sender.err.Load()).To(MatchError(x.err))
				g.Expect(kqstream.IsSizeError(sender.stream.Err())).To(BeTrue())
				g.Expect(receiver.messages.Load()).To(BeZero())
				closeAll(sender, receiver)
			})
		})
	}
	t.Run("a received message that exceeds the limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			near, far := net.Pipe()
			receiver := newEnd(far)
			_, err := near.Write([]byte{1, 0, 0, 0})
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
			g.Expect(receiver.err.Load()).To(MatchError(kqstream.ErrTooLarge))
			_ = near.Close()
			closeAll(receiver)
		})
	})
}
