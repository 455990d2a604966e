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
	callDeadline     = 5 * time.Second
	idempotentShare  = 0.7
	backgroundShare  = 0.1
	largeShare       = 0.01
	largeBytes       = 1 << 20
	balancerTries    = 3
	callerConnection = 512
)

// load sends the calls of one user in an open loop.
type load struct {
	fleet  *kqfleet.Fleet
	user   kqfleet.User
	rate   float64
	tally  *callTally
	client *http.Client
	rng    *rand.Rand
	calls  sync.WaitGroup
	sent   int
}

func newLoad(f *kqfleet.Fleet, u kqfleet.User, rate float64, seed uint64) *load {
	return &load{fleet: f, user: u, rate: rate, tally: newCallTally(), rng: rand.New(rand.NewPCG(seed, seed)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerConnection, DisableCompression: true}}}
}

// run sends calls until ctx ends and waits for their ends.
func (l *load) run(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(l.rng.ExpFloat64() / l.rate * float64(time.Second)))
		if d := time.Until(next); d > 0 {
			time.Sleep(d)
		}
		c := l.next(next)
		l.calls.Go(c.run)
	}
	l.calls.Wait()
	l.client.CloseIdleConnections()
}

// next makes the next call.
func (l *load) next(due time.Time) *call {
	l.sent++
	c := &call{load: l, due: due, class: l.user.Service, method: http.MethodPost, number: l.sent}
	if l.rng.Float64() < idempotentShare {
		c.method = http.MethodGet
	}
	if l.rng.Float64() < backgroundShare {
		c.class = l.user.Background
	}
	if c.method == http.MethodGet && l.rng.Float64() < largeShare {
		c.bytes = largeBytes
	}
	return c
}

// call is one call of a caller.
type call struct {
	load   *load
	due    time.Time
	class  string
	method string
	bytes  int
	number int
}

func (c *call) run() {
	t := c.load.tally
	t.update(func(f *Figures) { f.CallsSent++ })
	a, err := c.send()
	switch {
	case err != nil && neverSent(err):
		t.update(func(f *Figures) { f.CallsRefusedNotRun++ })
	case err != nil:
		t.update(func(f *Figures) { f.CallsOutcomeUnknown++ })
	default:
		defer a.Body.Close()
		c.settle(a)
	}
}

// send sends the call to one entry, or to another where the first takes no
// connection, as the platform's balancer does.
func (c *call) send() (a *http.Response, err error) {
	for i := range balancerTries {
		entries := c.load.fleet.ReadyEntries()
		if len(entries) == 0 {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		e := entries[(c.number+i)%len(entries)]
		q, rerr := c.request(e.Addr().String())
		if rerr != nil {
			return nil, rerr
		}
		if a, err = c.load.client.Do(q); err == nil || !neverSent(err) {
			return a, err
		}
	}
	return nil, err
}

func (c *call) request(entry string) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/v1/call/%s/unlock?bytes=%d", entry, c.class, c.bytes)
	var body io.Reader
	q, err := http.NewRequest(c.method, url, body)
	if err != nil {
		return nil, err
	}
	q.Header.Set("Kq-Deadline", callDeadline.String())
	return q, nil
}

// neverSent reports whether no connection was made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// settle counts an answer, checking it against the endpoints' own record.
func (c *call) settle(a *http.Response) {
	t, record := c.load.tally, c.load.fleet.Records[c.load.user.Name]
	id := a.Header.Get("Kq-Call-Id")
	body, err := io.ReadAll(a.Body)
	refused := a.Header.Get("Kq-Result") != ""
	switch {
	case err != nil:
		t.update(func(f *Figures) { f.CallsOutcomeUnknown++ })
	case refused && a.StatusCode == http.StatusBadGateway:
		t.update(func(f *Figures) { f.CallsOutcomeUnknown++ })
	case refused:
		t.update(func(f *Figures) {
			f.CallsRefusedNotRun++
			if id != "" && record.Started(id) {
				f.Violations++
			}
		})
	default:
		t.answered(time.Since(c.due))
		if !c.whole(a, id, body) || !record.Finished(id) {
			t.update(func(f *Figures) { f.Violations++ })
		}
	}
}

// whole reports whether the answer is the call's own and complete.
func (c *call) whole(a *http.Response, id string, body []byte) bool {
	want := len("done " + id)
	if c.bytes > 0 {
		want = c.bytes
	}
	return a.Header.Get("X-Echo-Id") == id && len(body) == want && len(a.Header.Values("X-Many")) == 2
}
