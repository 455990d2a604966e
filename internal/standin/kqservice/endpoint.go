// Package kqservice is the stand-in of an endpoint: an HTTP service with a
// fixed number of slots that announces itself to the agent of its host and
// keeps its own record of the calls that it ran.
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
	// ID names the endpoint.
	ID string
	// Classes is the classes of calls answered.
	Classes []string
	// Slots is how many calls run at one time.
	Slots int
	// Connections is how many calls may be open.
	Connections int
	// ServiceTime is the median time of one call.
	ServiceTime time.Duration
	// Spread is the standard deviation of the logarithm of the time of a call.
	LogStdDev float64
	// Slowdown stretches the time of each call; nil means not at all.
	Slowdown func() float64
	// Agent is the address of the host's agent; the zero value announces to none.
	Agent netip.AddrPort
	// Dialer reaches the agent.
	Dialer kqlink.Dialer
	// Seed draws the times.
	Seed uint64
	// Record keeps what ran.
	Ledger *Ledger
}

// Endpoint is a running service.
type Endpoint struct {
	config Config
	server *kqserver.Server
	client *http.Client
	tomb   tomb.Tomb

	mu      sync.Mutex
	rng     *rand.Rand
	running int
	mode    Mode
}

// Mode is how an endpoint treats calls.
type Mode int

// Modes.
const (
	// ModeServe answers after the service time.
	ModeServe Mode = iota
	// ModeFail answers 500 at once.
	ModeFail
	// ModeCut begins the call and then cuts the connection.
	ModeAbort
)

// Start serves on a free loopback port and announces itself.
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

// Addr returns the address served.
func (e *Endpoint) Addr() netip.AddrPort { return e.server.Addr() }

// SetAgent changes the agent that the endpoint announces itself to.
func (e *Endpoint) SetAgent(a netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.config.Agent = a
}

func (e *Endpoint) agent() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.Agent
}

// SetMode changes how calls are treated.
func (e *Endpoint) SetMode(m Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = m
}

// Leave announces that the endpoint takes no more work; it goes on serving.
func (e *Endpoint) AnnounceLeaving(ctx context.Context) error {
	e.tomb.Kill(nil)
	return e.announce(ctx, true)
}

// Kill ends the endpoint at once.
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
	url := c.Dialer.URL(e.agent()) + "/v1/endpoints/" + c.ID
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

// ServeHTTP runs one call. The query may ask for a body of ?bytes=N.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	from := time.Now()
	id := q.Header.Get("Kq-Call-Id")
	d, mode := e.begin()
	e.config.Ledger.started(id, q.Header.Get("Kq-Idempotent") == "true", e.busy(), e.config.Slots)
	defer e.finish()
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
	w.Header().Set("X-Service-Time", time.Since(from).String())
	w.Header().Set("X-Echo-Id", id)
	w.Header().Set("X-Echo-Path", q.URL.RequestURI())
	w.Header().Add("X-Many", "one")
	w.Header().Add("X-Many", "two")
	e.body(w, q, id)
}

func (e *Endpoint) body(w http.ResponseWriter, q *http.Request, id string) {
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

func (e *Endpoint) begin() (time.Duration, Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	f := math.Exp(e.rng.NormFloat64() * e.config.LogStdDev)
	if e.config.Slowdown != nil {
		f *= e.config.Slowdown()
	}
	return time.Duration(float64(e.config.ServiceTime) * f), e.mode
}

func (e *Endpoint) busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Endpoint) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}
