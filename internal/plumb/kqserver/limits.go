package kqserver

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// LimitInfo describes a limit on clients for operators.
type LimitInfo struct {
	// Name says what is limited.
	Name string
	// Value is the limit or how it follows from the resources of the process.
	Value string
	// Reached says what happens at the limit.
	Reached string
}

// Catalogue lists the limits on clients. docs/SETTINGS.md is generated from it, and a test compares the two.
var Catalogue = []LimitInfo{
	{"memory of requests that are not answered yet, over all listeners", fmt.Sprintf("%d/%d of the memory, at least for one request of the largest size (up to %d/%d); a byte of a body counts as %d, a byte of an incomplete header as %d",
		requestParts, memoryParts, maxRequestParts, memoryParts, bodyCost, headerCost), "the request that has held most for longest without progress is refused (113); one whose body has arrived never is"},
	{"connections of a listener", fmt.Sprintf("%d/%d of the memory, each at %d bytes and %d times its receive buffer; at most the descriptors less %d, at least %d; on the users' platform %d for readiness checks and for metrics",
		connectionParts, memoryParts, connectionBytes, kernelFactor, fileDescriptors+ownDescriptors, minConnections, MinorConnections), "the connection that has held most for longest without progress is closed (815), never one whose request is being worked on"},
	{"connections that wait to be accepted", fmt.Sprintf("%d/%d of the memory for their receive buffers; at most %d", backlogParts, memoryParts, maxBacklog), "the kernel drops the opening packet, which the client sends again"},
	{"receive buffer of a connection", fmt.Sprintf("1/%d of the memory, from %d to %d bytes", memoryPerReceiveByte, minReceiveBuffer, maxReceiveBuffer), "the client waits until the process reads"},
	{"time in which a body arrives", fmt.Sprintf("as long as the client waits: X-Timeout-Ms, Kq-Deadline or Connect-Timeout-Ms; without one the default of the API, else %s", DefaultTimeout), "the request is refused (114)"},
	{"time in which a header arrives", readHeaderTimeout.String(), "the connection is closed (815)"},
	{"size of a header", fmt.Sprintf("%d bytes", maxHeaderBytes), "431, and the connection is closed"},
	{"time without a request on a connection", idleTimeout.String(), "the connection is closed"},
	{"time in which a part of an answer is read", fmt.Sprintf("%s for each %d bytes", writeTimeout, writePart), "the connection is closed (815)"},
	{"rest of a body after its answer", fmt.Sprintf("%s and %d bytes", lingerTimeout, maxLingerBytes), "the connection is closed"},
	{"HTTP/2, where it is served", fmt.Sprintf("%d streams a connection, each at %d bytes; windows of the receive buffer, at least %d bytes; a connection at %d bytes and its window more; not served on the users' platform", maxConcurrentStreams, streamBytes, minReceiveWindow, http2Bytes), "further streams are refused"},
}

// Resources is what the machine grants a process.
type Resources struct {
	// MemoryBytes is the memory limit of the process; 0 means the memory of the host.
	MemoryBytes int64
	// Descriptors is the limit on open descriptors; 0 means the limit that the kernel enforces.
	Descriptors int
	// LargestRequest is the largest request body, in bytes, that the process accepts.
	LargestRequest int64
}

// Limits bounds what all clients together can make a process hold.
type Limits struct {
	// RequestBytes limits the memory that requests occupy from their first byte until they are answered.
	RequestBytes int64
	// Connections limits the open connections of a listener.
	Connections int
	// HTTP2Connections is the same for a listener that serves HTTP/2, whose connections hold more.
	HTTP2Connections int
	// ReceiveBuffer is the receive buffer of a connection in bytes. The kernel takes up to twice as much.
	ReceiveBuffer int
	// Backlog limits the connections of a listener that wait to be accepted. They have receive buffers too.
	Backlog int
}

// The memory of a process is divided into sixteenths: four for connections, one for those that wait to be accepted, two
// for requests. The rest is for the process's own state and for the garbage that the collector lets accumulate.
const (
	memoryParts     = 16
	connectionParts = 4
	backlogParts    = 1
	requestParts    = 2
	// maxRequestParts limits the part that is granted if a single request needs more than requestParts.
	maxRequestParts = 4
)

const (
	// fileDescriptors is the number of descriptors that the platform reserves for files.
	fileDescriptors = 200
	// ownDescriptors is the number of descriptors for connections that the process opens itself, to the store and
	// to other processes, and for its other listeners.
	ownDescriptors = 256
	minConnections = 16
	maxBacklog     = 4096
	// connectionBytes is what a connection occupies in the process: its goroutines, buffers and the header of a
	// request.
	connectionBytes  = 32 << 10
	minReceiveBuffer = 16 << 10
	maxReceiveBuffer = 256 << 10
	// memoryPerReceiveByte is the memory of the process per byte of a connection's receive buffer.
	memoryPerReceiveByte = 16 << 10
	// kernelFactor is how many times its nominal size the kernel lets a receive buffer take.
	kernelFactor = 2
)

// Costs of what a client sends, in bytes of memory per byte received.
const (
	// bodyCost covers a buffer that grows by doubling and what is decoded from it.
	bodyCost = 3
	// headerCost covers headers of a few bytes each, which take far more as strings in a map.
	headerCost = 32
	// headerLineBytes is the memory of a header line besides its text.
	headerLineBytes = 128
	// streamBytes is the memory of an HTTP/2 stream, whose connection has others.
	streamBytes = 16 << 10
	// http2Bytes is what an HTTP/2 connection occupies besides its window: tables, buffers of frames and goroutines.
	http2Bytes = 64 << 10
)

// Limits returns the limits that follow from the resources.
func (r Resources) Limits() Limits {
	if r.MemoryBytes <= 0 {
		r.MemoryBytes = hostMemory()
	}
	if r.Descriptors <= 0 {
		r.Descriptors = descriptorLimit()
	}
	part := r.MemoryBytes / memoryParts
	l := Limits{RequestBytes: max(requestParts*part, min(maxRequestParts*part, requestBytes(r.LargestRequest))), ReceiveBuffer: int(min(maxReceiveBuffer, max(minReceiveBuffer, r.MemoryBytes/memoryPerReceiveByte)))}
	l.Backlog = int(max(minConnections, min(maxBacklog, backlogParts*part/int64(kernelFactor*l.ReceiveBuffer))))
	byDescriptors := r.Descriptors - fileDescriptors - ownDescriptors
	perConnection := connectionBytes + kernelFactor*l.ReceiveBuffer
	l.Connections = max(minConnections, min(int(connectionParts*part)/perConnection, byDescriptors))
	perConnection += http2Bytes + receiveWindow(l.ReceiveBuffer)
	l.HTTP2Connections = max(minConnections, min(int(connectionParts*part)/perConnection, byDescriptors))
	return l
}

// Admits reports whether a request with a body of a size can be served while there is no other.
func (l Limits) Admits(body int64) bool { return requestBytes(body) <= l.RequestBytes }

// requestBytes returns the memory that a request with a body of a size is taken to occupy at most.
func requestBytes(body int64) int64 { return body*bodyCost + maxHeaderBytes*headerCost }

// hostMemory returns the memory of the host in bytes.
func hostMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return fallbackMemory
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit))
}

// descriptorLimit returns the kernel's limit on the descriptors of this process.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// Resources of a process whose host does not tell them.
const (
	fallbackMemory      = 1 << 30
	fallbackDescriptors = 1024
	maxDescriptors      = 1 << 20
)
