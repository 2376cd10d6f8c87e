package record

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
)

// BenchmarkApplySubmitPlaceClose submits, places and closes one job of ten tasks
// per iteration, with 20,000 other live jobs in the state.
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
		placeTasks, closeRuns := &PlaceTasks{}, &CloseRuns{}
		for task := range 10 {
			placement := placementOn(taskID(job, "a", task), 1, "w")
			placeTasks.Placements = append(placeTasks.Placements, placement)
			closeRuns.Runs = append(closeRuns.Runs, RunEnd{Run: placement.Run, Outcome: api.OutcomeSucceeded})
		}
		h.apply(Command{PlaceTasks: placeTasks})
		h.apply(Command{CloseRuns: closeRuns})
	}
}

// BenchmarkCapture measures how long a snapshot holds the lock, with 20,000 live
// jobs of ten tasks each.
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
