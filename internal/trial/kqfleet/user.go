// Package kqfleet starts a whole fleet in one process on loopback: stand-ins of the platform,
// entries, agents and endpoints. Benchmarks, the demo and tests use it.
package kqfleet

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

const (
	gigabyte            = int64(1_000_000_000)
	workersPerRack      = 3
	endpointSlots       = 8
	endpointConnections = 64
)

// User describes one user's part of the fleet.
type User struct {
	// Name is the name of the user and of its team.
	Name string
	// Zones lists the availability zones, to which the workers are assigned in turn.
	Zones []string
	// Workers is the number of workers.
	Workers int
	// Capacity is the capacity of each worker.
	Capacity kqmodel.Resources
	// ServiceClass is the name of the latency-critical class.
	ServiceClass string
	// BackgroundClass is the name of the class of calls that may wait.
	BackgroundClass string
	// BatchClass is the name of the batch class.
	BatchClass string
	// WatcherClass is the name of the watcher class.
	WatcherClass string
	// Family is the family of the batch jobs.
	Family string
	// ServiceTime is the median service time of a call.
	ServiceTime time.Duration
}

// Users returns the two users whose fleets are simulated.
func Users() []User {
	return []User{
		{Name: "kaluvi", Zones: []string{"ausspan", "klein-wh", "eros", "katutura"}, Workers: 11,
			Capacity: kqmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 250 * gigabyte}, ServiceClass: "lockdesk",
			BackgroundClass: "settlement-calls", BatchClass: "night-settlement", WatcherClass: "lockerwatch", Family: "settlement", ServiceTime: 15 * time.Millisecond},
		{Name: "guidafranca", Zones: []string{"pa-hall", "ct-hall", "me-hall", "tp-hall"}, Workers: 11,
			Capacity: kqmodel.Resources{MilliProcessors: 32_000, MemoryBytes: 125 * gigabyte}, ServiceClass: "onboard-svc",
			BackgroundClass: "approval-calls", BatchClass: "screening", WatcherClass: "photo-watch", Family: "screening", ServiceTime: 25 * time.Millisecond},
	}
}

// FindUser returns the user with the given name.
func FindUser(name string) (User, error) {
	for _, u := range Users() {
		if u.Name == name {
			return u, nil
		}
	}
	return User{}, fmt.Errorf("no user %q: expected kaluvi or guidafranca", name)
}

// Documents returns the configuration documents with the classes and the quota of the user, as
// an operator writes them when none is stored yet (if_version: 0).
func (u User) Documents() string {
	return fmt.Sprintf(`class: %s
kind: latency_critical
latency: 250ms
percentile: 99
if_version: 0
---
class: %s
kind: batch
finish_within: 10s
if_version: 0
---
class: %s
kind: batch
finish_within: 8h
if_version: 0
---
class: %s
kind: watcher
keep_running: 99.9
if_version: 0
---
quota: %s
processors: 600
memory: 2TB
accelerators: 0
if_version: 0
`, u.ServiceClass, u.BackgroundClass, u.BatchClass, u.WatcherClass, u.Name)
}

// location returns the availability zone and the rack of the worker with index i.
func (u User) location(i int) (zone, rack string) {
	return u.Zones[i%len(u.Zones)], fmt.Sprintf("rack-%d", i/len(u.Zones)/workersPerRack+1)
}
