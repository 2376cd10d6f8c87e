package placement

import (
	"fmt"
	"testing"
)

// BenchmarkPlanFleet is BenchmarkPlan at the fleet sizes at which versions are compared.
// To measure an older version, copy this file into it.
func BenchmarkPlanFleet(b *testing.B) {
	const tasksPerWorker = 18
	for _, workers := range []int{60, 240, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			newBenchLoad(workers, workers*tasksPerWorker).measure(b)
		})
	}
}
