package kqserver

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes received and sent over all connections of a server.
type Traffic struct {
	in  atomic.Uint64
	out atomic.Uint64
}

// Bytes returns the number of bytes received and sent so far.
func (t *Traffic) Bytes() (in, out uint64) { return t.in.Load(), t.out.Load() }

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept waits for the next connection and returns it with counting.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, traffic: l.traffic}, nil
}

// countingConn adds the bytes that it receives and sends to traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the connection and counts the bytes received.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(uint64(n))
	return n, err
}
