package kqmodel

import "fmt"

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	// MilliProcessors is the number of processors in thousandths.
	MilliProcessors int64 `json:"milli_processors" yaml:"milli_processors"`
	// MemoryBytes is the memory in bytes.
	MemoryBytes int64 `json:"memory_bytes" yaml:"memory_bytes"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `json:"accelerators" yaml:"accelerators"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliProcessors + o.MilliProcessors, r.MemoryBytes + o.MemoryBytes, r.Accelerators + o.Accelerators}
}

// Sub returns the difference r - o, whose parts may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliProcessors - o.MilliProcessors, r.MemoryBytes - o.MemoryBytes, r.Accelerators - o.Accelerators}
}

// Times returns n times the amount.
func (r Resources) Times(n int64) Resources {
	return Resources{n * r.MilliProcessors, n * r.MemoryBytes, n * r.Accelerators}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliProcessors, o.MilliProcessors), max(r.MemoryBytes, o.MemoryBytes), max(r.Accelerators, o.Accelerators)}
}

// FitsIn reports whether no resource of r exceeds that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.MilliProcessors <= o.MilliProcessors && r.MemoryBytes <= o.MemoryBytes && r.Accelerators <= o.Accelerators
}

// IsNegative reports whether any resource is below zero.
func (r Resources) IsNegative() bool {
	return r.MilliProcessors < 0 || r.MemoryBytes < 0 || r.Accelerators < 0
}

// IsZero reports whether all resources are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// String returns the amount in processors, mebibytes and accelerators.
func (r Resources) String() string {
	return fmt.Sprintf("%.2f processors, %d MiB, %d accelerators",
		float64(r.MilliProcessors)/1000, r.MemoryBytes>>20, r.Accelerators)
}
