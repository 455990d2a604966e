package kqlink

import "connectrpc.com/connect"

// ClientOptions returns the options of every client: messages are small and
// links short, so that compression would cost more than it saves.
func ClientOptions(more ...connect.ClientOption) []connect.ClientOption {
	return append([]connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil)}, more...)
}

// HandlerOptions returns the options of every handler.
func HandlerOptions(more ...connect.HandlerOption) []connect.HandlerOption {
	return append([]connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}, more...)
}
