// Package kqagent implements the agent, the process that runs on the host of a worker. It
// announces the host's endpoints to the entries, admits and dispatches their calls, drives
// the worker's task runtime and may own the worker's cell.
package kqagent

import (
	"net/netip"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtls"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtrace"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Config sets up an Agent.
type Config struct {
	// Worker is the ID of the worker.
	Worker string
	// Zone is the availability zone.
	Zone string
	// Rack is the rack within the availability zone.
	Rack string
	// Listen is the address to serve on; port 0 selects a free port.
	Listen netip.AddrPort
	// Advertise is the address under which other processes reach the agent; the zero value
	// means the address served.
	Advertise netip.AddrPort
	// Cells is the number of cells into which the workers are grouped.
	Cells int
	// Seeds lists the entries known from the settings.
	Seeds []netip.AddrPort
	// Identity secures the connections with entries, owners and endpoints; if it is nil, they
	// are not encrypted.
	Identity *kqtls.Identity
	// Guard limits what clients hold; nil derives the limits from the host.
	Guard *kqserver.Guard
	// Table is the platform's table.
	Table kqtable.Table
	// Runtime is the host's task runtime.
	Runtime kqruntime.Runtime
	// Throttling is true if the agent may throttle batch tasks to protect services.
	Throttling bool
	// Interference is true if the owner uses learned interference to place tasks.
	Interference bool
	// DrainTimeout bounds the time for moving tasks away and finishing calls on shutdown.
	DrainTimeout time.Duration
	// Now is the clock.
	Now func() time.Time
	// Events is the log of decisions.
	Events *kqevent.Log
	// Tracer creates trace spans; it may be nil.
	Tracer *kqtrace.Tracer
	// Counter counts invariant violations.
	Counter *kqinvariant.Counter
}
