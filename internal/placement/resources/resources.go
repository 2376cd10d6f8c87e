package resources

import (
	"math"

	"github.com/decklever/decklever/api"
)

// percentScale is the percentage that stands for a complete amount.
const percentScale = 100

// NormalizedSize returns the sum over the dimensions of amount, each as a fraction of
// largest. A dimension in which largest is not positive counts as 0.
//
// The size never decreases when a dimension grows. So a worker whose free resources have
// a smaller size than a need cannot hold that need, and a list of workers sorted by size
// can be searched for the need.
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

// Shortfall returns by how much need exceeds free in each dimension, 0 where free suffices.
func Shortfall(need, free api.Resources) api.Resources {
	return Max(need.Sub(free), api.Resources{})
}

// IsNegative reports whether any dimension is below zero.
func IsNegative(amount api.Resources) bool {
	return !(api.Resources{}).Fits(amount)
}

// Multiply returns the amount multiplied by count.
func Multiply(amount api.Resources, count int) api.Resources {
	return api.Resources{
		CPUMillis:    amount.CPUMillis * int64(count),
		MemoryMB:     amount.MemoryMB * int64(count),
		Accelerators: amount.Accelerators * int64(count),
	}
}

// Percent returns the percentage of the amount, with each dimension rounded toward zero.
func Percent(amount api.Resources, percent int) api.Resources {
	return api.Resources{
		CPUMillis:    amount.CPUMillis * int64(percent) / percentScale,
		MemoryMB:     amount.MemoryMB * int64(percent) / percentScale,
		Accelerators: amount.Accelerators * int64(percent) / percentScale,
	}
}

// FitCount returns how often need fits in free, at most limit. It is 0 if a dimension of
// free is negative.
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

// quotient returns how often need fits in free; math.MaxInt64 if nothing is needed.
func quotient(need, free int64) int64 {
	if need <= 0 {
		return math.MaxInt64
	}
	return free / need
}
