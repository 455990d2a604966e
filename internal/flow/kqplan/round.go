package kqplan

// round shares a limited number of searches per pass between all keys that need one. The keys that the limit
// leaves out come first in the passes after, until each has had its turn; all others wait until then, also
// those that come meanwhile. Otherwise the same first keys, searched for in vain, use up the limit of each
// pass.
type round[K comparable] struct {
	// leftOut holds the keys that still wait for their turn in the round.
	leftOut map[K]bool
	// left is the number of searches that the current pass may still make in vain.
	left int
	// continued is true if the current pass continues the round of the one before.
	continued bool
}

// beginPass begins a pass that may make a number of searches in vain. It begins a new round if the latest pass
// did not reach its limit: keys that are still left out then need no search any more.
func (r *round[K]) beginPass(limit int) {
	if r.left > 0 || r.leftOut == nil {
		r.leftOut = map[K]bool{}
	}
	r.left, r.continued = limit, len(r.leftOut) > 0
}

// beginNextInPass begins the next round in a pass that has ended the one before and has searches left. It
// reports whether it did.
func (r *round[K]) beginNextInPass() bool {
	if !r.continued || r.left <= 0 {
		return false
	}
	r.leftOut, r.continued = map[K]bool{}, false
	return true
}

// maySearch reports whether it is the turn of a key.
func (r *round[K]) maySearch(k K) bool {
	switch {
	case r.continued:
		return r.left > 0 && r.leftOut[k]
	case r.left <= 0:
		r.leftOut[k] = true
		return false
	}
	return true
}

// searchFailed records that the search for a key was in vain.
func (r *round[K]) searchFailed(k K) {
	r.left--
	delete(r.leftOut, k)
}
