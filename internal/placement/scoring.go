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
func normalizedSize(free, largest api.Resources) float64 {
	return fraction(free.CPUMillis, largest.CPUMillis) +
		fraction(free.MemoryMB, largest.MemoryMB) +
		fraction(free.Accelerators, largest.Accelerators)
}

func fraction(amount, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}

// compareFullest orders workers by "fill the fullest": least room first, ties
// by name. What a task takes is the same on every worker, so the order by room
// before placing is the order by room left after it.
func compareFullest(a, b *worker) int {
	if byRoom := cmp.Compare(a.freeSize, b.freeSize); byRoom != 0 {
		return byRoom
	}
	return compareName(a, b)
}

// compareLeastUnreserved is compareFullest by the room outside of slices.
func compareLeastUnreserved(a, b *worker) int {
	if byRoom := cmp.Compare(a.unreservedSize, b.unreservedSize); byRoom != 0 {
		return byRoom
	}
	return compareName(a, b)
}

func compareName(a, b *worker) int {
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

// smallestOf returns the least amount of each dimension.
func smallestOf(a, b api.Resources) api.Resources {
	return api.Resources{
		CPUMillis:    min(a.CPUMillis, b.CPUMillis),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// lacking is what need exceeds room by.
func lacking(need, room api.Resources) api.Resources {
	return largestOf(need.Sub(room), api.Resources{})
}

// isNegative reports whether any dimension is below zero.
func isNegative(amount api.Resources) bool {
	return !(api.Resources{}).Fits(amount)
}
