package kqhost

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqobject"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
)

// Behaviour holds the true behaviour of a family's tasks, which may differ from what their
// jobs declare.
type Behaviour struct {
	// UsageFactor is the true over the declared resource usage; 0 means 1.
	UsageFactor float64
	// RunTimeFactor is the true over the declared run time; 0 means 1.
	RunTimeFactor float64
	// Interference is, by class of service, the slowdown that each processor of this
	// family's running tasks adds to the service time of calls on the host: 0.1 adds a
	// tenth.
	Interference map[string]float64
}

// Config sets up a Host.
type Config struct {
	// ID is the worker's id.
	ID string
	// BootSalt is part of the boot identifier and keeps the identifiers of several
	// processes apart.
	BootSalt string
	// Capacity is the host's capacity.
	Capacity kqmodel.Resources
	// Behaviours holds the true behaviour of tasks by family; a family without an entry
	// behaves as declared.
	Behaviours map[string]Behaviour
	// Objects stores the checkpoints.
	Objects kqobject.Store
	// Ledger records the attempts that run.
	Ledger *Ledger
	// Faults holds the fault switches of this stand-in.
	Faults *kqfault.Switches
	// UsageLag is the time after the start of an attempt during which no usage is
	// reported.
	UsageLag time.Duration
}

// Host is the task runtime of one worker.
type Host struct {
	config Config

	mu        sync.Mutex
	bootCount int
	runs      map[kqmodel.AttemptID]*run
	tokens    map[kqmodel.TaskID]uint64 // highest fencing token seen
	stopped   map[kqmodel.AttemptID]bool
	workDone  float64 // processor-seconds
}

// run is one attempt on the host. Progress is in seconds of run time at full speed.
type run struct {
	order            kqruntime.Order
	phase            kqruntime.Phase
	progress         float64
	initialProgress  float64 // progress of the checkpoint that it was resumed from
	requiredProgress float64
	throttle         float64 // granted share of the processors, from 0 to 1
	leaseUntil       time.Time
	updatedAt        time.Time // time up to which progress is accounted for
	startedAt        time.Time
	checkpoint       string // object key of the latest checkpoint
	checkpointCount  int
	willFail         bool // the attempt fails as soon as it is advanced
	reason           string
}

// New returns a Host in its first boot.
func New(c Config) *Host {
	h := &Host{config: c, bootCount: 1}
	h.reset()
	return h
}

// reset forgets all attempts, tokens and stops, as a boot does.
func (h *Host) reset() {
	h.runs = map[kqmodel.AttemptID]*run{}
	h.tokens = map[kqmodel.TaskID]uint64{}
	h.stopped = map[kqmodel.AttemptID]bool{}
}

// BootID returns the identifier of the current boot.
func (h *Host) BootID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bootID()
}

func (h *Host) bootID() string {
	return fmt.Sprintf("%s-boot-%s%d", h.config.ID, h.config.BootSalt, h.bootCount)
}

// Reboot ends all running attempts, forgets all state and changes the boot identifier.
func (h *Host) Reboot(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	for id, r := range h.runs {
		if !r.phase.Ended() {
			h.config.Ledger.ended(h.config.ID, id, r.progress, r.progress-r.initialProgress, false)
		}
	}
	h.reset()
	h.bootCount++
}

// advance advances every attempt to now; mu is held.
func (h *Host) advance(now time.Time) {
	for id, r := range h.runs {
		h.advanceRun(now, id, r)
	}
}

// advanceRun accounts for the progress of an attempt up to now, or up to the end of its
// lease, and changes its phase if it fails, finishes or loses its lease. Watchers run without
// a lease and do not finish. mu is held.
func (h *Host) advanceRun(now time.Time, id kqmodel.AttemptID, r *run) {
	if r.phase != kqruntime.PhaseRunning {
		r.updatedAt = now
		return
	}
	until := now
	leaseExpired := !r.order.Watcher && now.After(r.leaseUntil)
	if leaseExpired {
		until = r.leaseUntil
	}
	if d := until.Sub(r.updatedAt).Seconds(); d > 0 {
		r.progress += d * r.throttle
		h.workDone += d * r.throttle * float64(r.order.Declared.MilliProcessors) / 1000
	}
	r.updatedAt = now
	switch {
	case r.willFail:
		h.endRun(id, r, kqruntime.PhaseFailed, "the command failed")
	case !r.order.Watcher && r.progress >= r.requiredProgress:
		r.progress = r.requiredProgress
		h.endRun(id, r, kqruntime.PhaseFinished, "")
	case leaseExpired:
		r.phase, r.reason = kqruntime.PhaseSuspended, "the lease expired"
	}
}

func (h *Host) endRun(id kqmodel.AttemptID, r *run, p kqruntime.Phase, reason string) {
	r.phase, r.reason = p, reason
	h.config.Ledger.ended(h.config.ID, id, r.progress, r.progress-r.initialProgress, p == kqruntime.PhaseFinished)
}

// Used returns the resources reserved by the attempts that have not ended.
func (h *Host) Used() kqmodel.Resources {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.used()
}

func (h *Host) used() kqmodel.Resources {
	var sum kqmodel.Resources
	for _, r := range h.runs {
		if !r.phase.Ended() {
			sum = sum.Add(r.order.Resources)
		}
	}
	return sum
}

// fence refuses an order whose token is lower than the highest one seen for the task.
func (h *Host) fence(id kqmodel.AttemptID, token uint64) error {
	if token < h.tokens[id.Task] {
		return kqresult.Errorf(kqresult.StaleToken, "token %d of %s is older than %d", token, id, h.tokens[id.Task])
	}
	h.tokens[id.Task] = token
	return nil
}

// Start starts an attempt, or resumes a suspended one and extends its lease.
func (h *Host) Start(ctx context.Context, now time.Time, o kqruntime.Order, until time.Time) error {
	initialProgress, err := h.loadCheckpoint(ctx, o.Checkpoint)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	if err := h.fence(o.ID, o.Token); err != nil {
		return err
	}
	if o.HostBoot != h.bootID() {
		return kqresult.Errorf(kqresult.StaleToken, "%s was ordered for boot %s, the current boot is %s", o.ID, o.HostBoot, h.bootID())
	}
	if h.stopped[o.ID] {
		return kqresult.Errorf(kqresult.StaleToken, "%s was stopped", o.ID)
	}
	if r, ok := h.runs[o.ID]; ok {
		if r.phase == kqruntime.PhaseSuspended {
			r.phase, r.reason = kqruntime.PhaseRunning, ""
		}
		r.leaseUntil = until
		return nil
	}
	if !h.used().Add(o.Resources).FitsIn(h.config.Capacity) {
		return kqresult.Errorf(kqresult.CapacityRefused, "insufficient free capacity for %s: %s of %s in use", o.Resources, h.used(), h.config.Capacity)
	}
	h.startRun(now, o, until, initialProgress)
	return nil
}

func (h *Host) startRun(now time.Time, o kqruntime.Order, until time.Time, initialProgress float64) {
	b := h.config.Behaviours[o.Family]
	r := &run{order: o, phase: kqruntime.PhaseRunning, progress: initialProgress, initialProgress: initialProgress, throttle: 1,
		requiredProgress: o.RunTime.Seconds() * orOne(b.RunTimeFactor), leaseUntil: until, updatedAt: now,
		startedAt: now, checkpoint: o.Checkpoint,
		willFail: h.config.Faults.Chance(h.config.Faults.State().FailTasks)}
	h.runs[o.ID] = r
	h.config.Ledger.started(h.config.ID, o, initialProgress)
	if !h.used().FitsIn(h.config.Capacity) {
		h.config.Ledger.overCapacity()
	}
}

// orOne returns f, or 1 if f is not set.
func orOne(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}

// checkpointData is the stored content of a checkpoint.
type checkpointData struct {
	Progress float64 `json:"progress"`
}

// loadCheckpoint returns the progress stored in a checkpoint, 0 if there is no key.
func (h *Host) loadCheckpoint(ctx context.Context, key string) (float64, error) {
	if key == "" {
		return 0, nil
	}
	b, ok, err := h.config.Objects.Get(ctx, key)
	if err != nil {
		return 0, kqresult.Errorf(kqresult.CheckpointFailed, "reading checkpoint %s: %v", key, err)
	}
	if !ok {
		return 0, kqresult.Errorf(kqresult.CheckpointFailed, "checkpoint %s does not exist", key)
	}
	var s checkpointData
	if err := json.Unmarshal(b, &s); err != nil {
		return 0, kqresult.Errorf(kqresult.CheckpointFailed, "decoding checkpoint %s: %v", key, err)
	}
	return s.Progress, nil
}

// findRun checks the fencing token of an order and returns the attempt that it is for; mu is
// held.
func (h *Host) findRun(now time.Time, id kqmodel.AttemptID, token uint64) (*run, error) {
	h.advance(now)
	if err := h.fence(id, token); err != nil {
		return nil, err
	}
	r, ok := h.runs[id]
	if !ok {
		return nil, kqresult.Errorf(kqresult.NotFound, "%s does not exist on this host", id)
	}
	return r, nil
}

// Renew extends the lease of an attempt. An attempt that was suspended because its lease
// expired stays suspended until Start resumes it.
func (h *Host) Renew(now time.Time, id kqmodel.AttemptID, token uint64, until time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, err := h.findRun(now, id, token)
	if err != nil {
		return err
	}
	r.leaseUntil = until
	return nil
}

// Checkpoint stores the progress of an attempt in the object store and returns the object's
// key.
func (h *Host) Checkpoint(ctx context.Context, now time.Time, id kqmodel.AttemptID, token uint64) (string, error) {
	h.mu.Lock()
	r, err := h.findRun(now, id, token)
	if err != nil {
		h.mu.Unlock()
		return "", err
	}
	r.checkpointCount++
	key := fmt.Sprintf("checkpoint/%s/%d/%d-%s-%d", id.Task.Job, id.Task.Index, id.Attempt, h.bootID(), r.checkpointCount)
	value, _ := json.Marshal(checkpointData{Progress: r.progress})
	h.mu.Unlock()
	if err := h.config.Objects.Put(ctx, key, value); err != nil {
		return "", kqresult.Errorf(kqresult.CheckpointFailed, "storing checkpoint %s: %v", key, err)
	}
	h.mu.Lock()
	r.checkpoint = key
	h.mu.Unlock()
	return key, nil
}

// Suspend pauses an attempt; it keeps its resources and its progress.
func (h *Host) Suspend(now time.Time, id kqmodel.AttemptID, token uint64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, err := h.findRun(now, id, token)
	if err == nil && r.phase == kqruntime.PhaseRunning {
		r.phase, r.reason = kqruntime.PhaseSuspended, "suspended by order"
	}
	return err
}

// Throttle sets the share of its processors, from 0 to 1, that an attempt is granted.
func (h *Host) Throttle(now time.Time, id kqmodel.AttemptID, token uint64, share float64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, err := h.findRun(now, id, token)
	if err == nil {
		r.throttle = share
	}
	return err
}

// Stop ends an attempt and removes it from the inventory. An attempt that the host does not
// have is refused if its start arrives later. The agent stops an attempt that has ended once
// the owner has recorded its end, so a stop of a finished attempt acknowledges the end.
func (h *Host) Stop(now time.Time, id kqmodel.AttemptID, token uint64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	if err := h.fence(id, token); err != nil {
		return err
	}
	h.stopped[id] = true
	r, ok := h.runs[id]
	switch {
	case ok && !r.phase.Ended():
		h.endRun(id, r, kqruntime.PhaseStopped, "stopped by order")
	case ok && r.phase == kqruntime.PhaseFinished:
		h.config.Ledger.acknowledged(id.Task)
	}
	delete(h.runs, id)
	return nil
}

// Inventory returns the boot identifier, the capacity and a report of every attempt.
func (h *Host) Inventory(now time.Time) kqruntime.Inventory {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	v := kqruntime.Inventory{HostBoot: h.bootID(), Capacity: h.config.Capacity}
	for id, r := range h.runs {
		v.Tasks = append(v.Tasks, kqruntime.Report{ID: id, Phase: r.phase, Checkpoint: r.checkpoint,
			Usage: h.usage(now, r), RunTime: time.Duration(r.progress * float64(time.Second)),
			Throttle: r.throttle, Reason: r.reason})
	}
	return v
}

// usage returns the measured usage of an attempt, zero until UsageLag has passed and while it
// is not running.
func (h *Host) usage(now time.Time, r *run) kqmodel.Resources {
	if now.Sub(r.startedAt) < h.config.UsageLag || r.phase != kqruntime.PhaseRunning {
		return kqmodel.Resources{}
	}
	f := orOne(h.config.Behaviours[r.order.Family].UsageFactor)
	d := r.order.Declared
	return kqmodel.Resources{MilliProcessors: int64(float64(d.MilliProcessors) * f * r.throttle),
		MemoryBytes: int64(float64(d.MemoryBytes) * f), Accelerators: d.Accelerators}
}

// WorkDone returns the processor-seconds of work done on the host so far.
func (h *Host) WorkDone(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	return h.workDone
}

// ServiceSlowdown returns the factor by which the running tasks stretch the service time of a
// class of service; 1 means no effect.
func (h *Host) ServiceSlowdown(class string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := 1.0
	for _, r := range h.runs {
		if r.phase == kqruntime.PhaseRunning {
			b := h.config.Behaviours[r.order.Family]
			s += b.Interference[class] * r.throttle * float64(r.order.Declared.MilliProcessors) / 1000
		}
	}
	return s
}
