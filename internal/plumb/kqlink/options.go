package kqlink

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
)

// ClientOptions returns the options of every client, with compression switched off: messages are
// small and network paths short, so that compression would cost more than it saves.
func ClientOptions(extra ...connect.ClientOption) []connect.ClientOption {
	return append([]connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil)}, extra...)
}

// HandlerOptions returns the options of every handler, with compression switched off.
func HandlerOptions(extra ...connect.HandlerOption) []connect.HandlerOption {
	return append([]connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}, extra...)
}

// headerTimeout is the header in which a client of Connect states how long it waits, in milliseconds.
const headerTimeout = "Connect-Timeout-Ms"

// Timeout returns how long the client of a Connect request waits, at least a minimum.
func Timeout(r *http.Request, minimum time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64)
	if err != nil || ms > int64(math.MaxInt64/time.Millisecond) {
		return minimum
	}
	return max(minimum, time.Duration(ms)*time.Millisecond)
}
