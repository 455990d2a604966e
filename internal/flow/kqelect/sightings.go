package kqelect

import "time"

// keptSightings bounds how many epochs are remembered.
const keptSightings = 16

// Sighting is the first time that an epoch was read.
type EpochRead struct {
	Epoch uint64
	At    time.Time
}

// Sightings are the epochs of a cell's owners that were read, oldest first.
type EpochHistory []EpochRead

// See notes that an epoch was read.
func (s EpochHistory) Record(now time.Time, epoch uint64) EpochHistory {
	if epoch == 0 || len(s) > 0 && epoch <= s[len(s)-1].Epoch {
		return s
	}
	return append(s[max(0, len(s)+1-keptSightings):len(s):len(s)], EpochRead{epoch, now})
}

// After returns when an epoch above another was first read. By then every owner
// up to the other had lost the cell.
func (s EpochHistory) FirstAbove(epoch uint64) (at time.Time, ok bool) {
	for _, x := range s {
		if x.Epoch > epoch {
			return x.At, true
		}
	}
	return time.Time{}, false
}
