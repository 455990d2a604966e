package kqclock_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqclock"
)

// machine is the clocks of a machine that is suspended and whose time of day is
// stepped.
type machine struct {
	wall, steady, boot time.Duration
	asked              int
	// late is how long the process waits for its turn after it has asked the kernel.
	late time.Duration
}

func (m *machine) sources() kqclock.Sources {
	return kqclock.Sources{Times: func() (time.Duration, time.Duration) { return m.wall, m.steady }, Boot: func() (time.Duration, error) {
		m.asked++
		boot := m.boot
		m.run(m.late)
		return boot, nil
	}}
}

func (m *machine) run(d time.Duration) {
	m.wall, m.steady, m.boot = m.wall+d, m.steady+d, m.boot+d
}

func (m *machine) suspend(d time.Duration) {
	m.wall, m.boot = m.wall+d, m.boot+d
}

// A process that was paused must not count its leases as if no time had passed.
func TestAPausedProcessKnowsAtOnceHowLongItWasPaused(t *testing.T) {
	g := NewWithT(t)
	m := &machine{wall: 1000 * time.Hour, boot: 3 * time.Hour}
	var c kqclock.Clock
	rng := rand.New(rand.NewPCG(1, 1))
	events := 0
	for range 20_000 {
		m.run(time.Duration(rng.IntN(100_000)) * time.Microsecond)
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
	g.Expect(m.asked).To(BeNumerically("<=", events+1))
	g.Expect(m.asked).To(BeNumerically(">", events/2))
}

// A process that loses its turn between two clocks must not keep what it read.
func TestAReadingThatTookLongIsNotKept(t *testing.T) {
	g := NewWithT(t)
	m := &machine{wall: 1000 * time.Hour, boot: 3 * time.Hour, late: 40 * time.Millisecond}
	var c kqclock.Clock
	_, err := c.Read(m.sources())
	g.Expect(err).NotTo(HaveOccurred())
	m.late = 0
	m.run(time.Second)
	got, err := c.Read(m.sources())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(m.boot))
}

func TestNowFollowsTheClockOfTheMachine(t *testing.T) {
	g := NewWithT(t)
	before, began := kqclock.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed := kqclock.Now().Sub(before)
	g.Expect(passed).To(BeNumerically("~", time.Since(began), 2*time.Millisecond))
}
