package kqelect

import "time"

// maxEpochsKept limits the number of epochs in a history.
const maxEpochsKept = 16

// EpochRead records when an epoch was first read.
type EpochRead struct {
	Epoch uint64
	At    time.Time
}

// EpochHistory lists the epochs of a cell's owners that were read, oldest first.
type EpochHistory []EpochRead

// Record returns the history after an epoch was read. The receiver is not changed. An epoch
// that is not above the latest one is ignored, and the oldest entry is dropped if there are
// too many.
func (s EpochHistory) Record(now time.Time, epoch uint64) EpochHistory {
	if epoch == 0 || len(s) > 0 && epoch <= s[len(s)-1].Epoch {
		return s
	}
	return append(s[max(0, len(s)+1-maxEpochsKept):len(s):len(s)], EpochRead{epoch, now})
}

// FirstAbove returns when an epoch above a given one was first read. By then every owner up
// to the given epoch had lost the cell. Ok is false if no such epoch was read.
func (s EpochHistory) FirstAbove(epoch uint64) (at time.Time, ok bool) {
	for _, x := range s {
		if x.Epoch > epoch {
			return x.At, true
		}
	}
	return time.Time{}, false
}
