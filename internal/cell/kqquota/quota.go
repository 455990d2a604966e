// Package kqquota shares the quota of a team among cells: each cell holds an
// allotment, and the allotments of a team never sum above its quota. It does
// no I/O.
package kqquota

import (
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// Allotments is the stored shares of one team.
type Allotments struct {
	// Cells is what each cell may hold.
	Cells map[string]kqmodel.Resources `json:"cells"`
	// WriteID tells one write from another.
	WriteID string `json:"write_id"`
}

// Sum returns what all cells may hold together.
func (a Allotments) Sum() kqmodel.Resources {
	var s kqmodel.Resources
	for _, r := range a.Cells {
		s = s.Add(r)
	}
	return s
}

// growDivisor is the share of what is left, as a divisor, that a cell takes
// beyond its need so that it need not ask for each task.
const growDivisor = 8

// Grow returns allotments in which the cell may hold need, or false where the
// quota does not allow it.
func Grow(a Allotments, cell string, need, quota kqmodel.Resources) (Allotments, bool) {
	held := a.Cells[cell]
	rest := quota.Sub(a.Sum()).Add(held)
	if !need.Fits(rest) {
		return a, false
	}
	extra := rest.Sub(need)
	return a.with(cell, kqmodel.Resources{
		MilliProcessors: need.MilliProcessors + extra.MilliProcessors/growDivisor,
		MemoryBytes:     need.MemoryBytes + extra.MemoryBytes/growDivisor,
		Accelerators:    need.Accelerators + extra.Accelerators/growDivisor,
	}), true
}

// Shrink returns allotments in which the cell holds no more than it uses, and
// whether that gives anything back.
func Shrink(a Allotments, cell string, used kqmodel.Resources) (Allotments, bool) {
	held := a.Cells[cell]
	if held.Fits(used) {
		return a, false
	}
	return a.with(cell, kqmodel.Resources{
		MilliProcessors: min(held.MilliProcessors, used.MilliProcessors),
		MemoryBytes:     min(held.MemoryBytes, used.MemoryBytes),
		Accelerators:    min(held.Accelerators, used.Accelerators),
	}), true
}

func (a Allotments) with(cell string, r kqmodel.Resources) Allotments {
	cells := make(map[string]kqmodel.Resources, len(a.Cells)+1)
	for c, v := range a.Cells {
		cells[c] = v
	}
	if r.IsZero() {
		delete(cells, cell)
	} else {
		cells[cell] = r
	}
	return Allotments{Cells: cells}
}
