package kqcrowd

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const sampleInterval = 50 * time.Millisecond

// Usage is what a process holds at a moment, or the highest that a Meter has seen of each.
type Usage struct {
	// Resident is the memory in use, in bytes.
	Resident int64
	// Unread is the number of bytes that the kernel has received for the process and that it has not
	// read.
	Unread int64
	// Total is the sum of both; the highest sum, not the sum of the highest.
	Total int64
	// Sockets is the number of open sockets.
	Sockets int
}

// Meter samples what a process holds until it is stopped.
type Meter struct {
	pid  int
	ip   netip.Addr
	stop chan struct{}
	done sync.WaitGroup

	mu   sync.Mutex
	peak Usage
}

// NewMeter starts to sample a process whose listeners have the address ip, which no other process has.
func NewMeter(pid int, ip netip.Addr) *Meter {
	m := &Meter{pid: pid, ip: ip, stop: make(chan struct{})}
	m.done.Go(m.run)
	return m
}

// Stop ends the sampling and returns the highest values.
func (m *Meter) Stop() Usage {
	close(m.stop)
	m.done.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

func (m *Meter) run() {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		m.record(Measure(m.pid, m.ip))
		select {
		case <-m.stop:
			return
		case <-t.C:
		}
	}
}

func (m *Meter) record(u Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak = Usage{Resident: max(m.peak.Resident, u.Resident), Unread: max(m.peak.Unread, u.Unread),
		Total: max(m.peak.Total, u.Total), Sockets: max(m.peak.Sockets, u.Sockets)}
}

// Measure returns what a process holds now; zero if it has ended.
func Measure(pid int, ip netip.Addr) Usage {
	u := Usage{Resident: resident(pid), Unread: unread(ip), Sockets: sockets(pid)}
	u.Total = u.Resident + u.Unread
	return u
}

// resident returns the resident memory of a process in bytes.
func resident(pid int) int64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(b)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// sockets returns the number of open sockets of a process.
func sockets(pid int) (count int) {
	directory := fmt.Sprintf("/proc/%d/fd/", pid)
	entries, _ := os.ReadDir(directory)
	for _, e := range entries {
		if target, _ := os.Readlink(directory + e.Name()); strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// Columns of /proc/net/tcp.
const (
	localAddressColumn = 1
	stateColumn        = 3
	queueColumn        = 4
	listenState        = "0A" // its queue counts connections
)

// unread returns the number of received bytes that wait at the sockets with a local IPv4 address.
func unread(ip netip.Addr) (total int64) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	b := ip.As4()
	// The kernel prints the address as a number in the byte order of the machine.
	prefix := fmt.Sprintf("%08X:", binary.NativeEndian.Uint32(b[:]))
	for s := bufio.NewScanner(f); s.Scan(); {
		columns := strings.Fields(s.Text())
		if len(columns) <= queueColumn || columns[stateColumn] == listenState || !strings.HasPrefix(columns[localAddressColumn], prefix) {
			continue
		}
		_, received, _ := strings.Cut(columns[queueColumn], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += n
	}
	return total
}
