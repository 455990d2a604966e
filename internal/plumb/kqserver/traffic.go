package kqserver

import "sync/atomic"

// Traffic counts the bytes received and sent over all connections of a server.
type Traffic struct {
	in  atomic.Uint64
	out atomic.Uint64
}

// Bytes returns the number of bytes received and sent so far.
func (t *Traffic) Bytes() (in, out uint64) { return t.in.Load(), t.out.Load() }
