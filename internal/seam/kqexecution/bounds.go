package kqexecution

import "time"

const (
	// fullPercent is the progress of a run that is complete.
	fullPercent = 100
	// minMeasurement and maxMeasurement limit a measurement; the maximum is twelve days of tail
	// latency in milliseconds, or a million processors in thousandths.
	minMeasurement = 1e-3
	maxMeasurement = 1e9
	// MaxClock limits a reading of a worker's clock, so that sums with durations do not overflow.
	MaxClock = Clock(100 * 365 * 24 * time.Hour)
	// MaxEndNumber limits the number of an end. A worker would reach it after 52 days of 220 ends a
	// second, which is the target for all workers together. Every end with a lower number than the
	// latest counts as known, so one number that is too large would hide all later ends.
	MaxEndNumber = 1_000_000_000
	// MaxCheckpointBytes limits a checkpoint: it is stored, reported and sent with each order of its task. The
	// limit is that of a job's payload.
	MaxCheckpointBytes = 4000
)

// BoundedCheckpoint returns a checkpoint, or "" if it is larger than MaxCheckpointBytes: a task may start without it.
func BoundedCheckpoint(checkpoint string) string {
	if len(checkpoint) > MaxCheckpointBytes {
		return ""
	}
	return checkpoint
}

// Bounded returns the status with its progress limited to 0 to 100, without a measurement that is out of
// range, since sums of such measurements are infinite or not a number, and without a checkpoint that is too large.
func (r RunStatus) Bounded() RunStatus {
	r.Percent = min(fullPercent, max(0, r.Percent))
	if r.Measurement < minMeasurement || r.Measurement > maxMeasurement {
		r.Measurement = 0
	}
	r.Checkpoint = BoundedCheckpoint(r.Checkpoint)
	return r
}
