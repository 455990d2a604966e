package kqevent_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
)

// blockedWriter is a log output whose reader does not read until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

// The reader of the log does not read. Guards against a process that blocks when it logs: lines
// that do not fit in the queue must be dropped and counted.
func TestASinkNeverMakesItsWriterWait(t *testing.T) {
	g := NewWithT(t)
	out := blockedWriter{make(chan struct{})}
	s := kqevent.NewSink(out)
	done := make(chan struct{})
	go func() {
		for range 10_000 {
			_, _ = s.Write([]byte("line\n"))
		}
		close(done)
	}()
	g.Eventually(done, 5*time.Second).Should(BeClosed())
	g.Expect(s.LeftOut()).To(BeNumerically(">", 7000))
	close(out.release)
	s.Close()
}

// An event occurs 50 times within a second. Guards against a log that one kind of event floods, and
// against left-out events whose number is neither logged nor counted.
func TestFrequentEventsAreBoundedAndCounted(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&out), zapcore.InfoLevel))
	l := kqevent.New(kqevent.Config{Process: "p", Logger: logger, PerSecond: 10})
	now := time.Unix(100, 0)
	for range 50 {
		l.Emit(now, kqevent.FlowWaiting, kqevent.Task("t"), "no free capacity")
	}
	g.Expect(bytes.Count(out.Bytes(), []byte("flow_waiting"))).To(Equal(10))
	l.Emit(now.Add(time.Second), kqevent.FlowWaiting, kqevent.Task("t"), "no free capacity")
	g.Expect(out.String()).To(ContainSubstring("40 more of flow_waiting"))
	g.Expect(l.Counts()).To(HaveKeyWithValue("flow_waiting", uint64(51)))
	g.Expect(l.BySubject(kqevent.Task("t"))).To(HaveLen(51))
}

// The load is that of the largest deployment of the users: commits of 400 starts and ends, four
// times a second, together with other events. Guards against decisions that are missing from
// the log because of the rate limit or a full queue.
func TestNoDecisionOnARequestIsMissingUnderLoad(t *testing.T) {
	g := NewWithT(t)
	var out lockedBuffer
	sink := kqevent.NewSink(&out)
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), sink, zapcore.InfoLevel))
	l := kqevent.New(kqevent.Config{Process: "p", Logger: logger, PerSecond: 100, DecisionsPerSecond: 4000})
	now := time.Unix(100, 0)
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		for range 400 {
			l.EmitFields(now, kqevent.FlowRunPlaced, kqevent.Task("t"), []kqevent.Field{kqevent.Run(1)}, "run")
			l.EmitFields(now, kqevent.FlowRunEnded, kqevent.Task("t"), []kqevent.Field{kqevent.Run(1), kqevent.EndReason("done")}, "run")
			l.Emit(now, kqevent.FlowWaiting, kqevent.Task("t"), "no free capacity")
		}
		g.Eventually(sink.Queued, time.Second).Should(BeZero())
	}
	sink.Close()
	g.Expect(sink.LeftOut()).To(BeZero())
	g.Expect(bytes.Count(out.Bytes(), []byte("flow_run_placed"))).To(Equal(20 * 400))
	g.Expect(bytes.Count(out.Bytes(), []byte("flow_run_ended"))).To(Equal(20 * 400))
	g.Expect(bytes.Count(out.Bytes(), []byte(`"msg":"flow_waiting"`))).To(BeNumerically("<=", 600))
}

// lockedBuffer is a buffer that one goroutine writes to and another reads from.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (x *lockedBuffer) Write(b []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.b.Write(b)
}

// Bytes returns a copy of what was written.
func (x *lockedBuffer) Bytes() []byte {
	x.mu.Lock()
	defer x.mu.Unlock()
	return bytes.Clone(x.b.Bytes())
}

// Clients bring about more events than are kept in memory. Guards against a log that then no longer has the events that
// explain the work of others.
func TestClientsDisplaceTheEventsOfOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	l := kqevent.New(kqevent.Config{MaxEvents: 20})
	l.Emit(now, kqevent.FlowAccepted, kqevent.Job("j"), "")
	for range 1000 {
		l.Emit(now, kqevent.RequestRefused, kqevent.Process("p"), "")
	}
	g.Expect(l.BySubject(kqevent.Job("j"))).To(HaveLen(1))
	g.Expect(l.Counts()).To(HaveKeyWithValue("request_refused", uint64(1000)))
}
