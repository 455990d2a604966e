// Package kqdispatch runs calls at the endpoints beside an agent: it admits
// them, sends each at most once and keeps the answers.
package kqdispatch

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqadmit"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

const (
	firstServiceTime  = 20 * time.Millisecond
	endpointSilence   = 2 * time.Second
	endpointForgotten = 30 * time.Second
	dialTimeout       = 500 * time.Millisecond
)

// admission is the news for a call that waits.
type admission struct {
	run     bool
	refusal *kqresult.Error
}

// endpoint is one endpoint with its gate and its connections.
type endpoint struct {
	info    kqmodel.Endpoint
	classes []string
	gate    *kqadmit.Gate
	client  *http.Client
	waiting map[string]chan admission
	heardAt time.Time
	silent  bool
}

func newEndpoint(now time.Time, a EndpointAnnouncement, c *kqinvariant.Counter, client *http.Client) *endpoint {
	return &endpoint{
		info:    kqmodel.Endpoint{ID: a.ID, Address: a.Address, Slots: a.Slots, Connections: a.Connections},
		classes: a.Classes,
		gate: kqadmit.New(kqadmit.Config{Slots: a.Slots, Connections: a.Connections,
			FirstServiceTime: firstServiceTime, Counter: c}),
		client:  client,
		waiting: map[string]chan admission{},
		heardAt: now,
	}
}

// NewClient returns a client that opens at most the given connections, follows
// no redirects and changes no bodies.
func NewClient(connections int) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			DisableCompression:  true,
		},
	}
}

// EndpointAnnouncement is what an endpoint says of itself.
type EndpointAnnouncement struct {
	// ID names the endpoint on its host.
	ID string
	// Classes is the classes of calls that it answers.
	Classes []string
	// Address is where it listens.
	Address netip.AddrPort
	// Slots is how many calls it runs at one time.
	Slots int
	// Connections is how many calls may be open to it.
	Connections int
	// Leaving is true if it takes no new calls.
	Leaving bool
}

// EndpointView is an endpoint for announcements to entries.
type EndpointView struct {
	// ID names the endpoint.
	ID string
	// Classes is the classes of calls that it answers.
	Classes []string
	// Connections is how many calls may be open to it.
	Connections int
	// Leaving is true if it takes no new calls.
	Leaving bool
	// Load is the state of its gate.
	Load kqadmit.Load
}

// settle hands out the slots that a finished call left.
func (e *endpoint) settle(next, expired []string) {
	for _, id := range next {
		e.tell(id, admission{run: true})
	}
	for _, id := range expired {
		e.tell(id, admission{refusal: kqresult.Errorf(kqresult.NotRunDeadline, "the deadline passed in the queue")})
	}
}

func (e *endpoint) tell(id string, a admission) {
	if c, ok := e.waiting[id]; ok {
		delete(e.waiting, id)
		c <- a
	}
}

// contextWithin returns a context that ends after d unless stopped.
func contextWithin(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc, *time.Timer) {
	ctx, cancel := context.WithCancel(ctx)
	return ctx, cancel, time.AfterFunc(d, cancel)
}
