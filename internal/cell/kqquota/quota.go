// Package kqquota divides the quota of a team among the cells. Each cell holds an allotment,
// and the sum of a team's allotments never exceeds its quota. It does no I/O.
package kqquota

import (
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// Allotments holds the stored allotments of one team.
type Allotments struct {
	// Cells holds what each cell may reserve, by cell.
	Cells map[string]kqmodel.Resources `json:"cells"`
	// WriteID identifies the write of this row.
	WriteID string `json:"write_id"`
}

// Sum returns the sum of the allotments of all cells.
func (a Allotments) Sum() kqmodel.Resources {
	var s kqmodel.Resources
	for _, r := range a.Cells {
		s = s.Add(r)
	}
	return s
}

// growDivisor divides the remaining quota: a cell gets one part beyond its need, so that it
// does not have to write the allotments for each task.
const growDivisor = 8

// Grow returns allotments in which the cell may reserve at least need, or false if the quota
// does not allow it.
func Grow(a Allotments, cell string, need, quota kqmodel.Resources) (Allotments, bool) {
	held := a.Cells[cell]
	available := quota.Sub(a.Sum()).Add(held)
	if !need.FitsIn(available) {
		return a, false
	}
	extra := available.Sub(need)
	return a.withCell(cell, kqmodel.Resources{
		MilliProcessors: need.MilliProcessors + extra.MilliProcessors/growDivisor,
		MemoryBytes:     need.MemoryBytes + extra.MemoryBytes/growDivisor,
		Accelerators:    need.Accelerators + extra.Accelerators/growDivisor,
	}), true
}

// Shrink returns allotments in which the cell holds no more than it uses, and whether they
// differ from a.
func Shrink(a Allotments, cell string, used kqmodel.Resources) (Allotments, bool) {
	held := a.Cells[cell]
	if held.FitsIn(used) {
		return a, false
	}
	return a.withCell(cell, kqmodel.Resources{
		MilliProcessors: min(held.MilliProcessors, used.MilliProcessors),
		MemoryBytes:     min(held.MemoryBytes, used.MemoryBytes),
		Accelerators:    min(held.Accelerators, used.Accelerators),
	}), true
}

// withCell returns a copy of the allotments with that of one cell replaced. WriteID is not set.
func (a Allotments) withCell(cell string, r kqmodel.Resources) Allotments {
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
