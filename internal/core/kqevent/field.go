package kqevent

import (
	"time"

	"go.uber.org/zap"
)

// Field is a key and a value of an event, for programs that read the log.
type Field = zap.Field

// Run returns the field for the number of a task's run.
func Run(number uint64) Field { return zap.Uint64("run", number) }

// EndReason returns the field for the reason why a run ended.
func EndReason(how string) Field { return zap.String("how", how) }

// Queue returns the field for the queue of a job, which is its class of work.
func Queue(name string) Field { return zap.String("queue", name) }

// Zone returns the field for the availability zone of the entry that received a request.
func Zone(name string) Field { return zap.String("zone", name) }

// Millis returns the field for a duration in milliseconds; name must end in _ms.
func Millis(name string, d time.Duration) Field { return zap.Int64(name, d.Milliseconds()) }

// Value returns the field for any value that can be encoded as JSON.
func Value(name string, v any) Field { return zap.Any(name, v) }
