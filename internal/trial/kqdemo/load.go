package kqdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqfleet"
)

const (
	callDeadline = 5 * time.Second
	// Shares of calls that are idempotent and that are of the background class, and the share of
	// idempotent calls with an answer of largeBytes.
	idempotentShare    = 0.7
	backgroundShare    = 0.1
	largeShare         = 0.01
	largeBytes         = 1 << 20
	balancerAttempts   = 3
	maxIdleConnections = 512
)

// callGenerator sends the calls of one user in an open loop: at random times with the mean rate
// callsPerSecond, without waiting for answers.
type callGenerator struct {
	fleet          *kqfleet.Fleet
	user           kqfleet.User
	callsPerSecond float64
	stats          *callStats
	client         *http.Client
	rng            *rand.Rand
	calls          sync.WaitGroup
	sentCount      int
}

func newCallGenerator(f *kqfleet.Fleet, u kqfleet.User, callsPerSecond float64, seed uint64) *callGenerator {
	return &callGenerator{fleet: f, user: u, callsPerSecond: callsPerSecond, stats: newCallStats(), rng: rand.New(rand.NewPCG(seed, seed)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}}}
}

// run sends calls until ctx ends and then waits for their answers.
func (g *callGenerator) run(ctx context.Context) {
	due := time.Now()
	for ctx.Err() == nil {
		due = due.Add(time.Duration(g.rng.ExpFloat64() / g.callsPerSecond * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		c := g.newCall(due)
		g.calls.Go(c.run)
	}
	g.calls.Wait()
	g.client.CloseIdleConnections()
}

// newCall returns the next call, of a random method, class and answer size.
func (g *callGenerator) newCall(due time.Time) *call {
	g.sentCount++
	c := &call{generator: g, due: due, class: g.user.ServiceClass, method: http.MethodPost, number: g.sentCount}
	if g.rng.Float64() < idempotentShare {
		c.method = http.MethodGet
	}
	if g.rng.Float64() < backgroundShare {
		c.class = g.user.BackgroundClass
	}
	if c.method == http.MethodGet && g.rng.Float64() < largeShare {
		c.answerBytes = largeBytes
	}
	return c
}

// call is one call. An answerBytes of 0 requests the short answer.
type call struct {
	generator   *callGenerator
	due         time.Time
	class       string
	method      string
	answerBytes int
	number      int
}

func (c *call) run() {
	stats := c.generator.stats
	stats.update(func(f *Figures) { f.CallsSent++ })
	resp, err := c.send()
	switch {
	case err != nil && dialFailed(err):
		stats.update(func(f *Figures) { f.CallsRefusedNotRun++ })
	case err != nil:
		stats.update(func(f *Figures) { f.CallsOutcomeUnknown++ })
	default:
		defer resp.Body.Close()
		c.recordAnswer(resp)
	}
}

// send sends the call to an entry. If the entry accepts no connection, it tries others, as the load
// balancer of the platform does, at most balancerAttempts in all.
func (c *call) send() (resp *http.Response, err error) {
	for i := range balancerAttempts {
		entries := c.generator.fleet.ReadyEntries()
		if len(entries) == 0 {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		e := entries[(c.number+i)%len(entries)]
		req, reqErr := c.newRequest(e.Addr().String())
		if reqErr != nil {
			return nil, reqErr
		}
		if resp, err = c.generator.client.Do(req); err == nil || !dialFailed(err) {
			return resp, err
		}
	}
	return nil, err
}

func (c *call) newRequest(entry string) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/v1/call/%s/unlock?bytes=%d", entry, c.class, c.answerBytes)
	var body io.Reader
	req, err := http.NewRequest(c.method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Kq-Deadline", callDeadline.String())
	return req, nil
}

// dialFailed reports whether no connection was made, so that the call was certainly not sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// recordAnswer counts an answer and checks it against the ledger of the endpoints: a call refused as
// not run must not have started, and an answered call must have finished. Otherwise it counts a
// violation.
func (c *call) recordAnswer(resp *http.Response) {
	stats, ledger := c.generator.stats, c.generator.fleet.CallLedgers[c.generator.user.Name]
	id := resp.Header.Get("Kq-Call-Id")
	body, err := io.ReadAll(resp.Body)
	refused := resp.Header.Get("Kq-Result") != ""
	switch {
	case err != nil:
		stats.update(func(f *Figures) { f.CallsOutcomeUnknown++ })
	case refused && resp.StatusCode == http.StatusBadGateway:
		stats.update(func(f *Figures) { f.CallsOutcomeUnknown++ })
	case refused:
		stats.update(func(f *Figures) {
			f.CallsRefusedNotRun++
			if id != "" && ledger.Started(id) {
				f.Violations++
			}
		})
	default:
		stats.countAnswer(time.Since(c.due))
		if !c.answerMatches(resp, id, body) || !ledger.Finished(id) {
			stats.update(func(f *Figures) { f.Violations++ })
		}
	}
}

// answerMatches reports whether the answer is complete and belongs to the call with this ID.
func (c *call) answerMatches(resp *http.Response, id string, body []byte) bool {
	length := len("done " + id)
	if c.answerBytes > 0 {
		length = c.answerBytes
	}
	return resp.Header.Get("X-Echo-Id") == id && len(body) == length && len(resp.Header.Values("X-Many")) == 2
}
