package resources

import (
	"math"

	"github.com/decklever/decklever/api"
)

// hundred is the whole of which percentages are parts.
const hundred = 100

// NormalizedSize is the sum over dimensions of the amount, each as a fraction of
// the largest worker's. A dimension that no worker has counts nothing.
//
// It never falls when a dimension grows, so a worker whose free resources are
// smaller than the size of a need cannot hold that need: a sorted list of workers
// can be searched by it.
func NormalizedSize(amount, largest api.Resources) float64 {
	return fraction(amount.CPUMillis, largest.CPUMillis) +
		fraction(amount.MemoryMB, largest.MemoryMB) +
		fraction(amount.Accelerators, largest.Accelerators)
}

func fraction(amount, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(amount) / float64(total)
}

// Max returns the greater amount of each dimension.
func Max(a, b api.Resources) api.Resources {
	return api.Resources{
		CPUMillis:    max(a.CPUMillis, b.CPUMillis),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Min returns the lesser amount of each dimension.
func Min(a, b api.Resources) api.Resources {
	return api.Resources{
		CPUMillis:    min(a.CPUMillis, b.CPUMillis),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// Lacking is what need exceeds free by, 0 in the dimensions that suffice.
func Lacking(need, free api.Resources) api.Resources {
	return Max(need.Sub(free), api.Resources{})
}

// IsNegative reports whether any dimension is below zero.
func IsNegative(amount api.Resources) bool {
	return !(api.Resources{}).Fits(amount)
}

// Times is the amount taken count times.
func Times(amount api.Resources, count int) api.Resources {
	return api.Resources{
		CPUMillis:    amount.CPUMillis * int64(count),
		MemoryMB:     amount.MemoryMB * int64(count),
		Accelerators: amount.Accelerators * int64(count),
	}
}

// Percent is so many hundredths of the amount, rounded down in each dimension.
func Percent(amount api.Resources, percent int) api.Resources {
	return api.Resources{
		CPUMillis:    amount.CPUMillis * int64(percent) / hundred,
		MemoryMB:     amount.MemoryMB * int64(percent) / hundred,
		Accelerators: amount.Accelerators * int64(percent) / hundred,
	}
}

// FitCount counts how often need fits in free, up to limit. Nothing fits where a
// dimension of free is negative.
func FitCount(need, free api.Resources, limit int) int {
	if !need.Fits(free) {
		return 0
	}
	count := min(
		quotient(need.CPUMillis, free.CPUMillis),
		quotient(need.MemoryMB, free.MemoryMB),
		quotient(need.Accelerators, free.Accelerators),
	)
	return int(min(count, int64(limit)))
}

// quotient is how often need goes into free; without bound if nothing is needed.
func quotient(need, free int64) int64 {
	if need <= 0 {
		return math.MaxInt64
	}
	return free / need
}
