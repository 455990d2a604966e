package kqgate

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// QueueTable is the name of the table that holds the queues.
const QueueTable = "queues"

// Upper limits of the settings of a queue.
const (
	maxPriority = 100
	maxAttempts = 100
	maxStretch  = 1000
)

// QueueSpec is a queue in the form that operators send.
type QueueSpec struct {
	Name string `json:"name"`
	// Service names the pool of workers that runs its tasks.
	Service string `json:"service"`
	// Priority is the urgency of the queue: 0 is the most urgent, and its tasks may preempt those
	// of queues with a higher number.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed runs of a task after which its flow fails.
	MaxAttempts int `json:"attempts"`
	// Stretch is the factor by which the critical path of a flow enters its objective.
	Stretch float64 `json:"stretch"`
	// Target is the constant part of the objective of every flow.
	Target kqmodel.Duration `json:"target"`
}

// storedQueue validates the queue and returns it in the form that is stored.
func (s QueueSpec) storedQueue() (kqflow.Queue, *kqresult.Error) {
	q := kqflow.Queue{Name: s.Name, Service: s.Service, Priority: s.Priority, MaxAttempts: s.MaxAttempts, Stretch: s.Stretch, Target: s.Target.Std()}
	if err := checkName("name", s.Name); err != nil {
		return q, err
	}
	if err := checkName("service", s.Service); err != nil {
		return q, err
	}
	switch {
	case s.Priority < 0 || s.Priority > maxPriority:
		return q, kqresult.Errorf(kqresult.BadRequest, "priority: %d is out of range: from 0 to %d", s.Priority, maxPriority)
	case s.MaxAttempts < 1 || s.MaxAttempts > maxAttempts:
		return q, kqresult.Errorf(kqresult.BadRequest, "attempts: %d is out of range: from 1 to %d", s.MaxAttempts, maxAttempts)
	case s.Stretch < 1 || s.Stretch > maxStretch:
		return q, kqresult.Errorf(kqresult.BadRequest, "stretch: %v is out of range: from 1 to %d", s.Stretch, maxStretch)
	case s.Target < 0:
		return q, kqresult.Errorf(kqresult.BadRequest, "target: %s is below 0", s.Target)
	}
	return q, nil
}

// newQueueSpec returns a stored queue in the form that operators send.
func newQueueSpec(q kqflow.Queue) QueueSpec {
	return QueueSpec{Name: q.Name, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: kqmodel.Duration(q.Target)}
}

// PolicyWatcherConfig is the configuration of a PolicyWatcher.
type PolicyWatcherConfig struct {
	// Store holds the queues.
	Store kqrows.Store
	// Now returns the current time.
	Now func() time.Time
	// Events records each policy that comes into force; may be nil.
	Events *kqevent.Log
	// OnChange is called with each policy that comes into force; may be nil.
	OnChange func(*kqflow.Policy)
}

// watchWait is how long one call waits for changes, watchSlack how much longer its answer may take,
// and watchRetryDelay the time between an error and the next read.
const (
	watchWait       = 2 * time.Second
	watchSlack      = time.Second
	watchRetryDelay = 200 * time.Millisecond
)

// PolicyWatcher follows the stored queues and provides the policy that is in force.
type PolicyWatcher struct {
	config PolicyWatcherConfig
	tomb   tomb.Tomb

	mu       sync.Mutex
	policy   *kqflow.Policy
	versions map[string]uint64
}

// NewPolicyWatcher returns a PolicyWatcher that follows the store until it is closed.
func NewPolicyWatcher(c PolicyWatcherConfig) *PolicyWatcher {
	w := &PolicyWatcher{config: c}
	w.tomb.Go(w.run)
	return w
}

// Close stops following the store.
func (w *PolicyWatcher) Close() {
	w.tomb.Kill(nil)
	_ = w.tomb.Wait()
}

// Policy returns the policy that is in force, or nil before the store was first read.
func (w *PolicyWatcher) Policy() *kqflow.Policy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.policy
}

// Version returns the version of a queue, or 0 if the queue does not exist.
func (w *PolicyWatcher) Version(name string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.versions[name]
}

func (w *PolicyWatcher) run() error {
	kqrows.Follower{Store: w.config.Store, Table: QueueTable, MaxPollWait: watchWait, ResponseSlack: watchSlack, RetryDelay: watchRetryDelay,
		Apply: w.apply}.Run(w.tomb.Context(context.Background()))
	return nil
}

// apply puts newer rows into force. It replaces the policy and never modifies one that callers may
// hold.
func (w *PolicyWatcher) apply(n kqrows.Update) {
	w.mu.Lock()
	next := &kqflow.Policy{Queues: map[string]kqflow.Queue{}}
	if w.policy != nil {
		next.Version = w.policy.Version
		maps.Copy(next.Queues, w.policy.Queues)
	} else {
		w.versions = map[string]uint64{}
	}
	for _, r := range n.Rows {
		var q kqflow.Queue
		if r.Removed || r.Version <= w.versions[r.Name] {
			continue
		}
		if err := json.Unmarshal(r.Value, &q); err != nil {
			w.config.Events.Emit(w.config.Now(), kqevent.RowUnreadable, kqevent.Process(r.Name), "unreadable queue: %v", err)
			continue
		}
		next.Queues[r.Name], w.versions[r.Name] = q, r.Version
		next.Version = max(next.Version, r.Version)
	}
	w.policy = next
	w.mu.Unlock()
	w.config.Events.Emit(w.config.Now(), kqevent.PolicyApplied, kqevent.Process(QueueTable), "version %d, %d queues", next.Version, len(next.Queues))
	if w.config.OnChange != nil {
		w.config.OnChange(next)
	}
}
