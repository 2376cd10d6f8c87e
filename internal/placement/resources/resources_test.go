package resources

import (
	"testing"

	"github.com/decklever/decklever/api"
)

// amount returns an amount of processors, memory and accelerators.
func amount(cpu, memory, accelerators int64) api.Resources {
	return api.Resources{CPUMillis: cpu, MemoryMB: memory, Accelerators: accelerators}
}

func TestNormalizedSize_SumsFractionsOfLargest(t *testing.T) {
	cases := map[string]struct {
		amount, largest api.Resources
		want            float64
	}{
		"all of it":                {amount(4, 8, 2), amount(4, 8, 2), 3},
		"half of one dimension":    {amount(2, 0, 0), amount(4, 8, 2), 0.5},
		"dimension no worker has":  {amount(4, 8, 1), amount(4, 8, 0), 2},
		"negative after shrinking": {amount(-4, 8, 0), amount(4, 8, 0), 0},
		"no worker, size zero":     {amount(4, 8, 1), amount(0, 0, 0), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := NormalizedSize(c.amount, c.largest); got != c.want {
				t.Errorf("NormalizedSize(%v, %v): got %v, want %v", c.amount, c.largest, got, c.want)
			}
		})
	}
}

// TestNormalizedSize_OfNeedBoundsFree guards the search in workers sorted by size, which
// skips workers whose free resources are smaller than the need: no need may fit there.
func TestNormalizedSize_OfNeedBoundsFree(t *testing.T) {
	largest := amount(3, 2, 1)
	for need := range all(3) {
		for free := range all(3) {
			if need.Fits(free) && NormalizedSize(free, largest) < NormalizedSize(need, largest) {
				t.Errorf("need %v fits in free %v, which has a smaller normalized size", need, free)
			}
		}
	}
}

// all yields all amounts from 0 to limit in each dimension.
func all(limit int64) func(yield func(api.Resources) bool) {
	return func(yield func(api.Resources) bool) {
		for cpu := range limit + 1 {
			for memory := range limit + 1 {
				for accelerators := range limit + 1 {
					if !yield(amount(cpu, memory, accelerators)) {
						return
					}
				}
			}
		}
	}
}

func TestFitCount_SmallestQuotient(t *testing.T) {
	cases := map[string]struct {
		need, free api.Resources
		limit      int
		want       int
	}{
		"memory is scarcest":        {amount(2, 3, 0), amount(9, 7, 0), 10, 2},
		"processors are scarcest":   {amount(3, 1, 1), amount(7, 9, 9), 10, 2},
		"accelerators are scarcest": {amount(1, 1, 2), amount(9, 9, 7), 10, 3},
		"up to the limit":           {amount(1, 0, 0), amount(9, 0, 0), 4, 4},
		"nothing needed":            {amount(0, 0, 0), amount(1, 1, 1), 7, 7},
		"does not fit":              {amount(2, 0, 1), amount(9, 0, 0), 10, 0},
		"free is negative":          {amount(0, 0, 0), amount(-1, 0, 0), 10, 0},
		"exactly the free amount":   {amount(3, 3, 3), amount(3, 3, 3), 10, 1},
		"limit of zero allows none": {amount(1, 1, 1), amount(3, 3, 3), 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := FitCount(c.need, c.free, c.limit); got != c.want {
				t.Errorf("FitCount(%v, %v, %d): got %d, want %d", c.need, c.free, c.limit, got, c.want)
			}
		})
	}
}

func TestArithmetic_ByDimension(t *testing.T) {
	a, b := amount(1, 5, 0), amount(4, 2, 0)
	cases := map[string]struct{ got, want api.Resources }{
		"Max":                     {Max(a, b), amount(4, 5, 0)},
		"Min":                     {Min(a, b), amount(1, 2, 0)},
		"Lacking":                 {Shortfall(a, b), amount(0, 3, 0)},
		"Times":                   {Multiply(a, 3), amount(3, 15, 0)},
		"Percent is rounded down": {Percent(amount(10, 5, 1), 30), amount(3, 1, 0)},
		"Percent zero":            {Percent(b, 0), amount(0, 0, 0)},
		"Lacking where it fits":   {Shortfall(amount(1, 1, 0), b), amount(0, 0, 0)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("got %v, want %v", c.got, c.want)
			}
		})
	}
	if IsNegative(amount(0, 0, 0)) || !IsNegative(amount(1, -1, 1)) {
		t.Error("IsNegative: want false for zero in all dimensions, true for one dimension below zero")
	}
}
