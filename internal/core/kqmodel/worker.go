package kqmodel

import "net/netip"

// Worker is a host that runs tasks and endpoints.
type Worker struct {
	// ID identifies the worker during its whole lifetime.
	ID string `json:"id"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Rack is the rack within the availability zone.
	Rack string `json:"rack"`
	// Address is the address on which the worker's agent listens.
	Address netip.AddrPort `json:"address"`
	// Capacity is the total resources of the host for tasks.
	Capacity Resources `json:"capacity"`
}

// Endpoint is a process that answers calls of a class.
type Endpoint struct {
	// ID identifies the endpoint.
	ID string `json:"id"`
	// Class is the class whose calls the endpoint answers.
	Class string `json:"class"`
	// Address is the address on which the endpoint listens on its host.
	Address netip.AddrPort `json:"address"`
	// Slots is the maximum number of calls that run at the same time.
	Slots int `json:"slots"`
	// MaxConnections is the maximum number of open calls, running or waiting.
	MaxConnections int `json:"connections"`
}
