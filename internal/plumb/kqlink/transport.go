// Package kqlink keeps connections to peers and replaces those that have gone
// silent.
package kqlink

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	dialTimeout       = 700 * time.Millisecond
	pingAfter         = 1 * time.Second
	pingTimeout       = 1 * time.Second
	receivePerStream  = 128 << 10
	receivePerLink    = 2 << 20
	idleLinkTimeout   = 5 * time.Minute
	maxHeaderResponse = 256 << 10
)

// Dialer makes clients of peers.
type Dialer struct {
	// TLS secures the connections; nil leaves them unencrypted.
	TLS *tls.Config
}

// NewClient returns an HTTP client that speaks HTTP/2 to a peer and closes a
// connection that does not answer pings within two seconds.
func (d Dialer) NewClient() *http.Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(d.TLS == nil)
	p.SetHTTP2(d.TLS != nil)
	return &http.Client{Transport: &http.Transport{
		Protocols:              &p,
		TLSClientConfig:        d.TLS,
		TLSHandshakeTimeout:    dialTimeout,
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:        idleLinkTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderResponse,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               pingAfter,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     receivePerStream,
			MaxReceiveBufferPerConnection: receivePerLink,
		},
	}}
}

// URL returns the base URL of a peer.
func (d Dialer) URL(a netip.AddrPort) string {
	if d.TLS != nil {
		return "https://" + a.String()
	}
	return "http://" + a.String()
}

// NewClient returns a client of an unencrypted peer.
func NewClient() *http.Client { return Dialer{}.NewClient() }

// URL returns the base URL of an unencrypted peer.
func URL(a netip.AddrPort) string { return Dialer{}.URL(a) }
