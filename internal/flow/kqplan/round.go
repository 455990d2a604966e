package kqplan

// round limits the searches of a pass. Most of them are for the first keys of each pass. One in turnShare is a turn:
// the keys that are left out get one each in the passes after. Without turns, the same first keys use up the limit of
// each pass. Keys that are first left out during a round wait for the next one, so that new keys do not delay the
// others.
type round[K comparable] struct {
	// leftOut holds the keys that still wait for their turn in the round.
	leftOut map[K]bool
	// firsts and turns are the numbers of searches that the current pass may still make.
	firsts, turns int
	// continued is true if the current pass continues the round of the one before.
	continued bool
	// credit counts the searches for which no turns were given yet.
	credit int
}

// turnShare is the ratio of searches to turns. The first keys are the most urgent ones, so most searches are theirs.
const turnShare = 4

// beginPass begins a pass with a limit. It begins a new round if the latest pass had a turn left: keys that are
// still left out then need no search any more.
func (r *round[K]) beginPass(limit int) {
	if r.turns > 0 || r.leftOut == nil {
		r.leftOut = map[K]bool{}
	}
	r.credit += limit
	r.turns = r.credit / turnShare
	r.credit %= turnShare
	r.firsts, r.continued = limit-r.turns, len(r.leftOut) > 0
}

// maySearch reports whether a key may be searched for in the current pass.
func (r *round[K]) maySearch(k K) bool {
	switch {
	case r.firsts > 0:
		return true
	case r.continued:
		return r.turns > 0 && r.leftOut[k]
	case r.turns <= 0:
		r.leftOut[k] = true
		return false
	}
	return true
}

// countSearch counts a search for a key. Where those that succeed do not count, a key keeps its turn until one is in
// vain.
func (r *round[K]) countSearch(k K) {
	if r.firsts > 0 {
		r.firsts--
	} else {
		r.turns--
	}
	delete(r.leftOut, k)
}
