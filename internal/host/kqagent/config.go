// Package kqagent is the process beside the endpoints of a worker: it
// announces them, admits their calls, drives the worker's task runtime and may
// own the worker's cell.
package kqagent

import (
	"net/netip"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtls"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtrace"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Config sets up an Agent.
type Config struct {
	// Worker names the host.
	Worker string
	// Zone is the availability zone.
	Zone string
	// Rack is the rack within the availability zone.
	Rack string
	// Listen is the address to serve on; port 0 takes a free one.
	Listen netip.AddrPort
	// Advertise is the address that others use; the zero value means Listen.
	Advertise netip.AddrPort
	// Cells is how many cells the workers are grouped into.
	Cells int
	// Seeds is entries known from the settings.
	Seeds []netip.AddrPort
	// Identity secures the connections with entries, owners and endpoints; nil
	// leaves them unencrypted.
	Identity *kqtls.Identity
	// Table is the platform's table.
	Table kqtable.Table
	// Runtime is the host's task runtime.
	Runtime kqruntime.Runtime
	// Throttling lets the agent throttle batch work for a service's sake.
	Throttling bool
	// Interference lets the owner place by learned interference.
	Interference bool
	// DrainBound is the longest time for the hand-over of tasks and calls.
	DrainTimeout time.Duration
	// Now is the clock.
	Now func() time.Time
	// Events remembers what was decided.
	Events *kqevent.Log
	// Tracer makes spans; may be nil.
	Tracer *kqtrace.Tracer
	// Counter receives breaches.
	Counter *kqinvariant.Counter
}
