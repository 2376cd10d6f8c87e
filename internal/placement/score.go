package placement

import (
	"cmp"

	"github.com/decklever/decklever/api"
)

// roomOf is the one score: the sum over dimensions of free room, each as a
// part of the largest worker's. A dimension that no worker has counts nothing.
//
// It never falls when a dimension grows, so a worker with less room than
// roomOf(need) cannot hold need.
func roomOf(free, largest api.Resources) float64 {
	return part(free.CPUMillis, largest.CPUMillis) +
		part(free.MemoryMB, largest.MemoryMB) +
		part(free.Accelerators, largest.Accelerators)
}

func part(amount, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}

// compareFullest orders workers by "fill the fullest": least room first, ties
// by name. What a task takes is the same on every worker, so the order by room
// before placing is the order by room left after it.
func compareFullest(a, b *worker) int {
	if byRoom := cmp.Compare(a.room, b.room); byRoom != 0 {
		return byRoom
	}
	if byName := cmp.Compare(a.Name, b.Name); byName != 0 {
		return byName
	}
	return cmp.Compare(a.ID, b.ID)
}

// largestOf returns the greatest amount of each dimension.
func largestOf(a, b api.Resources) api.Resources {
	return api.Resources{
		CPUMillis:    max(a.CPUMillis, b.CPUMillis),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
