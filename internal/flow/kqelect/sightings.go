package kqelect

import "time"

// keptSightings bounds how many epochs are remembered.
const keptSightings = 16

// Sighting is the first time that an epoch was read.
type Sighting struct {
	Epoch uint64
	At    time.Time
}

// Sightings are the epochs of a cell's owners that were read, oldest first.
type Sightings []Sighting

// See notes that an epoch was read.
func (s Sightings) See(now time.Time, epoch uint64) Sightings {
	if epoch == 0 || len(s) > 0 && epoch <= s[len(s)-1].Epoch {
		return s
	}
	return append(s[max(0, len(s)+1-keptSightings):len(s):len(s)], Sighting{epoch, now})
}

// After returns when an epoch above another was first read. By then every owner
// up to the other had lost the cell.
func (s Sightings) After(epoch uint64) (at time.Time, ok bool) {
	for _, x := range s {
		if x.Epoch > epoch {
			return x.At, true
		}
	}
	return time.Time{}, false
}
