package kqlink

import "connectrpc.com/connect"

// ClientOptions returns the options of every client, with compression switched off: messages are
// small and network paths short, so that compression would cost more than it saves.
func ClientOptions(extra ...connect.ClientOption) []connect.ClientOption {
	return append([]connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil)}, extra...)
}

// HandlerOptions returns the options of every handler, with compression switched off.
func HandlerOptions(extra ...connect.HandlerOption) []connect.HandlerOption {
	return append([]connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}, extra...)
}
