// Package kqlink creates HTTP/2 clients for peers. It also keeps a pool of connections to agents
// and replaces those that no longer respond.
package kqlink

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	dialTimeout             = 700 * time.Millisecond
	pingAfter               = 1 * time.Second
	pingTimeout             = 1 * time.Second
	maxReceivePerStream     = 128 << 10
	maxReceivePerConnection = 2 << 20
	idleTimeout             = 5 * time.Minute
	maxResponseHeader       = 256 << 10
)

// Dialer creates HTTP clients for peers.
type Dialer struct {
	// TLS is the TLS configuration; if it is nil, connections are unencrypted.
	TLS *tls.Config
}

// NewClient returns an HTTP/2 client. It closes a connection within two seconds after the peer
// stops responding: it sends a ping after pingAfter and waits pingTimeout for the answer.
func (d Dialer) NewClient() *http.Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(d.TLS == nil)
	p.SetHTTP2(d.TLS != nil)
	return &http.Client{Transport: &http.Transport{
		Protocols:              &p,
		TLSClientConfig:        d.TLS,
		TLSHandshakeTimeout:    dialTimeout,
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               pingAfter,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     maxReceivePerStream,
			MaxReceiveBufferPerConnection: maxReceivePerConnection,
		},
	}}
}

// URL returns the base URL of the peer at a.
func (d Dialer) URL(a netip.AddrPort) string {
	if d.TLS != nil {
		return "https://" + a.String()
	}
	return "http://" + a.String()
}

// NewClient returns an HTTP/2 client for unencrypted connections.
func NewClient() *http.Client { return Dialer{}.NewClient() }

// URL returns the base URL of the unencrypted peer at a.
func URL(a netip.AddrPort) string { return Dialer{}.URL(a) }
