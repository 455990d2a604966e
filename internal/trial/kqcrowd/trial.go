package kqcrowd

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"time"
)

const (
	// reservedDescriptors are the descriptors of a process that sockets may not use.
	reservedDescriptors = 200
	readyTries          = 200
	ordinaryTries       = 40
	ordinaryPause       = 250 * time.Millisecond
	responseTimeout     = 5 * time.Second
	// settleTime lets a process handle what the crowd has sent before it is asked for an answer.
	settleTime   = time.Second
	logTailBytes = 1500
)

// Trial is a crowd and the process that it meets.
type Trial struct {
	// Binary and Arguments start the process.
	Binary    string
	Arguments []string
	// Environment is added to that of the caller.
	Environment []string
	// Log is the name of the file that receives the output of the process.
	Log string
	// Address is the address of all listeners of the process, which no other process has.
	Address netip.Addr
	// MemoryBytes is the memory of the process's machine. Descriptors is the limit on open descriptors, which
	// the kernel enforces.
	MemoryBytes int64
	Descriptors int
	// Crowd is the crowd.
	Crowd Config
	// Ordinary sends an ordinary request and returns its status, 0 without an answer.
	Ordinary func() int
}

// Report is the outcome of a Trial.
type Report struct {
	// Before is what the process held before the crowd came, Peak the highest.
	Before, Peak Usage
	// Connected counts the clients of the crowd that have connected, Ended those that the process has
	// disconnected.
	Connected, Ended int
	// Failures says what did not hold.
	Failures []string
}

// process is the process under trial.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) run() {
	_ = p.cmd.Wait()
	close(p.exited)
}

func (p *process) isAlive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Run starts the process, lets the crowd loose on it and checks that it lives, stays within its memory and
// descriptors, and answers an ordinary request while the crowd is there and after it has left.
func (x Trial) Run() (Report, error) {
	var r Report
	log, err := os.Create(x.Log)
	if err != nil {
		return r, err
	}
	defer log.Close()
	p := &process{exited: make(chan struct{}), cmd: exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, x.Descriptors), x.Binary}, x.Arguments...)...)}
	p.cmd.Env = append(os.Environ(), x.Environment...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return r, err
	}
	go p.run()
	defer func() { _ = p.cmd.Process.Kill(); <-p.exited }()
	if !x.awaitAnswer(p, readyTries) {
		return r, fmt.Errorf("the process does not answer before the crowd: %s", x.logTail())
	}
	r.Before = Measure(p.cmd.Process.Pid, x.Address)
	meter := NewMeter(p.cmd.Process.Pid, x.Address)
	crowd := Start(x.Crowd)
	crowd.AwaitSent()
	time.Sleep(settleTime)
	if !x.awaitAnswer(p, ordinaryTries) {
		r.Failures = append(r.Failures, "no ordinary request was answered with 200 while the crowd was there")
	}
	r.Connected, r.Ended = crowd.Counts()
	crowd.Close()
	if !x.awaitAnswer(p, ordinaryTries) {
		r.Failures = append(r.Failures, "no ordinary request was answered with 200 after the crowd had left")
	}
	r.Peak = meter.Stop()
	if !p.isAlive() {
		r.Failures = append(r.Failures, "the process has ended: "+x.logTail())
	}
	if r.Peak.Total > x.MemoryBytes {
		r.Failures = append(r.Failures, fmt.Sprintf("memory and unread bytes reached %d, the machine has %d", r.Peak.Total, x.MemoryBytes))
	}
	if limit := x.Descriptors - reservedDescriptors; r.Peak.Sockets > limit {
		r.Failures = append(r.Failures, fmt.Sprintf("%d sockets were open, at most %d may be", r.Peak.Sockets, limit))
	}
	return r, nil
}

// awaitAnswer repeats an ordinary request, as a caller does, until it is answered with 200.
func (x Trial) awaitAnswer(p *process, tries int) bool {
	for range tries {
		if x.Ordinary() == http.StatusOK {
			return true
		}
		if !p.isAlive() {
			return false
		}
		time.Sleep(ordinaryPause)
	}
	return false
}

// logTail returns the end of the process's output.
func (x Trial) logTail() string {
	b, _ := os.ReadFile(x.Log)
	return string(b[max(0, len(b)-logTailBytes):])
}

// Request sends a request on a connection of its own and returns the status, 0 without an answer.
func Request(method, url, host, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = host
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}
