package kqevent

import (
	"time"

	"go.uber.org/zap"
)

// Field is a named value of an event, for programs that read the log.
type Field = zap.Field

// Run is the number of a task's run.
func Run(number uint64) Field { return zap.Uint64("run", number) }

// How is how a run ended.
func EndReason(how string) Field { return zap.String("how", how) }

// Queue is the class of work of a job.
func Queue(name string) Field { return zap.String("queue", name) }

// Zone is the availability zone of the entry that took a request.
func Zone(name string) Field { return zap.String("zone", name) }

// Millis is a duration in milliseconds; the name ends in _ms.
func Millis(name string, d time.Duration) Field { return zap.Int64(name, d.Milliseconds()) }

// Value is any value that has a JSON form.
func Value(name string, v any) Field { return zap.Any(name, v) }
