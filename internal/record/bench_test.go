package record

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
)

// BenchmarkApplySubmitPlaceClose runs one job of ten tasks through its life
// beside 20,000 live jobs.
func BenchmarkApplySubmitPlaceClose(b *testing.B) {
	h := newHarness(b)
	h.machine.observers = nil
	worker := testWorker("w")
	worker.Capacity = api.Resources{CPUMillis: 1e9}
	h.register(worker)
	for i := range 20000 {
		h.submit(fmt.Sprintf("live-%05d", i), stepSpec("a", 10))
	}
	b.ResetTimer()
	for i := range b.N {
		job := fmt.Sprintf("job-%d", i)
		h.submit(job, stepSpec("a", 10))
		place, closing := &PlaceTasks{}, &CloseRuns{}
		for task := range 10 {
			placement := placementOn(taskID(job, "a", task), 1, "w")
			place.Placements = append(place.Placements, placement)
			closing.Runs = append(closing.Runs, RunEnd{Run: placement.Run, Outcome: api.OutcomeSucceeded})
		}
		h.apply(Command{PlaceTasks: place})
		h.apply(Command{CloseRuns: closing})
	}
}

// BenchmarkCapture is the time that a snapshot holds the lock, with 20,000
// live jobs of ten tasks.
func BenchmarkCapture(b *testing.B) {
	h := newHarness(b)
	h.machine.observers = nil
	for i := range 20000 {
		h.submit(fmt.Sprintf("live-%05d", i), stepSpec("a", 10))
	}
	for b.Loop() {
		h.machine.capture()
	}
}
