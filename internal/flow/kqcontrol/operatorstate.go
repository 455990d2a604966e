package kqcontrol

import (
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
)

// OperatorState holds the newest policy and evacuated zones that a process has learned of. A process
// has one for all its controllers: what arrives while none is active, or while one is loading, is
// applied by the next step of the next controller. It never returns to an older version, in whichever
// order versions are set.
type OperatorState struct {
	mu     sync.Mutex
	policy *kqflow.Policy
	zones  kqevacuate.Zones
}

// SetPolicy sets the policy, unless it is nil or older than the present one.
func (s *OperatorState) SetPolicy(p *kqflow.Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p != nil && (s.policy == nil || p.Version >= s.policy.Version) {
		s.policy = p
	}
}

// SetZones sets the evacuated zones as of now, unless they are older than the present ones.
func (s *OperatorState) SetZones(now time.Time, z kqevacuate.Zones) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zones, _ = s.zones.ApplyNotice(now, z.Notice())
}

// latest returns the policy, nil if there is none, and the evacuated zones.
func (s *OperatorState) latest() (*kqflow.Policy, kqevacuate.Zones) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy, s.zones
}

// applyOperatorState applies the operator's policy and evacuated zones if they are newer than those in
// force. It sends newer zones to the agents: an agent that cannot reach the store learns of them only
// from the owner. mu is held, or the controller is still loading.
func (c *Controller) applyOperatorState(now time.Time) {
	policy, zones := c.config.Operator.latest()
	if policy != c.policy {
		c.policy = policy
		c.planner.SetPolicy(policy)
	}
	zones, isNewer := c.zones.ApplyNotice(now, zones.Notice())
	if !isNewer {
		return
	}
	c.zones = zones
	c.planner.SetZones(now, zones)
	for _, s := range c.sessions {
		if s.hello.Role == kqmessage.RoleAgent {
			s.sendZones()
		}
	}
}
