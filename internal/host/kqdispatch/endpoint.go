// Package kqdispatch runs calls at the endpoints on the host of an agent: it admits the
// calls, sends each attempt at most once and keeps the answers for a while.
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
	// initialServiceTime is the estimate of an endpoint's service time before any call ends.
	initialServiceTime = 20 * time.Millisecond
	// announcementTimeout is the time without an announcement after which an endpoint gets no
	// new calls.
	announcementTimeout = 2 * time.Second
	// endpointRetention is the time without an announcement after which an endpoint without
	// calls is removed.
	endpointRetention = 30 * time.Second
	// dialTimeout bounds the time to connect to an endpoint.
	dialTimeout = 500 * time.Millisecond
)

// admissionResult is the result for a call that has waited for a slot: either it is admitted
// or refusal says why it is not.
type admissionResult struct {
	admitted bool
	refusal  *kqresult.Error
}

// endpoint is one endpoint with its admission gate and its HTTP client.
type endpoint struct {
	info    kqmodel.Endpoint
	classes []string
	gate    *kqadmit.Gate
	client  *http.Client
	// waiting holds the channels of the calls that wait for a slot, by their names in the gate.
	waiting         map[string]chan admissionResult
	lastAnnouncedAt time.Time
	// isUnresponsive is true if the endpoint has not announced itself for announcementTimeout.
	isUnresponsive bool
}

func newEndpoint(now time.Time, a EndpointAnnouncement, c *kqinvariant.Counter, client *http.Client) *endpoint {
	return &endpoint{
		info:    kqmodel.Endpoint{ID: a.ID, Address: a.Address, Slots: a.Slots, MaxConnections: a.Connections},
		classes: a.Classes,
		gate: kqadmit.New(kqadmit.Config{Slots: a.Slots, Connections: a.Connections,
			FirstServiceTime: initialServiceTime, Counter: c}),
		client:          client,
		waiting:         map[string]chan admissionResult{},
		lastAnnouncedAt: now,
	}
}

// NewClient returns an HTTP client that opens at most the given number of connections,
// follows no redirects and does not decompress bodies.
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

// EndpointAnnouncement is an endpoint's announcement of itself.
type EndpointAnnouncement struct {
	// ID identifies the endpoint on its host.
	ID string
	// Classes lists the classes of calls that the endpoint answers.
	Classes []string
	// Address is the address on which the endpoint listens.
	Address netip.AddrPort
	// Slots is the number of calls that the endpoint runs at the same time.
	Slots int
	// Connections is the largest number of calls that may be open, running or waiting.
	Connections int
	// Leaving is true if the endpoint accepts no new calls.
	Leaving bool
}

// EndpointView is the state of an endpoint for the announcements to entries.
type EndpointView struct {
	// ID identifies the endpoint on its host.
	ID string
	// Classes lists the classes of calls that the endpoint answers.
	Classes []string
	// Connections is the largest number of calls that may be open, running or waiting.
	Connections int
	// Leaving is true if the endpoint accepts no new calls.
	Leaving bool
	// Load is the load of the endpoint's admission gate.
	Load kqadmit.Load
}

// notifyWaiting notifies the waiting calls that got a slot and those whose deadline has
// passed.
func (e *endpoint) notifyWaiting(admitted, expired []string) {
	for _, id := range admitted {
		e.notify(id, admissionResult{admitted: true})
	}
	for _, id := range expired {
		e.notify(id, admissionResult{refusal: kqresult.Errorf(kqresult.NotRunDeadline, "the deadline passed while the call waited in the queue of the endpoint")})
	}
}

// notify sends a waiting call its result and removes it from the waiting calls.
func (e *endpoint) notify(id string, a admissionResult) {
	if c, ok := e.waiting[id]; ok {
		delete(e.waiting, id)
		c <- a
	}
}

// withStoppableTimeout returns a context that ends after d unless the timer is stopped.
func withStoppableTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc, *time.Timer) {
	ctx, cancel := context.WithCancel(ctx)
	return ctx, cancel, time.AfterFunc(d, cancel)
}
