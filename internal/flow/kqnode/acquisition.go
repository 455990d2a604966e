package kqnode

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
)

// replace logs why the present owner is to be replaced, and tries to acquire the ownership.
func (n *Node) replace(ctx context.Context) {
	c := n.config.Control
	now := c.Now()
	owner, report := n.ownerState()
	if owner.Name != "" {
		e := n.observer.Evidence(now)
		reported := "has not reported"
		if !report.At.IsZero() {
			reported = fmt.Sprintf("reported %s ago that it was confirmed %s before", now.Sub(report.At).Round(time.Millisecond), report.ConfirmationAge.Round(time.Millisecond))
		}
		c.Events.Emit(now, kqevent.OwnerUnresponsive, kqevent.Process(owner.Name), "cell %s, epoch %d: heartbeat unchanged for %s, unreachable %t, owner %s; the store responds within %s",
			c.Cell, owner.Epoch, e.HeartbeatAge.Round(time.Millisecond), e.Unreachable, reported, e.StoreLatency.Round(time.Millisecond))
	}
	n.acquire(ctx)
}

// acquire tries to acquire the ownership and starts the controller.
func (n *Node) acquire(ctx context.Context) {
	n.mu.Lock()
	owner, version := n.owner, n.version
	if n.stopController != nil {
		n.mu.Unlock()
		return
	}
	acquired := make(chan struct{})
	n.acquired, n.waiting = acquired, map[string]*peer{}
	n.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	c, err := kqcontrol.Acquire(call, n.config.Control, owner, version, n.epochs)
	n.mu.Lock()
	n.acquired = nil
	close(acquired)
	stop := n.stopController
	if err == nil && stop == nil {
		n.controller = c
	}
	n.mu.Unlock()
	switch {
	case err != nil:
		return
	case stop != nil:
		stop(c)
		return
	}
	c.Start()
}

// awaitController returns the controller of the cell for a peer on a host, nil if this process does
// not own the cell. If this process is acquiring the cell, it waits until that has succeeded or failed.
// isLatest is false if the host has connected again meanwhile.
func (n *Node) awaitController(p *peer, host string) (c *kqcontrol.Controller, isLatest bool) {
	n.mu.Lock()
	acquired := n.acquired
	if acquired == nil {
		n.mu.Unlock()
		return n.activeController(), true
	}
	n.waiting[host] = p
	n.mu.Unlock()
	select {
	case <-acquired:
	case <-n.tomb.Dying():
	}
	n.mu.Lock()
	isLatest = n.waiting[host] == p
	n.mu.Unlock()
	return n.activeController(), isLatest
}
