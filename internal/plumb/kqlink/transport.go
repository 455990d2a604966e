// Package kqlink keeps connections to peers and replaces those that have gone
// silent.
package kqlink

import (
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

// NewClient returns an HTTP client that speaks unencrypted HTTP/2 to a peer
// and closes a connection that does not answer pings within two seconds.
func NewClient() *http.Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:              &p,
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
func URL(a netip.AddrPort) string { return "http://" + a.String() }
