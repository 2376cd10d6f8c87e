package placement

import (
	"fmt"
	"testing"
)

// BenchmarkPlanFleet is BenchmarkPlan at the sizes of fleets that versions are
// compared at. Older versions have it by a copy of this file.
func BenchmarkPlanFleet(b *testing.B) {
	const tasksPerWorker = 18
	for _, workers := range []int{60, 240, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			newLoad(workers, workers*tasksPerWorker).measure(b)
		})
	}
}
