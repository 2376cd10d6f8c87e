package api

// Resources is an amount of resources of a worker, a task or a slice.
type Resources struct {
	// CPUMillis is the processor share in thousandths of a core.
	CPUMillis int64 `json:"cpu_millis,omitempty" yaml:"cpu_millis"`
	// MemoryMB is the memory in mebibytes.
	MemoryMB int64 `json:"memory_mb,omitempty" yaml:"memory_mb"`
	// Accelerators is the number of accelerator devices.
	Accelerators int64 `json:"accelerators,omitempty" yaml:"accelerators"`
}

// Add returns the sum of both amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPUMillis + other.CPUMillis, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns r minus other; amounts may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPUMillis - other.CPUMillis, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Fits reports whether r is at most capacity in every dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPUMillis <= capacity.CPUMillis && r.MemoryMB <= capacity.MemoryMB && r.Accelerators <= capacity.Accelerators
}
