package kqserver

import (
	"math"
	"runtime/debug"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

const (
	// progressBytes is how much a client must send to count as making progress. Without it, a client that sends
	// a byte now and then would.
	progressBytes = 16 << 10
	// retryAfter is when a refused client should try again. Room is made within milliseconds; the delay keeps
	// refused clients from coming back at once.
	retryAfter = time.Second
	// quietTime is the time after which the memory of those that had to make room is returned to the operating
	// system, if nobody else had to since.
	quietTime = 2 * time.Second
)

// GuardConfig configures a Guard.
type GuardConfig struct {
	// Limits are the limits of the process.
	Limits Limits
	// Process is the name of the process in events.
	Process string
	// Events records refusals and closed connections; may be nil.
	Events *kqevent.Log
}

// Guard limits the memory that the requests to all servers of a process occupy together. If there is no room for
// more, the holder that has held most for longest without progress is refused.
type Guard struct {
	config GuardConfig

	mu sync.Mutex
	// released wakes those that wait for room.
	released *sync.Cond
	held     int64
	// releasing is the part of held that belongs to refused holders.
	releasing   int64
	holders     map[*holder]struct{}
	connections int
	counts      counts
	// madeRoomAt is the latest time at which a holder had to make room; reclaiming is true while run waits to return
	// memory.
	madeRoomAt time.Time
	reclaiming bool
}

// NewGuard returns a Guard that nobody holds anything of.
func NewGuard(c GuardConfig) *Guard {
	g := &Guard{config: c, holders: map[*holder]struct{}{}, counts: counts{refused: map[string]uint64{}, closed: map[string]uint64{}}}
	g.released = sync.NewCond(&g.mu)
	return g
}

// defaultGuard limits the servers without a configured Guard by the resources of the host.
var defaultGuard = sync.OnceValue(func() *Guard { return NewGuard(GuardConfig{Limits: Resources{}.Limits()}) })

// holder is what a connection holds before a request begins, or a request until it is answered. The guard's mutex
// protects it.
type holder struct {
	// interrupt ends a pending read of the holder. It must not block.
	interrupt func()
	held      int64
	// progressAt is the time of the latest progress, received the number of bytes since then.
	progressAt time.Time
	received   int64
	// complete is true for a request that was read to its end or that is being answered. It does not make room.
	complete bool
	// refusal is why the holder has to end.
	refusal *kqresult.Error
}

// score returns how much a holder has held for how long without progress. Extra is what it holds besides, in bytes.
func (h *holder) score(now time.Time, extra int64) float64 {
	return float64(h.held+extra) * now.Sub(h.progressAt).Seconds()
}

// charge lets a holder hold more, for received bytes that occupy an amount of memory. It waits while refused holders
// release theirs, and returns the refusal if the holder itself has to make room.
func (g *Guard) charge(now time.Time, h *holder, received, amount int64) *kqresult.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	h.received += received
	if h.held == 0 || h.received >= progressBytes {
		h.progressAt, h.received = now, 0
	}
	for h.refusal == nil && g.held+amount > g.config.Limits.RequestBytes {
		if g.held-g.releasing+amount <= g.config.Limits.RequestBytes {
			g.released.Wait()
			continue
		}
		victim := g.victim(now)
		if victim == nil {
			victim = h
		}
		g.makeRoom(now, victim)
	}
	if h.refusal != nil {
		return h.refusal
	}
	h.held += amount
	g.held += amount
	g.holders[h] = struct{}{}
	return nil
}

// victim returns the holder that has to make room; nil if none can.
func (g *Guard) victim(now time.Time) (victim *holder) {
	highest := math.Inf(-1)
	for h := range g.holders {
		if h.complete || h.refusal != nil || h.held == 0 {
			continue
		}
		if s := h.score(now, 0); s > highest {
			victim, highest = h, s
		}
	}
	return victim
}

// refuse lets a holder end. Its memory is free once it has.
func (g *Guard) refuse(h *holder, why *kqresult.Error) {
	h.refusal = why
	g.releasing += h.held
	h.interrupt()
	g.released.Broadcast()
}

// makeRoom refuses a holder so that others can hold more.
func (g *Guard) makeRoom(now time.Time, h *holder) {
	g.refuse(h, kqresult.Errorf(kqresult.NotRunMemoryLimit, "the process holds as many bytes of requests as it may; this one holds %d and has made no progress for %s",
		h.held, now.Sub(h.progressAt).Round(time.Millisecond)).WithRetryAfter(retryAfter))
	g.madeRoomAt = now
	if !g.reclaiming {
		g.reclaiming = true
		go g.run()
	}
}

// fail refuses a holder that is still incomplete because of its own behavior, and returns the refusal in force.
func (g *Guard) fail(h *holder, why *kqresult.Error) *kqresult.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.refusal == nil {
		g.refuse(h, why)
	}
	return h.refusal
}

// complete records that a request was read to its end, and returns the refusal if it came first.
func (g *Guard) complete(h *holder) *kqresult.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	h.complete = h.refusal == nil
	return h.refusal
}

// answer records that a request is being answered. It does not make room any more, and if it had to, others do not wait
// for it any longer: its client may not read the answer.
func (g *Guard) answer(h *holder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.refusal == nil {
		h.complete = true
		return
	}
	g.free(h)
}

// isComplete reports whether a request was read to its end or is being answered.
func (g *Guard) isComplete(h *holder) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return h.complete
}

// release returns what a holder holds. The holder can be used again.
func (g *Guard) release(now time.Time, h *holder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.free(h)
	delete(g.holders, h)
	*h = holder{interrupt: h.interrupt, progressAt: now}
}

// free gives back what a holder holds and wakes those that wait for it.
func (g *Guard) free(h *holder) {
	g.held -= h.held
	if h.refusal != nil {
		g.releasing -= h.held
	}
	h.held = 0
	g.released.Broadcast()
}

// refusal returns why a holder has to end; nil if it does not.
func (g *Guard) refusal(h *holder) *kqresult.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return h.refusal
}

// holdsAnything reports whether a holder holds anything.
func (g *Guard) holdsAnything(h *holder) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return h.held > 0
}

// countConnections adds to the number of open connections.
func (g *Guard) countConnections(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connections += n
}

// run returns memory to the operating system once nobody had to make room for quietTime. The runtime alone would keep
// it for minutes.
func (g *Guard) run() {
	for {
		time.Sleep(quietTime)
		if g.isQuiet(time.Now()) {
			debug.FreeOSMemory()
			return
		}
	}
}

// isQuiet reports whether nobody had to make room for quietTime. If so, run starts again with the next one.
func (g *Guard) isQuiet(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.madeRoomAt) < quietTime {
		return false
	}
	g.reclaiming = false
	return true
}
