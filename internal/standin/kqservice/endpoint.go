// Package kqservice is a stand-in for an endpoint: an HTTP service with a fixed number of
// slots that announces itself to the agent of its host. Its ledger records the calls that
// endpoints really ran.
package kqservice

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
)

const announceInterval = 500 * time.Millisecond

// Config sets up an Endpoint.
type Config struct {
	// ID is the endpoint's id.
	ID string
	// Classes lists the classes of calls that the endpoint answers.
	Classes []string
	// Slots is the announced number of calls that may run at a time. The endpoint does not
	// enforce it; the ledger counts calls beyond it.
	Slots int
	// Connections is the announced number of calls that may be open at a time.
	Connections int
	// ServiceTime is the median service time of a call.
	ServiceTime time.Duration
	// LogStdDev is the standard deviation of the logarithm of the service time, which has
	// a log-normal distribution.
	LogStdDev float64
	// Slowdown returns the factor that stretches the service time of a call; nil means 1.
	Slowdown func() float64
	// Agent is the address of the host's agent. With the zero value, the endpoint does not
	// announce itself.
	Agent netip.AddrPort
	// Dialer dials the agent.
	Dialer kqlink.Dialer
	// Seed seeds the random service times.
	Seed uint64
	// Ledger records the calls; may be nil.
	Ledger *Ledger
}

// Endpoint is a running endpoint.
type Endpoint struct {
	config Config
	server *kqserver.Server
	client *http.Client
	tomb   tomb.Tomb

	mu           sync.Mutex
	rng          *rand.Rand
	runningCount int
	mode         Mode
}

// Mode is how an endpoint answers calls.
type Mode int

// Modes of an endpoint.
const (
	// ModeServe answers after the service time.
	ModeServe Mode = iota
	// ModeFail answers with status 500 immediately.
	ModeFail
	// ModeAbort starts the call and then aborts the connection without a response.
	ModeAbort
)

// Start serves on a free loopback port and announces the endpoint to its agent every
// announceInterval.
func Start(c Config) (*Endpoint, error) {
	e := &Endpoint{config: c, client: c.Dialer.NewClient(), rng: rand.New(rand.NewPCG(c.Seed, c.Seed))}
	s, err := kqserver.Start(netip.MustParseAddrPort("127.0.0.1:0"), e)
	if err != nil {
		return nil, err
	}
	e.server = s
	if c.Agent.IsValid() {
		e.tomb.Go(e.loop)
	}
	return e, nil
}

// Addr returns the address that the endpoint serves on.
func (e *Endpoint) Addr() netip.AddrPort { return e.server.Addr() }

// SetAgent changes the agent that the endpoint announces itself to.
func (e *Endpoint) SetAgent(a netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.config.Agent = a
}

func (e *Endpoint) agentAddr() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.Agent
}

// SetMode changes how the endpoint answers calls.
func (e *Endpoint) SetMode(m Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = m
}

// AnnounceLeaving announces that the endpoint accepts no more calls and stops the regular
// announcements. The endpoint goes on serving.
func (e *Endpoint) AnnounceLeaving(ctx context.Context) error {
	e.tomb.Kill(nil)
	return e.announce(ctx, true)
}

// Kill stops the endpoint immediately.
func (e *Endpoint) Kill() {
	e.tomb.Kill(nil)
	e.server.Kill()
}

// announcement is the body of PUT /v1/endpoints/:id on the agent.
type announcement struct {
	Classes     []string `json:"classes"`
	Address     string   `json:"address"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
	Leaving     bool     `json:"leaving"`
}

func (e *Endpoint) announce(ctx context.Context, leaving bool) error {
	c := e.config
	body, _ := json.Marshal(announcement{Classes: c.Classes, Address: e.Addr().String(), Slots: c.Slots, Connections: c.Connections, Leaving: leaving})
	url := c.Dialer.URL(e.agentAddr()) + "/v1/endpoints/" + c.ID
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	a, err := e.client.Do(q)
	if err != nil {
		return err
	}
	return a.Body.Close()
}

func (e *Endpoint) loop() error {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), announceInterval)
		_ = e.announce(ctx, false)
		cancel()
		select {
		case <-e.tomb.Dying():
			return nil
		case <-t.C:
		}
	}
}

// ServeHTTP runs one call. The query parameter bytes sets the size of the response body.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	startedAt := time.Now()
	id := q.Header.Get("Kq-Call-Id")
	d, mode := e.beginCall()
	e.config.Ledger.started(id, q.Header.Get("Kq-Idempotent") == "true", e.runningCalls(), e.config.Slots)
	defer e.endCall()
	switch mode {
	case ModeFail:
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	case ModeAbort:
		panic(http.ErrAbortHandler)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-q.Context().Done():
		return
	}
	e.config.Ledger.finished(id)
	w.Header().Set("X-Service-Time", time.Since(startedAt).String())
	w.Header().Set("X-Echo-Id", id)
	w.Header().Set("X-Echo-Path", q.URL.RequestURI())
	w.Header().Add("X-Many", "one")
	w.Header().Add("X-Many", "two")
	e.writeBody(w, q, id)
}

func (e *Endpoint) writeBody(w http.ResponseWriter, q *http.Request, id string) {
	n, _ := strconv.Atoi(q.URL.Query().Get("bytes"))
	if n == 0 {
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write([]byte("done " + id))
		return
	}
	block := bytes.Repeat([]byte("0123456789abcdef"), 2048)
	for n > 0 {
		m := min(n, len(block))
		if _, err := w.Write(block[:m]); err != nil {
			return
		}
		n -= m
	}
}

// beginCall counts a running call and returns its service time and the present mode.
func (e *Endpoint) beginCall() (time.Duration, Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runningCount++
	f := math.Exp(e.rng.NormFloat64() * e.config.LogStdDev)
	if e.config.Slowdown != nil {
		f *= e.config.Slowdown()
	}
	return time.Duration(float64(e.config.ServiceTime) * f), e.mode
}

func (e *Endpoint) runningCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runningCount
}

func (e *Endpoint) endCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runningCount--
}
