package kqmodel

import "net/netip"

// Worker is a host that runs tasks and endpoints.
type Worker struct {
	// ID names the worker over its whole life.
	ID string `json:"id"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Rack is the rack within the availability zone.
	Rack string `json:"rack"`
	// Address is where the worker's agent listens.
	Address netip.AddrPort `json:"address"`
	// Capacity is what the host has for tasks.
	Capacity Resources `json:"capacity"`
}

// Endpoint is a process that answers calls of one class.
type Endpoint struct {
	// ID names the endpoint.
	ID string `json:"id"`
	// Class is the class of work that it answers.
	Class string `json:"class"`
	// Address is where it listens on its own host.
	Address netip.AddrPort `json:"address"`
	// Slots is how many calls it runs at one time.
	Slots int `json:"slots"`
	// Connections is how many calls may be open to it, running or waiting.
	MaxConnections int `json:"connections"`
}
