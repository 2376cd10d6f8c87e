package record

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
)

// BenchmarkApplySubmitPlaceClose runs one job of ten tasks through its life
// beside 20,000 live jobs.
func BenchmarkApplySubmitPlaceClose(b *testing.B) {
	r := newHarness(b)
	r.machine.observers = nil
	worker := testWorker("w")
	worker.Capacity = api.Resources{CPUMillis: 1e9}
	r.register(worker)
	for i := range 20000 {
		r.submit(fmt.Sprintf("live-%05d", i), stepSpec("a", 10))
	}
	b.ResetTimer()
	for i := range b.N {
		job := fmt.Sprintf("job-%d", i)
		r.submit(job, stepSpec("a", 10))
		position, closeRuns := &PlaceTasks{}, &CloseRuns{}
		for task := range 10 {
			placement := placementOn(taskID(job, "a", task), 1, "w")
			position.Placements = append(position.Placements, placement)
			closeRuns.Runs = append(closeRuns.Runs, RunEnd{Run: placement.Run, Outcome: api.OutcomeSucceeded})
		}
		r.apply(Command{PlaceTasks: position})
		r.apply(Command{CloseRuns: closeRuns})
	}
}

// BenchmarkCapture is the time that a snapshot holds the lock, with 20,000
// live jobs of ten tasks.
func BenchmarkCapture(b *testing.B) {
	r := newHarness(b)
	r.machine.observers = nil
	for i := range 20000 {
		r.submit(fmt.Sprintf("live-%05d", i), stepSpec("a", 10))
	}
	for b.Loop() {
		r.machine.capture()
	}
}
