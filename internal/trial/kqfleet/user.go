// Package kqfleet starts a whole fleet in one process on loopback: stand-ins of
// the platform, entries, agents and endpoints. Trials and tests use it.
package kqfleet

import (
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

const (
	gigabyte        = int64(1_000_000_000)
	workersPerRack  = 3
	slotsToday      = 8
	connectionsEach = 64
)

// User is the shape of one user's part of the fleet.
type User struct {
	// Name names the user, and its team.
	Name string
	// Zones is the availability zones.
	Zones []string
	// Workers is how many workers there are.
	Workers int
	// Capacity is what each worker has.
	Capacity kqmodel.Resources
	// Service is the latency-critical class.
	Service string
	// Background is the class of calls that may wait.
	Background string
	// Batch is the batch class.
	Batch string
	// Watcher is the watcher class.
	Watcher string
	// Family is the family of the batch jobs.
	Family string
	// ServiceTime is the median time of a call.
	ServiceTime time.Duration
}

// Users returns the users of today.
func Users() []User {
	return []User{
		{Name: "kaluvi", Zones: []string{"ausspan", "klein-wh", "eros", "katutura"}, Workers: 11,
			Capacity: kqmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 250 * gigabyte}, Service: "lockdesk",
			Background: "settlement-calls", Batch: "night-settlement", Watcher: "lockerwatch", Family: "settlement", ServiceTime: 15 * time.Millisecond},
		{Name: "guidafranca", Zones: []string{"pa-hall", "ct-hall", "me-hall", "tp-hall"}, Workers: 11,
			Capacity: kqmodel.Resources{MilliProcessors: 32_000, MemoryBytes: 125 * gigabyte}, Service: "onboard-svc",
			Background: "approval-calls", Batch: "screening", Watcher: "photo-watch", Family: "screening", ServiceTime: 25 * time.Millisecond},
	}
}

// FindUser returns the user of a name.
func FindUser(name string) (User, error) {
	for _, u := range Users() {
		if u.Name == name {
			return u, nil
		}
	}
	return User{}, fmt.Errorf("no user %q: expected kaluvi or guidafranca", name)
}

// Documents returns the classes and the quota of the user as an operator
// writes them, for a first application.
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
`, u.Service, u.Background, u.Batch, u.Watcher, u.Name)
}

// zone returns the availability zone and the rack of a worker.
func (u User) zone(i int) (zone, rack string) {
	return u.Zones[i%len(u.Zones)], fmt.Sprintf("rack-%d", i/len(u.Zones)/workersPerRack+1)
}
