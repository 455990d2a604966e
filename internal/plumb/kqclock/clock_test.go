package kqclock_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqclock"
)

// machine simulates the clocks of a machine that is suspended and whose wall clock is stepped.
type machine struct {
	wall, monotonic, boot time.Duration
	bootReads             int
	// readDelay is the time for which the process is descheduled after reading the boot clock.
	readDelay time.Duration
}

func (m *machine) sources() kqclock.Sources {
	return kqclock.Sources{ReadTimes: func() (time.Duration, time.Duration) { return m.wall, m.monotonic }, ReadBoot: func() (time.Duration, error) {
		m.bootReads++
		boot := m.boot
		m.advance(m.readDelay)
		return boot, nil
	}}
}

func (m *machine) advance(d time.Duration) {
	m.wall, m.monotonic, m.boot = m.wall+d, m.monotonic+d, m.boot+d
}

func (m *machine) suspend(d time.Duration) {
	m.wall, m.boot = m.wall+d, m.boot+d
}

// After a suspension of the machine, the first reading includes the time of the suspension.
// Guards against leases that a process still counts as valid because it missed that time.
func TestAPausedProcessKnowsAtOnceHowLongItWasPaused(t *testing.T) {
	g := NewWithT(t)
	m := &machine{wall: 1000 * time.Hour, boot: 3 * time.Hour}
	var c kqclock.Clock
	rng := rand.New(rand.NewPCG(1, 1))
	events := 0
	for range 20_000 {
		m.advance(time.Duration(rng.IntN(100_000)) * time.Microsecond)
		switch rng.IntN(200) {
		case 0:
			m.suspend(time.Duration(2+rng.IntN(9000)) * time.Millisecond)
			events++
		case 1:
			m.wall += time.Duration(rng.IntN(8000)-4000) * time.Millisecond
			events++
		}
		got, err := c.Read(m.sources())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(m.boot))
	}
	g.Expect(m.bootReads).To(BeNumerically("<=", events+1))
	g.Expect(m.bootReads).To(BeNumerically(">", events/2))
}

// A process may be descheduled between the readings of two clocks. Guards against keeping
// offsets from such a reading, which would make all later times wrong.
func TestAReadingThatTookLongIsNotKept(t *testing.T) {
	g := NewWithT(t)
	m := &machine{wall: 1000 * time.Hour, boot: 3 * time.Hour, readDelay: 40 * time.Millisecond}
	var c kqclock.Clock
	_, err := c.Read(m.sources())
	g.Expect(err).NotTo(HaveOccurred())
	m.readDelay = 0
	m.advance(time.Second)
	got, err := c.Read(m.sources())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(m.boot))
}

// Guards against a clock of the kernel that is read or converted wrongly: Now must advance with the
// time that passes.
func TestNowFollowsTheClockOfTheMachine(t *testing.T) {
	g := NewWithT(t)
	before, startedAt := kqclock.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := kqclock.Now().Sub(before)
	g.Expect(elapsed).To(BeNumerically("~", time.Since(startedAt), 2*time.Millisecond))
}
