package kqtable

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
)

// DecodeRows decodes the values of rows without those that cannot be decoded, for each of which it
// calls onUnreadable.
func DecodeRows[T any](rows []Row, onUnreadable func(r Row, err error)) []T {
	out := make([]T, 0, len(rows))
	for _, r := range rows {
		var v T
		if err := Decode(r, &v); err != nil {
			onUnreadable(r, err)
			continue
		}
		out = append(out, v)
	}
	return out
}

// LogUnreadable returns a function that logs a row that cannot be decoded.
func LogUnreadable(events *kqevent.Log, now func() time.Time) func(r Row, err error) {
	return func(r Row, err error) { events.Emit(now(), kqevent.RowUnreadable, kqevent.Process(r.Key), "%v", err) }
}
